"""One dispatcher, assembled: its parts, and what other packages use of them."""

from __future__ import annotations

import asyncio

from locktide.config.address import Address
from locktide.config.start import Start
from locktide.dispatcher.attempts import AttemptRunner
from locktide.dispatcher.background_tasks import BackgroundTasks
from locktide.dispatcher.callbacks import CallbackHandler
from locktide.dispatcher.cancellation import CancellationService
from locktide.dispatcher.clock import Clock
from locktide.dispatcher.completion import AttemptCompletion
from locktide.dispatcher.endpoint_directory import EndpointDirectory
from locktide.dispatcher.endpoint_follower import EndpointFollower
from locktide.dispatcher.job_store import AttemptLeases, JobStore
from locktide.dispatcher.lifecycle import Lifecycle
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.reload import ConfigReloader
from locktide.dispatcher.requests import RequestService
from locktide.dispatcher.runtime import Runtime, ServingState
from locktide.dispatcher.scheduler_bridge import CommandHandler, SchedulerBridge
from locktide.dispatcher.scheduler_log import emit_log_event
from locktide.dispatcher.settings import DispatcherSettings, with_socket_settings
from locktide.protocol.discovery import DiscoveryUpdate
from locktide.protocol.messages import Callback, JobQuery, SubmitRequest
from locktide.scheduler import commands
from locktide.scheduler.events import EndpointListUpdate, RecoveredAttempt
from locktide.scheduler.scheduler import Scheduler
from locktide.scheduler.types import ListUpdateKind
from locktide.transport.client_connection import RequestHandler, Response
from locktide.transport.descriptor_budget import split_descriptors
from locktide.transport.listener import Listener
from locktide.transport.log import Log
from locktide.transport.system import RealSystem, System
from locktide.transport.upstream_pool import UpstreamPool

# Bytes that the process takes with hundreds of connections open and nothing stored. Half of what is left is
# for messages on their way in or waiting; the other half is for their copies, in parts and on their way out.
BASE_MEMORY = 22 << 20


class Dispatcher:
    """One dispatcher process: assembles the parts, and is the request handler of its listener.

    `upstream` stands in for the connections to workers; by default they are opened on `system`.
    """

    def __init__(
        self,
        start: Start,
        known: DiscoveryUpdate,
        log: Log,
        system: System | None = None,
        upstream: UpstreamPool | None = None,
    ) -> None:
        system = system or RealSystem()
        start = with_socket_settings(start)
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(self.loop, system.wall)
        self.log = log
        self.scheduler = Scheduler(start.seed, start.scheduler_config)
        to_clients, to_workers = split_descriptors(start.descriptors)
        if upstream is None:
            upstream = UpstreamPool(to_workers, start.connect_within, start.idle_close)
        self.upstream = upstream
        most_stored = (start.memory - BASE_MEMORY) // 2
        self.listener = Listener(to_clients, {}, set(), most_stored, self, log, system)
        self.settings = DispatcherSettings(
            start.discovery, start.scheduler_config.endpoint_list, start.connect_within
        )
        self.settings.apply(start, self.upstream, self.listener)
        self.endpoints = EndpointDirectory()
        self.state = ServingState()
        self.tasks = BackgroundTasks()
        self.leases = AttemptLeases()
        runtime = Runtime(self.loop, self.clock, log)
        self._assemble_requests(runtime)
        self._assemble_process(runtime, start.listen, known.version if known.entries else None)
        # What attached services read of the parts.
        self.observers = self.bridge.observers
        self.open_requests = self.registry.open_requests
        self.answered_ids = self.registry.answered_ids
        self.bridge.register_handlers(self._command_handlers())
        self.endpoints.apply(known)
        self.enqueue_event(EndpointListUpdate(ListUpdateKind.CACHED, known.entries))

    def _assemble_requests(self, runtime: Runtime) -> None:
        """Build what keeps and carries requests and their attempts."""
        state, tasks, leases = self.state, self.tasks, self.leases
        registry = self.registry = RequestRegistry(self.loop, self.settings)
        bridge = self.bridge = SchedulerBridge(self.scheduler, registry, runtime, state)
        completion = AttemptCompletion(registry, bridge, leases)
        cancellations = self.cancellations = CancellationService(
            registry, completion, self.endpoints, self.upstream, tasks, self.settings, self.log
        )
        self.attempts = AttemptRunner(
            registry, bridge, completion, cancellations, leases, self.endpoints, self.upstream, tasks, runtime
        )
        self.callbacks = CallbackHandler(registry, bridge, completion, cancellations)
        self.requests = RequestService(registry, bridge, completion, cancellations, tasks, runtime, state)

    def _assemble_process(
        self, runtime: Runtime, listen_address: Address, cached_version: int | None
    ) -> None:
        """Build what follows the endpoint list, reloads, starts and shuts down."""
        registry, bridge, settings = self.registry, self.bridge, self.settings
        self.follower = EndpointFollower(
            self.endpoints,
            registry,
            bridge,
            self.cancellations,
            self.upstream,
            settings,
            self.log,
            cached_version,
        )
        self.reloader = ConfigReloader(
            settings, self.upstream, self.listener, bridge, registry, self.follower, self.log
        )
        self.lifecycle = Lifecycle(
            self.listener,
            self.upstream,
            registry,
            self.tasks,
            self.follower,
            settings,
            self.state,
            runtime,
            listen_address,
        )

    def _command_handlers(self) -> dict[type, CommandHandler]:
        return {
            commands.StartAttempt: self.attempts.start_attempt,
            commands.CancelAttempt: self.cancellations.cancel_attempt,
            commands.RejectRequest: self.requests.reject,
            commands.FailRequest: self.requests.fail,
            commands.ReportInternalError: self.requests.fail_after_internal_error,
            commands.CloseIdleConnections: lambda command: self.upstream.close_idle(command.worker),
            commands.WriteLog: lambda command: emit_log_event(self.log, command.event),
            # Where the list is not polled, the watch is always on.
            commands.WatchEndpoints: lambda _: self.follower.request_watch(),
            commands.FetchEndpoints: lambda _: None,
        }

    # --- the process

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop`, finish what has been taken, and return."""
        await self.lifecycle.run(stop)

    def reload(self, start: Start) -> None:
        """Put new settings in force; see `ConfigReloader.reload`."""
        self.reloader.reload(start)

    # --- what attached services use

    def attach_job_store(self, job_store: JobStore, request_handler: RequestHandler) -> None:
        """From now on durable jobs are kept by `job_store`, and requests come to `request_handler` first."""
        self.leases.job_store = job_store
        self.listener.request_handler = request_handler
        self.listener.keeps_jobs = True

    def enqueue_event(self, event: object) -> None:
        """Queue an event for the scheduler; see `SchedulerBridge.enqueue_event`."""
        self.bridge.enqueue_event(event)

    def recover(
        self,
        message: SubmitRequest,
        arrived_at: int,
        deadline: int,
        attempts: list[RecoveredAttempt],
        fences: list[int],
    ) -> asyncio.Future[Response]:
        """Take up a job of an earlier process; see `RequestService.recover`."""
        return self.requests.recover(message, arrived_at, deadline, attempts, fences)

    def expire_lease(self, request_id: str, fence: int) -> None:
        """Cancel the attempt whose lease has run out; see `CancellationService.expire_lease`."""
        self.cancellations.expire_lease(request_id, fence)

    # --- the listener's request handler

    def is_ready(self) -> bool:
        """Whether the process serves."""
        return self.state.is_serving

    def submit(self, message: SubmitRequest) -> asyncio.Future[Response] | None:
        """Take a request; its response to come, or None where its id is known already."""
        return self.requests.submit(message)

    def client_disconnected(self, message: SubmitRequest) -> None:
        """Drop the response of a request whose client has gone."""
        self.requests.client_disconnected(message)

    def handle_callback(self, message: Callback) -> None:
        """Apply a worker's callback."""
        self.callbacks.handle_callback(message)

    def query_job(self, message: JobQuery) -> Response:  # noqa: ARG002 - without a job store there are no jobs
        """Respond that there is no such job."""
        return Response(404, b"no such job\n")
