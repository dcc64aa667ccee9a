"""The entry point of the `locktide` command: blocks the signals of a dispatcher, then loads the commands.

Only modules that load fast are imported here: a signal for a reload that arrives before signals are blocked
ends the process.
"""

from __future__ import annotations

import sys

from locktide.dispatcher.signals import block_signals


def block_signals_of_serve() -> None:
    """Block the signals of a dispatcher if the command is `serve`; other commands are ended by them."""
    if sys.argv[1:2] == ["serve"]:
        block_signals()


def main() -> None:
    """Run the command line."""
    block_signals_of_serve()
    from locktide.cli.main import main as run_command  # its imports take much of the start-up time

    run_command()
