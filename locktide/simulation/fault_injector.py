"""Injects the faults of a scenario: draws the targets of each once, then begins and ends each at its time."""

from __future__ import annotations

from typing import Protocol

from locktide.simulation.discovery_site import DiscoverySite
from locktide.simulation.interfaces import EmulatedDispatcher, RunContext
from locktide.simulation.model import random_streams as chance
from locktide.simulation.model import traffic
from locktide.simulation.model.scenario import DISPATCHER_FAULTS, WORKER_FAULTS, FaultSpec, resolve_targets
from locktide.simulation.model.worker import SharedCapacity
from locktide.simulation.worker_site import WorkerSite

# Seconds after SIGTERM until a planned restart kills a dispatcher that has not ended. The platform waits at
# least for the longest time limit (but no more than 3 s) and 0.7 s more.
KILL_DELAY = 3.7
# Microseconds between two checks whether a drained worker is empty, or a stopped dispatcher has ended.
CHECK_INTERVAL = 100_000
FAR_FUTURE = 10**15


class FaultTarget(RunContext, Protocol):
    """The scenario runner, as far as faults act on it."""

    workers: list[WorkerSite]
    agent_sites: list[DiscoverySite]
    dispatchers: list[EmulatedDispatcher]
    shared: SharedCapacity
    pending_traps: dict[int, tuple[str, int]]

    def zone_of(self, number: int) -> int: ...

    def apply_shared_slowdown(self) -> None: ...

    def start_dispatcher(self, number: int) -> None: ...

    def stop_dispatcher(self, number: int) -> None: ...

    def kill_dispatcher(self, number: int) -> None: ...

    def gone(self, number: int) -> None: ...


class FaultInjector:
    def __init__(self, runner: FaultTarget) -> None:
        self.runner = runner
        self.links_changed_at = -FAR_FUTURE
        self.targets: list[tuple[FaultSpec, list[int]]] = [
            (fault, self.choose(index, fault)) for index, fault in enumerate(runner.scenario.incident)
        ]

    def choose(self, index: int, fault: FaultSpec) -> list[int]:
        scenario = self.runner.scenario
        if fault.what not in WORKER_FAULTS | DISPATCHER_FAULTS:
            return []
        targets, percentage = resolve_targets(scenario, fault)
        if not percentage:
            return targets
        count = scenario.fleet.dispatchers if fault.what in DISPATCHER_FAULTS else scenario.fleet.workers
        # At least one, also for a small part of a small fleet.
        target_count = max(1, round(percentage * count))
        order = sorted(
            range(count), key=lambda candidate: chance.unit(scenario.seed, "whom", index, candidate)
        )
        return sorted(order[:target_count])

    def set(self) -> None:
        """Set a timer for the start of each fault; the fault itself schedules its end."""
        host, seed = self.runner.host, self.runner.scenario.seed
        for index, (fault, numbers) in enumerate(self.targets):
            if fault.what in traffic.TRAFFIC_FAULTS:
                continue
            begins, span = int(fault.at * 1e6), int(fault.length * 1e6)
            act = getattr(self, "do_" + fault.what.replace("-", "_"))
            if not numbers:
                host.call_at(begins, act, fault, -1, begins + span)
                continue
            for order_index, number in enumerate(numbers):
                at = begins + int(order_index * fault.gap * 1e6)
                late = int(chance.unit(seed, "back", index, number) * fault.spread * 1e6)
                host.call_at(at, act, fault, number, at + span + late)

    def schedule(self, at: int, callback: object, *args: object) -> None:
        self.runner.host.call_at(at, callback, *args)  # type: ignore[arg-type]

    # --- datagrams between dispatchers

    def do_talk_cut(self, fault: FaultSpec, number: int, until: int, both: bool = True) -> None:
        """Drop all datagrams from a dispatcher and, if `both`, also those to it."""
        others = [f"d{candidate}" for candidate in range(len(self.runner.dispatchers)) if candidate != number]
        pairs = {(f"d{number}", other) for other in others}
        if both:
            pairs |= {(other, f"d{number}") for other in others}
        net = self.runner.host.peer_links.net
        net.cut |= pairs
        self.schedule(until, net.cut.difference_update, pairs)

    def do_talk_cut_one_way(self, fault: FaultSpec, number: int, until: int) -> None:
        self.do_talk_cut(fault, number, until, both=False)

    def set_probability(self, name: str, fault: FaultSpec, until: int) -> None:
        net = self.runner.host.peer_links.net
        setattr(net, name, fault.share)
        self.schedule(until, setattr, net, name, 0.0)

    def do_talk_lossy(self, fault: FaultSpec, number: int, until: int) -> None:
        self.set_probability("lose", fault, until)

    def do_talk_late(self, fault: FaultSpec, number: int, until: int) -> None:
        self.set_probability("late", fault, until)

    def do_talk_doubled(self, fault: FaultSpec, number: int, until: int) -> None:
        self.set_probability("double", fault, until)

    def do_talk_garbled(self, fault: FaultSpec, number: int, until: int) -> None:
        self.set_probability("garble", fault, until)

    # --- workers

    def do_kill(self, fault: FaultSpec, number: int, until: int) -> None:
        site = self.runner.workers[number]
        site.die()
        if fault.length:
            self.schedule(until, site.restart)

    def do_vanish(self, fault: FaultSpec, number: int, until: int) -> None:
        site = self.runner.workers[number]
        if not site.worker.up:
            return
        self.runner.links.cut_machine(site.machine, self.runner.host.now())
        self.note_links_changed()
        site.die(silently=True)

        def return_cold() -> None:
            self.runner.links.heal_machine(site.machine)
            self.note_links_changed()
            site.restart()

        if fault.length:
            self.schedule(until, return_cold)

    def do_hang(self, fault: FaultSpec, number: int, until: int) -> None:
        site = self.runner.workers[number]
        if site.worker.up:
            site.hang(until)

    def do_pause(self, fault: FaultSpec, number: int, until: int) -> None:
        site = self.runner.workers[number]
        if site.worker.up:
            site.pause(until)

    def do_slow(self, fault: FaultSpec, number: int, until: int) -> None:
        site = self.runner.workers[number]
        site.slow(fault.factor)
        self.schedule(until, site.slow, 1.0 / fault.factor)

    def do_shared_slow(self, fault: FaultSpec, number: int, until: int) -> None:
        factors = self.runner.shared.factors
        factors.append(fault.factor)
        self.runner.apply_shared_slowdown()

        def restore() -> None:
            factors.remove(fault.factor)
            self.runner.apply_shared_slowdown()

        self.schedule(until, restore)

    def do_drain(self, fault: FaultSpec, number: int, until: int) -> None:
        """Drain a worker, end it once it is empty, and restart it cold at `until`."""
        site = self.runner.workers[number]
        site.drain()
        life = site.life

        def check_empty() -> None:
            if site.life != life or not site.worker.up:
                return
            now = self.runner.host.now()
            if site.worker.job_count():
                self.schedule(now + CHECK_INTERVAL, check_empty)
                return
            site.die()
            if fault.length:
                self.schedule(max(until, now + CHECK_INTERVAL), site.restart)

        self.schedule(self.runner.host.now() + CHECK_INTERVAL, check_empty)

    def do_reset(self, fault: FaultSpec, number: int, until: int) -> None:
        self.runner.workers[number].reset_connections()

    def do_trap(self, fault: FaultSpec, number: int, until: int) -> None:
        site = self.runner.workers[number]
        site.trap = fault.point
        site.trap_downtime = max(1, until - self.runner.host.now())

    # --- dispatchers

    def do_kill_dispatcher(self, fault: FaultSpec, number: int, until: int) -> None:
        self.runner.kill_dispatcher(number)
        if fault.length:
            self.schedule(until, self.runner.start_dispatcher, number)

    def do_trap_dispatcher(self, fault: FaultSpec, number: int, until: int) -> None:
        away = max(1, until - self.runner.host.now())
        self.runner.pending_traps[number] = (fault.point, away)

    def do_restart_dispatcher(self, fault: FaultSpec, number: int, until: int) -> None:
        runner = self.runner
        runner.stop_dispatcher(number)
        life, begun = runner.dispatchers[number].life, runner.host.now()

        def check_ended() -> None:
            if runner.dispatchers[number].life != life:
                return
            if runner.host.dispatcher_runs(number) and runner.host.now() - begun < KILL_DELAY * 1e6:
                self.schedule(runner.host.now() + CHECK_INTERVAL, check_ended)
                return
            if runner.host.dispatcher_runs(number):
                runner.kill_dispatcher(number)
            elif runner.dispatchers[number].alive:
                runner.dispatchers[number].alive = False
                runner.gone(number)
            self.schedule(max(until, runner.host.now() + CHECK_INTERVAL), runner.start_dispatcher, number)

        self.schedule(begun + CHECK_INTERVAL, check_ended)

    # --- discovery service and links

    def do_roster_stale(self, fault: FaultSpec, number: int, until: int) -> None:
        """Delay all changes of the endpoint list by `factor` seconds."""
        extra_delay = int(fault.factor * 1e6)
        for site in self.runner.agent_sites:
            site.agent.extra_delay += extra_delay

        def restore() -> None:
            for site in self.runner.agent_sites:
                site.agent.extra_delay -= extra_delay
                site.changed()

        self.schedule(until, restore)

    def do_roster_silent(self, fault: FaultSpec, number: int, until: int) -> None:
        for site in self.runner.agent_sites:
            site.set_silent(silent=True)

        def restore() -> None:
            for site in self.runner.agent_sites:
                site.set_silent(silent=False)

        self.schedule(until, restore)

    def do_partition(self, fault: FaultSpec, number: int, until: int) -> None:
        zones = [int(word.strip()[4:]) for word in fault.whom.split(",")]
        runner = self.runner
        # Changes of the endpoint list do not reach the cut zones either.
        inside = [site for site in runner.agent_sites if runner.zone_of(site.number) in zones]
        for zone in zones:
            runner.links.cut_zone(zone, runner.host.now())
        for site in inside:
            site.agent.extra_delay += FAR_FUTURE
        self.note_links_changed()

        def restore() -> None:
            for zone in zones:
                runner.links.heal_zone(zone)
            for site in inside:
                site.agent.extra_delay -= FAR_FUTURE
                site.changed()
            self.note_links_changed()

        self.schedule(until, restore)

    def note_links_changed(self) -> None:
        self.links_changed_at = self.runner.host.now()
        self.runner.host.links_changed()
