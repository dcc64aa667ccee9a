"""Follows the endpoint list at discovery.

A watch makes one call after another, each of which waits at discovery for a change. A call without a
response in time is overdue. Its response may still be on its way, from a slow service, or will never come,
from a service that was silent when the call arrived. So an overdue call is kept while fresh calls are made
beside it:

- A service that is back from an outage responds to a fresh call.
- A service that is slower than the timeout responds to the overdue one, and the next timeout allows for that.

At most two calls of a watch are outstanding, on two connections. When a watch is replaced, the next one takes
over its calls (`earlier_calls`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from locktide.config.address import Address
from locktide.protocol.discovery import DiscoveryUpdate
from locktide.transport.discovery_call import Call
from locktide.transport.discovery_client import DiscoveryClient
from locktide.transport.discovery_log import DiscoveryLog
from locktide.transport.earlier_calls import EarlierCalls, Handover
from locktide.transport.log import Log

#: Milliseconds for which discovery holds a call while nothing changes. A change that does not reach us counts
#: as notified 2 s after the wait has ended, so a short wait limits how long we may miss it. One call per
#: second costs well under a thousandth of a core.
WAIT_MS = 1000
#: Seconds beyond the wait after which a call without a response is overdue: the agent responds at once when
#: the wait has ended.
RESPONSE_TIMEOUT = 0.5
#: Seconds between a call that failed at once, or returned without changes before its wait had ended, and the
#: next call, which must follow within 200 ms.
RETRY_DELAY = 0.1
#: Seconds after which a call without a wait is overdue; a silent agent is called at this interval. Changes
#: that the agent has count as notified from the moment at which it responds again, and a drain may be 250 ms
#: old by the first request after that.
POLL_TIMEOUT = 0.15
#: The timeout of a service that has responded late is its latest delay times this: delays vary.
DELAY_FACTOR = 1.5
#: Longest timeout of a slow service, in seconds beyond the wait: what a call that waits does not tell by then
#: counts as notified.
MAX_RESPONSE_TIMEOUT = 2.0
#: Seconds after which a closed watch no longer waits for its calls to end; a call ends within a few turns of
#: the event loop.
CLOSE_TIMEOUT = 1.0
MILLISECONDS_PER_SECOND = 1000


async def retry_soon(has_timed_out: bool) -> None:
    """Wait until the next call to an agent whose calls are cheap.

    Args:
        has_timed_out: Whether the previous call is overdue, after which no further wait is needed; otherwise
            it failed at once.
    """
    if not has_timed_out:
        await asyncio.sleep(RETRY_DELAY)


def ignore_update(update: DiscoveryUpdate) -> None:
    """Ignore an update."""


class EndpointWatch:
    """Calls discovery for changes of the endpoint list until it is cancelled.

    A watch that replaces another one awaits the calls of that one, too. Their answers are passed on, unless a
    call that was made later has been answered. This watch does not depend on them: its first call fetches the
    whole list.

    Attributes:
        address: Address of discovery.
        version: Version of the present list; None if the whole list has to be fetched.
        is_failing: Whether the last call failed or is overdue.
    """

    def __init__(  # noqa: PLR0913 - each option stands for itself
        self,
        address: Address,
        on_update: Callable[[DiscoveryUpdate], None],
        log: Log,
        version: int | None = None,
        *,
        first_response_timeout: float = RESPONSE_TIMEOUT,
        wait_for_retry: Callable[[bool], Awaitable[None]] = retry_soon,
        on_former_update: Callable[[DiscoveryUpdate], None] = ignore_update,
        replaced: Handover | None = None,
    ) -> None:
        """Create a watch that has made no call yet.

        Args:
            address: Address of discovery.
            on_update: Called with each update.
            log: The log.
            version: Version of the list that the caller has already.
            first_response_timeout: Seconds beyond the wait that the response to the first call on a
                connection may take: an agent whose calls are expensive lets a call wait for its turn.
            wait_for_retry: Called after a failed call, with whether it is overdue; waits until the next call
                may be made.
            on_former_update: Called with each update from another address, which an earlier watch called.
            replaced: What the watch that this one replaces has handed over.
        """
        self.address = address
        self.version = version
        self.is_failing = False
        self._on_update = on_update
        self._log = DiscoveryLog(log)
        self._first_response_timeout = first_response_timeout
        self._wait_for_retry = wait_for_retry
        self._on_former_update = on_former_update
        self._client = DiscoveryClient(address)
        self._current: Call | None = None
        self._earlier = EarlierCalls()
        self._delay = 0.0  # by how much responses were late recently, in seconds
        if replaced is not None:
            self._take_over(replaced)

    def _take_over(self, replaced: Handover) -> None:
        self._earlier.take_over(replaced.calls, self.address, _now())
        if replaced.address == self.address:
            self._delay = replaced.delay

    def hand_over(self) -> Handover:
        """Leave the outstanding calls to the watch that replaces this one, which is to be cancelled."""
        calls = self._outstanding_calls()
        self._earlier = EarlierCalls()
        self._current = None
        return Handover(address=self.address, delay=self._delay, calls=calls)

    def _outstanding_calls(self) -> list[Call]:
        """Return the outstanding calls, in the order in which they were made."""
        earlier = self._earlier.calls
        return earlier if self._current is None else [*earlier, self._current]

    async def run(self) -> None:
        """Follow the list, and start again after each failure."""
        try:
            while True:
                try:
                    await self._advance()
                except Exception as error:  # protects the watch: the list must be followed after any error
                    await self._pause_after(error)
        finally:
            await self.close()

    async def _advance(self) -> None:
        """Wait for the next answer or timeout, and handle it; make a call if there is none.

        Raise the error of the current call, as `DiscoveryConnection` does.
        """
        await self._handle_ended_calls()
        current = self._current = self._current or self._begin_call()
        tasks = [call.task for call in self._outstanding_calls()]
        timeout = max(0.0, current.overdue_at - _now())
        await asyncio.wait(tasks, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        if current.task.done():
            self._current = None
            await self._handle_current(current)
        elif _now() >= current.overdue_at:
            self._current = None
            self._earlier.keep_overdue(current, _now())
            await self._pause_after(TimeoutError())

    # --- calls

    def _begin_call(self) -> Call:
        """Make a call; at a cheap agent, the first one and one that follows a failure do not wait."""
        # Discovery responds to a call for the whole list at once, whatever its wait. A first call with the
        # time of one that waits would be outstanding when discovery is back from an outage
        # (test_watch_that_starts_while_discovery_is_silent_hears_it_at_once_when_it_is_back).
        is_polling = (self.is_failing or self.version is None) and self._is_cheap
        wait_ms = 0 if is_polling else WAIT_MS
        wait = 0.0 if self.version is None else wait_ms / MILLISECONDS_PER_SECOND
        timeout = wait + self._response_timeout(
            is_first=not self._client.has_connection, is_polling=is_polling
        )
        began_at = _now()
        task = self._client.call(self.version, wait_ms)
        return Call(
            address=self.address, task=task, began_at=began_at, wait=wait, overdue_at=began_at + timeout
        )

    @property
    def _is_cheap(self) -> bool:
        """Whether calls cost the agent nothing, so that it may be called often."""
        return self._wait_for_retry is retry_soon

    def _response_timeout(self, *, is_first: bool, is_polling: bool) -> float:
        """Return how long beyond its wait a call may last before it is overdue, in seconds."""
        if is_first and not self._is_cheap:
            return self._first_response_timeout
        usual = POLL_TIMEOUT if is_polling else RESPONSE_TIMEOUT
        return max(usual, min(MAX_RESPONSE_TIMEOUT, DELAY_FACTOR * self._delay))

    async def close(self) -> None:
        """End all calls and connections."""
        calls = self._outstanding_calls()
        for call in calls:
            call.abandon()
        self._client.close()
        if not calls:
            return
        _, unfinished = await asyncio.wait([call.task for call in calls], timeout=CLOSE_TIMEOUT)
        if unfinished:
            # Awaited without a limit, a call that does not end would keep the process from its exit.
            self._log.calls_left(len(unfinished))

    # --- answers and failures

    async def _handle_ended_calls(self) -> bool:
        """Handle the earlier calls that have ended; return whether the next call may be made after that."""
        is_next_due = False
        while (call := self._earlier.take_ended()) is not None:
            is_next_due |= await self._handle_earlier(call)
        return is_next_due

    async def _handle_current(self, call: Call) -> None:
        """Handle the end of the current call; raise its error."""
        answer = call.task.result()
        self._earlier.abandon_before(call, self.address)
        self._client.keep(answer.connection)
        await self._handle(answer.update, call)

    async def _handle_earlier(self, call: Call) -> bool:
        """Handle the end of an earlier call; its error says nothing about calls that were made later.

        Return whether the next call may be made: the end of a superseded call says that only if it was
        answered at the address in force.
        """
        if call.task.exception() is not None:
            return not call.is_superseded
        answer = call.task.result()
        self._earlier.abandon_before(call, self.address)
        if call.is_superseded:
            answer.connection.close()
            return self._pass_on_superseded(call, answer.update)
        if self._current is None:
            self._client.keep(answer.connection)
        else:
            answer.connection.close()
        await self._handle(answer.update, call)
        return True

    def _pass_on_superseded(self, call: Call, update: DiscoveryUpdate) -> bool:
        """Pass on the update of a superseded call; return whether it comes from the address in force.

        The version is not stored: it may be another agent's, also at the same address.
        """
        if call.address != self.address:
            self._on_former_update(update)
            return False
        self._record_delay(call)
        self._log.rejected_entries(update)
        self._pass_on(update)
        return True

    async def _handle(self, update: DiscoveryUpdate, call: Call) -> None:
        """Pass on the update of a call; wait after a call that returned early without changes."""
        self._record_delay(call)
        self._log.rejected_entries(update)
        self._accept_version(update)
        if not self._pass_on(update) and _now() < call.began_at + RETRY_DELAY:
            # Without a delay, an agent that responds at once without changes would be called in a busy loop.
            await asyncio.sleep(RETRY_DELAY)

    def _pass_on(self, update: DiscoveryUpdate) -> bool:
        """Pass on an update unless it says nothing new; return whether it was passed on.

        The first update after a failure is passed on even without entries: the scheduler has to know that the
        list is current again.
        """
        is_news = self._end_failure(update) or update.is_snapshot or bool(update.entries)
        if is_news:
            self._on_update(update)
        return is_news

    def _record_delay(self, call: Call) -> None:
        """Record how late a response was, and give the current call as much time as the next one."""
        self._delay = max(call.delay(_now()), self._delay / 2)
        if self._current is not None:
            timeout = self._response_timeout(is_first=False, is_polling=True)
            overdue_at = self._current.began_at + self._current.wait + timeout
            self._current.overdue_at = max(self._current.overdue_at, overdue_at)

    async def _pause_after(self, error: Exception) -> None:
        """Wait until the next call may be made after a failure, or until an overdue call has ended."""
        has_timed_out = isinstance(error, TimeoutError)
        if not self.is_failing:
            self._log.failed(error)
        self.is_failing = True
        retry = asyncio.ensure_future(self._wait_for_retry(has_timed_out))
        is_next_due = False
        try:
            while not is_next_due and not retry.done():
                awaited: list[asyncio.Future[Any]] = [call.task for call in self._outstanding_calls()]
                await asyncio.wait([retry, *awaited], return_when=asyncio.FIRST_COMPLETED)
                is_next_due = await self._handle_ended_calls()
        finally:
            retry.cancel()

    def _accept_version(self, update: DiscoveryUpdate) -> None:
        """Store the version of an update, or make the next call fetch the whole list.

        A delta with a lower version comes from an agent that counts versions on its own: the present list
        was sent by another agent and restored from the cache.
        """
        is_behind = self.version is not None and update.version < self.version and not update.is_snapshot
        self.version = None if is_behind else update.version

    def _end_failure(self, update: DiscoveryUpdate) -> bool:
        """Record that a call succeeded; return whether the calls before it failed."""
        if not self.is_failing:
            return False
        self.is_failing = False
        self._log.recovered(update.version)
        return True


def _now() -> float:
    """Return the time of the event loop, in seconds."""
    return asyncio.get_running_loop().time()
