"""Many dispatchers at once: what is safe for one alone and harmful when all do it."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from heapq import heappop, heappush
from typing import Any

import pytest
from helpers import COLD, STEP, Checked, HandPlayed, free_address, listed, terms
from helpers import submission as submission_of

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


@pytest.mark.parametrize("told_within", [0, 6_000_000])
@pytest.mark.parametrize("seed", range(5))
def test_forty_dispatchers_that_start_together_all_get_the_list(seed: int, told_within: int) -> None:
    """A release killed 28 of 40 at once: all asked at once, again and again, and hardly one was told."""
    service = CallCapacity(150_000, 2_000_000)
    events: list[tuple[int, int, Event]] = []
    fleet = [Scheduler(seed * 100 + me, terms(4, 40, True, 0.0, live=True)) for me in range(40)]
    for one in fleet:
        listing = replace(one.config.current.endpoint_list, notified_within=told_within)
        one.config.current = replace(one.config.current, endpoint_list=listing)
    for me in range(40):
        heappush(events, (0, me, EndpointListUpdate(ListUpdateKind.CACHED, [listed("w")])))
    told: dict[int, int] = {}
    while events:
        now, me, news = heappop(events)
        if now > 40_000_000:
            break
        if type(news) is EndpointListUpdate and news.kind == ListUpdateKind.DELTA:
            told[me] = now
        for order in fleet[me].step(now, [news]):
            if type(order) is SetTimer:
                heappush(events, (now + max(STEP, order.delay), me, TimerFired(order.timer_id)))
            elif order == WatchEndpoints(True):
                at, heard = service.call(now)
                heappush(
                    events,
                    (
                        at,
                        me,
                        EndpointListUpdate(
                            ListUpdateKind.DELTA if heard else ListUpdateKind.FETCH_FAILED, []
                        ),
                    ),
                )
    assert len(told) == 40 and max(told.values()) < 20_000_000
    assert service.call_count < 60, "work for the service without need"


@pytest.mark.parametrize(("warm", "cold", "submissions"), [(30, 30, 3), (0, 10, 20)])
def test_forty_dispatchers_together_warm_up_new_workers_and_overload_none(
    warm: int, cold: int, submissions: int
) -> None:
    """Six in ten workers were new: they idled for seconds, as each was drawn for by itself, while the old
    ones had queues of ten; and where there are only cold ones, all together keep to half of what they bear.
    """
    got = dict.fromkeys([f"cold{n}" for n in range(cold)], 0)
    for seed in range(40):
        service = Checked(seed, fleet=40)
        fresh = [listed(name, started_at=service.now) for name in got]
        service.list(*fresh, *[listed(f"warm{n}") for n in range(warm)])
        for submission in range(submissions):
            service.arrive(submission, "close", hint=300_000)
            service.pass_time(STEP)
        for submission, shot in service.out():
            worker = service.dispatches[submission][shot]["worker"]
            if worker in got:
                got[worker] += 1
    # Two slots, at 0.3 of what they can do: in a window each bears so many such submissions.
    bears = COLD.overload_factor * COLD.window * COLD.initial_capacity * 2 / 300_000
    assert sum(got.values()) > 0.3 * min(cold * bears, 40 * submissions)
    assert sum(got.values()) <= 0.55 * cold * bears and max(got.values()) <= bears


def test_request_confined_to_a_lost_zone_waits_for_it_without_using_up_its_attempts() -> None:
    """Requests confined to a cell of a lost zone used up their three attempts in 4 ms and failed.

    They must wait for the zone, with a few attempts a second at each worker, and be done once it is back.
    """
    service = Checked(fleet=40)
    config = service.dispatcher.config
    config.current = replace(config.current, retry=replace(config.current.retry, counts_unsent=False))
    names = ["w0", "w1", "w2"]
    service.list(*[listed(name) for name in names])
    service.arrive(1, "record")
    service.end(1, 0, AttemptOutcome.RESET)
    refused = 0
    for _ in range(2_500_000 // STEP):
        for submitted, shot in service.out():
            refused += 1
            service.end(submitted, shot, AttemptOutcome.NO_CONNECTION)
        service.pass_time(STEP)
    assert not service.answered
    assert 3 < refused <= 3 * 11, "each of three workers is tried four times a second at most"
    warm = service.now - COLD.warmup
    service.list(*[listed(name, started_at=warm) for name in names], kind=ListUpdateKind.DELTA)
    for _ in range(1_400_000 // STEP):
        service.pass_time(STEP)
        for submitted, shot in service.out():
            service.end(submitted, shot, AttemptOutcome.DONE)
    assert service.answered[1] == "done"


def test_on_sockets_only_attempts_that_were_sent_count_towards_the_limit() -> None:
    """On sockets, a connection that does not come up fails within milliseconds.

    If such attempts counted towards the most attempts of a request, three unreachable workers would end it
    while it could still be sent. Only an attempt whose last byte was sent may count.
    """

    async def run() -> None:
        player = HandPlayed()
        player.node.submit(submission_of("a"))
        for place in range(3):  # as many as there may be
            await player.settle()
            assert len(player.asked) == place + 1
            player.asked[place].end(AttemptOutcome.NO_CONNECTION)
        await player.settle()
        assert player.node.registry.open_requests["a"].is_open, "denied while it could still be sent"

    asyncio.run(run())


def told_to_ask() -> HandPlayed:
    player = HandPlayed()
    set_endpoint_list_config(player, EndpointListConfig(True, 200_000))
    return player


def set_endpoint_list_config(player: HandPlayed, config: EndpointListConfig) -> None:
    player.node.settings.endpoint_list = config
    active = player.node.scheduler.config
    active.current = replace(active.current, endpoint_list=config)


async def agent(answers: list[bytes], heard: list[str]) -> asyncio.Server:
    async def converse(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readline():
            if head.startswith(b"GET"):
                heard.append(head.split()[1].decode())
            if head == b"\r\n" and len(heard) <= len(answers):
                writer.write(answers[len(heard) - 1])
        writer.close()

    return await asyncio.start_server(converse, "127.0.0.1", 0)


def sheet(version: int, whole: bool) -> bytes:
    body = json.dumps({"rev": version, "all": whole, "targets": []}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
AFTER = names.INSTANCES + "?after=%d&wait_ms=1000"


def test_where_the_list_is_polled_the_scheduler_times_the_calls_and_only_changes_are_fetched() -> None:
    """A call to discovery that failed was made again each tenth of a second, by all dispatchers, for the
    whole list. Where calls are work for one service, the scheduler must say when the next one is made,
    and it asks only for what changed since the version that is held.
    """

    async def run() -> None:
        player = told_to_ask()
        heard: list[str] = []
        node = player.node
        listening = await agent([BUSY, sheet(2, False)], heard)
        node.settings.discovery = listening.sockets[0].getsockname()
        node.follower.watch(node.follower.follow_when_requested())
        await asyncio.sleep(0.01)
        assert not heard, "called before it was to"
        node.follower.watch_requested.set()
        failed = EndpointListUpdate(ListUpdateKind.FETCH_FAILED, [])
        while not any(failed in news for _, news in player.turns):
            await asyncio.sleep(0.002)
        assert heard == [AFTER % 1] and not node.follower.watch_requested.is_set()
        while len(heard) < 2:  # once the decisions' own gap is over
            await asyncio.sleep(0.002)
        assert heard[1] == AFTER % 1
        for _ in range(1000):  # at most: the answer to the second call is there at once
            if not node.scheduler.endpoint_polling.failures:
                break
            await asyncio.sleep(0.002)
        failures = node.scheduler.endpoint_polling.failures
        assert failures == 0, "an answer that brings nothing ends the failures, too"
        assert node.follower.watch_task is not None
        node.follower.watch_task.cancel()
        listening.close()

    asyncio.run(run())


def test_cached_version_that_discovery_has_not_reached_is_dropped() -> None:
    """A dispatcher starts with a cached list of version 41, and discovery counts from 3.

    Asked for changes since 41, it has none for a long time. A lower version must make the watch fetch the
    whole list and go on from its version.
    """

    async def run() -> None:
        heard: list[str] = []
        sheets: list[discovery.DiscoveryUpdate] = []
        listening = await agent([sheet(3, False), sheet(3, True)], heard)

        def take(told: Any) -> None:
            sheets.append(told)

        watch = EndpointWatch(listening.sockets[0].getsockname(), take, Log("n0"), 41)
        task = asyncio.create_task(watch.run())
        while len(heard) < 3:
            await asyncio.sleep(0.002)
        assert heard == [AFTER % 41, names.INSTANCES, AFTER % 3]
        assert [told.is_snapshot for told in sheets] == [True]
        task.cancel()
        listening.close()

    asyncio.run(run())


def test_early_response_without_changes_is_followed_by_a_delay() -> None:
    """An agent responds at once, with nothing, where it should hold the call for a second.

    The watch would call it in a busy loop. A call that brings nothing before its time must be followed by a
    delay.
    """

    async def run() -> None:
        heard: list[str] = []
        listening = await agent([sheet(3, True)] + [sheet(3, False)] * 1000, heard)
        watch = EndpointWatch(listening.sockets[0].getsockname(), lambda told: None, Log("n0"))
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(0.35)
        assert 3 <= len(heard) <= 6
        task.cancel()
        listening.close()

    asyncio.run(run())


def test_silent_discovery_is_called_when_the_scheduler_commands_it_and_delays_no_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Discovery never responds.

    Requests must be sent by the cached list meanwhile. Each call is given up and reported to the scheduler,
    which says when the next one is made.
    """
    monkeypatch.setattr(watch_module, "WAIT_MS", 0)

    async def run() -> None:
        player = told_to_ask()
        heard: list[str] = []
        node = player.node
        set_endpoint_list_config(player, EndpointListConfig(True, 20_000))
        listening = await agent([], heard)
        node.settings.discovery = listening.sockets[0].getsockname()
        node.follower.watch_requested.set()
        node.follower.watch(node.follower.follow_when_requested())
        node.submit(submission_of("a"))
        assert (await player.sent("a")).worker in ("w0", "w1", "w2")  # by the remembered list
        for _ in range(200):
            await asyncio.sleep(0.005)
            if len(heard) == 4:
                break
        failed = EndpointListUpdate(ListUpdateKind.FETCH_TIMED_OUT, [])
        told = sum(failed in news for _, news in player.turns)
        assert len(heard) == 4 and 3 <= told <= 4, "one call for each time that the decisions said so"
        assert node.follower.watch_task is not None
        node.follower.watch_task.cancel()
        listening.close()

    asyncio.run(run())


def test_restart_of_all_dispatchers_does_not_overload_a_polled_discovery() -> None:
    """The roster takes a call in 0.3 s and turns away what waits over 2 s; all eight are killed at once."""
    rough = script.parse("""
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
    played = in_virtual_time(rough, lambda stage, now: calls.append(stage.calls.call_count))  # type: ignore
    assert not any(played.outcome["rules"].values())
    assert calls[-1] <= 30, "two starts of eight, and a few that were turned away"


def test_reload_fetches_the_whole_list_at_once_and_after_a_failure_on_command() -> None:
    """A reload names a new discovery address, whose versions are its own.

    Asked for changes since the old version, it could leave the dispatcher with the old list. The whole list
    must be fetched at once, and after a failure again when the scheduler says so.
    """

    async def run() -> None:
        player = told_to_ask()
        heard: list[str] = []
        node = player.node
        listening = await agent([BUSY, sheet(7, True)], heard)
        here = listening.sockets[0].getsockname()
        settings = terms(3, 1, True, 0.4)
        node.reload(start.Start("n0", here, here, 7, 100, 80 << 20, {}, 250_000, 30_000_000, settings))
        while len(heard) < 3:
            await asyncio.sleep(0.002)
        assert heard == [names.INSTANCES, names.INSTANCES, AFTER % 7]
        assert EndpointListUpdate(ListUpdateKind.FETCH_FAILED, []) in [
            piece for _, news in player.turns for piece in news
        ]
        assert node.follower.watch_task is not None
        node.follower.watch_task.cancel()
        listening.close()

    asyncio.run(run())


def test_worker_that_replaces_another_at_its_address_gets_no_job_meant_for_it() -> None:
    """A worker is replaced by another process at the same address.

    Idle connections of the old worker lead to the new one, which would get jobs under a wrong name. They
    must be closed, and requests are sent to the new worker by its own name.
    """

    async def run() -> None:
        player = HandPlayed()
        here = player.node.endpoints.addresses["w0"]
        gone = [listed(name, EndpointState.GONE) for name in ("w0", "w1", "w2")]
        addresses = dict.fromkeys(["w0", "w1", "w2", "w9"], here)
        player.node.endpoint_list.apply(discovery.DiscoveryUpdate(2, False, [*gone, listed("w9")], addresses))
        player.node.submit(submission_of("a"))
        assert (await player.sent("a")).worker == "w9"
        assert set(player.forgotten) >= {"w0", "w1", "w2"}, "their connections lead to another process now"

    asyncio.run(run())


def test_stop_while_discovery_is_silent_finishes_the_open_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """The dispatcher is stopped while a call to discovery has no response.

    It could exit with a request open, or wait for the call for ever. The open request must get its response
    first; then the process ends, whatever discovery does.
    """
    monkeypatch.setattr("locktide.dispatcher.shutdown.ACCEPT_AFTER_STOP", 0.02)

    async def run() -> None:
        player = told_to_ask()
        heard: list[str] = []
        stop = asyncio.Event()
        node = player.node
        node.upstream.close_expired = lambda: None  # type: ignore[method-assign]
        listening = await agent([], heard)
        node.settings.discovery, node.startup.listen_address = (
            listening.sockets[0].getsockname(),
            free_address(),
        )
        running = asyncio.create_task(node.run(stop))
        await asyncio.sleep(0.01)
        answer = node.submit(submission_of("a"))
        asked = await player.sent("a")
        stop.set()
        await asyncio.sleep(0.05)
        assert not running.done(), "it would leave what it has taken"
        asked.reply(202)
        player.call("a", asked.worker, "done", b"milk")
        await asyncio.wait_for(running, 2.0)
        assert answer is not None and answer.result().status == 200
        listening.close()

    asyncio.run(run())
