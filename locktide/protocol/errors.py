"""Errors of parsing messages.

Both report a fault of the peer: it sent something invalid, or stopped sending. Calling the methods of a
connection in the wrong order is a fault of this program and raises `h11.LocalProtocolError`, which is never
caught.
"""

from __future__ import annotations

from locktide.errors import LocktideError


class ProtocolError(LocktideError):
    """The peer violated HTTP, or ended the connection before its message was complete.

    Attributes:
        peer: The peer at fault, as HOST:PORT; empty where the message does not name it.
        reason: What the peer did.
    """

    def __init__(self, reason: str, peer: str = "") -> None:
        super().__init__(f"{peer}: {reason}" if peer else reason)
        self.peer = peer
        self.reason = reason


class RejectedMessageError(ProtocolError):
    """The peer sent a message that is valid HTTP but is not accepted here.

    Attributes:
        status: The HTTP status to respond with, a 4xx.
        reason: The text of the response, for the sender of the message.
        is_final: Whether nothing can follow on the connection, because it is not clear where the message
            ends.
    """

    def __init__(self, status: int, reason: str, is_final: bool = False) -> None:
        super().__init__(reason)
        self.status = status
        self.is_final = is_final

    def __str__(self) -> str:
        return f"{self.status}: {self.reason}"
