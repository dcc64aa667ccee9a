"""The base class of all errors of this package."""


class LocktideError(Exception):
    """Base of the errors that locktide raises on purpose."""
