"""Blocks the signals of a dispatcher while it has no handlers, so that no signal ends the process.

Imports only the standard library's `signal` at run time, as it is called before every other import.
"""

from __future__ import annotations

import signal

TYPE_CHECKING = False  # as in `typing`, whose import would take time
if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

#: The signals that a dispatcher handles: SIGINT and SIGTERM for a shutdown, SIGHUP for a reload.
HANDLED_SIGNALS = frozenset({signal.SIGHUP, signal.SIGINT, signal.SIGTERM})
#: Those that begin a shutdown.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def block_signals() -> None:
    """Block the signals of a dispatcher; a signal that arrives meanwhile waits for `unblock_signals`.

    Without a handler each of them ends the process at once: a reload right after a start, before the event
    loop ran, ended the process, and a second SIGTERM after the loop was closed turned an orderly exit into an
    exit by signal. Blocked signals wait in the kernel. A thread inherits the mask of its creator.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock_signals() -> None:
    """Deliver the signals that were blocked; called once their handlers are installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def install_stop_handlers(
    loop: asyncio.AbstractEventLoop, stop: asyncio.Event, note_signal: Callable[[], object]
) -> None:
    """Handle SIGTERM and SIGINT: call `note_signal` at once, and set `stop` in the event loop.

    The event loop runs its own handler some callbacks after the signal arrived. Until then it may read
    requests that came long after the signal, if the process was held up meanwhile. Python calls the handler
    that is installed here before the next instruction of any callback.
    """
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop.set)
        signal.signal(
            signal_number, lambda *_: note_signal()
        )  # the event loop is woken by its file descriptor
        signal.siginterrupt(signal_number, False)
