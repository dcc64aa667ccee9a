"""Plays one script, in virtual time or on loopback, and gives its outcome."""

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
from locktide.simulation import cluster_report as agreed
from locktide.simulation import outcome
from locktide.simulation import rendered_config as told_module
from locktide.simulation.backend import REACH_PORT, TALK_PORT
from locktide.simulation.model.scenario import Scenario
from locktide.simulation.peer_links import PeerLinks
from locktide.simulation.process_backend import ProcessBackend
from locktide.simulation.scenario_runner import ScenarioRunner
from locktide.simulation.virtual_backend import VirtualBackend
from locktide.simulation.virtual_time.loop import VirtualLoop

ProgressCallback = Callable[
    [ScenarioRunner, int], None
]  # called now and then while it plays, with the time in microseconds


class RunFailedError(RuntimeError):
    """Something in the rehearsal itself broke off: its figures count for nothing."""


@dataclass
class RunResult:
    told: dict[str, Any]
    said: list[str] = field(default_factory=list)  # what the dispatchers logged


def with_seed(scenario: Scenario, seed: int) -> Scenario:
    return msgspec.structs.replace(scenario, seed=seed)


def attach_in_virtual_time(scenario: Scenario, stage: ScenarioRunner, host: VirtualBackend) -> None:
    """Connect a host to its stage, with the disks and the agreement that the script asks for."""
    host.links, host.on_point = stage.links, stage.dispatcher_at
    if scenario.durable.on:
        terms = scenario.durable
        host.durable = (told_module.durable(scenario), scenario.seed, terms.sync, terms.zeros)
    if scenario.accord.on:
        host.talk = PeerLinks(scenario.seed)
        places = [f"{host.address(machine)}:{TALK_PORT}" for machine in stage.dispatcher_machines]

        def agree(number: int, name: str, address: str) -> ClusterConfig:
            accord = told_module.agreed(scenario, places[number], places[number], places, "")
            return cluster_config(told_module.installation(scenario, name, accord))

        host.agree = agree


async def attach_on_loopback(scenario: Scenario, stage: ScenarioRunner, host: ProcessBackend) -> None:
    """Connect a host to its stage, with the disks and the agreement that the script asks for."""
    if scenario.durable.on or scenario.accord.on:
        refuse_on_loopback(scenario)
        host.as_file = lambda told, directory, accord: told_module.as_file(scenario, told, directory, accord)
    host.links = stage.links
    if scenario.accord.on:
        host.talk = PeerLinks(scenario.seed)
        here = [host.address(machine) for machine in stage.dispatcher_machines]
        places = [f"{address}:{REACH_PORT}" for address in here]
        host.agree = lambda number, trace: told_module.agreed(
            scenario, f"{here[number]}:{TALK_PORT}", places[number], places, str(trace)
        )
        await host.open_talk(stage.dispatcher_machines)


def in_virtual_time(scenario: Scenario, glance: ProgressCallback | None = None) -> RunResult:
    """Raises Troubled where code of ours broke off unseen: a fault that a rehearsal must not hide."""
    loop = VirtualLoop()  # type: ignore[abstract]
    host = VirtualBackend(loop)
    stage = ScenarioRunner(scenario, host)
    attach_in_virtual_time(scenario, stage, host)
    # Collected at fixed moments: when what is dropped is collected must not depend on what ran before.
    gc.collect()
    gc.disable()
    try:
        if glance is not None:

            def look() -> None:
                glance(stage, host.now())
                if not stage.ended:
                    loop.call_later(1.0, look)

            loop.call_later(1.0, look)
        complete = True
        try:
            loop.run_until_complete(stage.play())
            if scenario.accord.on:
                loop.run_until_complete(asyncio.sleep(agreed.QUIET))
        except KeyboardInterrupt:
            complete = False
        told = outcome.of(stage, "virtual time", complete) | host.measures()
        if scenario.accord.on:
            digests = loop.run_until_complete(host.digests())
            told["accord"] = figures(stage, *host.traced(), digests)
        troubles = [spell(context) for context in loop.trouble]
        stage.close()
        loop.run_until_complete(host.clear_away())
        loop.run_until_complete(asyncio.sleep(1.0))
        host.drop()
    finally:
        gc.enable()
        loop.close()
    if troubles:
        raise RunFailedError("; ".join(troubles[:5]))
    return RunResult(told, host.said)


async def on_loopback(
    scenario: Scenario, program: Path, folder: Path, glance: ProgressCallback | None = None
) -> RunResult:
    """In real time. Cancelled in the middle, it gives what there is, and leaves no process behind."""
    host = ProcessBackend(program, folder)
    stage = ScenarioRunner(scenario, host)
    await attach_on_loopback(scenario, stage, host)
    complete = True

    async def look() -> None:
        while glance is not None:
            await asyncio.sleep(0.5)
            glance(stage, host.now())

    looking = asyncio.create_task(look())
    try:
        try:
            await stage.play()
            if scenario.accord.on:
                await asyncio.sleep(agreed.QUIET)
        except asyncio.CancelledError:
            complete = False
        host.sum_up()
        told = outcome.of(stage, "loopback", complete) | host.measures()
        if scenario.accord.on:
            told["accord"] = figures(stage, *host.traced(), await host.digests())
        return RunResult(told, host.logs())
    finally:
        looking.cancel()
        stage.close()
        await host.clear_away()


def figures(
    stage: ScenarioRunner, traces: list[agreed.QuotaTrace], begun: int, digests: list[str]
) -> dict[str, Any]:
    return agreed.figures(stage.script, traces, outcome.asked(stage), begun, digests)


def refuse_on_loopback(scenario: Scenario) -> None:
    """What an installation's file and a real disk cannot be told; raises Troubled."""
    if any(incident.what == "trap-dispatcher" for incident in scenario.incident):
        raise RunFailedError(
            "points of a journal at which dispatchers are trapped are for --host virtual only"
        )
    if scenario.dispatcher.settings or scenario.roster.call:
        raise RunFailedError(
            "with durable jobs or an accord dispatcher.settings and roster.call are for --host virtual only"
        )


def spell(context: dict[str, Any]) -> str:
    trouble = context.get("exception")
    return f"{context.get('message')}: {type(trouble).__name__}: {trouble}"
