"""locktide: a dispatcher that pushes jobs to workers."""

__version__ = "0.1.0"
