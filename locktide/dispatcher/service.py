"""Runs one dispatcher as a process and handles its signals."""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from locktide.config.errors import ConfigError
from locktide.config.start import Start
from locktide.dispatcher.dispatcher import Dispatcher
from locktide.dispatcher.signals import block_signals, install_stop_handlers, unblock_signals
from locktide.protocol.discovery import DiscoveryUpdate
from locktide.transport.log import Log


class AttachedService(Protocol):
    """A service that is attached to a dispatcher."""

    async def close(self) -> None:
        """Close the service, after the dispatcher has stopped."""


async def serve(
    start: Start,
    cached_list: DiscoveryUpdate,
    log: Log,
    read_start: Callable[[], Start],
    attach: Sequence[Callable[[Dispatcher], Awaitable[AttachedService]]] = (),
) -> None:
    """Serve until SIGTERM or SIGINT.

    Args:
        start: The settings.
        cached_list: The cached endpoint list.
        log: The log.
        read_start: Reads the settings anew at SIGHUP; may raise ConfigError.
        attach: Functions that each attach one service, before the dispatcher serves; an exception ends the
            start.
    """
    block_signals()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    dispatcher = Dispatcher(start, cached_list, log)
    install_stop_handlers(loop, stop, dispatcher.shutdown.note_signal)

    def reload() -> None:
        try:
            dispatcher.reload(read_start())
        except ConfigError as error:
            log.emit(f"reload: {error}; the old settings stay", event="config_rejected", error=str(error))

    loop.add_signal_handler(signal.SIGHUP, reload)
    unblock_signals()
    gc.freeze()  # the objects created so far stay: later garbage collections can skip them
    services = [await attach_service(dispatcher) for attach_service in attach]
    await dispatcher.run(stop)
    for service in services:
        await service.close()
    block_signals()  # the event loop removes its signal handlers when it closes
