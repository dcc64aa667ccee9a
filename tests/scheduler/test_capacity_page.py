"""The capacity page lists each constant of the scheduler, and no constant that does not exist."""

from __future__ import annotations

import importlib
import pkgutil
import re
from pathlib import Path

import locktide.scheduler

PAGE = Path(__file__).parents[2] / "docs" / "capacity.md"
ROW_NAMES = re.compile(r"`([A-Z][A-Z0-9_]+)`")


def names_on_the_page() -> set[str]:
    """Return the names of constants in the first cells of the rows."""
    first_cells = [line.split("|")[1] for line in PAGE.read_text().splitlines() if line.startswith("| ")]
    return {name for cell in first_cells for name in ROW_NAMES.findall(cell)}


def constants_of_the_scheduler() -> set[str]:
    """Return the names of numeric constants in the modules of policy, estimators and state."""
    found: set[str] = set()
    for package in ("policy", "estimators", "state"):
        path = f"{locktide.scheduler.__path__[0]}/{package}"
        for module in pkgutil.iter_modules([path]):
            values = vars(importlib.import_module(f"locktide.scheduler.{package}.{module.name}"))
            numbers = {name for name, value in values.items() if type(value) in (int, float)}
            found |= {name for name in numbers if name.isupper()}
    return found


def test_the_page_has_a_row_for_each_constant_and_for_nothing_else() -> None:
    """A constant was renamed, but its row on the capacity page kept the old name.

    Operators look up a constant there before they change it: which values were tested, and with what result.
    Each constant must have a row and each row a constant. `SLOW_START_MARGIN` is defined in another package.
    """
    settings = {"SLOW_START_MARGIN"}
    elsewhere = {"TRACEBACK_LINES"}  # length of reported tracebacks; no decision depends on it
    assert names_on_the_page() - settings == constants_of_the_scheduler() - elsewhere
