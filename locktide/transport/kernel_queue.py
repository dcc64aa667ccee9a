"""How long bytes have lain in the kernel, where it says so."""

from __future__ import annotations

import socket
import sys
from typing import Any

#: Where `struct tcp_info` of Linux has the milliseconds since data last came in, and the size of that field.
LAST_DATA_OFFSET = 52
LAST_DATA_SIZE = 4
MICROSECONDS_PER_MILLISECOND = 1000
#: Longest time that is believed, in microseconds: a socket that has had no data says the time since the boot.
MAX_TIME = 10_000_000


def time_since_data(connection: Any) -> int:
    """Return how long ago data last came in on a connection, read or not, in microseconds.

    Args:
        connection: the socket; None where there is none, as in virtual time.

    Returns:
        0 where the system does not say.
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
    since = int.from_bytes(info[LAST_DATA_OFFSET:size], sys.byteorder) * MICROSECONDS_PER_MILLISECOND
    return since if since <= MAX_TIME else 0
