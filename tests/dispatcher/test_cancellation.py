"""Cancellation: an accepted attempt ends by a callback, or once its worker is notified."""

from __future__ import annotations

import asyncio
import json
import os
import select
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from helpers import (
    ACCEPTED_RESPONSE,
    DispatcherHarness,
    ManualExchange,
    free_address,
    run_with_dispatcher,
    submit_bytes,
    submit_request,
    wait_until_serving,
)

from locktide.dispatcher.cancellation_delivery import IMMEDIATE_SENDS, CancellationDelivery
from locktide.scheduler.commands import CancelAttempt
from locktide.scheduler.types import AttemptOutcome
from locktide.simulation.model import scenario as script
from locktide.simulation.run import in_virtual_time, with_seed
from locktide.simulation.virtual_time.loop import VirtualLoop

ZONE_LOST = Path(__file__).parents[2] / "deploy/scenarios/zone-lost.toml"


async def start_and_cancel(
    harness: DispatcherHarness, accepted: bool = True, connect_within: int = 5_000
) -> ManualExchange:
    harness.dispatcher.settings.connect_within = connect_within
    harness.dispatcher.submit(submit_request("a"))
    attempt = await harness.sent_attempt("a")
    if accepted:
        attempt.respond(202)
    await harness.run_pending_tasks()
    harness.dispatcher.cancellations.cancel_attempt(CancelAttempt("a", 0))
    await harness.run_pending_tasks()
    return attempt


async def fail_sends(harness: DispatcherHarness, times: int) -> None:
    for _ in range(times):
        async with asyncio.timeout(10.0):  # if nothing is sent any more, the test fails instead of hanging
            while harness.exchanges[-1].result.done():
                await asyncio.sleep(0.001)
        assert harness.exchanges[-1].build() is not None
        harness.exchanges[-1].end(AttemptOutcome.NO_CONNECTION)
        await harness.run_pending_tasks()


def test_accepted_attempt_does_not_end_while_its_worker_cannot_be_reached() -> None:
    """A zone was cut off after a worker in it had accepted a job.

    The attempt was cancelled at 23.4 s over two connections that could not be established, and the job was
    sent to another worker at 33.5 s: a second copy. While the worker cannot be reached, the attempt must not
    end; the cancellation is repeated until the worker replies.
    """

    async def run() -> None:
        harness = DispatcherHarness()
        await start_and_cancel(harness, connect_within=40_000)
        await fail_sends(harness, 8)
        while harness.exchanges[-1].result.done():
            await asyncio.sleep(0.001)
        assert (
            harness.outcomes() == []
            and len(harness.exchanges) == 10
            and harness.exchanges[-1].on_new_connection
        )
        harness.exchanges[-1].respond(404)
        await harness.run_pending_tasks()
        assert harness.outcomes() == [AttemptOutcome.CANCELLED]

    # In virtual time, as a process that is held up for the timeout of a send would end that send early.
    VirtualLoop().run_until_complete(run())  # type: ignore[abstract]


def test_cancellation_on_an_idle_connection_without_a_reply_is_sent_again_on_a_new_one() -> None:
    """A cancellation is written to an idle connection whose peer may be gone: without a reply it proves
    nothing and must be sent again on a new connection. A new connection that is established proves that the
    worker can be reached, and a hanging process reads the message before it continues; so the attempt ends
    without a reply then.
    """

    async def run() -> None:
        harness = DispatcherHarness()
        await start_and_cancel(harness)
        idle_send = harness.exchanges[-1]
        idle_send.on_sent()
        while harness.exchanges[-1] is idle_send:
            await asyncio.sleep(0.001)
        assert not idle_send.on_new_connection and idle_send.is_cancelled and harness.outcomes() == []
        # Sent on a new connection, it counts as delivered: a hanging process reads it before it continues.
        assert harness.exchanges[-1].on_new_connection
        harness.exchanges[-1].on_sent()
        while not harness.outcomes():
            await asyncio.sleep(0.001)
        assert harness.outcomes() == [AttemptOutcome.CANCELLED]

    asyncio.run(run())


def test_before_the_202_the_attempt_ends_after_the_immediate_sends() -> None:
    """Before the 202, closing the connection cancels the job already, and the cancellation is only for a 202
    that is on its way. An unreachable worker must not delay the retry of the request then: the attempt ends
    after the immediate sends.
    """

    async def run() -> None:
        harness = DispatcherHarness()
        attempt = await start_and_cancel(harness, accepted=False)
        assert attempt.is_cancelled
        await fail_sends(harness, IMMEDIATE_SENDS)
        assert harness.outcomes() == [AttemptOutcome.CANCELLED]

    asyncio.run(run())


def test_callback_or_deadline_ends_the_delivery() -> None:
    """The cancellation of an accepted attempt is repeated for as long as the worker cannot be reached.

    Once a callback has ended the attempt, or the deadline has passed, nothing depends on the cancellation any
    more. The sends must end then: otherwise each lost worker would occupy a task and a descriptor forever.
    """

    async def run() -> None:
        for state in ("done", ""):
            harness = DispatcherHarness()
            attempt = await start_and_cancel(harness)
            await fail_sends(harness, IMMEDIATE_SENDS)
            if state:
                harness.receive_callback("a", attempt.worker, state, b"result")
            else:
                harness.dispatcher.timeouts.time_out(harness.dispatcher.registry.open_requests["a"])
            await harness.run_pending_tasks()
            assert harness.outcomes() == [AttemptOutcome.DONE if state else AttemptOutcome.TIMED_OUT]
            for _ in range(2):
                await asyncio.sleep(0.06)
                for exchange in harness.exchanges:
                    if exchange.on_new_connection and not exchange.result.done():
                        exchange.end(AttemptOutcome.NO_CONNECTION)
            count = sum(attempt.on_new_connection for attempt in harness.exchanges)
            await asyncio.sleep(0.06)
            assert sum(attempt.on_new_connection for attempt in harness.exchanges) == count

    asyncio.run(run())


@pytest.mark.parametrize("accepted", [False, True])
def test_cancelled_attempt_ends_once_its_worker_has_replied_before_and_after_the_202(accepted: bool) -> None:
    """A client disconnects while its job is on its way to a worker, and the 202 may be on its way back.

    A job that was sent to another worker before this worker's reply was a second copy. Before and after the
    202, the attempt must end only once the worker has replied to the cancellation.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        harness.dispatcher.submit(submit_request("b/1"))
        attempt = await harness.sent_attempt("b/1")
        if accepted:
            attempt.respond(202)
        await harness.run_pending_tasks()
        harness.dispatcher.client_disconnected(harness.dispatcher.registry.open_requests["b/1"].message)
        await harness.run_pending_tasks()
        assert attempt.is_cancelled != accepted and harness.outcomes() == []
        message = harness.exchanges[-1].build()
        assert message is not None
        assert (message.method, message.target) == ("DELETE", "/jobs/b%2F1")
        harness.exchanges[-1].respond(204)
        await harness.run_pending_tasks()
        assert (
            harness.outcomes() == [AttemptOutcome.CANCELLED] and not harness.dispatcher.registry.open_requests
        )

    run_with_dispatcher(scenario)


def test_attempt_cancelled_before_its_first_byte_was_never_sent() -> None:
    """A client disconnects while the attempt for its request waits for a connection.

    No worker can have the job, so there is nothing to cancel. The attempt must end as never sent at once, and
    the request must be removed.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        harness.dispatcher.submit(submit_request("a"))
        await harness.started_attempt("a")
        harness.dispatcher.client_disconnected(harness.dispatcher.registry.open_requests["a"].message)
        await harness.run_pending_tasks()
        assert (
            harness.outcomes() == [AttemptOutcome.NEVER_SENT]
            and not harness.dispatcher.registry.open_requests
        )

    run_with_dispatcher(scenario)


def test_silent_worker_does_not_hold_up_a_cancellation(monkeypatch: pytest.MonkeyPatch) -> None:
    """A worker accepts a job and the connection for its cancellation, and replies to nothing.

    Without a timeout, the wait for its reply would keep the request and a task until the deadline. The send
    must time out, and a cancellation sent on a new connection counts as delivered.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        harness.dispatcher.settings.connect_within = 1000
        harness.dispatcher.submit(submit_request("a"))
        (await harness.sent_attempt("a")).respond(202)
        await harness.run_pending_tasks()
        harness.dispatcher.client_disconnected(harness.dispatcher.registry.open_requests["a"].message)
        while harness.dispatcher.registry.open_requests:
            await asyncio.sleep(0.005)
        await harness.run_pending_tasks()  # the scheduler has the outcome in the next loop turn
        assert harness.outcomes() == [AttemptOutcome.CANCELLED]

    run_with_dispatcher(scenario)


def test_cancellation_whose_connection_breaks_is_sent_again_before_the_attempt_ends() -> None:
    """In a fault scenario in virtual time, a worker had not received its cancellation, and the next attempt
    was a second copy. A connection that breaks does not prove the delivery. The cancellation must be sent
    again until the worker has replied.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        harness.dispatcher.submit(submit_request("a"))
        (await harness.sent_attempt("a")).respond(202)
        await harness.run_pending_tasks()
        harness.dispatcher.client_disconnected(harness.dispatcher.registry.open_requests["a"].message)
        await harness.run_pending_tasks()
        for outcome in (AttemptOutcome.CONNECTION_CLOSED, AttemptOutcome.RESET):
            harness.exchanges[-1].end(outcome)
            await harness.run_pending_tasks()
            assert harness.outcomes() == [] and harness.exchanges[-1].build() is not None
        assert len(harness.exchanges) == 4
        harness.exchanges[-1].respond(200)
        await harness.run_pending_tasks()
        assert (
            harness.outcomes() == [AttemptOutcome.CANCELLED] and not harness.dispatcher.registry.open_requests
        )

    run_with_dispatcher(scenario)


def respond_once(listener: socket.socket, status: bytes) -> str:
    """Read one message, send the response and close; return the first line of the message."""
    listener.settimeout(5.0)
    connection, _ = listener.accept()
    with connection:
        connection.settimeout(5.0)
        data = connection.recv(65536)
        connection.sendall(status)
        return data.decode().splitlines()[0]


def test_on_sockets_no_retry_before_a_worker_that_is_back_is_notified(tmp_path: Path) -> None:
    """A worker process accepts a job, cannot be reached for a while, and then still runs the job.

    If the job were sent to another worker meanwhile, it would run twice at the same time. On real sockets,
    the retry must wait until the worker can be reached again and has replied to the cancellation.
    """
    listen_address, workers = free_address(), [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
    addresses = ["{}:{}".format(*first_worker.getsockname()) for first_worker in workers]
    service_class = {"Name": "view", "Semantics": "free", "SoftLimit": 400.0, "TimeLimit": 9000.0}
    path = tmp_path / "start.json"
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": "{}:{}".format(*listen_address),
                "discovery": "127.0.0.1:9",
                "seed": "9",
                "known": {
                    "rev": 1,
                    "all": True,
                    "targets": [
                        {"uid": f"w{number}", "endpoint": worker_address, "state": "active"}
                        for number, worker_address in enumerate(addresses)
                    ],
                },
                "settings": {
                    "ServiceGrades": [service_class],
                    "Domain": {"TellsStart": True},
                    "Ceilings": {"MaxDispatches": 4, "MayCancel": True, "ConnectTimeout": 100.0},
                },
            }
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "locktide"],
        stderr=subprocess.PIPE,
        env={**os.environ, "GW_CONFIG": str(path), "GW_DISCOVERY": ""},
    )
    try:
        wait_until_serving(process)
        with socket.create_connection(listen_address) as client:
            client.sendall(submit_bytes(Req_Deadline="8000m"))
            first_worker = workers[select.select(workers, [], [], 5.0)[0][0] is workers[1]]
            other_worker = workers[first_worker is workers[0]]
            connection, _ = first_worker.accept()
            connection.setblocking(True)
            assert connection.recv(65536).startswith(b"POST /view")
            connection.sendall(ACCEPTED_RESPONSE % 0)
            worker_address = first_worker.getsockname()
            first_worker.close()  # the worker cannot be reached any more
            connection.close()
            other_worker.settimeout(2.0)
            with pytest.raises(TimeoutError):
                other_worker.accept()
            with socket.create_server(worker_address) as restarted_worker:
                assert respond_once(restarted_worker, b"HTTP/1.1 204 No Content\r\n\r\n").startswith(
                    "DELETE /jobs/a1"
                )
                assert respond_once(other_worker, ACCEPTED_RESPONSE % 0).startswith("POST /view")
    finally:
        process.kill()
        process.wait()
        for first_worker in workers:
            first_worker.close()


@pytest.mark.parametrize("seed", [1, 2])
def test_zone_lost_and_back_gets_no_second_copies(seed: int) -> None:
    """Half of the fleet is cut off and then returns with the jobs that it had accepted.

    If silence ended an attempt, its retry would run beside it. No rule may be violated in the whole run, and
    all workers must be up at its end.
    """
    report = in_virtual_time(with_seed(script.load(ZONE_LOST), seed)).outcome
    assert not any(report["rules"].values()), report["broken"][:3]
    assert min(sample["up"] for sample in report["over_time"]) == 6 and report["over_time"][-1]["up"] == 12


def test_checker_counts_copies_if_silence_ended_attempts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Check that the test above can fail.

    If each cancellation counts as delivered at once, the lost zone must lead to second copies that the
    checker counts.
    """

    async def claim_delivery(*_: object) -> bool:
        return True

    monkeypatch.setattr(CancellationDelivery, "deliver", claim_delivery)
    assert in_virtual_time(script.load(ZONE_LOST)).outcome["rules"]["copies"] > 0
