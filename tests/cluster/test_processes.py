"""Dispatcher processes that form a cluster: faults between them, inspection, settings, quota shares."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from helpers import CheckedScheduler, DispatcherHarness, scheduler_config, submit_request

from locktide.cluster.config import ClusterConfig
from locktide.cluster.messages import InspectionRequest, decode, encode
from locktide.cluster.quota.local_quota import QuotaSpec
from locktide.cluster.udp_transport import UdpTransport, open_udp_transport
from locktide.config.errors import ConfigFileError
from locktide.config.installation.loading import parse_installation
from locktide.scheduler.commands import RejectRequest
from locktide.scheduler.events import ConfigReloaded, QuotaSharesUpdated, QuotaStage, RequestArrived
from locktide.simulation.cluster import processes
from locktide.simulation.cluster.processes import ProcessCluster, free_port
from locktide.simulation.cluster.virtual_cluster import VirtualCluster

REPOSITORY = Path(__file__).parents[2]


def test_three_processes_paused_cut_killed_and_started_twice_overrun_nothing(tmp_path: Path) -> None:
    faults = [(5.0, "pause"), (5.5, "twice"), (6.0, "cut"), (6.5, "lossy"), (7.0, "kill"), (8.0, "stop")]
    outcome = asyncio.run(ProcessCluster(4, 3, tmp_path).run(9.0, faults))
    assert not outcome.overruns and outcome.changes > 10 and outcome.datagrams > 100
    assert sum(outcome.faults.values()) == len(faults)


class ProcessesWithGreedyLeader(ProcessCluster):
    """Processes whose leader grants the whole of each quota to each member."""

    program = (
        "-c",
        (
            "from locktide.cluster.quota import allocator\n"
            "def grant_whole(self, member_id, quota, held, may_step, now): return self.divisible[quota]\n"
            "allocator.Allocator.share_for = grant_whole\n"
            "from locktide.cli.main import main; main()"
        ),
    )


def test_a_leader_that_grants_the_whole_to_each_is_found_by_the_checker(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(processes, "QUIET_TIME_S", 0.5)
    outcome = asyncio.run(ProcessesWithGreedyLeader(4, 3, tmp_path).run(5.0, []))
    assert outcome.overruns


INSTALLATION_FILE = """
[serve]
name = "d0"
listen = "127.0.0.1:{port}"
roster = "127.0.0.1:9"
[accord]
on = true
listen = "127.0.0.1:{udp}"
most = 3
[[accord.electors]]
name = "d0"
address = "127.0.0.1:{udp}"
[[tenant]]
name = "dairy"
rate = 40.0
[[grade]]
name = "view"
"""


def test_a_single_dispatcher_can_be_inspected_and_stops_cleanly(tmp_path: Path) -> None:
    udp, path = free_port(socket.SOCK_DGRAM), tmp_path / "here.toml"
    path.write_text(INSTALLATION_FILE.format(port=free_port(socket.SOCK_STREAM), udp=udp))
    command = [sys.executable, "-m", "locktide.cli.main"]
    environment = {**os.environ, "PYTHONPATH": str(REPOSITORY)}
    show_command = [*command, "accord", "show", f"127.0.0.1:{udp}"]

    def run(arguments: list[str]) -> subprocess.CompletedProcess[str]:
        return subprocess.run(arguments, env=environment, capture_output=True, text=True, check=False)

    process = subprocess.Popen([*command, "serve", str(path)], stderr=subprocess.PIPE, env=environment)
    try:
        deadline = time.monotonic() + 15.0
        view: dict[str, Any] = {"parts": {"dairy": 0}}
        while view["parts"]["dairy"] < 910_000 and time.monotonic() < deadline:
            answer = run([*show_command, "--json"])
            view = json.loads(answer.stdout) if answer.returncode == 0 else view
        # The whole less the guaranteed minimums of two further members, and less a step within the dead band.
        assert 910_000 < view["parts"]["dairy"] <= 1_000_000 - 2 * 33_333 and view["led_by"] == "d0"
        output = run(show_command).stdout
        assert "dairy" in output and "led by d0" in output and "alive" in output
        second_run = run([*command, "serve", str(path)])
        assert second_run.returncode == 1 and "listen" in second_run.stderr
    finally:
        process.terminate()
    assert process.wait(20) == 0
    assert run(show_command).returncode == 1


def test_an_inspection_is_answered_on_loopback_only() -> None:
    sent: list[bytes] = []

    class TransportStandIn:
        config = type("T", (), {"member_id": ("d0", 1)})
        rejected_datagrams = 0
        member = VirtualCluster(1, ["d0"]).start("d0").member
        transport = type("S", (), {"sendto": lambda self, data, address: sent.append(data)})()

        def now(self) -> int:
            return 0

    UdpTransport.answer_inspection(TransportStandIn(), InspectionRequest(1), ("10.0.0.9", 5))  # type: ignore[arg-type]
    assert not sent
    UdpTransport.answer_inspection(TransportStandIn(), InspectionRequest(1), ("127.0.0.1", 5))  # type: ignore[arg-type]
    envelope = decode(sent[0])
    assert envelope is not None and json.loads(envelope.message.text)["name"] == "d0"  # type: ignore[union-attr]
    assert encode(("", 0), InspectionRequest(1)) != sent[0]


@pytest.mark.parametrize(
    ("change", "key"),
    [
        (("most = 3", "most = 3\nreserve = 1.5"), "accord.reserve"),
        (
            ("[[accord.ele", '[[accord.electors]]\nname = "d1"\naddress = "127.0.0.1:7"\n[[accord.ele'),
            "accord.electors: expected an odd number",
        ),
        (('address = "127.0.0.1:8"', 'address = "127.0.0.1:9"'), "accord.electors[0].address"),
        (("rate = 40.0", "rate = 1.0"), "tenant[0].rate"),
        (("most = 3", "most = 0"), "accord.most"),
        (("most = 3", 'most = 3\nreach = "nowhere"'), "accord.reach"),
        (
            (
                "[[grade]]",
                "".join(f'[[tenant]]\nname = "t{n}"\nrate = 40.0\n' for n in range(50)) + "[[grade]]",
            ),
            "tenant: expected 50 at most",
        ),
        (
            ("[[grade]]", '[[accord.resource]]\nname = "slots"\neach = 4.0\n' * 2 + "[[grade]]"),
            "accord.resource[1].name",
        ),
        (
            ('name = "view"', 'name = "view"\nholds = {slots = 1.0}'),
            "grade[0].holds: expected an accord.resource",
        ),
        (("most = 3", "most = 3\nlend = 1.5"), "accord.lend"),
    ],
)
def test_a_faulty_accord_section_names_its_key(change: tuple[str, str], key: str) -> None:
    text = INSTALLATION_FILE.format(port=7, udp=8)
    assert parse_installation(text).cluster.enabled
    with pytest.raises(ConfigFileError) as raised:
        parse_installation(text.replace(*change))
    assert key in str(raised.value)


def test_nothing_of_the_cluster_is_imported_while_it_is_off(tmp_path: Path) -> None:
    code = (
        "import sys, locktide.__main__, locktide.cli.serve\n"
        "print([name for name in sys.modules if name.startswith('locktide.cluster')])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, cwd=REPOSITORY, check=False
    )
    assert result.stdout.strip() == "[]"


def scheduler_with_shares(update: QuotaSharesUpdated | None, after: int = 0) -> CheckedScheduler:
    harness = CheckedScheduler(dispatcher_count=10)
    if update is not None:
        harness.step(update)
    harness.now += after
    # Uses up the tokens that are there at the start.
    for _ in range(100):
        next_coverage(harness)
    return harness


def next_coverage(harness: CheckedScheduler) -> str:
    """Return the quota coverage of one more request."""
    harness.scheduler.clock.now = harness.now
    return harness.scheduler.quotas.cover("dairy").value


def coverage_of_requests(harness: CheckedScheduler) -> list[str]:
    """Return the quota coverage of each of a hundred requests within four seconds."""
    coverages = []
    for _ in range(100):
        harness.now += 40_000
        coverages.append(next_coverage(harness))
    return coverages


def test_the_scheduler_uses_shares_until_they_expire_and_even_ones_where_it_has_none() -> None:
    # The rate is five a second. Without an update an even share applies, which is a tenth; then the whole;
    # and after the expiry the guaranteed minimum, a tenth as well.
    assert coverage_of_requests(scheduler_with_shares(None)).count("own") == 2
    stages = [QuotaStage(30_000_000, {"dairy": 1.0}), QuotaStage(1 << 62, {"dairy": 0.1})]
    assert coverage_of_requests(scheduler_with_shares(QuotaSharesUpdated(stages))).count("own") == 20
    assert (
        coverage_of_requests(scheduler_with_shares(QuotaSharesUpdated(stages), after=30_000_000)).count("own")
        == 2
    )
    lent = [QuotaStage(30_000_000, {"dairy": 0.2}, {"dairy": 0.4}), *stages[1:]]
    coverages = coverage_of_requests(scheduler_with_shares(QuotaSharesUpdated(lent)))
    assert (coverages.count("own"), coverages.count("borrowed")) == (4, 7)
    assert "borrowed" not in coverage_of_requests(
        scheduler_with_shares(QuotaSharesUpdated(lent), after=30_000_000)
    )
    over_share = coverage_of_requests(
        scheduler_with_shares(QuotaSharesUpdated(stages, frozenset(["dairy"]), 20_000_000))
    )
    assert set(over_share) == {"beyond"}
    assert "own" in coverage_of_requests(
        scheduler_with_shares(QuotaSharesUpdated(stages, frozenset(["dairy"]), 20_000_000), after=20_000_000)
    )


def test_requests_admitted_under_a_loan_that_ends_wait_as_over_quota_or_are_rejected() -> None:
    """A loan ends, as its lender has demand again, while requests that were admitted under it still wait.

    From then on they must wait no longer than requests beyond their tenant's quota, and then be rejected.
    """
    lent = [QuotaStage(1 << 62, {"dairy": 0.0}, {"dairy": 1.0})]
    harness = CheckedScheduler(dispatcher_count=1)
    harness.step(QuotaSharesUpdated(lent))
    harness.scheduler.quotas.buckets["dairy"].level = 0.0
    harness.scheduler.quotas.cover(
        "dairy"
    )  # starts the loan's bucket, which is empty at first and fills over time
    harness.now += 1_000_000
    for number in range(4):
        harness.step(RequestArrived(f"s{number}", "record", harness.now + 6_000_000, tenant="dairy"))
    pool = harness.scheduler.requests.waiting
    before = [request.queue_deadline for request in pool]
    assert [request.borrowing_tenant for request in pool] == ["dairy"] * 4
    harness.step(QuotaSharesUpdated([QuotaStage(1 << 62, {"dairy": 0.0}, {"dairy": 0.5})]))
    assert [request.queue_deadline for request in pool] == before, "the loan is smaller, but has not ended"
    harness.step(QuotaSharesUpdated([QuotaStage(1 << 62, {"dairy": 0.0})]))
    assert [request.queue_deadline < previous for request, previous in zip(pool, before, strict=True)] == [
        True
    ] * 4
    assert [request.borrowing_tenant for request in pool] == [None] * 4
    last_deadline = max(request.queue_deadline for request in pool)
    harness.now = last_deadline
    commands = harness.step()
    assert sum(type(command) is RejectRequest for command in commands) == 4


def test_the_member_emits_quota_shares_and_counts_requests_as_demand() -> None:
    async def run() -> None:
        harness = DispatcherHarness()
        address = ("127.0.0.1", free_port(socket.SOCK_DGRAM))
        quotas = [QuotaSpec("dairy", 5.0, 25.0)]
        config = ClusterConfig(("d0", 1), address, {"d0": address}, [], quotas, 0.2, 2)
        transport = await open_udp_transport(
            config, harness.dispatcher.log, harness.dispatcher.bridge, address
        )
        request = replace(submit_request("a"), tenant="dairy")
        harness.dispatcher.submit(request)
        assert transport.member.local_quota.demand == {"dairy": 1}
        await harness.run_pending_tasks()
        updates = [
            event for _, events in harness.steps for event in events if type(event) is QuotaSharesUpdated
        ]
        assert [stage.shares for stage in updates[0].stages] == [{"dairy": 0.1}] * 2
        assert harness.dispatcher.scheduler.quotas.shares is updates[-1]
        count = len(harness.steps)
        harness.dispatcher.bridge.enqueue_event(ConfigReloaded(scheduler_config(3, 1, False, 0.4)))
        await asyncio.sleep(0.01)
        assert len(harness.steps) > count
        assert harness.dispatcher.scheduler.quotas.shares.stages[-1].shares == {"dairy": 0.1}
        await transport.close()
        assert harness.dispatcher.bridge.observers == []

    asyncio.run(run())
