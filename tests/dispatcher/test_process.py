"""A dispatcher in its own process: signals, start and exit."""

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

from helpers import ACCEPTED_RESPONSE, callback_bytes, start_dispatcher_process, submit_bytes


def test_process_serves_and_at_sigterm_finishes_and_exits_with_0(tmp_path: Path) -> None:
    """A process gets SIGTERM while requests are open.

    It must accept connections for a while longer, send each request its response, end idle connections, and
    exit with 0.
    """
    process, address, listening = start_dispatcher_process(tmp_path)
    try:
        with socket.create_connection(address) as idle_client:
            idle_client.sendall(b"GET /health/ready HTTP/1.1\r\nHost: us\r\n\r\n")
            assert idle_client.recv(100).startswith(b"HTTP/1.1 200 ")
            waiting_client = socket.create_connection(address)
            waiting_client.sendall(submit_bytes(Req_Id="a", Req_Deadline="9000m"))
            worker, _ = listening.accept()
            assert b"Req-Id: a\r\n" in worker.recv(65536)
            worker.sendall(ACCEPTED_RESPONSE % 0)
            process.send_signal(signal.SIGTERM)
            late_client = socket.create_connection(address)  # clients open new connections for a while
            late_client.sendall(submit_bytes(Req_Id="b", Req_Deadline="9000m"))
            assert b"Req-Id: b\r\n" in worker.recv(65536)  # on the connection that was opened for request a
            worker.sendall(ACCEPTED_RESPONSE % 0)
            assert idle_client.recv(100) == b""  # was idle
        with socket.create_connection(address) as callback_client:
            for client, name, result in [(late_client, "b", "cheese"), (waiting_client, "a", "milk")]:
                callback_client.sendall(
                    callback_bytes(id=name, state="done", result=result, **{"from": "w0"})
                )
                assert callback_client.recv(100).startswith(b"HTTP/1.1 204 ")
                response = b""
                while piece := client.recv(1000):  # to its end: the connection is closed after the response
                    response += piece
                assert response.startswith(b"HTTP/1.1 200 ") and response.endswith(
                    b"\r\n\r\n" + result.encode()
                )
        assert process.wait(10) == 0
    finally:
        process.kill()
        listening.close()


def test_sighup_follows_the_new_discovery_address_and_a_faulty_file_changes_nothing(tmp_path: Path) -> None:
    """The settings file changes while the process serves.

    At SIGHUP the process must follow the list at the new address, which counts versions on its own. A faulty
    file must change nothing, and its fault must be logged.
    """
    # The address of the discovery service is also set by the environment variable.
    process, _, worker = start_dispatcher_process(tmp_path, discovery="127.0.0.1:9")
    path, log = tmp_path / "start.json", process.stderr
    settings = json.loads(path.read_text())
    assert log is not None
    try:
        for version in (41, 7):  # the versions at the second address are lower
            with socket.create_server(("127.0.0.1", 0)) as agent:
                agent.settimeout(10)
                settings["discovery"] = "{}:{}".format(*agent.getsockname())
                path.write_text(json.dumps(settings))
                process.send_signal(signal.SIGHUP)
                connection = None
                for query in (b" ", b"?after=%d&" % version):
                    connection = connection or agent.accept()[0]
                    assert connection.recv(1000).startswith(b"GET /registry/instances" + query)
                    body = json.dumps({"rev": version, "all": True, "targets": []}).encode()
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        path.write_text(json.dumps({**settings, "settings": {}}))
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
    """A traceback would hide the key of a faulty setting from the operator who starts the process.

    The error must be one line that names the key, and the exit code must be 2.
    """
    result = subprocess.run(
        [sys.executable, "-m", "locktide"],
        capture_output=True,
        text=True,
        env={**os.environ, "GW_CONFIG": "/nowhere"},
        check=False,
    )
    assert result.returncode == 2 and re.fullmatch(r"locktide: GW_CONFIG: .*\n", result.stderr)


def test_process_stopped_as_sigterm_comes_answers_late_requests_before_the_earliest_kill(
    tmp_path: Path,
) -> None:
    """A process got no processor for 0.5 s as SIGTERM came, and counted its time from the end of the hold.

    Requests that came 0.9 s after SIGTERM were due 0.3 s after the earliest kill, 3.7 s after SIGTERM. They
    must have their responses by then.
    """
    process, address, listening = start_dispatcher_process(tmp_path)
    try:
        process.send_signal(signal.SIGSTOP)
        time.sleep(0.05)
        signalled_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        clients = [socket.create_connection(address) for _ in range(3)]
        time.sleep(0.45)
        process.send_signal(signal.SIGCONT)
        time.sleep(signalled_at + 0.9 - time.monotonic())
        for number, client in enumerate(clients):
            client.sendall(submit_bytes(Req_Id=f"late{number}", Req_Deadline="9000m"))
        for client in clients:
            client.settimeout(signalled_at + 3.7 - time.monotonic())
            assert client.recv(100).startswith(b"HTTP/1.1 ")
            client.close()
    finally:
        process.kill()
        listening.close()
