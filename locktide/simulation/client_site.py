"""The emulated clients of one zone: they submit requests, wait for responses, and retry."""

from __future__ import annotations

import asyncio

from locktide.protocol import names
from locktide.protocol.client_connection import UpstreamRequest, UpstreamResponse
from locktide.protocol.errors import ProtocolError
from locktide.simulation.connection_pool import ClientConnectionPool, IdleConnection
from locktide.simulation.interfaces import ClientContext
from locktide.simulation.model import traffic
from locktide.simulation.model.network import CLIENT, Machine
from locktide.simulation.model.traffic import ClientRequest, LoadBalancer, RequestTry

# Microseconds past the time limit for which a client still waits, so that a late response is observed.
LATE_RESPONSE_WINDOW = 400_000
CONNECT_TIMEOUT = 1.0  # seconds
POLL_INTERVAL = 0.5  # seconds between two polls of a durable job
RESPONSE_TIMEOUT = 2.0  # seconds for a response that does not wait for a worker
DURABLE_GRACE = 20.0  # seconds past its time limit for which a durable job is polled
# Microseconds that this machine may need to process a close that crosses a send.
CLOSE_PROCESSING_TIME = 10_000


class ClientSite:
    def __init__(self, runner: ClientContext, zone: int) -> None:
        self.runner, self.zone = runner, zone
        self.machine = Machine(CLIENT, zone, zone)
        dispatchers = [m.number for m in runner.dispatcher_machines if m.zone == zone]
        everybody = [m.number for m in runner.dispatcher_machines]
        notice = int(runner.scenario.front.notice * 1e6)
        self.front = LoadBalancer(dispatchers or everybody, notice, runner.scenario.seed, zone)
        host = runner.host
        self.lines = [
            ClientConnectionPool(host, self.machine, there, (host.address(there), runner.dispatcher_port))
            for there in runner.dispatcher_machines
        ]

    async def play(self, request: ClientRequest) -> None:
        """Send one request, with its retries."""
        if request.grade.name in self.runner.durable_classes:
            await self.play_durable(request)
            return
        host, runner = self.runner.host, self.runner
        while True:
            now = host.now()
            submission = RequestTry(
                f"{runner.scenario.seed:x}-{request.number:x}-{len(request.tries)}",
                request,
                len(request.tries),
                -1,
                now,
            )
            request.tries.append(submission)
            runner.submissions[submission.id] = submission
            chosen = self.front.choose(now, request.home)
            if chosen is None:
                submission.ended = traffic.REFUSED
            else:
                submission.dispatcher = chosen
                await self.submit(submission)
            submission.ended_at = host.now()
            if submission.ended == traffic.ANSWERED:
                request.answered_at = submission.ended_at
                runner.record_response_time(request)
                return
            wait = traffic.retry_delay(request, submission, runner.scenario)
            if wait is None:
                return
            await asyncio.sleep(wait / 1e6)

    # --- durable jobs

    async def play_durable(self, request: ClientRequest) -> None:
        """Submit a durable job to one dispatcher until it is accepted, then poll there for its outcome.

        An accepted job counts as lost if no outcome is available within the time that the job may take.
        """
        host, runner = self.runner.host, self.runner
        homes = list(self.front.in_service)
        home = homes[request.number % len(homes)]
        limit_at = request.at + request.limit
        location = ""
        while not location and host.now() < limit_at:
            submission = RequestTry(
                f"{runner.scenario.seed:x}-{request.number:x}-{len(request.tries)}",
                request,
                len(request.tries),
                home,
                host.now(),
            )
            request.tries.append(submission)
            runner.submissions[submission.id] = submission
            reply = await self.send_to_home(self.build_request(submission), home)
            submission.ended_at = host.now()
            if reply is None or reply.status == 409:
                # Refused or disconnected; the idempotency key marks the next submission as a repeat.
                submission.ended = traffic.REFUSED
            elif reply.status in (200, 202):
                location = reply.headers.get("location", names.JOBS + submission.id)
            else:
                submission.ended = traffic.DENIED if reply.status in (429, 503) else traffic.TERMINATED
                if "job-state" in reply.headers:
                    return
            if not location:
                await asyncio.sleep(POLL_INTERVAL)
        if not location:
            return
        runner.durable_counts["accepted"] += 1
        await self.poll_durable(request, location, home)

    async def poll_durable(self, request: ClientRequest, location: str, home: int) -> None:
        host, runner = self.runner.host, self.runner
        until = host.now() + int((runner.scenario.durable.limit + DURABLE_GRACE) * 1e6)
        submission = runner.submissions[location[len(names.JOBS) :]]
        while host.now() < until:
            reply = await self.send_to_home(UpstreamRequest("GET", location, []), home)
            state = reply.headers.get("job-state") if reply is not None else None
            if reply is not None and (state or reply.status == 404):
                break
            await asyncio.sleep(POLL_INTERVAL)
        else:
            reply, state = None, None
        submission.ended_at = host.now()
        if reply is None or state is None:
            runner.durable_counts["lost"] += 1
            submission.ended = traffic.SILENT
            runner.checker.record_violation(
                host.now(), "lost", f"{submission.id}: accepted, and no final answer can be had"
            )
            return
        runner.durable_counts[state] += 1
        submission.ended = {"done": traffic.ANSWERED, "denied": traffic.DENIED}.get(state, traffic.TERMINATED)
        status = {"done": 200, "denied": 503}.get(state, 502)
        # The job is polled at intervals, so the response may be later than the dispatcher's outcome.
        runner.checker.answered(submission, min(host.now(), submission.limit_at), status, reply.body)
        if state == "done":
            request.answered_at = host.now()
            runner.record_response_time(request)

    async def send_to_home(self, question: UpstreamRequest, home: int) -> UpstreamResponse | None:
        """Send one request to the home dispatcher; return None if there is no response."""
        pool = self.lines[home]
        connection = None
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT):
                connection = await pool.take()
                reply = await connection.ask(question)
        except (OSError, ProtocolError, TimeoutError):
            if connection is not None:
                pool.drop(connection)
            return None
        pool.give_back(connection)
        return reply

    def build_request(self, submission: RequestTry) -> UpstreamRequest:
        request = submission.request
        headers = [
            (names.REQUEST_ID.encode(), submission.id.encode()),
            (names.SERVICE_CLASS.encode(), request.grade.name.encode()),
            (names.TIMEOUT.encode(), b"%dm" % (request.limit // 1000)),
        ]
        is_durable = request.grade.name in self.runner.durable_classes
        if is_durable:
            headers.append((names.PREFER.encode(), b"respond-async"))
        if request.grade.effect == "numbered" or is_durable:
            headers.append((names.IDEMPOTENCY_KEY.encode(), request.key.encode()))
        extras = [f"{names.WIDTH}={request.width}"] if request.width != 1 else []
        extras += [f"{names.TENANT}={request.tenant}"] if request.tenant else []
        if extras:
            headers.append((names.EXTRAS.encode(), ", ".join(extras).encode()))
        return UpstreamRequest("POST", f"/{request.grade.name}", headers, self.runner.body(request))

    async def submit(self, submission: RequestTry) -> None:
        """Send one submission, set how it ended, and report it to the checker."""
        runner, request, host = self.runner, submission.request, self.runner.host
        dispatcher = runner.dispatchers[submission.dispatcher]
        life = dispatcher.life
        closes_at = submission.sent_at + request.closes_after if request.closes_after else None
        until = closes_at or submission.limit_at + LATE_RESPONSE_WINDOW
        dispatcher.open[submission.id] = submission
        try:
            async with asyncio.timeout((until - host.now()) / 1e6):
                reply = await self.ask(submission)
        except TimeoutError:
            if closes_at is not None:
                submission.ended = traffic.CLOSED
                runner.checker.closed(submission, self.disconnect_noticed_at(submission))
            else:
                submission.ended = traffic.SILENT
                self.record_unanswered(submission, life, "no answer")
            return
        except OSError as error:
            # The dispatcher never received the submission: the connection failed or was refused.
            submission.ended = traffic.REFUSED
            runner.checker.closed(submission, host.now())
            del error
            return
        except ProtocolError:
            submission.ended = traffic.BROKEN
            self.record_unanswered(submission, life, "ended with no whole answer")
            return
        finally:
            dispatcher.open.pop(submission.id, None)
        self.answered(submission, reply)

    def record_unanswered(self, submission: RequestTry, life: int, how: str) -> None:
        dispatcher = self.runner.dispatchers[submission.dispatcher]
        if dispatcher.life != life or not dispatcher.alive or self.cut_off(submission):
            self.runner.checker.killed([submission])
        self.runner.checker.unanswered(submission, self.runner.host.now(), how)

    async def ask(self, submission: RequestTry) -> UpstreamResponse:
        """Send the submission and return the response.

        Raises OSError if it was never sent, and ProtocolError if it was sent and there is no response.
        """
        pool = self.lines[submission.dispatcher]
        for must_open in (False, True):
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    connection = await pool.take(must_open)
            except (OSError, TimeoutError):
                if must_open:
                    raise ProtocolError("ended while it was handed in, and none is there") from None
                raise OSError("no connection") from None
            sent_at = self.runner.host.now()
            try:
                reply = await connection.ask(self.build_request(submission))
            except (OSError, ProtocolError) as error:
                pool.drop(connection)
                if self.was_closed_unread(connection, submission, sent_at) and not must_open:
                    continue  # closed while idle, so never read: sent again on a new connection
                raise ProtocolError(str(error)) from None
            except asyncio.CancelledError:
                pool.drop(connection)
                raise
            self.check_extra_response(submission, connection)
            pool.give_back(connection)
            return reply
        raise ProtocolError("closed twice")

    def was_closed_unread(self, connection: IdleConnection, submission: RequestTry, sent_at: int) -> bool:
        """Return whether a reused connection was closed before the dispatcher can have read from it."""
        there = self.runner.dispatchers[submission.dispatcher].machine
        both_ways = (
            2 * self.runner.links.max_delay(self.machine, there)
            + CLOSE_PROCESSING_TIME
            + self.runner.host.slack
        )
        return (
            connection.is_reused
            and not connection.exchange.has_received
            and self.runner.host.now() - sent_at <= both_ways
        )

    def disconnect_noticed_at(self, submission: RequestTry) -> int:
        """Return the time by which the dispatcher surely knows that this client has disconnected."""
        now, there = self.runner.host.now(), self.runner.dispatchers[submission.dispatcher].machine
        if self.runner.links.cut(self.machine, there):
            return submission.limit_at
        return now + self.runner.links.max_delay(self.machine, there) + CLOSE_PROCESSING_TIME

    def cut_off(self, submission: RequestTry) -> bool:
        """Return whether the link to the dispatcher was cut while the submission was open.

        A missing or late response is no violation then.
        """
        there = self.runner.dispatchers[submission.dispatcher].machine
        if there.zone == self.machine.zone:
            return False
        links = self.runner.links
        return links.cut(self.machine, there) or self.runner.links_changed_at() >= submission.sent_at

    def check_extra_response(self, submission: RequestTry, connection: IdleConnection) -> None:
        """Report bytes after the response to the checker, as a second response."""
        if connection.exchange.has_unparsed_bytes:
            self.runner.checker.answered(submission, self.runner.host.now(), 0, b"")

    def answered(self, submission: RequestTry, reply: UpstreamResponse) -> None:
        now = self.runner.host.now()
        late = now > submission.limit_at + self.runner.checker.config.slack
        if late and self.cut_off(submission):
            self.runner.checker.closed(submission, now)
        else:
            self.runner.checker.answered(submission, now, reply.status, reply.body)
        if reply.status == 200:
            in_time = now <= submission.limit_at + self.runner.checker.config.slack
            submission.ended = traffic.ANSWERED if in_time else traffic.LATE
        elif reply.status in (429, 503):
            submission.ended = traffic.DENIED
            try:
                submission.advice = int(float(reply.headers.get("retry-after", "0")) * 1e6)
            except ValueError:
                submission.advice = 0
        else:
            submission.ended = traffic.TERMINATED
