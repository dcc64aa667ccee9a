"""The check of KNOWN-RED.txt that CI runs."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
COMPLETE = "test: {test}\ncommand: pytest, seed 3\nseen: failed once\n  in ten\nissue: Some open issue\n"


def run_known_red(command: str, file: Path) -> subprocess.CompletedProcess[str]:
    """Run the check in the folder of the file, as CI does in the repository."""
    arguments = [sys.executable, str(ROOT / ".ci" / "known_red.py"), command, file.name]
    return subprocess.run(arguments, cwd=file.parent, capture_output=True, text=True, check=False)


def write_list(folder: Path, text: str) -> Path:
    file = folder / "KNOWN-RED.txt"
    file.write_text(text, encoding="utf-8")
    return file


def test_the_file_of_the_repository_is_complete_and_printed() -> None:
    result = run_known_red("check", ROOT / "KNOWN-RED.txt")
    assert result.returncode == 0, result.stdout
    assert (ROOT / "KNOWN-RED.txt").exists() == ("known red:" in result.stdout)


def test_no_file_is_no_known_failure(tmp_path: Path) -> None:
    assert run_known_red("check", tmp_path / "KNOWN-RED.txt").returncode == 0
    assert run_known_red("cases", tmp_path / "KNOWN-RED.txt").stdout == ""


@pytest.mark.parametrize("field", ["test", "command", "seen", "issue"])
def test_an_entry_that_lacks_a_field_fails(tmp_path: Path, field: str) -> None:
    lines = COMPLETE.format(test="tests/test_a.py::test_b").replace("\n  in ten", "").splitlines()
    text = "\n".join(line for line in lines if not line.startswith(field))
    result = run_known_red("check", write_list(tmp_path, text))
    assert result.returncode == 1
    assert field in result.stdout


@pytest.mark.parametrize("passes", [True, False])
def test_a_listed_case_has_to_fail(tmp_path: Path, passes: bool) -> None:
    """A case stays on the list after its fault was fixed.

    From then on CI would ignore its failures, and nobody would notice when the fault comes back. A listed
    case that passes therefore fails the check; one that fails as listed does not.
    """
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_a.py").write_text(f"def test_b():\n    assert {passes}\n", encoding="utf-8")
    file = write_list(tmp_path, "# a comment\n\n" + COMPLETE.format(test="tests/test_a.py::test_b"))
    assert run_known_red("cases", file).stdout.split() == ["tests/test_a.py::test_b"]
    result = run_known_red("rerun", file)
    assert (result.returncode == 1) == passes
    assert ("passes again" in result.stdout) == passes


def test_a_listed_case_that_does_not_exist_fails(tmp_path: Path) -> None:
    result = run_known_red("rerun", write_list(tmp_path, COMPLETE.format(test="tests/test_a.py::test_b")))
    assert result.returncode == 1
    assert "did not run" in result.stdout
