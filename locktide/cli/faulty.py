"""How a faulty file is told: every fault on a line of its own, exit code 2."""

from __future__ import annotations

import sys
from typing import NoReturn

from locktide.config.errors import ConfigFileError


def refuse(faults: ConfigFileError, where: str = "") -> NoReturn:
    for line in faults.lines:
        print(f"locktide: {where + ': ' if where else ''}{line}", file=sys.stderr)
    sys.exit(2)
