"""Reports the faults of a file."""

from __future__ import annotations

import sys
from typing import NoReturn

from locktide.config.errors import ConfigFileError


def exit_with_errors(errors: ConfigFileError, path: str = "") -> NoReturn:
    """Print each fault on a line of its own, after the path if one is given, and exit with code 2."""
    for line in errors.lines:
        print(f"locktide: {path + ': ' if path else ''}{line}", file=sys.stderr)
    sys.exit(2)
