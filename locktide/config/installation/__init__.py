"""The file of an installation, `deploy/locktide.toml`: its sections, its checks, and the start by it.

Each section is a module that is named by our term. A field whose key in the file differs names that key in
`msgspec.field(name=...)`. Times in the file are in seconds; inside the program they are whole microseconds.
"""
