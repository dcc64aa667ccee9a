"""Follows the endpoint list at discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from locktide.config.address import Address, format_address
from locktide.protocol import discovery
from locktide.protocol.client_connection import ClientHttpConnection
from locktide.protocol.discovery import DiscoveryUpdate
from locktide.protocol.errors import ProtocolError
from locktide.transport.log import Log
from locktide.transport.streams import READ_SIZE, read_response

# A change that does not reach us counts as notified 2 s after the wait is over: a short wait keeps that
# close. One call a second costs well under a thousandth of a core. In milliseconds.
WAIT_MS = 1000
# The agent answers at once when the wait is over; this many seconds later it is silent, and we call anew.
ANSWER_TIMEOUT = 0.5
RETRY_DELAY = 0.1  # seconds after a call that failed at once; the next must come within 200 ms
# While an agent is silent it is polled so often (seconds), without a wait: what it has counts as notified
# from the moment on at which it answers again, and a drain may be 250 ms old by our first send.
POLL_TIMEOUT = 0.15


async def retry_soon(was_silent: bool) -> None:
    """Waits for the moment to call again an agent whose calls cost nothing.

    Args:
        was_silent: Whether the call before timed out, so that it was waited for; else it failed at once.
    """
    if not was_silent:
        await asyncio.sleep(RETRY_DELAY)


class EndpointWatch:
    """Calls discovery for changes of the endpoint list until it is cancelled.

    A watch that goes on is answered at the end of its wait everywhere: what falls silent then is broken, and
    found within half a second of that.

    Attributes:
        version: Version of the list that we hold; None where the whole list is to be asked for.
        is_failing: Whether the last call failed.
    """

    def __init__(  # noqa: PLR0913 - the last two are options for agents where calls are work for others
        self,
        address: Address,
        on_update: Callable[[DiscoveryUpdate], None],
        log: Log,
        version: int | None = None,
        patience: float = ANSWER_TIMEOUT,
        again: Callable[[bool], Awaitable[None]] = retry_soon,
    ) -> None:
        """Begins before the first call.

        Args:
            address: Where discovery listens.
            on_update: Takes each update.
            log: The log.
            version: Version of the list that is held already.
            patience: Seconds beyond our wait that the answer to the first call on a connection may take:
                where calls are work for others, a call waits its turn.
            again: Waits for the moment of the next call after one that failed; it is given whether that
                one timed out.
        """
        self.address = address
        self.on_update = on_update
        self.log = log
        self.version = version
        self.first_answer_timeout = patience
        self.wait_for_retry = again
        self.is_failing = False

    async def run(self) -> None:
        """Calls, and calls anew after each failure."""
        while True:
            try:
                await self.follow()
            except Exception as error:  # whatever it is, the list must be followed on
                was_silent = isinstance(error, TimeoutError)
                if not self.is_failing:
                    cause = "silent" if was_silent else f"{type(error).__name__}: {error}"
                    self.log.emit(
                        f"worker list: no answer ({cause}), calling anew",
                        event="discovery_failed",
                        error=cause,
                    )
                self.is_failing = True
                await self.wait_for_retry(was_silent)

    async def follow(self) -> None:
        """Calls on one connection for as long as it is answered.

        Raises:
            TimeoutError: It does not come up, or a call is not answered in time.
            OSError: It cannot be opened, or breaks.
            ProtocolError: An answer is no HTTP response with status 200.
            ValueError: An answer holds no JSON.
            ConfigError: An answer holds no endpoint list.
        """
        connecting = asyncio.open_connection(*self.address, limit=READ_SIZE)
        reader, writer = await asyncio.wait_for(connecting, ANSWER_TIMEOUT)
        try:
            http = ClientHttpConnection(format_address(self.address), discovery.MAX_LIST_SIZE)
            answer_timeout = self.first_answer_timeout
            while http.is_idle:
                called_at = asyncio.get_running_loop().time()
                update = await self.call(http, reader, writer, answer_timeout)
                answer_timeout = ANSWER_TIMEOUT
                # After a failure also what brings nothing: else the gaps of the next begin where these ended.
                if self.accept(update) or update.is_snapshot or update.entries:
                    self.on_update(update)
                elif asyncio.get_running_loop().time() < called_at + RETRY_DELAY:
                    # Guards against spinning where an answer comes before its time and brings nothing.
                    await asyncio.sleep(RETRY_DELAY)
        finally:
            writer.transport.abort()

    async def call(
        self,
        http: ClientHttpConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answer_timeout: float,
    ) -> DiscoveryUpdate:
        """Asks for changes once; `answer_timeout` in seconds beyond our wait. Raises as `follow` does."""
        is_polling = self.is_failing and self.wait_for_retry is retry_soon
        wait_ms = 0 if is_polling else WAIT_MS
        writer.writelines(http.encode_request(discovery.list_request(self.version, wait_ms)))
        async with asyncio.timeout(POLL_TIMEOUT if is_polling else wait_ms / 1000 + answer_timeout):
            response = await read_response(reader, http)
        if response.status != 200:
            raise ProtocolError(f"status {response.status}")
        return discovery.parse(response.body)

    def accept(self, update: DiscoveryUpdate) -> bool:
        """Notes an update's version and faults; returns whether the calls before it failed."""
        if update.faults:
            count, first = len(update.faults), update.faults[0]
            self.log.emit(
                f"worker list: {count} entries not taken, the first for {first}",
                event="endpoint_entries_rejected",
                count=count,
                first=first,
            )
        # Guards against a list remembered from elsewhere: this one counts its versions on its own.
        is_behind = self.version is not None and update.version < self.version and not update.is_snapshot
        self.version = None if is_behind else update.version
        has_recovered = self.is_failing
        if has_recovered:
            self.is_failing = False
            self.log.emit(
                f"worker list: answers again, version {update.version}",
                event="discovery_recovered",
                version=update.version,
            )
        return has_recovered
