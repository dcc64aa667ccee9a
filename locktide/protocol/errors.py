"""Errors of reading and writing messages."""

from __future__ import annotations

from locktide.errors import LocktideError


class ProtocolError(LocktideError):
    """A connection ended, or its peer sent what HTTP does not allow, before the message was complete."""


class RejectedMessageError(ProtocolError):
    """A complete message that is not accepted.

    Attributes:
        status: The HTTP status to answer with, a 4xx.
        reason: The text of the response, for whoever sent the message.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"{status}: {reason}")
        self.status = status
        self.reason = reason
