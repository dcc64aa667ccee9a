"""What a dispatcher asks of the machine it runs on, beside its event loop: the time of day and a listening
socket.
"""

from __future__ import annotations

import socket
import time
from typing import Protocol

from locktide.config.start import Address


class System(Protocol):
    """Given by whoever hosts a dispatcher: the operating system, or a rehearsal in virtual time."""

    def wall(self) -> float:
        """Unix time in seconds."""

    def listening(self, address: Address, backlog: int) -> socket.socket:
        """A socket on which the event loop can accept; raises OSError."""


class RealSystem:
    def wall(self) -> float:
        return time.time()

    def listening(self, address: Address, backlog: int) -> socket.socket:
        return socket.create_server(address, backlog=backlog)
