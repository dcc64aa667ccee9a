"""Errors of the bench adapter."""

from __future__ import annotations

from locktide.errors import LocktideError


class BenchAdapterError(LocktideError):
    """Base of the errors of this package."""


class MalformedLineError(BenchAdapterError):
    """A line that the wire does not allow.

    Attributes:
        expected: what the wire allows there.
        found: what the line has instead; None where it has nothing there.
    """

    def __init__(self, expected: str, found: str | None = None) -> None:
        super().__init__(f"expected {expected}" if found is None else f"expected {expected}, not {found}")
        self.expected = expected
        self.found = found
