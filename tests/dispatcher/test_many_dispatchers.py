"""Many dispatchers at once: behaviour that is safe for one and harmful if all of them show it."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from heapq import heappop, heappush
from typing import Any

import pytest
from helpers import (
    ROUND_INTERVAL,
    SLOW_START,
    CheckedScheduler,
    DispatcherHarness,
    endpoint_entry,
    free_address,
    scheduler_config,
    submit_request,
)

from locktide.config import start
from locktide.protocol import discovery, names
from locktide.scheduler.commands import SetTimer, WatchEndpoints
from locktide.scheduler.config import EndpointListConfig
from locktide.scheduler.events import EndpointListUpdate, Event, TimerFired
from locktide.scheduler.scheduler import Scheduler
from locktide.scheduler.types import AttemptOutcome, EndpointState, ListUpdateKind
from locktide.simulation.model import scenario as script
from locktide.simulation.model.discovery import CallCapacity
from locktide.simulation.run import in_virtual_time
from locktide.transport import endpoint_watch as watch_module
from locktide.transport.endpoint_watch import EndpointWatch
from locktide.transport.log import Log


@pytest.mark.parametrize("notified_within", [0, 6_000_000])
@pytest.mark.parametrize("seed", range(5))
def test_forty_dispatchers_that_start_together_all_get_the_list(seed: int, notified_within: int) -> None:
    """A release killed and restarted 28 of 40 dispatchers: all called discovery at once, again and again, and
    hardly one got the list. Each must get the list within 20 s, with fewer than 60 calls in all.
    """
    service = CallCapacity(150_000, 2_000_000)
    events: list[tuple[int, int, Event]] = []
    fleet = [
        Scheduler(seed * 100 + number, scheduler_config(4, 40, True, 0.0, has_live_ratings=True))
        for number in range(40)
    ]
    for scheduler in fleet:
        endpoint_list = replace(scheduler.config.current.endpoint_list, notified_within=notified_within)
        scheduler.config.current = replace(scheduler.config.current, endpoint_list=endpoint_list)
    for number in range(40):
        heappush(events, (0, number, EndpointListUpdate(ListUpdateKind.CACHED, [endpoint_entry("w")])))
    received_at: dict[int, int] = {}
    while events:
        now, number, event = heappop(events)
        if now > 40_000_000:
            break
        if type(event) is EndpointListUpdate and event.kind == ListUpdateKind.DELTA:
            received_at[number] = now
        for command in fleet[number].step(now, [event]):
            if type(command) is SetTimer:
                heappush(
                    events, (now + max(ROUND_INTERVAL, command.delay), number, TimerFired(command.timer_id))
                )
            elif command == WatchEndpoints(True):
                responded_at, succeeded = service.call(now)
                heappush(
                    events,
                    (
                        responded_at,
                        number,
                        EndpointListUpdate(
                            ListUpdateKind.DELTA if succeeded else ListUpdateKind.FETCH_FAILED, []
                        ),
                    ),
                )
    assert len(received_at) == 40 and max(received_at.values()) < 20_000_000
    assert service.call_count < 60, "the service gets more calls than needed"


@pytest.mark.parametrize(("warm", "cold", "requests_each"), [(30, 30, 3), (0, 10, 20)])
def test_forty_dispatchers_together_warm_up_new_workers_and_overload_none(
    warm: int, cold: int, requests_each: int
) -> None:
    """Six in ten workers were new and idle for seconds, because each was drawn for separately, while the old
    workers had queues of ten. The new workers must get their part, and even if all workers are new, all
    dispatchers together must use at most about half of the slow-start budget.
    """
    jobs_at = dict.fromkeys([f"cold{n}" for n in range(cold)], 0)
    for seed in range(40):
        checked = CheckedScheduler(seed, dispatcher_count=40)
        new_workers = [endpoint_entry(name, started_at=checked.now) for name in jobs_at]
        checked.update_endpoints(*new_workers, *[endpoint_entry(f"warm{n}") for n in range(warm)])
        for request_number in range(requests_each):
            checked.arrive(request_number, "close", work_hint=300_000)
            checked.pass_time(ROUND_INTERVAL)
        for request_number, attempt in checked.running_attempts():
            worker = checked.attempts[request_number][attempt]["worker"]
            if worker in jobs_at:
                jobs_at[worker] += 1
    # Number of such requests that a worker can take in a window: two slots, at 0.3 of their capacity.
    capacity = SLOW_START.overload_factor * SLOW_START.window * SLOW_START.initial_capacity * 2 / 300_000
    assert sum(jobs_at.values()) > 0.3 * min(cold * capacity, 40 * requests_each)
    assert sum(jobs_at.values()) <= 0.55 * cold * capacity and max(jobs_at.values()) <= capacity


def test_request_confined_to_a_lost_zone_waits_for_it_without_using_up_its_attempts() -> None:
    """Requests confined to a cell of a lost zone used up their three attempts in 4 ms and failed.

    They must wait for the zone, with a few attempts per second at each worker, and be done once it has
    returned.
    """
    checked = CheckedScheduler(dispatcher_count=40)
    config = checked.scheduler.config
    config.current = replace(config.current, retry=replace(config.current.retry, counts_unsent=False))
    names = ["w0", "w1", "w2"]
    checked.update_endpoints(*[endpoint_entry(name) for name in names])
    checked.arrive(1, "record")
    checked.end_attempt(1, 0, AttemptOutcome.RESET)
    failures = 0
    for _ in range(2_500_000 // ROUND_INTERVAL):
        for request_number, attempt in checked.running_attempts():
            failures += 1
            checked.end_attempt(request_number, attempt, AttemptOutcome.NO_CONNECTION)
        checked.pass_time(ROUND_INTERVAL)
    assert not checked.finished
    assert 3 < failures <= 3 * 11, "more than four attempts a second at a worker"
    warm = checked.now - SLOW_START.warmup
    checked.update_endpoints(
        *[endpoint_entry(name, started_at=warm) for name in names], kind=ListUpdateKind.DELTA
    )
    for _ in range(1_400_000 // ROUND_INTERVAL):
        checked.pass_time(ROUND_INTERVAL)
        for request_number, attempt in checked.running_attempts():
            checked.end_attempt(request_number, attempt, AttemptOutcome.DONE)
    assert checked.finished[1] == "done"


def test_on_sockets_only_attempts_that_were_sent_count_towards_the_limit() -> None:
    """On sockets, a connection that cannot be established fails within milliseconds.

    If such attempts counted towards the maximum attempts of a request, three unreachable workers would end it
    while it could still be sent. Only an attempt whose last byte was sent may count.
    """

    async def run() -> None:
        harness = DispatcherHarness()
        harness.dispatcher.submit(submit_request("a"))
        for number in range(3):  # the maximum attempts
            await harness.run_pending_tasks()
            assert len(harness.exchanges) == number + 1
            harness.exchanges[number].end(AttemptOutcome.NO_CONNECTION)
        await harness.run_pending_tasks()
        assert harness.dispatcher.registry.open_requests["a"].is_open, "rejected while it could still be sent"

    asyncio.run(run())


def polling_harness() -> DispatcherHarness:
    harness = DispatcherHarness()
    set_endpoint_list_config(harness, EndpointListConfig(True, 200_000))
    return harness


def set_endpoint_list_config(harness: DispatcherHarness, config: EndpointListConfig) -> None:
    harness.dispatcher.settings.endpoint_list = config
    active = harness.dispatcher.scheduler.config
    active.current = replace(active.current, endpoint_list=config)


async def start_agent(responses: list[bytes], targets: list[str]) -> asyncio.Server:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readline():
            if head.startswith(b"GET"):
                targets.append(head.split()[1].decode())
            if head == b"\r\n" and len(targets) <= len(responses):
                writer.write(responses[len(targets) - 1])
        writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", 0)


def list_response(version: int, is_snapshot: bool) -> bytes:
    body = json.dumps({"rev": version, "all": is_snapshot, "targets": []}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
AFTER = names.INSTANCES + "?after=%d&wait_ms=1000"


def test_where_the_list_is_polled_the_scheduler_times_the_calls() -> None:
    """After a failed call to discovery, all dispatchers repeated it every tenth of a second.

    If calls are work for a shared service, the scheduler must command each call. Once the whole list is there
    a call must fetch only the changes since its version.
    """

    async def run() -> None:
        harness = polling_harness()
        targets: list[str] = []
        dispatcher = harness.dispatcher
        listening = await start_agent([BUSY, list_response(2, True)], targets)
        dispatcher.settings.discovery = listening.sockets[0].getsockname()
        dispatcher.follower.watch(dispatcher.follower.follow_when_requested())
        await asyncio.sleep(0.01)
        assert not targets, "called before the scheduler requested it"
        dispatcher.follower.watch_requested.set()
        failed = EndpointListUpdate(ListUpdateKind.FETCH_FAILED, [])
        while not any(failed in events for _, events in harness.steps):
            await asyncio.sleep(0.002)
        assert targets == [names.INSTANCES] and not dispatcher.follower.watch_requested.is_set()
        while len(targets) < 3:  # the second after the delay that the scheduler chooses
            await asyncio.sleep(0.002)
        assert targets[1:] == [names.INSTANCES, AFTER % 2]
        for _ in range(1000):  # a limit only: the response to the second call arrives at once
            if not dispatcher.scheduler.endpoint_polling.failures:
                break
            await asyncio.sleep(0.002)
        failures = dispatcher.scheduler.endpoint_polling.failures
        assert failures == 0, "a response without changes must end the failures as well"
        assert dispatcher.follower.watch_task is not None
        dispatcher.follower.watch_task.cancel()
        listening.close()

    asyncio.run(run())


def test_polled_list_begins_with_the_whole_list_whatever_version_is_cached() -> None:
    """A dispatcher was restarted with another address of discovery, whose agent counts versions on its own.

    It asked there for what came after the cached version of the former agent, which was higher, and never
    heard of a drain that came before that (`review/10`).
    """

    async def run() -> None:
        harness = polling_harness()
        targets: list[str] = []
        listening = await start_agent([list_response(45, True)], targets)
        harness.dispatcher.settings.discovery = listening.sockets[0].getsockname()
        harness.dispatcher.follower.start()
        harness.dispatcher.follower.request_watch()
        while len(targets) < 2:
            await asyncio.sleep(0.002)
        assert targets == [names.INSTANCES, AFTER % 45]
        harness.dispatcher.follower.stop()
        await harness.dispatcher.follower.close()
        listening.close()

    asyncio.run(run())


def test_cached_version_that_discovery_has_not_reached_is_dropped() -> None:
    """A dispatcher starts with a cached list of version 41, and discovery is at version 3.

    Discovery would have no changes since 41 for a long time. A lower version in its response must make the
    watch fetch the whole list and continue from its version.
    """

    async def run() -> None:
        targets: list[str] = []
        updates: list[discovery.DiscoveryUpdate] = []
        listening = await start_agent([list_response(3, False), list_response(3, True)], targets)

        def add_update(update: Any) -> None:
            updates.append(update)

        watch = EndpointWatch(listening.sockets[0].getsockname(), add_update, Log("n0"), 41)
        task = asyncio.create_task(watch.run())
        while len(targets) < 3:
            await asyncio.sleep(0.002)
        assert targets == [AFTER % 41, names.INSTANCES, AFTER % 3]
        assert [update.is_snapshot for update in updates] == [True]
        task.cancel()
        listening.close()

    asyncio.run(run())


def test_early_response_without_changes_is_followed_by_a_delay() -> None:
    """An agent responds at once without changes, although it should hold the call for a second.

    The watch would call it in a busy loop. A delay must follow a call that returns early without changes.
    """

    async def run() -> None:
        targets: list[str] = []
        listening = await start_agent([list_response(3, True)] + [list_response(3, False)] * 1000, targets)
        watch = EndpointWatch(listening.sockets[0].getsockname(), lambda update: None, Log("n0"))
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(0.35)
        assert 3 <= len(targets) <= 6
        task.cancel()
        listening.close()

    asyncio.run(run())


def test_silent_discovery_is_called_when_the_scheduler_commands_it_and_delays_no_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Discovery never responds.

    Requests must be sent according to the cached list meanwhile. Each call must time out and be reported to
    the scheduler, which commands the next call.
    """
    monkeypatch.setattr(watch_module, "WAIT_MS", 0)

    async def run() -> None:
        harness = polling_harness()
        targets: list[str] = []
        dispatcher = harness.dispatcher
        set_endpoint_list_config(harness, EndpointListConfig(True, 20_000))
        listening = await start_agent([], targets)
        dispatcher.settings.discovery = listening.sockets[0].getsockname()
        dispatcher.follower.watch_requested.set()
        dispatcher.follower.watch(dispatcher.follower.follow_when_requested())
        dispatcher.submit(submit_request("a"))
        assert (await harness.sent_attempt("a")).worker in ("w0", "w1", "w2")  # from the cached list
        for _ in range(200):
            await asyncio.sleep(0.005)
            if len(targets) == 4:
                break
        failed = EndpointListUpdate(ListUpdateKind.FETCH_TIMED_OUT, [])
        failure_count = sum(failed in events for _, events in harness.steps)
        assert len(targets) == 4 and 3 <= failure_count <= 4, "one call for each command of the scheduler"
        assert dispatcher.follower.watch_task is not None
        dispatcher.follower.watch_task.cancel()
        listening.close()

    asyncio.run(run())


def test_restart_of_all_dispatchers_does_not_overload_a_polled_discovery() -> None:
    """All eight dispatchers are killed at once. Discovery needs 0.3 s for a call and rejects a call that has
    waited more than 2 s, so too many calls would keep it overloaded.
    """
    scenario = script.parse("""
        length = 12.0
        [fleet]
        dispatchers = 8
        workers = 4
        [clients]
        load = 0.3
        [roster]
        call = 0.3
        [[incident]]
        at = 3.0
        for = 0.5
        what = "kill-dispatcher"
        whom = "all"
    """)
    calls: list[int] = []
    result = in_virtual_time(scenario, lambda site, now: calls.append(site.calls.call_count))  # type: ignore
    assert not any(result.outcome["rules"].values())
    assert calls[-1] <= 30, "more calls than two starts of eight and a few rejected ones"


def test_reload_fetches_the_whole_list_at_once_and_after_a_failure_on_command() -> None:
    """A reload sets a new discovery address, which counts versions on its own.

    A call for changes since the old version could leave the dispatcher with the old list. The whole list must
    be fetched at once, and after a failure again when the scheduler commands it.
    """

    async def run() -> None:
        harness = polling_harness()
        targets: list[str] = []
        dispatcher = harness.dispatcher
        listening = await start_agent([BUSY, list_response(7, True)], targets)
        address = listening.sockets[0].getsockname()
        settings = scheduler_config(3, 1, True, 0.4)
        dispatcher.reload(
            start.Start("n0", address, address, 7, 100, 80 << 20, {}, 250_000, 30_000_000, settings)
        )
        while len(targets) < 3:
            await asyncio.sleep(0.002)
        assert targets == [names.INSTANCES, names.INSTANCES, AFTER % 7]
        assert EndpointListUpdate(ListUpdateKind.FETCH_FAILED, []) in [
            event for _, events in harness.steps for event in events
        ]
        assert dispatcher.follower.watch_task is not None
        dispatcher.follower.watch_task.cancel()
        listening.close()

    asyncio.run(run())


def test_worker_that_replaces_another_at_its_address_gets_no_job_meant_for_it() -> None:
    """A worker is replaced by another worker at the same address.

    Idle connections to the old worker lead to the new one, which would get jobs meant for the old one. They
    must be closed, and requests must be sent to the new worker under its own name.
    """

    async def run() -> None:
        harness = DispatcherHarness()
        address = harness.dispatcher.endpoints.addresses["w0"]
        gone = [endpoint_entry(name, EndpointState.GONE) for name in ("w0", "w1", "w2")]
        addresses = dict.fromkeys(["w0", "w1", "w2", "w9"], address)
        harness.dispatcher.endpoint_list.apply(
            discovery.DiscoveryUpdate(2, False, [*gone, endpoint_entry("w9")], addresses)
        )
        harness.dispatcher.submit(submit_request("a"))
        assert (await harness.sent_attempt("a")).worker == "w9"
        assert set(harness.idle_closed_workers) >= {
            "w0",
            "w1",
            "w2",
        }, "idle connections to replaced workers stay open"

    asyncio.run(run())


def test_stop_while_discovery_is_silent_finishes_the_open_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """The dispatcher is stopped while a call to discovery has no response.

    It could exit while a request is open, or wait for the call forever. The open request must get its
    response first; then the dispatcher must end, whether discovery responds or not.
    """
    monkeypatch.setattr("locktide.dispatcher.shutdown_limit.ACCEPT_AFTER_STOP", 0.02)

    async def run() -> None:
        harness = polling_harness()
        targets: list[str] = []
        stop = asyncio.Event()
        dispatcher = harness.dispatcher
        dispatcher.upstream.close_expired = lambda: None  # type: ignore[method-assign]
        listening = await start_agent([], targets)
        dispatcher.settings.discovery, dispatcher.startup.listen_address = (
            listening.sockets[0].getsockname(),
            free_address(),
        )
        running = asyncio.create_task(dispatcher.run(stop))
        await asyncio.sleep(0.01)
        response = dispatcher.submit(submit_request("a"))
        attempt = await harness.sent_attempt("a")
        stop.set()
        await asyncio.sleep(0.05)
        assert not running.done(), "it stops while a request is open"
        attempt.respond(202)
        harness.receive_callback("a", attempt.worker, "done", b"milk")
        await asyncio.wait_for(running, 2.0)
        assert response is not None and response.result().status == 200
        listening.close()

    asyncio.run(run())
