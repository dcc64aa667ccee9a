"""Starts one real dispatcher, reloads at SIGHUP, stops it at SIGTERM, and sets the exit code."""

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
    loop, log = asyncio.get_running_loop(), Log(told.name)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = Node(told, known, log)

    def reload() -> None:
        try:
            node.reload(start.read(os.environ, again=True))
        except Faulty as trouble:
            log.say(f"reload: {trouble}; the old terms stay")

    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    gc.freeze()  # what stands by now stays; collections have less to go through
    await node.run(stop)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def main() -> int:
    # Held back but while there is one to take it: by itself SIGHUP would end us.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
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
