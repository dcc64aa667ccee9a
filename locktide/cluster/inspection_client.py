"""Requests a member's view of the cluster from a member on this machine, over UDP."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from locktide.cluster.messages import InspectionPage, InspectionRequest, decode, encode

REQUEST_ID = 1
ANONYMOUS = ("", 0)  # the sender of an inspection request is not a member


class InspectionClient(asyncio.DatagramProtocol):
    """Collects the pages of one answer; `answer` resolves to their joined JSON text."""

    def __init__(self, answer: asyncio.Future[str]) -> None:
        self.answer = answer
        self.pages: dict[int, str] = {}

    def datagram_received(self, data: bytes, _: object) -> None:
        """Store a page; complete the answer once all pages have arrived."""
        envelope = decode(data)
        if envelope is None or not isinstance(envelope.message, InspectionPage) or self.answer.done():
            return
        page = envelope.message
        self.pages[page.page_index] = page.text
        if len(self.pages) == page.page_count:
            self.answer.set_result("".join(self.pages[index] for index in sorted(self.pages)))

    def error_received(self, error: Exception) -> None:
        """Fail the answer at once if nobody listens at the address."""
        if not self.answer.done():
            self.answer.set_exception(error)


async def inspect_member(address: tuple[str, int], timeout_seconds: float = 1.0) -> dict[str, Any]:
    """Return the view of the member at that address.

    Raises:
        OSError: nobody listens there.
        TimeoutError: no complete answer arrived in time.
        ValueError: the answer is not JSON.
    """
    loop = asyncio.get_running_loop()
    answer: asyncio.Future[str] = loop.create_future()
    transport, _ = await loop.create_datagram_endpoint(lambda: InspectionClient(answer), remote_addr=address)
    try:
        transport.sendto(encode(ANONYMOUS, InspectionRequest(REQUEST_ID)))
        async with asyncio.timeout(timeout_seconds):
            view: dict[str, Any] = json.loads(await answer)
        return view
    finally:
        transport.close()
