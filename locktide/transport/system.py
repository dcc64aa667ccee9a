"""The operating system's clock and listening sockets, which the event loop does not provide."""

from __future__ import annotations

import socket
import time

from locktide.config.address import Address


class RealSystem:
    """The operating system; implements `System`."""

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()

    def open_listener(self, address: Address, backlog: int) -> socket.socket:
        """Return a listening socket; raise OSError."""
        return socket.create_server(address, backlog=backlog)
