"""Check KNOWN-RED.txt, print it, and run the tests that it lists.

Each entry has the fields `test`, `command` (with its seed), `seen` and `issue`; entries are separated by
empty lines. A `test` of the form `tests/FILE.py::NAME` is a pytest case, which has to fail: one that passes
has been mended, and its entry must go.

Usage:
    known_red.py check FILE     exit with 1 if an entry is incomplete, else print the entries
    known_red.py cases FILE     print the pytest cases, one a line
    known_red.py rerun FILE     run each pytest case; exit with 1 if one passes
"""

from __future__ import annotations

import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

FIELDS = ("test", "command", "seen", "issue")
TESTS_FAILED = 1  # pytest's exit code where tests ran and some failed


class KnownRedError(Exception):
    """An entry that cannot be read or is incomplete."""


@dataclass(frozen=True)
class Entry:
    """One known failure.

    Attributes:
        test: a pytest case, or a run of another kind.
        command: the command that shows it, with its seed.
        seen: what was seen, how often, when.
        issue: the title of the open issue.
    """

    test: str
    command: str
    seen: str
    issue: str

    @property
    def is_pytest_case(self) -> bool:
        """Whether CI can run the test by itself."""
        return self.test.startswith("tests/") and "::" in self.test


def parse_entries(text: str) -> list[Entry]:
    """Return the entries of the file; lines that begin with # are comments, indented ones go on."""
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    blocks = [block for block in "\n".join(lines).split("\n\n") if block.strip()]
    return [_parse_entry(block) for block in blocks]


def _parse_entry(block: str) -> Entry:
    fields: dict[str, str] = {}
    name = ""
    for line in block.strip().splitlines():
        if line.startswith(" "):
            fields[name] = f"{fields.get(name, '')} {line.strip()}".strip()
            continue
        name, _, value = line.partition(":")
        fields[name] = value.strip()
    missing = [field for field in FIELDS if not fields.get(field)]
    unknown = [field for field in fields if field not in FIELDS]
    if missing or unknown:
        raise KnownRedError(f"entry {fields.get('test', block)!r}: missing {missing}, unknown {unknown}")
    return Entry(**fields)


def rerun(entries: list[Entry]) -> int:
    """Run each pytest case; return how many do not fail as listed."""
    wrong = 0
    for entry in entries:
        if not entry.is_pytest_case:
            continue
        command = [sys.executable, "-m", "pytest", "-q", "--no-header", "--tb=no", entry.test]
        code = subprocess.run(command, check=False, stdout=subprocess.DEVNULL).returncode
        if code != TESTS_FAILED:
            wrong += 1
            did_not_run = f"did not run (pytest exit code {code})"
            state = "passes again: remove its entry" if code == 0 else did_not_run
            print(f"known red: {entry.test} {state}")
    return wrong


def main(arguments: list[str]) -> int:
    """Carry out one of the three commands; return the exit code."""
    command, path = arguments
    try:
        entries = parse_entries(Path(path).read_text(encoding="utf-8")) if Path(path).exists() else []
    except KnownRedError as error:
        print(f"{path}: {error}")
        return 1
    if command == "cases":
        for entry in entries:
            if entry.is_pytest_case:
                print(entry.test)
    elif command == "rerun":
        return 1 if rerun(entries) else 0
    else:
        for entry in entries:
            print(f"known red: {entry.test}\n  {entry.command}\n  {entry.seen}\n  issue: {entry.issue}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
