"""A dispatcher as a process of its own: its signals, its start and its exit."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from helpers import TAKEN, begin, call, submit


def test_process_serves_and_at_sigterm_finishes_and_exits_with_0(tmp_path: Path) -> None:
    """A process is sent SIGTERM with requests open.

    It must accept connections for a while longer, give each request its response, end idle connections, and
    exit with 0.
    """
    process, address, listening = begin(tmp_path)
    try:
        with socket.create_connection(address) as asking:
            asking.sendall(b"GET /health/ready HTTP/1.1\r\nHost: us\r\n\r\n")
            assert asking.recv(100).startswith(b"HTTP/1.1 200 ")
            waiting = socket.create_connection(address)
            waiting.sendall(submit(Req_Id="a", Req_Deadline="9000m"))
            worker, _ = listening.accept()
            assert b"Req-Id: a\r\n" in worker.recv(65536)
            worker.sendall(TAKEN % 0)
            process.send_signal(signal.SIGTERM)
            late = socket.create_connection(address)  # new ones go on coming for a while
            late.sendall(submit(Req_Id="b", Req_Deadline="9000m"))
            assert b"Req-Id: b\r\n" in worker.recv(65536)  # on the connection that a brought up
            worker.sendall(TAKEN % 0)
            assert asking.recv(100) == b""  # was between submissions
        with socket.create_connection(address) as back:
            for client, name, result in [(late, "b", "cheese"), (waiting, "a", "milk")]:
                back.sendall(call(id=name, state="done", result=result, **{"from": "w0"}))
                assert back.recv(100).startswith(b"HTTP/1.1 204 ")
                answer = b""
                while piece := client.recv(1000):  # to its end: it is closed after its answer
                    answer += piece
                assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"\r\n\r\n" + result.encode())
        assert process.wait(10) == 0
    finally:
        process.kill()
        listening.close()


def test_sighup_follows_the_new_discovery_address_and_a_faulty_file_changes_nothing(tmp_path: Path) -> None:
    """The settings file changes while the process serves.

    At SIGHUP it must follow the list at the new address, which has versions of its own. A faulty file must
    change nothing and be named in the log.
    """
    process, _, worker = begin(tmp_path, discovery="127.0.0.1:9")  # the variable names it, too
    path, log = tmp_path / "start.json", process.stderr
    whole = json.loads(path.read_text())
    assert log is not None
    try:
        for version in (41, 7):  # the second address has versions of its own, which are lower
            with socket.create_server(("127.0.0.1", 0)) as agent:
                agent.settimeout(10)
                whole["discovery"] = "{}:{}".format(*agent.getsockname())
                path.write_text(json.dumps(whole))
                process.send_signal(signal.SIGHUP)
                calling = None
                for asked in (b" ", b"?after=%d&" % version):
                    calling = calling or agent.accept()[0]
                    assert calling.recv(1000).startswith(b"GET /registry/instances" + asked)
                    body = json.dumps({"rev": version, "all": True, "targets": []}).encode()
                    calling.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        path.write_text(json.dumps({**whole, "settings": {}}))
        process.send_signal(signal.SIGHUP)
        while b"settings.ServiceGrades: is missing" not in (line := log.readline()):
            assert line
        process.send_signal(signal.SIGTERM)
        while b"stopping" not in log.readline():
            pass
        for _ in range(20):
            process.send_signal(signal.SIGHUP)
            time.sleep(0.01)
        assert process.wait(10) == 0
    finally:
        process.kill()
        worker.close()


def test_faulty_settings_at_start_are_one_line_and_exit_2() -> None:
    """A traceback hides the key of a faulty setting from whoever starts the process.

    The fault must be one line that names the key, and the exit code 2.
    """
    run = subprocess.run(
        [sys.executable, "-m", "locktide"],
        capture_output=True,
        text=True,
        env={**os.environ, "GW_CONFIG": "/nowhere"},
        check=False,
    )
    assert run.returncode == 2 and re.fullmatch(r"locktide: GW_CONFIG: .*\n", run.stderr)
