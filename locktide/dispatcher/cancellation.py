"""Giving up a dispatch that a worker may have: it is over once the worker has been told, and not before."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from locktide.config.start import Address
from locktide.protocol import worker_messages as workers
from locktide.protocol.client_connection import UpstreamRequest, UpstreamResponse

# How often it is tried at once. Kept connections break together: the second goes out on a new one, and the
# third is for one that breaks by itself.
TRIES = 3
# Between later tries, in connect times. An unreachable worker takes one of these for each: a place among our
# descriptors is held a fifth of the time, and a worker that is back hears of it within about a second.
REST = 4


class Asking(Protocol):
    async def send(
        self,
        worker: str,
        address: Address,
        build: Callable[[], UpstreamRequest | None],
        sent: Callable[[], None],
        fresh: bool = False,
    ) -> UpstreamResponse | str: ...


async def give_up(
    connections: Asking,
    worker: str,
    address: Callable[[], Address | None],
    submission: str,
    connect_within: int,
    vain: Callable[[], bool],
) -> bool:
    """Tells the worker, as long as it takes; whether it has been told. `connect_within` in microseconds.

    It is told once it has answered, or has the whole message on a connection that came up for it: it is
    reachable then, and reads that before it works on. A kept connection may lead to where nobody is any more,
    and one that is refused or does not come up has carried nothing: what went elsewhere on the strength of
    such silence was a second copy. Once it is `vain` (nothing hangs on it any more) it ends with its first
    tries.
    """
    question, within, tries = workers.withdrawal(submission), connect_within / 1e6, 0
    while True:
        tries += 1
        whole: list[bool] = []
        at = address()
        try:
            # As long as a connection may take, and its answer: a silent worker must not hold up the rest.
            async with asyncio.timeout(within if tries == 1 else 2 * within):
                if at is not None:
                    told = await connections.send(
                        worker,
                        at,
                        lambda: question,
                        lambda whole=whole: whole.append(True),  # type: ignore[misc]
                        fresh=tries > 1,
                    )
                    if isinstance(told, UpstreamResponse):
                        return True
        except TimeoutError:
            if whole and tries > 1:
                return True
        if tries >= TRIES:
            if vain():
                return False
            await asyncio.sleep(REST * within)
