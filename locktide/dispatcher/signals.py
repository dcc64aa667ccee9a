"""The signals of a dispatcher while nothing handles them: held back, so that none ends the process.

Imports the standard library's `signal` alone, as it is called before everything else is imported.
"""

from __future__ import annotations

import signal

#: The signals that a dispatcher handles: its end, and new settings.
HANDLED_SIGNALS = frozenset({signal.SIGHUP, signal.SIGINT, signal.SIGTERM})


def hold_back_signals() -> None:
    """Block the signals of a dispatcher; one that comes meanwhile is handled after `let_signals_through`.

    Without handlers each of them ends the process at once. Before the event loop runs, a reload that
    closely followed a start was a crash; after the loop has closed, a second SIGTERM made an orderly exit
    one by signal. Blocked, they wait in the kernel. A thread inherits the mask of its creator.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def let_signals_through() -> None:
    """Deliver the signals that were held back, once their handlers are in place."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
