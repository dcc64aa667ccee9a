"""Runs one scenario: sets up emulated workers, clients and discovery, starts dispatchers, injects faults."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

from locktide.simulation import rendered_config
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
from locktide.simulation.worker_site import SETTLING_TIME, WorkerConnection, WorkerSite

READY_TIMEOUT = 30.0  # seconds for all dispatchers to be ready before the traffic begins
# Microseconds until load balancers take a stopped dispatcher out of service; 0.2 to 0.4 s on the platform.
TAKEN_OUT_AFTER = 300_000
# Microseconds from the sending of a cancellation until an attempt that may follow it has arrived.
CANCELLATION_TRANSIT_TIME = 1_000_000
HEAL_TIME = 5_000  # microseconds, beside the delay, until everything held back by a restored link has arrived
MAX_RECORDED_WAIT = 120_000_000  # microseconds; upper end of the response time histograms


class NotReadyError(Exception):
    """A dispatcher did not become ready."""


@dataclass(slots=True)
class Sample:
    """State of the run at one moment; the report plots the samples over time."""

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
        self.scenario, self.host = scenario, host
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
        self.submissions: dict[str, RequestTry] = {}
        self.requests: list[ClientRequest] = traffic.draw_requests(scenario)
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.half_open: list[WorkerConnection] = []
        self.samples: list[Sample] = []
        self.response_times: dict[str, HdrHistogram] = {
            grade.name: HdrHistogram(1, MAX_RECORDED_WAIT, 3) for grade in scenario.grade
        }
        self.keys = self.triggered_traps = self.crashed = 0
        self.ended = False
        self.durable_classes = frozenset(
            rendered_config.durable_classes(scenario) if scenario.durable.asks else ()
        )
        self.durable_counts: dict[str, int] = dict.fromkeys(
            ("accepted", "done", "denied", "terminated", "lost"), 0
        )
        self.dispatcher_kills = 0  # by traps and by timed faults
        # By dispatcher: the crash point, and the microseconds until the restart.
        self.pending_traps: dict[int, tuple[str, int]] = {}
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
        # A tenth of a second longer than configured, as a repeat sent in time is accepted a little later.
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

    # --- set-up of the fleet

    def zone_of(self, number: int) -> int:
        return number % self.scenario.fleet.zones

    def worker_terms(self, number: int) -> WorkerConfig:
        kind, terms = assign_worker_types(self.scenario)[number], self.scenario.worker
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
        kind, zone = assign_worker_types(self.scenario)[number], self.zone_of(number)
        pod = (
            number // self.scenario.fleet.zones // self.scenario.fleet.pod * self.scenario.fleet.zones + zone
        )
        # The rating is only the size of the machine, as a discovery service knows no more.
        rating = round(kind.cores * kind.speed, 3)
        return ListedWorker(number, f"w{number}", f"zone{zone}", kind.name, pod, ACTIVE, rating, boot_at)

    def endpoint(self, dispatcher: int) -> Any:
        """Return a function from a worker's number to its address in the endpoint list of that dispatcher."""

        def format_endpoint(number: int) -> str:
            machine = Machine(WORKER, number, self.zone_of(number))
            return f"{self.host.address(machine)}:{WORKER_PORT + dispatcher}"

        return format_endpoint

    def body(self, request: ClientRequest) -> bytes:
        size = self.scenario.clients.bodies
        return (f"{request.number:x}." * (size // 2 + 1))[:size].encode()

    def next_key(self) -> int:
        self.keys += 1
        return self.keys

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self.tasks[task] = None
        task.add_done_callback(lambda done: self.tasks.pop(done, None))
        return task

    # --- context of the emulated machines

    def links_changed_at(self) -> int:
        return self.timeline.links_changed_at

    def could_have_ended(self, received: ReceivedAttempt) -> bool:
        """Return whether the dispatcher could have ended that attempt in a way that both sides know."""
        site = self.workers[received.worker]
        if received.accepted_at is not None and not self.durable_classes:
            # The dispatcher has its 202: only a callback or a cancellation that arrived ends the attempt,
            # however silent the worker is. But one of these may have been lost when the link was just cut.
            since = self.links.last_cut_at(site.machine, self.dispatcher_machines[received.dispatcher])
            return since is None or self.host.now() - since > CANCELLATION_TRANSIT_TIME
        settled = self.host.now() - max(site.disturbed_at, self.timeline.links_changed_at) > SETTLING_TIME
        return site.worker.up and settled and not site.cut_from(received.dispatcher)

    def held_back(self, source: Machine, target: Machine, came_at: int) -> int | None:
        """Return when the link was cut if that may have held back what arrived at `came_at`, else None."""
        since = self.links.last_cut_at(source, target)
        changed = self.timeline.links_changed_at
        until = changed + self.links.max_delay(source, target) + HEAL_TIME + self.host.slack
        if since is None or not changed <= came_at <= until:
            return None
        return since

    def announce_change(self, entry: ListedWorker, state: str, after: float) -> None:
        changed = ListedWorker(
            entry.number, entry.uid, entry.zone, entry.model, entry.pod, state, entry.rating, entry.boot_at
        )
        for number, site in enumerate(self.agent_sites):
            fraction = chance.unit(self.scenario.seed, "roster", number, entry.number, state, entry.boot_at)
            due = self.host.now() + int((after + fraction * self.scenario.roster.spread) * 1e6)
            self.agents[number].change(due, changed)
            site.changed()

    def add_running_jobs(self, count: int) -> None:
        """Change the number of jobs that use the shared resource."""
        self.shared.running += count
        if self.shared.capacity:
            self.apply_shared_slowdown()

    def apply_shared_slowdown(self) -> None:
        factor = self.shared.factor()
        # Small changes are not worth the cost of updating every worker.
        if abs(factor - self.workers[0].worker.shared) < 0.02:
            return
        for site in self.workers:
            if site.worker.up and not site.worker.reports:
                site.worker.reports = site.worker.advance(self.host.now())
            site.worker.shared = factor
        for site in self.workers:
            site.schedule()

    def record_response_time(self, request: ClientRequest) -> None:
        self.response_times[request.grade.name].record_value(
            min(MAX_RECORDED_WAIT, max(1, request.answered_at - request.at))
        )

    def schedule_pause(self, site: WorkerSite) -> None:
        """Schedule the next of the short random pauses of a worker."""
        terms, life = self.scenario.worker, site.life
        if not terms.pause_every or not terms.pause:
            return
        pause_number = self.next_key()
        gap = terms.pause_every * (0.5 + chance.unit(self.scenario.seed, "pause", pause_number))
        span = terms.pause * 2 * chance.unit(self.scenario.seed, "span", pause_number)

        def pause() -> None:
            if site.life == life and site.worker.up and not self.ended:
                site.pause(self.host.now() + int(span * 1e6))
                self.schedule_pause(site)

        self.host.call_at(self.host.now() + int(gap * 1e6), pause)

    # --- dispatchers

    def start_file(self, number: int) -> dict[str, Any]:
        """Return the start document of a dispatcher, with the endpoint list as its agent has it now."""
        here = self.host.address(self.dispatchers[number].machine)
        return rendered_config.config(
            self.scenario,
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
        config["seed"] = (
            f"{(self.scenario.seed * 1_000_003 + number * 1009 + dispatcher.life) & (2**64 - 1):x}"
        )
        self.host.start_dispatcher(number, config)

    def kill_dispatcher(self, number: int) -> None:
        dispatcher = self.dispatchers[number]
        if not dispatcher.alive:
            return
        dispatcher.alive = False
        self.dispatcher_kills += 1
        self.checker.killed(list(dispatcher.open.values()))
        self.host.kill_dispatcher(number)
        self.gone(number)

    def reach_crash_point(self, number: int, point: str) -> None:
        """Kill a dispatcher at once if a trap is set at the crash point that it has reached."""
        trap = self.pending_traps.get(number)
        if trap is not None and trap[0] == point and self.dispatchers[number].alive:
            del self.pending_traps[number]
            self.triggered_traps += 1
            self.kill_dispatcher(number)
            self.host.call_at(self.host.now() + trap[1], self.start_dispatcher, number)

    def stop_dispatcher(self, number: int) -> None:
        """Send SIGTERM; the fault injector kills a process that does not end in time."""
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
        """Check the readiness of a dispatcher for the load balancers, each time on a new connection."""
        dispatcher, check = self.dispatchers[number], self.scenario.front.check
        site = self.clients[dispatcher.machine.zone]
        while True:
            life = dispatcher.life
            if dispatcher.alive and not dispatcher.stopping:
                pool = ClientConnectionPool(
                    self.host, site.machine, dispatcher.machine, site.lines[number].address
                )
                try:
                    async with asyncio.timeout(1.0):
                        connection = await pool.take()
                        reply = await connection.ask(UpstreamRequest("GET", "/health/ready", []))
                    if reply.status == 200 and dispatcher.life == life and dispatcher.alive:
                        for each in self.clients:
                            each.front.note_ready(number)
                except (OSError, TimeoutError, ProtocolError):
                    pass  # not ready
                finally:
                    pool.close()
            if dispatcher.alive and not self.host.dispatcher_runs(number):
                # Without SIGTERM a dispatcher that has ended has crashed.
                self.crashed += not dispatcher.stopping
                dispatcher.alive = False
                self.gone(number)
            await asyncio.sleep(check)

    # --- the run

    async def play(self) -> None:
        """Run the scenario, from the start of the dispatchers to the last response; raise NotReadyError."""
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
            any(site.front.in_service.get(number) for site in self.clients) or self.is_unserved(number)
            for number in range(len(self.dispatchers))
        ):
            await asyncio.sleep(0.05)
            waited += 0.05
            if waited > READY_TIMEOUT:
                raise NotReadyError(f"not all dispatchers were ready within {READY_TIMEOUT:.0f} s")
        self.host.begin()
        for worker in self.workers:
            worker.worker.start(self.host.now(), cold=False)
            self.schedule_pause(worker)
        self.timeline.set()
        self.spawn(self.sample())
        sender = self.spawn(self.send_requests())
        await sender
        await asyncio.gather(*self.playing)
        self.ended = True

    def is_unserved(self, number: int) -> bool:
        return not any(number in site.front.in_service for site in self.clients)

    async def send_requests(self) -> None:
        self.playing: list[asyncio.Task[None]] = []
        for request in self.requests:
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
                    sum(len(entry.open) for entry in self.dispatchers),
                    sum(len(worker.queue) for worker in up),
                    sum(len(worker.jobs) for worker in up),
                    len(up),
                    sum(worker.is_cold(now) for worker in up),
                    sum(worker.slow * worker.shared > 1.0 or worker.held_until > now for worker in up),
                    sum(entry.alive and not entry.stopping for entry in self.dispatchers),
                )
            )
            await asyncio.sleep(1.0)

    def close(self) -> None:
        """Cancel all tasks and kill all dispatchers, also in the middle of a run."""
        self.ended = True
        for task in list(self.tasks):
            task.cancel()
        for number, dispatcher in enumerate(self.dispatchers):
            if dispatcher.alive or self.host.dispatcher_runs(number):
                self.host.kill_dispatcher(number)
                dispatcher.alive = False


__all__ = ["LEAVING", "NotReadyError", "ScenarioRunner"]
