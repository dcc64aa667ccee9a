"""The capacity page names each constant of the decision core, and none that is gone."""

from __future__ import annotations

import importlib
import pkgutil
import re
from pathlib import Path

import locktide.scheduler

PAGE = Path(__file__).parents[2] / "docs" / "capacity.md"
ROW_NAMES = re.compile(r"`([A-Z][A-Z0-9_]+)`")


def names_on_the_page() -> set[str]:
    """Return the constants that the first cell of a row names."""
    first_cells = [line.split("|")[1] for line in PAGE.read_text().splitlines() if line.startswith("| ")]
    return {name for cell in first_cells for name in ROW_NAMES.findall(cell)}


def constants_of_the_scheduler() -> set[str]:
    """Return the numbers with a name in the modules that decide, estimate or hold state."""
    found: set[str] = set()
    for package in ("policy", "estimators", "state"):
        path = f"{locktide.scheduler.__path__[0]}/{package}"
        for module in pkgutil.iter_modules([path]):
            values = vars(importlib.import_module(f"locktide.scheduler.{package}.{module.name}"))
            numbers = {name for name, value in values.items() if type(value) in (int, float)}
            found |= {name for name in numbers if name.isupper()}
    return found


def test_the_page_has_a_row_for_each_constant_and_for_nothing_else() -> None:
    """A constant was renamed, and its row went on to describe a name that nobody finds in the code.

    Whoever wants to change a number at night looks for its row first: what was tried, and with what result.
    Each constant must have its row, and each row its constant; the share that the dispatcher sets is in
    another package.
    """
    settings = {"SLOW_START_MARGIN"}
    elsewhere = {"TRACEBACK_LINES"}  # how much of a traceback is reported; it decides nothing
    assert names_on_the_page() - settings == constants_of_the_scheduler() - elsewhere
