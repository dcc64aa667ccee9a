"""The socket of a connection in virtual time: answers TCP_INFO like Linux."""

from __future__ import annotations

import sys
from typing import Protocol

#: Offset of the milliseconds since data was last received in `struct tcp_info` of Linux, and their size.
LAST_DATA_OFFSET = 52
LAST_DATA_SIZE = 4
MILLISECONDS_PER_SECOND = 1000


class DataClock(Protocol):
    """A connection that knows the seconds since it last received data, at first since it was opened."""

    def time_since_data(self) -> float: ...


class VirtualSocket:
    """Answers TCP_INFO, and nothing else, for one side of a connection."""

    def __init__(self, connection: DataClock) -> None:
        self.connection = connection

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Return `struct tcp_info` with the time since data was last received, and zeros elsewhere."""
        milliseconds = int(self.connection.time_since_data() * MILLISECONDS_PER_SECOND)
        info = bytes(LAST_DATA_OFFSET) + milliseconds.to_bytes(LAST_DATA_SIZE, sys.byteorder)
        return info[:size].ljust(size, b"\0")
