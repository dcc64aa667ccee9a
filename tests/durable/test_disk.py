"""Storage in a directory, which only one process may use at a time."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from durable_helpers import ROOT

from locktide.durable.disk import DirectoryStorage
from locktide.durable.errors import DirectoryInUseError
from locktide.durable.log.write_ahead_log import WriteAheadLog

OPEN_LOG = """
import sys
from pathlib import Path
from locktide.durable.disk import DirectoryStorage
from locktide.durable.log.write_ahead_log import WriteAheadLog
WriteAheadLog(DirectoryStorage(Path(sys.argv[1])), 1).open()
"""


def test_second_dispatcher_is_refused_the_directory(tmp_path: Path) -> None:
    """Guard against two dispatchers that append to the same log and resume each other's jobs.

    An operator starts a second dispatcher with the directory of a running one. The start must be refused and
    change no file, in another process as well as in the same one. After the first has stopped it must
    succeed.
    """
    first = WriteAheadLog(DirectoryStorage(tmp_path), 1 << 20)
    first.open()
    files = sorted(tmp_path.iterdir())
    second = subprocess.run(
        [sys.executable, "-c", OPEN_LOG, str(tmp_path)], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert "in use by another dispatcher" in second.stderr and sorted(tmp_path.iterdir()) == files
    with pytest.raises(DirectoryInUseError):
        WriteAheadLog(DirectoryStorage(tmp_path), 1 << 20).open()
    first.close()
    WriteAheadLog(DirectoryStorage(tmp_path), 1 << 20).open()
