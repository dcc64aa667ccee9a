"""Starts one real dispatcher, stops it at SIGTERM, and sets the exit code."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

from locktide.config import start
from locktide.config.checks import Faulty
from locktide.net.log import Log
from locktide.node.node import Node
from locktide.protocol import discovery


async def serve(told: start.Start, known: discovery.Sheet) -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    node = Node(told, known, Log(told.name))
    gc.freeze()  # what stands by now stays; collections have less to go through
    await node.run(stop)


def main() -> int:
    try:
        told = start.read(os.environ)
        known = discovery.read(told.known, "known")
    except Faulty as trouble:
        print(f"locktide: {trouble}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(told, known))
    except OSError as trouble:
        print(f"locktide: listen: {trouble}", file=sys.stderr)
        return 1
    return 0


sys.exit(main())
