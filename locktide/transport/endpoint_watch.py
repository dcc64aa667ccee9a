"""Follows the endpoint list at discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from locktide.config.address import Address, format_address
from locktide.protocol import discovery
from locktide.protocol.client_connection import ClientHttpConnection
from locktide.protocol.discovery import DiscoveryUpdate
from locktide.protocol.errors import ProtocolError
from locktide.transport.log import Log
from locktide.transport.upstream_stream import READ_SIZE, read_response

#: Milliseconds for which discovery holds a call while nothing changes. A change that does not reach us counts
#: as notified 2 s after the wait has ended, so a short wait limits how long we may miss it. One call per
#: second costs well under a thousandth of a core.
WAIT_MS = 1000
#: Seconds beyond the wait after which a call without a response has timed out: the agent responds at once
#: when the wait has ended. Also the timeout for opening the connection.
RESPONSE_TIMEOUT = 0.5
#: Seconds between a call that failed at once, or returned without changes before its wait had ended, and the
#: next call, which must follow within 200 ms.
RETRY_DELAY = 0.1
#: Seconds after which a call without a wait has timed out; a silent agent is called at this interval. Changes
#: that the agent has count as notified from the moment at which it responds again, and a drain may be 250 ms
#: old by the first request after that.
POLL_TIMEOUT = 0.15
MILLISECONDS_PER_SECOND = 1000


async def retry_soon(has_timed_out: bool) -> None:
    """Wait until the next call to an agent whose calls are cheap.

    Args:
        has_timed_out: Whether the previous call timed out, after which no further wait is needed; otherwise
            it failed at once.
    """
    if not has_timed_out:
        await asyncio.sleep(RETRY_DELAY)


class EndpointWatch:
    """Calls discovery for changes of the endpoint list until it is cancelled.

    A successful call gets its response at the end of its wait at the latest. Half a second later, a call
    without a response counts as failed.

    Attributes:
        address: Address of discovery.
        version: Version of the present list; None if the whole list has to be fetched.
        is_failing: Whether the last call failed.
    """

    def __init__(  # noqa: PLR0913 - the last two are options for agents whose calls are expensive
        self,
        address: Address,
        on_update: Callable[[DiscoveryUpdate], None],
        log: Log,
        version: int | None = None,
        *,
        first_response_timeout: float = RESPONSE_TIMEOUT,
        wait_for_retry: Callable[[bool], Awaitable[None]] = retry_soon,
    ) -> None:
        """Create a watch that has made no call yet.

        Args:
            address: Address of discovery.
            on_update: Called with each update.
            log: The log.
            version: Version of the list that the caller has already.
            first_response_timeout: Seconds beyond the wait that the response to the first call on a
                connection may take: an agent whose calls are expensive lets a call wait for its turn.
            wait_for_retry: Called after a failed call, with whether it timed out; waits until the next call
                may be made.
        """
        self.address = address
        self.version = version
        self.is_failing = False
        self._on_update = on_update
        self._log = log
        self._first_response_timeout = first_response_timeout
        self._wait_for_retry = wait_for_retry

    async def run(self) -> None:
        """Follow the list, and start again after each failure."""
        while True:
            try:
                await self._follow()
            except Exception as error:  # protects the watch: the list must be followed after any error
                has_timed_out = isinstance(error, TimeoutError)
                if not self.is_failing:
                    self._log_failure(error, has_timed_out)
                self.is_failing = True
                await self._wait_for_retry(has_timed_out)

    async def _follow(self) -> None:
        """Make calls on one connection for as long as each gets a response.

        Raises:
            TimeoutError: The connection is not established, or a call gets no response in time.
            OSError: The connection cannot be opened, or breaks.
            ProtocolError: A response is not an HTTP response with status 200.
            ValueError: A response contains no JSON.
            ConfigError: A response contains no endpoint list.
        """
        connecting = asyncio.open_connection(*self.address, limit=READ_SIZE)
        reader, writer = await asyncio.wait_for(connecting, RESPONSE_TIMEOUT)
        try:
            http = ClientHttpConnection(format_address(self.address), discovery.MAX_LIST_SIZE)
            response_timeout = self._first_response_timeout
            while http.is_idle:
                called_at = asyncio.get_running_loop().time()
                update = await self._call(http, reader, writer, response_timeout)
                response_timeout = RESPONSE_TIMEOUT
                await self._handle(update, called_at)
        finally:
            writer.transport.abort()

    async def _call(
        self,
        http: ClientHttpConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        response_timeout: float,
    ) -> DiscoveryUpdate:
        """Make one call; `response_timeout` is in seconds beyond the wait. Raise as `_follow` does."""
        is_polling = self.is_failing and self._wait_for_retry is retry_soon
        wait_ms = 0 if is_polling else WAIT_MS
        timeout = POLL_TIMEOUT if is_polling else wait_ms / MILLISECONDS_PER_SECOND + response_timeout
        writer.writelines(http.encode_request(discovery.list_request(self.version, wait_ms)))
        async with asyncio.timeout(timeout):
            response = await read_response(reader, http)
        if response.status != HTTPStatus.OK:
            raise ProtocolError(f"status {response.status}", peer=format_address(self.address))
        return discovery.parse(response.body)

    async def _handle(self, update: DiscoveryUpdate, called_at: float) -> None:
        """Pass on the update of a call; wait after a call that returned early without changes."""
        self._log_rejected_entries(update)
        self._accept_version(update)
        # The first update after a failure is passed on even without entries: the scheduler has to know that
        # the list is current again.
        if self._end_failure(update) or update.is_snapshot or update.entries:
            self._on_update(update)
        elif asyncio.get_running_loop().time() < called_at + RETRY_DELAY:
            # Without a delay, an agent that always responds at once without changes would be called in a busy
            # loop.
            await asyncio.sleep(RETRY_DELAY)

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
        self._log.emit(
            f"endpoint list: discovery responds again, version {update.version}",
            event="discovery_recovered",
            version=update.version,
        )
        return True

    def _log_failure(self, error: Exception, has_timed_out: bool) -> None:
        cause = "silent" if has_timed_out else f"{type(error).__name__}: {error}"
        self._log.emit(
            f"endpoint list: no response ({cause}), retrying", event="discovery_failed", error=cause
        )

    def _log_rejected_entries(self, update: DiscoveryUpdate) -> None:
        if not update.faults:
            return
        count = len(update.faults)
        first = update.faults[0]
        self._log.emit(
            f"endpoint list: {count} entries rejected, first error: {first}",
            event="endpoint_entries_rejected",
            count=count,
            first=first,
        )
