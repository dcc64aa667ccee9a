"""Reads from the kernel how long ago a connection last received data."""

from __future__ import annotations

import socket
import sys
from typing import Any

#: Offset in Linux's `struct tcp_info` of the milliseconds since data last arrived, and the size of that
#: field.
LAST_DATA_OFFSET = 52
LAST_DATA_SIZE = 4
MICROSECONDS_PER_MILLISECOND = 1000
#: Longest plausible time, in microseconds: a socket that has received no data reports the time since the
#: boot.
MAX_PLAUSIBLE_TIME = 10_000_000


def time_since_data(connection: Any) -> int:
    """Return how long ago data last arrived on a connection, read or not, in microseconds.

    Args:
        connection: The socket; None without one, as in virtual time.

    Returns:
        The time in microseconds; 0 if the system does not say.
    """
    option = getattr(socket, "TCP_INFO", None)
    if connection is None or option is None:
        return 0
    size = LAST_DATA_OFFSET + LAST_DATA_SIZE
    try:
        info: bytes = connection.getsockopt(socket.IPPROTO_TCP, option, size)
    except OSError:
        return 0
    if len(info) < size:
        return 0
    elapsed = int.from_bytes(info[LAST_DATA_OFFSET:size], sys.byteorder) * MICROSECONDS_PER_MILLISECOND
    return elapsed if elapsed <= MAX_PLAUSIBLE_TIME else 0
