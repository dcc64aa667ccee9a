"""Runs one scenario, in virtual time or on loopback, and returns its outcome."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from locktide.cluster.bootstrap import cluster_config
from locktide.cluster.config import ClusterConfig
from locktide.simulation import cluster_report, outcome, rendered_config
from locktide.simulation.backend import REACH_PORT, TALK_PORT
from locktide.simulation.model.scenario import Scenario
from locktide.simulation.peer_links import PeerLinks
from locktide.simulation.process_backend import ProcessBackend
from locktide.simulation.scenario_runner import ScenarioRunner
from locktide.simulation.virtual_backend import VirtualBackend
from locktide.simulation.virtual_time.loop import VirtualLoop

# Called once or twice a second during a run, with the time in microseconds.
ProgressCallback = Callable[[ScenarioRunner, int], None]


class RunFailedError(RuntimeError):
    """The simulation itself failed, or cannot run the scenario; there is no valid outcome."""


@dataclass
class RunResult:
    outcome: dict[str, Any]
    log_lines: list[str] = field(default_factory=list)  # log lines of the dispatchers


def with_seed(scenario: Scenario, seed: int) -> Scenario:
    return msgspec.structs.replace(scenario, seed=seed)


def attach_in_virtual_time(scenario: Scenario, runner: ScenarioRunner, host: VirtualBackend) -> None:
    """Connect a backend to its runner, with the disks and the cluster that the scenario configures."""
    host.links, host.on_crash_point = runner.links, runner.reach_crash_point
    if scenario.durable.on:
        durable = scenario.durable
        host.durable = (rendered_config.durable(scenario), scenario.seed, durable.sync, durable.zeros)
    if scenario.accord.on:
        host.peer_links = PeerLinks(scenario.seed)
        addresses = [f"{host.address(machine)}:{TALK_PORT}" for machine in runner.dispatcher_machines]

        def cluster_for(number: int, name: str, address: str) -> ClusterConfig:
            accord = rendered_config.cluster_section(
                scenario, addresses[number], addresses[number], addresses, ""
            )
            return cluster_config(rendered_config.installation(scenario, name, accord))

        host.cluster_for = cluster_for


async def attach_on_loopback(scenario: Scenario, runner: ScenarioRunner, host: ProcessBackend) -> None:
    """Connect a backend to its runner, with the disks and the cluster that the scenario configures."""
    if scenario.durable.on or scenario.accord.on:
        check_loopback_support(scenario)
        host.as_file = lambda start_config, directory, accord: rendered_config.as_file(
            scenario, start_config, directory, accord
        )
    host.links = runner.links
    if scenario.accord.on:
        host.peer_links = PeerLinks(scenario.seed)
        hosts = [host.address(machine) for machine in runner.dispatcher_machines]
        addresses = [f"{address}:{REACH_PORT}" for address in hosts]
        host.cluster_for = lambda number, trace: rendered_config.cluster_section(
            scenario, f"{hosts[number]}:{TALK_PORT}", addresses[number], addresses, str(trace)
        )
        await host.open_peer_links(runner.dispatcher_machines)


def in_virtual_time(scenario: Scenario, on_progress: ProgressCallback | None = None) -> RunResult:
    """Run a scenario in virtual time; raise RunFailedError for exceptions that no code has handled."""
    loop = VirtualLoop()  # type: ignore[abstract]
    host = VirtualBackend(loop)
    runner = ScenarioRunner(scenario, host)
    attach_in_virtual_time(scenario, runner, host)
    # The garbage collector runs at fixed points only, so that a run does not depend on the runs before it.
    gc.collect()
    gc.disable()
    try:
        if on_progress is not None:

            def report_progress() -> None:
                on_progress(runner, host.now())
                if not runner.ended:
                    loop.call_later(1.0, report_progress)

            loop.call_later(1.0, report_progress)
        complete = True
        try:
            loop.run_until_complete(runner.play())
            if scenario.accord.on:
                loop.run_until_complete(asyncio.sleep(cluster_report.QUIET))
        except KeyboardInterrupt:
            complete = False
        run_outcome = outcome.summarize(runner, "virtual time", complete) | host.measures()
        if scenario.accord.on:
            digests = loop.run_until_complete(host.digests())
            run_outcome["accord"] = cluster_figures(runner, *host.traced(), digests)
        errors = [describe(context) for context in loop.unhandled]
        runner.close()
        loop.run_until_complete(host.clear_away())
        loop.run_until_complete(asyncio.sleep(1.0))
        host.drop()
    finally:
        gc.enable()
        loop.close()
    if errors:
        raise RunFailedError("; ".join(errors[:5]))
    return RunResult(run_outcome, host.log_lines)


async def on_loopback(
    scenario: Scenario, program: Path, folder: Path, on_progress: ProgressCallback | None = None
) -> RunResult:
    """Run a scenario in real time; if cancelled, return the outcome so far. All processes are ended."""
    host = ProcessBackend(program, folder)
    runner = ScenarioRunner(scenario, host)
    await attach_on_loopback(scenario, runner, host)
    complete = True

    async def report_progress() -> None:
        while on_progress is not None:
            await asyncio.sleep(0.5)
            on_progress(runner, host.now())

    progress_task = asyncio.create_task(report_progress())
    try:
        try:
            await runner.play()
            if scenario.accord.on:
                await asyncio.sleep(cluster_report.QUIET)
        except asyncio.CancelledError:
            complete = False
        host.sum_up()
        run_outcome = outcome.summarize(runner, "loopback", complete) | host.measures()
        if scenario.accord.on:
            run_outcome["accord"] = cluster_figures(runner, *host.traced(), await host.digests())
        return RunResult(run_outcome, host.logs())
    finally:
        progress_task.cancel()
        runner.close()
        await host.clear_away()


def cluster_figures(
    runner: ScenarioRunner, traces: list[cluster_report.QuotaTrace], begun: int, digests: list[str]
) -> dict[str, Any]:
    return cluster_report.figures(runner.scenario, traces, outcome.counted_requests(runner), begun, digests)


def check_loopback_support(scenario: Scenario) -> None:
    """Raise RunFailedError for a scenario that needs virtual time.

    An installation file and a real disk cannot express all of a scenario with durable jobs or a cluster.
    """
    if any(incident.what == "trap-dispatcher" for incident in scenario.incident):
        raise RunFailedError("traps at crash points of dispatchers are supported with --host virtual only")
    if scenario.dispatcher.settings or scenario.roster.call:
        raise RunFailedError(
            "with durable jobs or an accord, dispatcher.settings and roster.call need --host virtual"
        )


def describe(context: dict[str, Any]) -> str:
    error = context.get("exception")
    return f"{context.get('message')}: {type(error).__name__}: {error}"
