"""The base class of the errors that locktide raises."""

from __future__ import annotations


class LocktideError(Exception):
    """Base of all errors of this project; each package derives its own base from it."""
