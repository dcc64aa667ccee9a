"""Network addresses as configuration spells them: HOST:PORT."""

from __future__ import annotations

from typing import TypeAlias

from locktide.config.errors import ConfigError

Address: TypeAlias = tuple[str, int]

#: One above the largest TCP or UDP port.
PORT_LIMIT = 1 << 16
#: Characters of a faulty address that an error message shows: a host name may be long.
MAX_SHOWN_ADDRESS = 60


def is_port(text: str) -> bool:
    """Return whether the text is a port from 1 to 65535."""
    return text.isdigit() and 0 < int(text) < PORT_LIMIT


def parse_address(key: str, text: str) -> Address:
    """Return the host and the port of HOST:PORT; an IPv6 host may be in brackets.

    Raises:
        ConfigError: the text is not HOST:PORT; the error names `key`.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not is_port(port):
        raise ConfigError.unexpected(key, expected="HOST:PORT", value=text, max_shown=MAX_SHOWN_ADDRESS)
    return host.strip("[]"), int(port)


def format_address(address: Address) -> str:
    """Return the address as HOST:PORT."""
    host, port = address
    return f"{host}:{port}"
