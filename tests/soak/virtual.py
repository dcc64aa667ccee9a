"""Plays the same script in virtual time: what a second process would disturb, it cannot."""

from __future__ import annotations

import asyncio
import gc
from functools import partial
from typing import Any

from locktide.simulation.run import attach_in_virtual_time
from locktide.simulation.virtual_backend import VirtualBackend
from locktide.simulation.virtual_time.loop import VirtualLoop
from soak.crowd import VirtualCrowd
from soak.findings import Findings
from soak.loopback import FAULT_LINES
from soak.rough import RoughClients
from soak.script import draw
from soak.stage import QUIET, SoakStage


class SoakVirtualBackend(VirtualBackend):
    """Dispatchers whose disks may be full, but not at a start: that ends with an error, for an operator."""

    def start_dispatcher(self, number: int, told: dict[str, Any]) -> None:
        self.set_room(number, None)
        super().start_dispatcher(number, told)

    def fill_disk(self, number: int) -> None:
        """Let the disk of a dispatcher that has started take nothing more."""
        if number in self.nodes and self.nodes[number].is_ready():
            self.set_room(number, 0)

    def set_room(self, number: int, room: int | None) -> None:
        """Let the disk of a dispatcher take so many bytes more, or any number."""
        if number in self.platters:
            self.platters[number].room = room


def play(seed: int, always_holds: bool = False) -> Findings:
    """Play one seed."""
    script = draw(seed, always_holds)
    findings = Findings(seed)
    loop = VirtualLoop()  # type: ignore[abstract]
    host = SoakVirtualBackend(loop)
    stage = SoakStage(script, host, findings)
    attach_in_virtual_time(script.scenario, stage, host)
    gc.collect()
    gc.disable()
    try:
        loop.run_until_complete(_play(stage, host))
        stage.collect(host.log_lines)
        stage.close()
        loop.run_until_complete(host.clear_away())
        loop.run_until_complete(asyncio.sleep(1.0))
        for each in loop.unhandled:
            findings.add(f"trouble: {each.get('exception') or each['message']}")
        host.drop()
    finally:
        gc.enable()
        loop.close()
    return findings


def _set_full_disks(stage: SoakStage, host: SoakVirtualBackend) -> None:
    """Let disks be full at the moments of the script."""
    for full in stage.soak.full_disks:
        host.call_at(round(full.at * 1e6), host.fill_disk, full.dispatcher)
        host.call_at(round((full.at + full.length) * 1e6), host.set_room, full.dispatcher, None)


async def _play(stage: SoakStage, host: SoakVirtualBackend) -> None:
    stage.on_begin.append(partial(_set_full_disks, stage, host))
    if stage.soak.has_rough_clients:
        stage.on_begin.append(RoughClients(stage, stage.soak.seed).begin)
    crowd = VirtualCrowd(stage, stage.soak.seed)
    if stage.soak.has_crowd:
        stage.spawn(crowd.run())
    await stage.play()
    crowd.leave()
    if stage.script.accord.on:
        await stage.watch_ledgers()
        stage.check_quotas(*host.traced())
    await asyncio.sleep(QUIET)
    for line in host.log_lines:
        if any(text in line for text in FAULT_LINES):
            stage.findings.add(f"log: {line}")
    stage.check_reloads(host.log_lines)
    for number, node in host.nodes.items():
        if host.dispatcher_runs(number):
            _check_left(stage, number, node)


def _check_left(stage: SoakStage, number: int, node: Any) -> None:
    """After some quiet nothing is open, and every descriptor is given back but for idle connections."""
    idle = sum(map(len, node.upstream.idle.by_worker.values()))
    if node.registry.open_requests or node.tasks:
        stage.findings.add(f"d{number}: {len(node.registry.open_requests)} requests are left open")
    if node.upstream.descriptors.used > idle:
        stage.findings.add(f"d{number}: {node.upstream.descriptors.used} descriptors, {idle} idle")
