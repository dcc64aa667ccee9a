"""The stage: all stand-ins of one rehearsal, the dispatchers among them, and the incidents in their time."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

from locktide.simulation import rendered_config as told
from locktide.simulation.backend import DISPATCHER_PORT, ROSTER_PORT, WORKER_PORT, Backend
from locktide.simulation.client_site import ClientSite
from locktide.simulation.connection_pool import ClientConnectionPool, ProtocolError, UpstreamRequest
from locktide.simulation.discovery_site import DiscoveryConnection, DiscoverySite
from locktide.simulation.fault_injector import FaultInjector
from locktide.simulation.interfaces import EmulatedDispatcher
from locktide.simulation.model import random_streams as chance
from locktide.simulation.model import traffic
from locktide.simulation.model.checker import Checker, CheckerConfig, ReceivedAttempt
from locktide.simulation.model.discovery import ACTIVE, LEAVING, CallCapacity, DiscoveryAgent, ListedWorker
from locktide.simulation.model.network import DISPATCHER, WORKER, Machine, NetworkLinks
from locktide.simulation.model.scenario import Scenario, assign_worker_types
from locktide.simulation.model.traffic import ClientRequest, RequestTry
from locktide.simulation.model.worker import DeduplicationCell, EmulatedWorker, SharedCapacity, WorkerConfig
from locktide.simulation.worker_site import UNSETTLED, WorkerConnection, WorkerSite

READY_WITHIN = 30.0  # seconds for all dispatchers to be ready before the traffic begins
TAKEN_OUT_AFTER = 300_000  # microseconds that a front goes on sending to who is stopped: 0.2 to 0.4 s there
UNDER_WAY = 1_000_000  # microseconds from the writing of a withdrawal until what may follow it has come
HEALING = 5_000  # microseconds that all that waited for a link takes to come, beside its delay
LONGEST_WAIT = 120_000_000  # microseconds; the waits' histogram ends there


class NotReadyError(Exception):
    """A dispatcher did not come up."""


@dataclass(slots=True)
class Sample:
    """How things stood at one moment; drawn over time in the report."""

    at: int
    outstanding: int
    queued: int
    running: int
    up: int
    cold: int
    slowed: int
    dispatchers: int


class ScenarioRunner:
    def __init__(self, scenario: Scenario, host: Backend) -> None:
        self.script, self.host = scenario, host
        self.links = NetworkLinks(scenario.network, scenario.seed)
        memory = {g.name: int(g.memory * 1e6) for g in scenario.grade if g.effect == "numbered"}
        self.checker = Checker(
            CheckerConfig(
                slack=CheckerConfig.slack + host.slack,
                drain_grace=int(scenario.dispatcher.drain_grace * 1e6),
                memory=memory,
            )
        )
        self.shared = SharedCapacity(scenario.shared.capacity)
        self.tries: dict[str, RequestTry] = {}
        self.asks: list[ClientRequest] = traffic.draw_requests(scenario)
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.half_open: list[WorkerConnection] = []
        self.samples: list[Sample] = []
        self.wait_by: dict[str, HdrHistogram] = {
            grade.name: HdrHistogram(1, LONGEST_WAIT, 3) for grade in scenario.grade
        }
        self.keys = self.sprung = self.crashed = 0
        self.ended = False
        self.kept_grades = frozenset(told.kept_grades(scenario) if scenario.durable.asks else ())
        self.records: dict[str, int] = dict.fromkeys(("accepted", "done", "denied", "terminated", "lost"), 0)
        self.kills = 0  # of dispatchers, by a trap or by the clock
        self.traps: dict[int, tuple[str, int]] = {}  # by dispatcher: the point, and how long it is away then
        fleet = scenario.fleet
        self.dispatcher_port = DISPATCHER_PORT
        self.dispatcher_machines = [
            Machine(DISPATCHER, number, self.zone_of(number)) for number in range(fleet.dispatchers)
        ]
        self.dispatchers = [EmulatedDispatcher(machine) for machine in self.dispatcher_machines]
        entries = [self.entry(number) for number in range(fleet.workers)]
        self.agents = [DiscoveryAgent(entries) for _ in self.dispatchers]
        roster = scenario.roster
        self.calls = (
            CallCapacity(int(roster.call * 1e6), int(roster.call_waits * 1e6)) if roster.call else None
        )
        self.agent_sites = [
            DiscoverySite(host, number, agent, scenario.seed, roster.whole, self.endpoint(number), self.calls)
            for number, agent in enumerate(self.agents)
        ]
        pods: dict[int, DeduplicationCell] = {}
        # A tenth of a second more than is promised: a repeat sent in time is taken a little later.
        longest = max(memory.values(), default=0) + 100_000
        self.workers = [
            WorkerSite(
                self,
                number,
                EmulatedWorker(self.worker_terms(number), 0),
                pods.setdefault(entry.pod, DeduplicationCell(longest)),
                entry,
            )
            for number, entry in enumerate(entries)
        ]
        self.clients = [ClientSite(self, zone) for zone in range(fleet.zones)]
        self.timeline = FaultInjector(self)

    # --- how the fleet is made

    def zone_of(self, number: int) -> int:
        return number % self.script.fleet.zones

    def worker_terms(self, number: int) -> WorkerConfig:
        kind, terms = assign_worker_types(self.script)[number], self.script.worker
        return WorkerConfig(
            kind.cores,
            kind.speed,
            terms.queue,
            terms.cold_from,
            max(1, int(terms.cold_for * 1e6)),
            terms.fall_factor,
            int(terms.fall_for * 1e6),
            int(terms.progress * 1e6),
            terms.cancels,
            terms.hands_back,
        )

    def entry(self, number: int, boot_at: int = 0) -> ListedWorker:
        kind, zone = assign_worker_types(self.script)[number], self.zone_of(number)
        pod = number // self.script.fleet.zones // self.script.fleet.pod * self.script.fleet.zones + zone
        # Roughly, as a roster knows it: the size of the machine.
        rating = round(kind.cores * kind.speed, 3)
        return ListedWorker(number, f"w{number}", f"zone{zone}", kind.name, pod, ACTIVE, rating, boot_at)

    def endpoint(self, dispatcher: int) -> Any:
        """A worker's address as that dispatcher is told it."""

        def spell(number: int) -> str:
            machine = Machine(WORKER, number, self.zone_of(number))
            return f"{self.host.address(machine)}:{WORKER_PORT + dispatcher}"

        return spell

    def body(self, request: ClientRequest) -> bytes:
        size = self.script.clients.bodies
        return (f"{request.number:x}." * (size // 2 + 1))[:size].encode()

    def next_key(self) -> int:
        self.keys += 1
        return self.keys

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self.tasks[task] = None
        task.add_done_callback(lambda done: self.tasks.pop(done, None))
        return task

    # --- what the stand-ins ask of each other

    def links_changed_at(self) -> int:
        return self.timeline.links_changed_at

    def could_have_ended(self, came: ReceivedAttempt) -> bool:
        """Whether a dispatcher could have ended that dispatch in a way that both sides know."""
        site = self.workers[came.worker]
        if came.accepted_at is not None and not self.kept_grades:
            # Its 202 has come through: nothing but a word or a withdrawal that came ends it, however silent
            # its worker is. But one may have been lost under way when the link was just cut.
            since = self.links.last_cut_at(site.machine, self.dispatcher_machines[came.dispatcher])
            return since is None or self.host.now() - since > UNDER_WAY
        settled = self.host.now() - max(site.troubled_at, self.timeline.links_changed_at) > UNSETTLED
        return site.worker.up and settled and not site.cut_from(came.dispatcher)

    def held_back(self, one: Machine, other: Machine, came_at: int) -> int | None:
        """When the link was cut, if what came then may have waited for it to be whole."""
        since = self.links.last_cut_at(one, other)
        changed = self.timeline.links_changed_at
        until = changed + self.links.max_delay(one, other) + HEALING + self.host.slack
        if since is None or not changed <= came_at <= until:
            return None
        return since

    def list_change(self, entry: ListedWorker, state: str, after: float) -> None:
        changed = ListedWorker(
            entry.number, entry.uid, entry.zone, entry.model, entry.pod, state, entry.rating, entry.boot_at
        )
        for number, site in enumerate(self.agent_sites):
            late = chance.unit(self.script.seed, "roster", number, entry.number, state, entry.boot_at)
            due = self.host.now() + int((after + late * self.script.roster.spread) * 1e6)
            self.agents[number].change(due, changed)
            site.changed()

    def running(self, by: int) -> None:
        """So many more jobs use what all workers share."""
        self.shared.running += by
        if self.shared.capacity:
            self.reshare()

    def reshare(self) -> None:
        factor = self.shared.factor()
        # Small changes are not worth bringing every worker up to date for.
        if abs(factor - self.workers[0].worker.shared) < 0.02:
            return
        for site in self.workers:
            if site.worker.up and not site.worker.words:
                site.worker.words = site.worker.advance(self.host.now())
            site.worker.shared = factor
        for site in self.workers:
            site.schedule()

    def waits(self, request: ClientRequest) -> None:
        self.wait_by[request.grade.name].record_value(
            min(LONGEST_WAIT, max(1, request.answered_at - request.at))
        )

    def pause_later(self, site: WorkerSite) -> None:
        """The next of the short pauses that every worker makes now and then."""
        terms, life = self.script.worker, site.life
        if not terms.pause_every or not terms.pause:
            return
        drawn = self.next_key()
        gap = terms.pause_every * (0.5 + chance.unit(self.script.seed, "pause", drawn))
        span = terms.pause * 2 * chance.unit(self.script.seed, "span", drawn)

        def pause() -> None:
            if site.life == life and site.worker.up and not self.ended:
                site.pause(self.host.now() + int(span * 1e6))
                self.pause_later(site)

        self.host.call_at(self.host.now() + int(gap * 1e6), pause)

    # --- dispatchers

    def start_file(self, number: int) -> dict[str, Any]:
        """Return what a dispatcher is told at its start, with the endpoint list as its agent has it now."""
        here = self.host.address(self.dispatchers[number].machine)
        return told.config(
            self.script,
            number,
            f"{here}:{self.dispatcher_port}",
            f"{here}:{ROSTER_PORT}",
            self.agent_sites[number].known(),
        )

    def start_dispatcher(self, number: int) -> None:
        dispatcher = self.dispatchers[number]
        if dispatcher.alive:
            return
        dispatcher.life += 1
        dispatcher.alive, dispatcher.stopping = True, False
        config = self.start_file(number)
        config["seed"] = f"{(self.script.seed * 1_000_003 + number * 1009 + dispatcher.life) & (2**64 - 1):x}"
        self.host.start_dispatcher(number, config)

    def kill_dispatcher(self, number: int) -> None:
        dispatcher = self.dispatchers[number]
        if not dispatcher.alive:
            return
        dispatcher.alive = False
        self.kills += 1
        self.checker.killed(list(dispatcher.open.values()))
        self.host.kill_dispatcher(number)
        self.gone(number)

    def dispatcher_at(self, number: int, point: str) -> None:
        """A dispatcher has come to a point that is named: a trap there kills it before it does more."""
        trap = self.traps.get(number)
        if trap is not None and trap[0] == point and self.dispatchers[number].alive:
            del self.traps[number]
            self.sprung += 1
            self.kill_dispatcher(number)
            self.host.call_at(self.host.now() + trap[1], self.start_dispatcher, number)

    def stop_dispatcher(self, number: int) -> None:
        """SIGTERM; the timeline kills what has not ended in time."""
        if self.dispatchers[number].alive:
            self.dispatchers[number].stopping = True
            self.host.stop_dispatcher(number)
            self.host.call_at(self.host.now() + TAKEN_OUT_AFTER, self.taken_out, number)

    def taken_out(self, number: int) -> None:
        if self.dispatchers[number].stopping:
            for site in self.clients:
                site.front.remove(number)

    def gone(self, number: int) -> None:
        for site in self.clients:
            site.front.note_death(number, self.host.now())
            site.lines[number].close()

    async def watch_dispatcher(self, number: int) -> None:
        """The front's question whether it is ready, on a connection of its own each time."""
        dispatcher, check = self.dispatchers[number], self.script.front.check
        site = self.clients[dispatcher.machine.zone]
        while True:
            life = dispatcher.life
            if dispatcher.alive and not dispatcher.stopping:
                lines = ClientConnectionPool(
                    self.host, site.machine, dispatcher.machine, site.lines[number].address
                )
                try:
                    async with asyncio.timeout(1.0):
                        line = await lines.take()
                        reply = await line.ask(UpstreamRequest("GET", "/health/ready", []))
                    if reply.status == 200 and dispatcher.life == life and dispatcher.alive:
                        for each in self.clients:
                            each.front.ready(number)
                except (OSError, TimeoutError, ProtocolError):
                    pass  # not ready
                finally:
                    lines.close()
            if dispatcher.alive and not self.host.dispatcher_runs(number):
                # By itself it ends only after SIGTERM.
                self.crashed += not dispatcher.stopping
                dispatcher.alive = False
                self.gone(number)
            await asyncio.sleep(check)

    # --- the whole

    async def play(self) -> None:
        """From the start of the dispatchers to the last answer; raises NotReady."""
        for number, site in enumerate(self.agent_sites):
            here = self.dispatcher_machines[number]
            address = (self.host.address(here), ROSTER_PORT)
            await self.host.listen(here, here, address, lambda site=site: DiscoveryConnection(site))  # type: ignore[misc]
        for worker in self.workers:
            await worker.open()
        for number in range(len(self.dispatchers)):
            self.start_dispatcher(number)
            self.spawn(self.watch_dispatcher(number))
        waited = 0.0
        while not all(
            any(site.front.in_service.get(number) for site in self.clients) or self.nobodys(number)
            for number in range(len(self.dispatchers))
        ):
            await asyncio.sleep(0.05)
            waited += 0.05
            if waited > READY_WITHIN:
                raise NotReadyError(f"not all dispatchers were ready within {READY_WITHIN:.0f} s")
        self.host.begin()
        for worker in self.workers:
            worker.worker.start(self.host.now(), cold=False)
            self.pause_later(worker)
        self.timeline.set()
        self.spawn(self.sample())
        asking = self.spawn(self.traffic())
        await asking
        await asyncio.gather(*self.playing)
        self.ended = True

    def nobodys(self, number: int) -> bool:
        return not any(number in site.front.in_service for site in self.clients)

    async def traffic(self) -> None:
        self.playing: list[asyncio.Task[None]] = []
        for request in self.asks:
            wait = request.at - self.host.now()
            if wait > 0:
                await asyncio.sleep(wait / 1e6)
            request.at = max(request.at, self.host.now())
            self.playing.append(self.spawn(self.clients[request.zone].play(request)))

    async def sample(self) -> None:
        while True:
            now = self.host.now()
            up = [site.worker for site in self.workers if site.worker.up]
            self.samples.append(
                Sample(
                    now,
                    sum(len(one.open) for one in self.dispatchers),
                    sum(len(worker.queue) for worker in up),
                    sum(len(worker.jobs) for worker in up),
                    len(up),
                    sum(worker.is_cold(now) for worker in up),
                    sum(worker.slow * worker.shared > 1.0 or worker.held_until > now for worker in up),
                    sum(one.alive and not one.stopping for one in self.dispatchers),
                )
            )
            await asyncio.sleep(1.0)

    def close(self) -> None:
        """Ends what is still under way, also in the middle of a rehearsal."""
        self.ended = True
        for task in list(self.tasks):
            task.cancel()
        for number, dispatcher in enumerate(self.dispatchers):
            if dispatcher.alive or self.host.dispatcher_runs(number):
                self.host.kill_dispatcher(number)
                dispatcher.alive = False


__all__ = ["LEAVING", "NotReadyError", "ScenarioRunner"]
