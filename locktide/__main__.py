"""Starts one real dispatcher from the GW_* variables, and sets the exit code."""

from __future__ import annotations

from locktide.dispatcher.signals import hold_back_signals

if __name__ == "__main__":
    hold_back_signals()  # before the imports below, which take a good part of the start

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
        told = read_start(os.environ)
        known = discovery.read(told.cached_endpoints, "known")
    except ConfigError as trouble:
        print(f"locktide: {trouble}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(told, known, Log(told.name), lambda: read_start(os.environ, is_reload=True)))
    except OSError as trouble:
        print(f"locktide: listen: {trouble}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
