"""Follows the worker list at discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from locktide.config.start import Address, spelled
from locktide.protocol import discovery
from locktide.protocol.client_connection import ClientHttpConnection, ProtocolError
from locktide.transport.log import Log
from locktide.transport.streams import READ, reply_on

# News that does not reach us counts as told 2 s after the wait is over: a short wait keeps that close. One
# call a second costs well under a thousandth of a core.
WAIT_MS = 1000
# The agent answers at once when the wait is over; half a second later it is silent, and we call anew.
PATIENCE = 0.5
GAP = 0.1  # after a call that broke off at once; the next must come within 200 ms
# While an agent is silent it is asked so often, without a wait: what it has counts as told from the moment on
# at which it speaks again, and a drain may be 250 ms old by our first send.
LOOK = 0.15


async def soon(silent: bool) -> None:
    """When to call again an agent that answers for nothing: it was waited for, or it broke off."""
    if not silent:
        await asyncio.sleep(GAP)


class EndpointWatch:
    """Calls until it is cancelled.

    `version` is that of the list we hold; without one the whole list is asked for. Where calls are work for
    others a call waits its turn: the answer to the first on a connection may take `patience` seconds more
    than we let it wait, and `again` waits for the moment of the next call after one that failed; it is told
    whether that was for silence. A watch that goes on is answered at the end of its wait everywhere: what
    falls silent then is broken, and found within half a second of that.
    """

    def __init__(
        self,
        address: Address,
        take: Callable[[discovery.DiscoveryUpdate], None],
        log: Log,
        version: int | None = None,
        patience: float = PATIENCE,
        again: Callable[[bool], Awaitable[None]] = soon,
    ) -> None:
        self.address, self.take, self.log = address, take, log
        self.version, self.patience, self.again = version, patience, again
        self.failing = False

    async def run(self) -> None:
        while True:
            try:
                await self.follow()
            except Exception as trouble:  # whatever it is, the list must be followed on
                if not self.failing:
                    silent = isinstance(trouble, TimeoutError)
                    what = "silent" if silent else f"{type(trouble).__name__}: {trouble}"
                    self.log.emit(
                        f"worker list: no answer ({what}), calling anew", event="roster-silent", trouble=what
                    )
                self.failing = True
                await self.again(isinstance(trouble, TimeoutError))

    async def follow(self) -> None:
        """Calls on one connection for as long as it answers."""
        connecting = asyncio.open_connection(*self.address, limit=READ)
        reader, writer = await asyncio.wait_for(connecting, PATIENCE)
        try:
            exchange = ClientHttpConnection(spelled(self.address), discovery.MAX_LIST_SIZE)
            patience = self.patience
            while exchange.is_idle:
                asked_at = asyncio.get_running_loop().time()
                looking = self.failing and self.again is soon
                wait = 0 if looking else WAIT_MS
                writer.writelines(exchange.encode_request(discovery.list_request(self.version, wait)))
                async with asyncio.timeout(LOOK if looking else wait / 1000 + patience):
                    reply = await reply_on(reader, exchange)
                patience = PATIENCE
                if reply.status != 200:
                    raise ProtocolError(f"status {reply.status}")
                update = discovery.parse(reply.body)
                if update.faults:
                    count, first = len(update.faults), update.faults[0]
                    self.log.emit(
                        f"worker list: {count} entries not taken, the first for {first}",
                        event="roster-entries-faulty",
                        count=count,
                        first=first,
                    )
                # Guards against a list remembered from elsewhere: this one counts its versions on its own.
                behind = self.version is not None and update.version < self.version and not update.is_snapshot
                self.version = None if behind else update.version
                again = self.failing
                if again:
                    self.failing = False
                    self.log.emit(
                        f"worker list: answers again, version {update.version}",
                        event="roster-answers",
                        version=update.version,
                    )
                # After a failure also what brings nothing: else the gaps of the next begin where these ended.
                if update.is_snapshot or update.entries or again:
                    self.take(update)
                elif asyncio.get_running_loop().time() < asked_at + GAP:
                    # Guards against spinning where an answer comes before its time and brings nothing.
                    await asyncio.sleep(GAP)
        finally:
            writer.transport.abort()
