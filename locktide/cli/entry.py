"""The entry point of the `locktide` command: holds back the signals of a dispatcher, then loads the commands.

Only modules that load fast are imported here: a signal for a reload that arrives before signals are held back
ends the process.
"""

from __future__ import annotations

import sys

from locktide.dispatcher.signals import hold_back_signals


def hold_back_signals_of_serve() -> None:
    """Hold back the signals of a dispatcher if the command is `serve`; other commands are ended by them."""
    if sys.argv[1:2] == ["serve"]:
        hold_back_signals()


def main() -> None:
    """Run the command line."""
    hold_back_signals_of_serve()
    from locktide.cli.main import main as run_command  # its imports take much of the start-up time

    run_command()
