"""Tests and files of the repository that comments and pages name have to exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
PAGES = ["README.md", "CONTRIBUTING.md", "docs/architecture.md", "docs/capacity.md", "docs/oncall.md"]
PAGES += ["docs/design/endings.md", "docs/design/serving.md"]
#: The name of a test in a text: `test_x` outside a path and without a file suffix.
NAMED_TEST = re.compile(r"(?<![/\w.])test_\w+(?![\w./])")
NAMED_FILE = re.compile(r"(?<![\w/.-])(?:tests|docs|deploy)/[\w/-]+\.(?:py|md|toml)")


def defined_tests() -> set[str]:
    """Return the names of all test functions and test modules."""
    names = set()
    for path in ROOT.glob("tests/**/*.py"):
        names |= set(re.findall(r"def (test_\w+)\(", path.read_text(encoding="utf-8")))
        names.add(path.stem)
    return names


def sources() -> list[Path]:
    return [*sorted(ROOT.glob("locktide/**/*.py")), *[ROOT / page for page in PAGES]]


def test_each_test_that_code_or_a_page_names_exists() -> None:
    """A comment on a guard named the test that covers it, and the test was renamed.

    An operator in an incident then looks for a test that does not exist, and cannot tell whether the guard is
    covered. Each name must be that of a test.
    """
    known = defined_tests()
    missing = {
        f"{path.relative_to(ROOT)}: {name}"
        for path in sources()
        for name in NAMED_TEST.findall(path.read_text(encoding="utf-8"))
        if name not in known
    }
    assert not missing


def test_each_file_that_code_or_a_page_names_exists() -> None:
    missing = {
        f"{path.relative_to(ROOT)}: {name}"
        for path in sources()
        for name in NAMED_FILE.findall(path.read_text(encoding="utf-8"))
        if not (ROOT / name).exists() and not (path.parent / name).exists()
    }
    assert not missing


@pytest.mark.parametrize("page", PAGES)
def test_each_link_of_a_page_leads_to_a_file(page: str) -> None:
    path = ROOT / page
    links = re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", path.read_text(encoding="utf-8"))
    assert [link for link in links if not (path.parent / link).exists()] == []
