"""Errors of connections; each names the peer.

An attempt's outcome is made of them: `NoDescriptorError` says that nothing was sent and no worker is at
fault, `ConnectError` that the worker could not be reached.
"""

from __future__ import annotations

from locktide.config.address import Address, format_address
from locktide.errors import LocktideError


class TransportError(LocktideError):
    """Base of the errors of connections.

    Attributes:
        peer: Name of the peer.
    """

    def __init__(self, peer: str, reason: str) -> None:
        super().__init__(f"{peer}: {reason}")
        self.peer = peer


class NoDescriptorError(TransportError):
    """No descriptor came free in time for a connection."""

    def __init__(self, peer: str) -> None:
        super().__init__(peer, "no descriptor came free in time")


class ConnectError(TransportError):
    """A connection did not come up.

    Attributes:
        address: The address that was tried.
    """

    def __init__(self, peer: str, address: Address) -> None:
        super().__init__(peer, f"cannot connect to {format_address(address)}")
        self.address = address
