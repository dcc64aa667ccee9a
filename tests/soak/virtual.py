"""Runs the same scripts in virtual time, in which other processes on the machine disturb nothing."""

from __future__ import annotations

import asyncio
import gc
from functools import partial
from typing import Any

from locktide.simulation.run import attach_in_virtual_time
from locktide.simulation.virtual_backend import VirtualBackend
from locktide.simulation.virtual_time.loop import VirtualLoop
from soak.crowd import VirtualIdleClients
from soak.findings import Findings
from soak.loopback import DEFECT_LOG_TEXTS
from soak.rough import RawClients
from soak.script import draw_script
from soak.stage import QUIET_TIME, SoakRunner


class SoakVirtualBackend(VirtualBackend):
    """Dispatchers whose disks may be full, but not at a start: it would end with an error for an operator."""

    def start_dispatcher(self, number: int, start_file: dict[str, Any]) -> None:
        self.set_free_space(number, None)
        super().start_dispatcher(number, start_file)

    def fill_disk(self, number: int) -> None:
        """Make the disk of a dispatcher full, if the dispatcher is ready."""
        if number in self.dispatchers and self.dispatchers[number].is_ready():
            self.set_free_space(number, 0)

    def set_free_space(self, number: int, free_bytes: int | None) -> None:
        """Set how many more bytes the disk of a dispatcher takes; None means no limit."""
        if number in self.disks:
            self.disks[number].free_bytes = free_bytes


def run_seed(seed: int, always_holds: bool = False) -> Findings:
    """Run the script of one seed."""
    script = draw_script(seed, always_holds)
    findings = Findings(seed)
    loop = VirtualLoop()  # type: ignore[abstract]
    backend = SoakVirtualBackend(loop)
    runner = SoakRunner(script, backend, findings)
    attach_in_virtual_time(script.scenario, runner, backend)
    gc.collect()
    gc.disable()
    try:
        loop.run_until_complete(_run_script(runner, backend))
        runner.collect_violations(backend.log_lines)
        runner.close()
        loop.run_until_complete(backend.clear_away())
        loop.run_until_complete(asyncio.sleep(1.0))
        for error_context in loop.unhandled:
            findings.add(f"event loop error: {error_context.get('exception') or error_context['message']}")
        backend.drop()
    finally:
        gc.enable()
        loop.close()
    return findings


def _schedule_full_disks(runner: SoakRunner, backend: SoakVirtualBackend) -> None:
    """Set timers for the times in which the script makes disks full."""
    for full_disk in runner.soak_script.full_disks:
        backend.call_at(round(full_disk.begins_at * 1e6), backend.fill_disk, full_disk.dispatcher)
        backend.call_at(
            round((full_disk.begins_at + full_disk.duration) * 1e6),
            backend.set_free_space,
            full_disk.dispatcher,
            None,
        )


async def _run_script(runner: SoakRunner, backend: SoakVirtualBackend) -> None:
    runner.on_traffic_start.append(partial(_schedule_full_disks, runner, backend))
    if runner.soak_script.has_raw_clients:
        runner.on_traffic_start.append(RawClients(runner, runner.soak_script.seed).start)
    idle_clients = VirtualIdleClients(runner, runner.soak_script.seed)
    if runner.soak_script.has_idle_clients:
        runner.spawn(idle_clients.run())
    await runner.play()
    idle_clients.close_all()
    if runner.scenario.accord.on:
        await runner.check_ledgers_converge()
        runner.check_quotas(*backend.traced())
    await asyncio.sleep(QUIET_TIME)
    for line in backend.log_lines:
        if any(text in line for text in DEFECT_LOG_TEXTS):
            runner.findings.add(f"log: {line}")
    runner.check_reloads(backend.log_lines)
    for number, node in backend.dispatchers.items():
        if backend.dispatcher_runs(number):
            _check_released(runner, number, node)


def _check_released(runner: SoakRunner, number: int, node: Any) -> None:
    """Check after QUIET_TIME that no request or task is open, and only idle connections use descriptors."""
    idle = sum(map(len, node.upstream.idle.by_worker.values()))
    if node.registry.open_requests or node.tasks:
        runner.findings.add(f"d{number}: {len(node.registry.open_requests)} requests are left open")
    if node.upstream.descriptors.used > idle:
        runner.findings.add(f"d{number}: {node.upstream.descriptors.used} descriptors, {idle} idle")
