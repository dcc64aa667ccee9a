"""What a dispatcher needs of its machine beside the event loop: the time of day and a listening socket."""

from __future__ import annotations

import socket
import time
from typing import Protocol

from locktide.config.address import Address


class System(Protocol):
    """Given by whoever hosts a dispatcher: the operating system, or a simulation in virtual time."""

    def wall(self) -> float:
        """Returns Unix time in seconds."""

    def listening(self, address: Address, backlog: int) -> socket.socket:
        """Returns a socket on which the event loop can accept; raises OSError."""


class RealSystem:
    """The operating system."""

    def wall(self) -> float:
        """Returns Unix time in seconds."""
        return time.time()

    def listening(self, address: Address, backlog: int) -> socket.socket:
        """Returns a listening socket; raises OSError."""
        return socket.create_server(address, backlog=backlog)
