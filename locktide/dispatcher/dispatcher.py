"""One dispatcher: assembles its components and handles the messages of its listener."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from locktide.config.address import Address
from locktide.config.start import Start
from locktide.dispatcher.attempts import AttemptRunner
from locktide.dispatcher.background_tasks import BackgroundTasks
from locktide.dispatcher.callbacks import CallbackHandler
from locktide.dispatcher.cancellation import CancellationService
from locktide.dispatcher.cancellation_delivery import CancellationDelivery
from locktide.dispatcher.cleanup import PeriodicCleanup
from locktide.dispatcher.clock import Clock
from locktide.dispatcher.command_executor import CommandExecutor, RequestCommandExecutor
from locktide.dispatcher.completion import AttemptCompletion
from locktide.dispatcher.endpoint_directory import EndpointDirectory
from locktide.dispatcher.endpoint_follower import EndpointFollower
from locktide.dispatcher.endpoint_list import EndpointListHandler
from locktide.dispatcher.failure_responses import FailureResponder
from locktide.dispatcher.job_host import JobHost
from locktide.dispatcher.job_sender import JobSender
from locktide.dispatcher.job_store import AttemptLeases, JobStore
from locktide.dispatcher.lifecycle import Lifecycle
from locktide.dispatcher.loop_lag import LoopLagMonitor
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.reload import ConfigReloader
from locktide.dispatcher.request_timeouts import RequestTimeouts
from locktide.dispatcher.requests import RequestService
from locktide.dispatcher.runtime import Runtime, ServingState
from locktide.dispatcher.scheduler_bridge import SchedulerBridge
from locktide.dispatcher.settings import DispatcherSettings, SettingsUpdater, with_socket_settings
from locktide.dispatcher.shutdown import GracefulShutdown
from locktide.dispatcher.startup import Startup
from locktide.dispatcher.worker_replies import WorkerReplyHandler
from locktide.protocol.discovery import DiscoveryUpdate
from locktide.protocol.messages import Callback, JobQuery, SubmitRequest
from locktide.scheduler.scheduler import Scheduler
from locktide.transport.descriptor_budget import split_descriptors
from locktide.transport.interfaces import RequestHandler, Response, System
from locktide.transport.listener import Listener
from locktide.transport.log import Log
from locktide.transport.system import RealSystem
from locktide.transport.upstream_pool import UpstreamPool

#: Bytes of memory that the process uses with hundreds of connections open and no message stored.
BASE_MEMORY = 22 << 20
#: Messages that are partly received or waiting may use the remaining memory divided by this: the rest is for
#: their copies, which are made while they are received in pieces and sent on.
STORED_MEMORY_DIVISOR = 2


class Dispatcher:
    """One dispatcher process.

    Attributes:
        loop: The event loop.
        clock: The clock of events and commands.
        settings: The settings in force.
        registry: The open requests.
        endpoints: The workers in the endpoint list.
        tasks: The running tasks of attempts and cancellations.
        bridge: Passes events to the scheduler; its observers see each event and command.
        job_host: The interface of the dispatcher to the service of durable jobs.
    """

    def __init__(
        self,
        start: Start,
        cached_list: DiscoveryUpdate,
        log: Log,
        system: System | None = None,
        upstream: UpstreamPool | None = None,
    ) -> None:
        """Assemble a dispatcher without serving yet.

        Args:
            start: The settings.
            cached_list: The cached endpoint list.
            log: The log.
            system: Clock and sockets of the machine; those of the operating system by default.
            upstream: The pool of connections to workers; a new pool by default.
        """
        system = system or RealSystem()
        start = with_socket_settings(start)
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(self.loop, system.wall)
        self.runtime = Runtime(loop=self.loop, lag=LoopLagMonitor(self.loop), clock=self.clock, log=log)
        self.state = ServingState()
        self.scheduler = Scheduler(start.seed, start.scheduler_config)
        self._open_transport(start, system, upstream)
        self._apply_settings(start)
        self._assemble_attempt_endings()
        self._assemble_requests()
        self._assemble_endpoint_list()
        self._assemble_commands()
        self._assemble_process(start.listen)
        self.endpoint_list.apply_cached(cached_list)

    def _open_transport(self, start: Start, system: System, upstream: UpstreamPool | None) -> None:
        """Create the listener and the pool of connections to workers."""
        client_descriptors, worker_descriptors = split_descriptors(start.descriptors)
        if upstream is None:
            upstream = UpstreamPool(worker_descriptors, start.connect_within, start.idle_close)
        self.upstream = upstream
        self.listener = Listener(
            descriptors=client_descriptors,
            timeouts={},
            keyed_classes=set(),
            max_stored_bytes=(start.memory - BASE_MEMORY) // STORED_MEMORY_DIVISOR,
            request_handler=self,
            log=self.log,
            system=system,
        )

    def _apply_settings(self, start: Start) -> None:
        """Put the initial settings in force."""
        self.settings = DispatcherSettings(
            discovery=start.discovery,
            endpoint_list=start.scheduler_config.endpoint_list,
            connect_within=start.connect_within,
        )
        self.updater = SettingsUpdater(settings=self.settings, upstream=self.upstream, listener=self.listener)
        self.updater.apply(start)

    def _assemble_attempt_endings(self) -> None:
        """Create the components that store the requests and end their attempts."""
        self.endpoints = EndpointDirectory()
        self.tasks = BackgroundTasks()
        self.leases = AttemptLeases()
        self.registry = RequestRegistry(self.loop, self.settings)
        self.bridge = SchedulerBridge(self.scheduler, self.runtime)
        self.completion = AttemptCompletion(registry=self.registry, bridge=self.bridge, leases=self.leases)
        self.cancellations = CancellationService(
            registry=self.registry,
            completion=self.completion,
            delivery=CancellationDelivery(
                upstream=self.upstream, endpoints=self.endpoints, settings=self.settings, log=self.log
            ),
            tasks=self.tasks,
        )

    def _assemble_requests(self) -> None:
        """Create the components that accept requests, callbacks and the jobs of an earlier process."""
        self.callbacks = CallbackHandler(
            registry=self.registry,
            bridge=self.bridge,
            completion=self.completion,
            cancellations=self.cancellations,
        )
        self.timeouts = RequestTimeouts(
            registry=self.registry,
            bridge=self.bridge,
            completion=self.completion,
            cancellations=self.cancellations,
            runtime=self.runtime,
        )
        self.requests = RequestService(
            registry=self.registry,
            bridge=self.bridge,
            timeouts=self.timeouts,
            tasks=self.tasks,
            runtime=self.runtime,
            state=self.state,
        )
        self.job_host = JobHost(
            clock=self.clock,
            registry=self.registry,
            requests=self.requests,
            cancellations=self.cancellations,
            endpoints=self.endpoints,
            settings=self.settings,
        )

    def _assemble_endpoint_list(self) -> None:
        """Create the components that follow and apply the endpoint list."""
        self.endpoint_list = EndpointListHandler(
            endpoints=self.endpoints,
            upstream=self.upstream,
            cancellations=self.cancellations,
            bridge=self.bridge,
        )
        self.follower = EndpointFollower(
            settings=self.settings, endpoint_list=self.endpoint_list, bridge=self.bridge, log=self.log
        )

    def _assemble_commands(self) -> None:
        """Create the components that execute the scheduler's commands, and connect them to the bridge."""
        self.failures = FailureResponder(
            registry=self.registry, cancellations=self.cancellations, log=self.log
        )
        self.attempts = AttemptRunner(
            registry=self.registry,
            tasks=self.tasks,
            leases=self.leases,
            sender=JobSender(
                upstream=self.upstream, endpoints=self.endpoints, bridge=self.bridge, runtime=self.runtime
            ),
            replies=WorkerReplyHandler(
                registry=self.registry,
                completion=self.completion,
                cancellations=self.cancellations,
                log=self.log,
            ),
            log=self.log,
        )
        request_commands = RequestCommandExecutor(
            registry=self.registry,
            state=self.state,
            runtime=self.runtime,
            attempts=self.attempts,
            cancellations=self.cancellations,
            failures=self.failures,
        )
        executor = CommandExecutor(
            request_commands=request_commands,
            bridge=self.bridge,
            upstream=self.upstream,
            follower=self.follower,
            log=self.log,
        )
        self.bridge.connect(executor.execute)

    def _assemble_process(self, listen_address: Address) -> None:
        """Create the components for start, reload and shutdown."""
        self.reloader = ConfigReloader(
            updater=self.updater,
            bridge=self.bridge,
            registry=self.registry,
            follower=self.follower,
            log=self.log,
        )
        self.startup = Startup(
            follower=self.follower,
            endpoints=self.endpoints,
            listener=self.listener,
            listen_address=listen_address,
            state=self.state,
            log=self.log,
        )
        self.shutdown = GracefulShutdown(
            listener=self.listener,
            registry=self.registry,
            tasks=self.tasks,
            settings=self.settings,
            state=self.state,
            runtime=self.runtime,
        )
        self.lifecycle = Lifecycle(
            startup=self.startup,
            cleanup=PeriodicCleanup(upstream=self.upstream, registry=self.registry),
            shutdown=self.shutdown,
            follower=self.follower,
            listener=self.listener,
            runtime=self.runtime,
        )

    # --- running the process

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop`, finish the requests that were accepted, and return."""
        await self.lifecycle.run(stop)

    def reload(self, start: Start) -> None:
        """Put new settings in force; see `ConfigReloader.reload`."""
        self.reloader.reload(start)

    def attach_job_store(self, job_store: JobStore, request_handler: RequestHandler) -> None:
        """Store durable jobs in `job_store` and pass messages to `request_handler` from now on."""
        self.leases.job_store = job_store
        self.listener.request_handler = request_handler
        self.listener.keeps_jobs = True

    # --- the interface `RequestHandler`, which the listener calls

    def is_ready(self) -> bool:
        """Return whether the process accepts requests."""
        return self.state.is_serving

    def submit(self, message: SubmitRequest) -> asyncio.Future[Response] | None:
        """Accept a request; return the future of its response, or None if its id is known already."""
        return self.requests.submit(message)

    def client_disconnected(self, message: SubmitRequest) -> None:
        """Cancel the response to a request whose client has disconnected."""
        self.requests.client_disconnected(message)

    def handle_callback(self, message: Callback) -> None:
        """Apply a worker's callback."""
        self.callbacks.handle_callback(message)

    def query_job(self, message: JobQuery) -> Response:  # noqa: ARG002 - without a job store there are no jobs
        """Respond that the job does not exist."""
        return Response(HTTPStatus.NOT_FOUND, b"no such job\n")
