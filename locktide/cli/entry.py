"""The `locktide` script: holds back the signals of a dispatcher, then loads the command line.

Imports nothing that takes long, so that a reload in the first moments of a start does not end the process.
"""

from __future__ import annotations

import sys

from locktide.dispatcher.signals import hold_back_signals


def hold_back_signals_of_serve() -> None:
    """Hold back the signals of a dispatcher where the command is one; other commands end by them."""
    if sys.argv[1:2] == ["serve"]:
        hold_back_signals()


def main() -> None:
    """Run the command line."""
    hold_back_signals_of_serve()
    from locktide.cli.main import main as run_command  # its imports take a good part of the start

    run_command()
