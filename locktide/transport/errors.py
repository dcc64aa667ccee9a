"""Errors of connections; each names the peer.

They determine the outcome of an attempt: `NoDescriptorError` says that nothing was sent and that this is no
fault of the worker, `ConnectError` that the worker could not be reached.
"""

from __future__ import annotations

from locktide.config.address import Address, format_address
from locktide.errors import LocktideError


class TransportError(LocktideError):
    """Base class of the errors of connections.

    Attributes:
        peer: Name of the peer.
    """

    def __init__(self, peer: str, reason: str) -> None:
        super().__init__(f"{peer}: {reason}")
        self.peer = peer


class NoDescriptorError(TransportError):
    """No descriptor became free in time for a connection."""

    def __init__(self, peer: str) -> None:
        super().__init__(peer, "no descriptor became free in time")


class ConnectError(TransportError):
    """A connection could not be established.

    Attributes:
        address: Address of the peer.
    """

    def __init__(self, peer: str, address: Address) -> None:
        super().__init__(peer, f"cannot connect to {format_address(address)}")
        self.address = address
