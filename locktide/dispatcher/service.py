"""One dispatcher as a process: its signals, from start to stop."""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from locktide.config.checks import ConfigError
from locktide.config.start import Start
from locktide.dispatcher.dispatcher import Dispatcher
from locktide.protocol import discovery
from locktide.transport.log import Log


def hold_back_reload() -> None:
    """Until there is one to take it: by itself SIGHUP would end the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


class AttachedService(Protocol):
    """What was joined to the node, until it is closed."""

    async def close(self) -> None: ...


async def serve(
    told: Start,
    known: discovery.DiscoveryUpdate,
    log: Log,
    again: Callable[[], Start],
    join: Sequence[Callable[[Dispatcher], Awaitable[AttachedService]]] = (),
) -> None:
    """Serves until SIGTERM or SIGINT; `again` reads the terms anew at SIGHUP and may raise Faulty. Each of
    `join` adds a part to the node before it serves, and may raise what ends the start.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = Dispatcher(told, known, log)

    def reload() -> None:
        try:
            node.reload(again())
        except ConfigError as trouble:
            log.emit(f"reload: {trouble}; the old terms stay", event="reload-faulty", trouble=str(trouble))

    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    gc.freeze()  # what stands by now stays; collections have less to go through
    parts = [await begin(node) for begin in join]
    await node.run(stop)
    for part in parts:
        await part.close()
    hold_back_reload()
