"""Series of signals to a process: from its start to its exit, none may end it early or make it hang."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest
from helpers import free_address

REPOSITORY = Path(__file__).resolve().parents[2]
SIGNAL_INTERVAL = 0.005  # seconds between two signals of a series
START_TIMEOUT = 20.0  # seconds for a start beside other load
#: Script that stops at the first call that blocks signals, and prints which slow modules are loaded by then.
PRINT_SLOW_IMPORTS = """
import runpy, signal, sys
def report(how, signals):
    print(signal.SIGHUP in signals, sorted({"asyncio", "click", "h11", "msgspec"} & set(sys.modules)))
    raise SystemExit(0)
signal.pthread_sigmask = report
sys.argv = ["locktide", "serve", "nowhere.toml"]
"""


def settings_file(folder: Path, address: tuple[str, int]) -> str:
    """Write a start file with one service class and a silent discovery; return its path."""
    path = folder / "start.json"
    host, port = address
    path.write_text(
        f'{{"name": "n0", "listen": "{host}:{port}", "discovery": "127.0.0.1:9", "seed": "9",'
        '"settings": {"ServiceGrades": [{"Name": "view", "Semantics": "free", "SoftLimit": 250.0,'
        '"TimeLimit": 9000.0}]}}'
    )
    return str(path)


def run_line() -> str:
    """Return the command line with which the platform starts a dispatcher, with the Python of this test."""
    line = tomllib.loads((REPOSITORY / "deploy" / "balancer.toml").read_text())["run"]
    assert isinstance(line, str) and ".venv/bin/python" in line
    return line.replace(".venv/bin/python", sys.executable)


@contextmanager
def process_of(command: list[str], config: str) -> Iterator[subprocess.Popen[bytes]]:
    process = subprocess.Popen(
        command, cwd=REPOSITORY, stderr=subprocess.DEVNULL, env={**os.environ, "GW_CONFIG": config}
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def is_ready(address: tuple[str, int]) -> bool:
    try:
        with socket.create_connection(address, timeout=1) as connection:
            connection.sendall(b"GET /health/ready HTTP/1.1\r\nHost: us\r\n\r\n")
            return connection.recv(100).startswith(b"HTTP/1.1 200 ")
    except OSError:
        return False


def signal_until_ready(
    process: subprocess.Popen[bytes], address: tuple[str, int], signal_number: signal.Signals | None
) -> None:
    """Send a signal, or none if None, repeatedly until the process is ready."""
    wait_until = time.monotonic() + START_TIMEOUT
    while not is_ready(address):
        assert process.poll() is None, process.returncode
        assert time.monotonic() < wait_until
        if signal_number is not None:
            process.send_signal(signal_number)
        time.sleep(SIGNAL_INTERVAL)


def wait_for_interpreter(process: subprocess.Popen[bytes]) -> None:
    """Wait until the shell of the run line has become Python."""
    wait_until = time.monotonic() + START_TIMEOUT
    python = Path(sys.executable).resolve()
    while Path(f"/proc/{process.pid}/exe").resolve() != python:
        assert time.monotonic() < wait_until


def test_reloads_from_the_first_moment_of_the_run_line_on_end_no_process(tmp_path: Path) -> None:
    """An operator's reload came right after a start, and SIGHUP ended the process with -1.

    The signal was blocked only after all imports, 0.4 s after the start. From the start of the interpreter
    on, no SIGHUP may end the process, and it must become ready and later exit with 0.
    """
    address = free_address()
    with process_of(["/bin/sh", "-c", run_line()], settings_file(tmp_path, address)) as process:
        wait_for_interpreter(process)
        signal_until_ready(process, address, signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert process.wait(START_TIMEOUT) == 0


@pytest.mark.parametrize("module", ["locktide", "locktide.cli.main"])
def test_signals_are_held_back_before_anything_that_takes_long_is_imported(module: str) -> None:
    """A SIGHUP in the first 0.8 s of `locktide serve` ended the process with -1 during its imports.

    The signals must be blocked before asyncio, click, h11 or msgspec are loaded.
    """
    code = f"{PRINT_SLOW_IMPORTS}\nrunpy.run_module({module!r}, run_name='__main__')"
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=REPOSITORY, capture_output=True, text=True, check=False
    )
    assert result.stdout == "True []\n", result.stderr


def test_script_of_the_command_line_holds_signals_back_before_it_loads_the_commands() -> None:
    """The same must hold for the console script, which an operator's service manager starts."""
    code = f"{PRINT_SLOW_IMPORTS}\nfrom locktide.cli.entry import main\nmain()"
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=REPOSITORY, capture_output=True, text=True, check=False
    )
    assert result.stdout == "True []\n", result.stderr
    script = tomllib.loads((REPOSITORY / "pyproject.toml").read_text())["project"]["scripts"]["locktide"]
    assert script == "locktide.cli.entry:main"


def test_commands_that_serve_nothing_still_end_by_signals() -> None:
    """If the signals stayed blocked, SIGINT or a closed terminal would not end a simulation."""
    code = "import sys; sys.argv = ['locktide', 'simulate', '--help']\n"
    code += "import locktide.cli.entry, signal\n"
    code += "locktide.cli.entry.block_signals_of_serve()\n"
    code += "print(signal.pthread_sigmask(signal.SIG_BLOCK, set()))"
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=REPOSITORY, capture_output=True, text=True, check=False
    )
    assert result.stdout == "set()\n", result.stderr


def test_sigterm_over_and_over_from_start_to_exit_ends_with_0(tmp_path: Path) -> None:
    """A supervisor may send SIGTERM repeatedly, also in the last moments of an exit.

    The event loop removes its signal handlers when it closes, so the second SIGTERM ended the process by
    signal, and an orderly shutdown counted as a crash.
    """
    address = free_address()
    with process_of([sys.executable, "-m", "locktide"], settings_file(tmp_path, address)) as process:
        signal_until_ready(process, address, None)
        wait_until = time.monotonic() + START_TIMEOUT
        while process.poll() is None:
            assert time.monotonic() < wait_until
            process.send_signal(signal.SIGTERM)
            time.sleep(SIGNAL_INTERVAL / 5)
        assert process.returncode == 0
