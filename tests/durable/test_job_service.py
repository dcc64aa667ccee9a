"""The job service over HTTP, as started by `locktide serve`, and the commands of `locktide jobs`."""

from __future__ import annotations

import http.client
import json
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from durable_helpers import ROOT, ServedInstallation
from helpers import free_address

from locktide.cli.jobs import export_job
from locktide.durable.disk import DirectoryStorage
from locktide.durable.jobs import JobTable
from locktide.durable.log.reader import read_log

Address = tuple[str, int]
JsonResponse = tuple[int, dict[str, str], bytes]


def send(address: Address, method: str, path: str, body: str = "", **header_fields: str) -> JsonResponse:
    """Send a request; return the status, the headers by lower-case name, and the body of the response."""
    host, port = address
    connection = http.client.HTTPConnection(host, port, timeout=10)
    headers = {name.replace("_", "-"): value for name, value in header_fields.items()}
    connection.request(method, path, body, headers)
    response = connection.getresponse()
    data = response.read()
    connection.close()
    return response.status, {name.lower(): value for name, value in response.getheaders()}, data


def submit(address: Address, request_id: str, key: str, body: str = "milk") -> JsonResponse:
    """Submit a job whose client does not wait for the final response."""
    return send(
        address,
        "POST",
        "/record",
        body,
        Req_Id=request_id,
        Req_Kind="record",
        Req_Deadline="9000m",
        Idempotency_Key=key,
        Prefer="respond-async",
    )


def run_cli(*arguments: object) -> subprocess.CompletedProcess[str]:
    """Run a locktide command and return its result."""
    return subprocess.run(
        [sys.executable, "-m", "locktide.cli.main", *map(str, arguments)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


INSTALLATION = """
[serve]
listen = "{listen}"
roster = "127.0.0.1:9"
[durable]
on = true
directory = "{directory}"
grades = ["record"]
[[known]]
uid = "w0"
endpoint = "{worker}"
[[grade]]
name = "record"
effect = "numbered"
limit = 9.0
"""


def test_jobs_are_accepted_queried_and_recovered_after_a_kill(
    tmp_path: Path, installation: ServedInstallation
) -> None:
    """Guard against an acknowledged job that is lost when the dispatcher is killed and restarted.

    The dispatcher is killed while its only worker has a job and sends no report. Clients must still find the
    job, get the same job for the same key, and get the result that the worker reports to the new process
    under the old lease. A report of a worker without a lease must have no effect. The output of `locktide
    jobs` must agree, also while the dispatcher runs.
    """
    address = free_address()
    silent_worker = socket.create_server(("127.0.0.1", 0))  # accepts connections and sends nothing
    worker_host, worker_port = silent_worker.getsockname()
    directory = tmp_path / "jobs"
    installation.path.write_text(
        INSTALLATION.format(
            listen=f"{address[0]}:{address[1]}", worker=f"{worker_host}:{worker_port}", directory=directory
        )
    )
    process = installation.start()
    status, headers, _ = submit(address, "a1", "k1")
    assert (status, headers["location"], headers["preference-applied"]) == (202, "/jobs/a1", "respond-async")
    assert headers["retry-after"]
    status, headers, body = submit(address, "a2", "k1")  # a repeated submission is the same job
    assert (status, headers["location"]) == (202, "/jobs/a1")
    assert submit(address, "a3", "k1", body="other")[0] == 422
    assert send(address, "GET", "/jobs/nobody")[0] == 404
    status, _, body = send(address, "GET", "/jobs/a1")
    assert status == 202 and json.loads(body)["state"] == "open"
    assert list(json.loads(body)) == ["id", "state", "dispatches"]  # clients depend on these keys
    refused = run_cli("serve", installation.path)
    assert refused.returncode == 1 and "in use by another dispatcher" in refused.stderr
    process.send_signal(signal.SIGKILL)
    process.wait()
    process = installation.start()
    status, headers, body = send(address, "GET", "/jobs/a1")
    assert status == 202, body

    def report_done(worker: str) -> int:
        report = {"id": "a1", "from": worker, "state": "done", "result": "collected"}
        return send(address, "POST", "/callback", json.dumps(report))[0]

    assert report_done("w9") == 204  # w9 has no lease: the report is recorded without effect
    assert send(address, "GET", "/jobs/a1")[0] == 202
    assert report_done("w0") == 204  # under a lease of the killed process
    status, headers, body = send(address, "GET", "/jobs/a1")
    assert (status, headers["job-state"], body) == (200, "done", b"collected")
    status, headers, body = submit(address, "a4", "k1")  # a repeated submission with the same key
    assert (status, headers["location"], body) == (200, "/jobs/a1", b"collected")
    assert submit(address, "b1", "k2")[0] == 202
    listing = run_cli("jobs", "list", directory)  # while the dispatcher runs
    assert [line.split()[2] for line in listing.stdout.splitlines()] == ["done", "open"]
    stopped_at = time.monotonic()
    process.terminate()
    # An open job does not delay the shutdown.
    assert process.wait(timeout=20) == 0 and time.monotonic() - stopped_at < 5
    for subcommand in ("verify", "export"):
        result = run_cli("jobs", subcommand, directory)
        assert result.returncode == 0 and result.stdout and "DAMAGED" not in result.stdout
    table = JobTable()
    read_log(DirectoryStorage(directory), table)
    exported = export_job(table.jobs["a1"])
    assert exported["state"] == "done" and [report["worker"] for report in exported["late_words"]] == ["w9"]
