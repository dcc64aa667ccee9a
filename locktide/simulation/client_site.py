"""The stand-in clients of one zone: each hands its job in, waits, and tries again as a client would."""

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

# How long a client's machine still listens past the time limit, so that a late answer is seen; microseconds.
LISTENS_ON = 400_000
CONNECT_WITHIN = 1.0  # seconds
ASK_AGAIN = 0.5  # seconds between two questions for a durable job
ANSWER_WITHIN = 2.0  # seconds for an answer that waits for no worker
KEPT_GRACE = 20.0  # seconds past its limit for which a durable job's final answer is asked for
CROSSING = 10_000  # microseconds that a close may be under way on our machine when we send


class ClientSite:
    def __init__(self, stage: ClientContext, zone: int) -> None:
        self.stage, self.zone = stage, zone
        self.machine = Machine(CLIENT, zone, zone)
        dispatchers = [m.number for m in stage.dispatcher_machines if m.zone == zone]
        everybody = [m.number for m in stage.dispatcher_machines]
        notice = int(stage.script.front.notice * 1e6)
        self.front = LoadBalancer(dispatchers or everybody, notice, stage.script.seed, zone)
        host = stage.host
        self.lines = [
            ClientConnectionPool(host, self.machine, there, (host.address(there), stage.dispatcher_port))
            for there in stage.dispatcher_machines
        ]

    async def play(self, request: ClientRequest) -> None:
        """One job, over all its tries."""
        if request.grade.name in self.stage.kept_grades:
            await self.play_kept(request)
            return
        host, stage = self.stage.host, self.stage
        while True:
            now = host.now()
            submission = RequestTry(
                f"{stage.script.seed:x}-{request.number:x}-{len(request.tries)}",
                request,
                len(request.tries),
                -1,
                now,
            )
            request.tries.append(submission)
            stage.tries[submission.id] = submission
            chosen = self.front.choose(now, request.home)
            if chosen is None:
                submission.ended = traffic.REFUSED
            else:
                submission.dispatcher = chosen
                await self.attempt(submission)
            submission.ended_at = host.now()
            if submission.ended == traffic.ANSWERED:
                request.answered_at = submission.ended_at
                stage.waits(request)
                return
            wait = traffic.retry_delay(request, submission, stage.script)
            if wait is None:
                return
            await asyncio.sleep(wait / 1e6)

    # --- durable jobs

    async def play_kept(self, request: ClientRequest) -> None:
        """Hands the job in at one dispatcher until that has accepted it, and asks there for what came of it.

        It counts as lost where it was accepted and no final answer can be had, for as long as it may take.
        """
        host, stage = self.stage.host, self.stage
        homes = list(self.front.in_service)
        home = homes[request.number % len(homes)]
        limit_at = request.at + request.limit
        place = ""
        while not place and host.now() < limit_at:
            submission = RequestTry(
                f"{stage.script.seed:x}-{request.number:x}-{len(request.tries)}",
                request,
                len(request.tries),
                home,
                host.now(),
            )
            request.tries.append(submission)
            stage.tries[submission.id] = submission
            reply = await self.ask_kept(self.question(submission), home)
            submission.ended_at = host.now()
            if reply is None or reply.status == 409:
                submission.ended = (
                    traffic.REFUSED
                )  # or cut off: the number tells the next one that it is the same
            elif reply.status in (200, 202):
                place = reply.headers.get("location", names.JOBS + submission.id)
            else:
                submission.ended = traffic.DENIED if reply.status in (429, 503) else traffic.TERMINATED
                if "job-state" in reply.headers:
                    return
            if not place:
                await asyncio.sleep(ASK_AGAIN)
        if not place:
            return
        stage.records["accepted"] += 1
        await self.follow_kept(request, place, home)

    async def follow_kept(self, request: ClientRequest, place: str, home: int) -> None:
        host, stage = self.stage.host, self.stage
        until = host.now() + int((stage.script.durable.limit + KEPT_GRACE) * 1e6)
        submission = stage.tries[place[len(names.JOBS) :]]
        while host.now() < until:
            reply = await self.ask_kept(UpstreamRequest("GET", place, []), home)
            state = reply.headers.get("job-state") if reply is not None else None
            if reply is not None and (state or reply.status == 404):
                break
            await asyncio.sleep(ASK_AGAIN)
        else:
            reply, state = None, None
        submission.ended_at = host.now()
        if reply is None or state is None:
            stage.records["lost"] += 1
            submission.ended = traffic.SILENT
            stage.checker.record_violation(
                host.now(), "lost", f"{submission.id}: accepted, and no final answer can be had"
            )
            return
        stage.records[state] += 1
        submission.ended = {"done": traffic.ANSWERED, "denied": traffic.DENIED}.get(state, traffic.TERMINATED)
        status = {"done": 200, "denied": 503}.get(state, 502)
        # Asked for now and then: how late it is says nothing of the dispatcher.
        stage.checker.answered(submission, min(host.now(), submission.limit_at), status, reply.body)
        if state == "done":
            request.answered_at = host.now()
            stage.waits(request)

    async def ask_kept(self, question: UpstreamRequest, home: int) -> UpstreamResponse | None:
        """One question to that dispatcher; None where it gave no answer."""
        lines = self.lines[home]
        line = None
        try:
            async with asyncio.timeout(ANSWER_WITHIN):
                line = await lines.take()
                reply = await line.ask(question)
        except (OSError, ProtocolError, TimeoutError):
            if line is not None:
                lines.drop(line)
            return None
        lines.give_back(line)
        return reply

    def question(self, submission: RequestTry) -> UpstreamRequest:
        request = submission.ask
        headers = [
            (names.REQUEST_ID.encode(), submission.id.encode()),
            (names.SERVICE_CLASS.encode(), request.grade.name.encode()),
            (names.TIMEOUT.encode(), b"%dm" % (request.limit // 1000)),
        ]
        kept = request.grade.name in self.stage.kept_grades
        if kept:
            headers.append((names.PREFER.encode(), b"respond-async"))
        if request.grade.effect == "numbered" or kept:
            headers.append((names.IDEMPOTENCY_KEY.encode(), request.key.encode()))
        extras = [f"{names.WIDTH}={request.width}"] if request.width != 1 else []
        extras += [f"{names.TENANT}={request.tenant}"] if request.tenant else []
        if extras:
            headers.append((names.EXTRAS.encode(), ", ".join(extras).encode()))
        return UpstreamRequest("POST", f"/{request.grade.name}", headers, self.stage.body(request))

    async def attempt(self, submission: RequestTry) -> None:
        """Sets how the try ended, and tells the checker."""
        stage, request, host = self.stage, submission.ask, self.stage.host
        dispatcher = stage.dispatchers[submission.dispatcher]
        life = dispatcher.life
        closes_at = submission.sent_at + request.closes_after if request.closes_after else None
        until = closes_at or submission.limit_at + LISTENS_ON
        dispatcher.open[submission.id] = submission
        try:
            async with asyncio.timeout((until - host.now()) / 1e6):
                reply = await self.ask(submission)
        except TimeoutError:
            if closes_at is not None:
                submission.ended = traffic.CLOSED
                stage.checker.closed(submission, self.heard_at(submission))
            else:
                submission.ended = traffic.SILENT
                self.blame(submission, life, "no answer")
            return
        except OSError as trouble:
            # It never took it: the connection was not made, or was refused.
            submission.ended = traffic.REFUSED
            stage.checker.closed(submission, host.now())
            del trouble
            return
        except ProtocolError:
            submission.ended = traffic.BROKEN
            self.blame(submission, life, "ended with no whole answer")
            return
        finally:
            dispatcher.open.pop(submission.id, None)
        self.answered(submission, reply)

    def blame(self, submission: RequestTry, life: int, how: str) -> None:
        dispatcher = self.stage.dispatchers[submission.dispatcher]
        if dispatcher.life != life or not dispatcher.alive or self.cut_off(submission):
            self.stage.checker.killed([submission])
        self.stage.checker.unanswered(submission, self.stage.host.now(), how)

    async def ask(self, submission: RequestTry) -> UpstreamResponse:
        """Raises OSError where it was never handed in, Broken where it was and no answer came."""
        lines = self.lines[submission.dispatcher]
        for anew in (False, True):
            try:
                async with asyncio.timeout(CONNECT_WITHIN):
                    line = await lines.take(anew)
            except (OSError, TimeoutError):
                if anew:
                    raise ProtocolError("ended while it was handed in, and none is there") from None
                raise OSError("no connection") from None
            sent_at = self.stage.host.now()
            try:
                reply = await line.ask(self.question(submission))
            except (OSError, ProtocolError) as trouble:
                lines.drop(line)
                if self.crossed(line, submission, sent_at) and not anew:
                    continue  # closed between submissions, unread: sent once more on a new one
                raise ProtocolError(str(trouble)) from None
            except asyncio.CancelledError:
                lines.drop(line)
                raise
            self.more(submission, line)
            lines.give_back(line)
            return reply
        raise ProtocolError("closed twice")

    def crossed(self, line: IdleConnection, submission: RequestTry, sent_at: int) -> bool:
        """Whether a kept connection was closed before what was sent on it can have been read."""
        there = self.stage.dispatchers[submission.dispatcher].machine
        both_ways = 2 * self.stage.links.max_delay(self.machine, there) + CROSSING + self.stage.host.slack
        return line.kept and not line.exchange.has_received and self.stage.host.now() - sent_at <= both_ways

    def heard_at(self, submission: RequestTry) -> int:
        """When the dispatcher knows at the latest that this client has gone away."""
        now, there = self.stage.host.now(), self.stage.dispatchers[submission.dispatcher].machine
        if self.stage.links.cut(self.machine, there):
            return submission.limit_at
        return now + self.stage.links.max_delay(self.machine, there) + CROSSING

    def cut_off(self, submission: RequestTry) -> bool:
        """Whether the link to the dispatcher was cut at any time while the try was open: nobody is to blame
        then.
        """
        there = self.stage.dispatchers[submission.dispatcher].machine
        if there.zone == self.machine.zone:
            return False
        links = self.stage.links
        return links.cut(self.machine, there) or self.stage.links_changed_at() >= submission.sent_at

    def more(self, submission: RequestTry, line: IdleConnection) -> None:
        """What follows an answer unasked is a second one."""
        if line.exchange.has_unparsed_bytes:
            self.stage.checker.answered(submission, self.stage.host.now(), 0, b"")

    def answered(self, submission: RequestTry, reply: UpstreamResponse) -> None:
        now = self.stage.host.now()
        late = now > submission.limit_at + self.stage.checker.config.slack
        if late and self.cut_off(submission):
            self.stage.checker.closed(submission, now)
        else:
            self.stage.checker.answered(submission, now, reply.status, reply.body)
        if reply.status == 200:
            in_time = now <= submission.limit_at + self.stage.checker.config.slack
            submission.ended = traffic.ANSWERED if in_time else traffic.LATE
        elif reply.status in (429, 503):
            submission.ended = traffic.DENIED
            try:
                submission.advice = int(float(reply.headers.get("retry-after", "0")) * 1e6)
            except ValueError:
                submission.advice = 0
        else:
            submission.ended = traffic.TERMINATED
