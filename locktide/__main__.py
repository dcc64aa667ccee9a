"""Runs one dispatcher that is configured by the GW_* variables, and sets the exit code."""

from __future__ import annotations

from locktide.dispatcher.signals import block_signals

if __name__ == "__main__":
    block_signals()  # before the imports below, which take much of the start-up time

import asyncio
import os
import sys

from locktide.config.errors import ConfigError
from locktide.config.start import read_start
from locktide.dispatcher.service import serve
from locktide.protocol import discovery
from locktide.transport.log import Log


def main() -> int:
    try:
        start = read_start(os.environ)
        known_endpoints = discovery.read(start.cached_endpoints, "known")
    except ConfigError as error:
        print(f"locktide: {error}", file=sys.stderr)
        return 2
    try:
        asyncio.run(
            serve(start, known_endpoints, Log(start.name), lambda: read_start(os.environ, is_reload=True))
        )
    except OSError as error:
        print(f"locktide: listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
