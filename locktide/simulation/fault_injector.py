"""The incidents of a script, in their time: who is concerned is drawn once, then each is begun and ended."""

from __future__ import annotations

from typing import Protocol

from locktide.simulation.discovery_site import DiscoverySite
from locktide.simulation.interfaces import EmulatedDispatcher, RunContext
from locktide.simulation.model import random_streams as chance
from locktide.simulation.model import traffic
from locktide.simulation.model.scenario import DISPATCHERS, WORKERS, FaultSpec, resolve_targets
from locktide.simulation.model.worker import SharedCapacity
from locktide.simulation.worker_site import WorkerSite

# A planned restart: what has not ended so long after SIGTERM is killed, in seconds; the platform gives no
# less than the longest time limit (3 s at most) and 0.7 s more.
KILLED_AFTER = 3.7
# A drained worker ends once it is empty, and is looked at so often; microseconds.
LOOK_EVERY = 100_000
NEVER = 10**15


class FaultTarget(RunContext, Protocol):
    """Those on whom incidents act."""

    workers: list[WorkerSite]
    agent_sites: list[DiscoverySite]
    dispatchers: list[EmulatedDispatcher]
    shared: SharedCapacity
    traps: dict[int, tuple[str, int]]

    def zone_of(self, number: int) -> int: ...

    def reshare(self) -> None: ...

    def start_dispatcher(self, number: int) -> None: ...

    def stop_dispatcher(self, number: int) -> None: ...

    def kill_dispatcher(self, number: int) -> None: ...

    def gone(self, number: int) -> None: ...


class FaultInjector:
    def __init__(self, stage: FaultTarget) -> None:
        self.stage = stage
        self.links_changed_at = -NEVER
        self.chosen: list[tuple[FaultSpec, list[int]]] = [
            (incident, self.choose(place, incident)) for place, incident in enumerate(stage.script.incident)
        ]

    def choose(self, place: int, incident: FaultSpec) -> list[int]:
        scenario = self.stage.script
        if incident.what not in WORKERS | DISPATCHERS:
            return []
        named, part = resolve_targets(scenario, incident)
        if not part:
            return named
        count = scenario.fleet.dispatchers if incident.what in DISPATCHERS else scenario.fleet.workers
        # One, where a part of a small fleet is less.
        most = max(1, round(part * count))
        order = sorted(range(count), key=lambda one: chance.unit(scenario.seed, "whom", place, one))
        return sorted(order[:most])

    def set(self) -> None:
        """Sets a timer for each begin and end."""
        host, seed = self.stage.host, self.stage.script.seed
        for place, (incident, numbers) in enumerate(self.chosen):
            if incident.what in traffic.TRAFFIC_FAULTS:
                continue
            begins, span = int(incident.at * 1e6), int(incident.length * 1e6)
            act = getattr(self, "do_" + incident.what.replace("-", "_"))
            if not numbers:
                host.call_at(begins, act, incident, -1, begins + span)
                continue
            for turn, number in enumerate(numbers):
                at = begins + int(turn * incident.gap * 1e6)
                late = int(chance.unit(seed, "back", place, number) * incident.spread * 1e6)
                host.call_at(at, act, incident, number, at + span + late)

    def later(self, at: int, what: object, *args: object) -> None:
        self.stage.host.call_at(at, what, *args)  # type: ignore[arg-type]

    # --- the dispatchers' talk

    def do_talk_cut(self, incident: FaultSpec, number: int, until: int, both: bool = True) -> None:
        """All that it says and hears goes nowhere."""
        others = [f"d{one}" for one in range(len(self.stage.dispatchers)) if one != number]
        pairs = {(f"d{number}", other) for other in others}
        if both:
            pairs |= {(other, f"d{number}") for other in others}
        net = self.stage.host.talk.net
        net.cut |= pairs
        self.later(until, net.cut.difference_update, pairs)

    def do_talk_cut_one_way(self, incident: FaultSpec, number: int, until: int) -> None:
        self.do_talk_cut(incident, number, until, both=False)

    def odds(self, name: str, incident: FaultSpec, until: int) -> None:
        net = self.stage.host.talk.net
        setattr(net, name, incident.share)
        self.later(until, setattr, net, name, 0.0)

    def do_talk_lossy(self, incident: FaultSpec, number: int, until: int) -> None:
        self.odds("lose", incident, until)

    def do_talk_late(self, incident: FaultSpec, number: int, until: int) -> None:
        self.odds("late", incident, until)

    def do_talk_doubled(self, incident: FaultSpec, number: int, until: int) -> None:
        self.odds("double", incident, until)

    def do_talk_garbled(self, incident: FaultSpec, number: int, until: int) -> None:
        self.odds("garble", incident, until)

    # --- workers

    def do_kill(self, incident: FaultSpec, number: int, until: int) -> None:
        site = self.stage.workers[number]
        site.die()
        if incident.length:
            self.later(until, site.come_back)

    def do_vanish(self, incident: FaultSpec, number: int, until: int) -> None:
        site = self.stage.workers[number]
        if not site.worker.up:
            return
        self.stage.links.cut_machine(site.machine, self.stage.host.now())
        self.links()
        site.die(silently=True)

        def back() -> None:
            self.stage.links.heal_machine(site.machine)
            self.links()
            site.come_back()

        if incident.length:
            self.later(until, back)

    def do_hang(self, incident: FaultSpec, number: int, until: int) -> None:
        site = self.stage.workers[number]
        if site.worker.up:
            site.hang(until)

    def do_pause(self, incident: FaultSpec, number: int, until: int) -> None:
        site = self.stage.workers[number]
        if site.worker.up:
            site.pause(until)

    def do_slow(self, incident: FaultSpec, number: int, until: int) -> None:
        site = self.stage.workers[number]
        site.slow(incident.factor)
        self.later(until, site.slow, 1.0 / incident.factor)

    def do_shared_slow(self, incident: FaultSpec, number: int, until: int) -> None:
        factors = self.stage.shared.factors
        factors.append(incident.factor)
        self.stage.reshare()

        def over() -> None:
            factors.remove(incident.factor)
            self.stage.reshare()

        self.later(until, over)

    def do_drain(self, incident: FaultSpec, number: int, until: int) -> None:
        """Drains, ends once it is empty, comes back cold so long after the drain began."""
        site = self.stage.workers[number]
        site.drain()
        life = site.life

        def look() -> None:
            if site.life != life or not site.worker.up:
                return
            now = self.stage.host.now()
            if site.worker.job_count():
                self.later(now + LOOK_EVERY, look)
                return
            site.die()
            if incident.length:
                self.later(max(until, now + LOOK_EVERY), site.come_back)

        self.later(self.stage.host.now() + LOOK_EVERY, look)

    def do_reset(self, incident: FaultSpec, number: int, until: int) -> None:
        self.stage.workers[number].reset_connections()

    def do_trap(self, incident: FaultSpec, number: int, until: int) -> None:
        site = self.stage.workers[number]
        site.trap = incident.point
        site.trap_back_after = max(1, until - self.stage.host.now())

    # --- dispatchers

    def do_kill_dispatcher(self, incident: FaultSpec, number: int, until: int) -> None:
        self.stage.kill_dispatcher(number)
        if incident.length:
            self.later(until, self.stage.start_dispatcher, number)

    def do_trap_dispatcher(self, incident: FaultSpec, number: int, until: int) -> None:
        away = max(1, until - self.stage.host.now())
        self.stage.traps[number] = (incident.point, away)

    def do_restart_dispatcher(self, incident: FaultSpec, number: int, until: int) -> None:
        stage = self.stage
        stage.stop_dispatcher(number)
        life, begun = stage.dispatchers[number].life, stage.host.now()

        def ended() -> None:
            if stage.dispatchers[number].life != life:
                return
            if stage.host.dispatcher_runs(number) and stage.host.now() - begun < KILLED_AFTER * 1e6:
                self.later(stage.host.now() + LOOK_EVERY, ended)
                return
            if stage.host.dispatcher_runs(number):
                stage.kill_dispatcher(number)
            elif stage.dispatchers[number].alive:
                stage.dispatchers[number].alive = False
                stage.gone(number)
            self.later(max(until, stage.host.now() + LOOK_EVERY), stage.start_dispatcher, number)

        self.later(begun + LOOK_EVERY, ended)

    # --- the roster and the links

    def do_roster_stale(self, incident: FaultSpec, number: int, until: int) -> None:
        """News takes `factor` seconds longer."""
        by = int(incident.factor * 1e6)
        for site in self.stage.agent_sites:
            site.agent.extra_delay += by

        def over() -> None:
            for site in self.stage.agent_sites:
                site.agent.extra_delay -= by
                site.changed()

        self.later(until, over)

    def do_roster_silent(self, incident: FaultSpec, number: int, until: int) -> None:
        for site in self.stage.agent_sites:
            site.speak(silent=True)

        def over() -> None:
            for site in self.stage.agent_sites:
                site.speak(silent=False)

        self.later(until, over)

    def do_partition(self, incident: FaultSpec, number: int, until: int) -> None:
        zones = [int(word.strip()[4:]) for word in incident.whom.split(",")]
        stage = self.stage
        # What the roster has to tell does not get in either.
        inside = [site for site in stage.agent_sites if stage.zone_of(site.number) in zones]
        for zone in zones:
            stage.links.cut_zone(zone, stage.host.now())
        for site in inside:
            site.agent.extra_delay += NEVER
        self.links()

        def over() -> None:
            for zone in zones:
                stage.links.heal_zone(zone)
            for site in inside:
                site.agent.extra_delay -= NEVER
                site.changed()
            self.links()

        self.later(until, over)

    def links(self) -> None:
        self.links_changed_at = self.stage.host.now()
        self.stage.host.links_changed()
