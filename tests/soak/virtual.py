"""Plays the same script in virtual time: what a second process would disturb, it cannot."""

from __future__ import annotations

import asyncio
import gc
from dataclasses import replace
from typing import Any

from locktide.simulation.virtual_backend import VirtualBackend
from locktide.simulation.virtual_time.loop import VirtualLoop
from soak.findings import Findings
from soak.loopback import FAULT_LINES
from soak.script import draw
from soak.stage import QUIET, SoakStage


def play(seed: int, always_holds: bool = False) -> Findings:
    """Play one seed. A crowd needs real descriptors: its script is played without one."""
    script = draw(seed, always_holds)
    findings = Findings(seed)
    loop = VirtualLoop()  # type: ignore[abstract]
    host = VirtualBackend(loop)
    stage = SoakStage(replace(script, has_crowd=False), host, findings)
    host.links, host.on_point = stage.links, stage.dispatcher_at
    gc.collect()
    gc.disable()
    try:
        loop.run_until_complete(_play(stage, host))
        stage.collect(host.said)
        stage.close()
        loop.run_until_complete(host.clear_away())
        loop.run_until_complete(asyncio.sleep(1.0))
        for each in loop.trouble:
            findings.add(f"trouble: {each.get('exception') or each['message']}")
        host.drop()
    finally:
        gc.enable()
        loop.close()
    return findings


async def _play(stage: SoakStage, host: VirtualBackend) -> None:
    await stage.play()
    await asyncio.sleep(QUIET)
    for line in host.said:
        if any(text in line for text in FAULT_LINES):
            stage.findings.add(f"log: {line}")
    stage.check_reloads(host.said)
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
