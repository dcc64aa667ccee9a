"""The file of an installation, `deploy/locktide.toml`: its sections, checks and start configuration.

Each section is a module that is named by the term of this project. A field whose key in the file differs
names that key in `msgspec.field(name=...)`. Times in the file are in seconds; inside the program they are
whole microseconds.
"""
