"""Blocks the signals of a dispatcher while it has no handlers, so that no signal ends the process.

Imports only the standard library's `signal`, as it is called before every other import.
"""

from __future__ import annotations

import signal

#: The signals that a dispatcher handles: SIGINT and SIGTERM for a shutdown, SIGHUP for a reload.
HANDLED_SIGNALS = frozenset({signal.SIGHUP, signal.SIGINT, signal.SIGTERM})


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
