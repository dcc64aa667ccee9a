"""The start of a dispatcher: accepts connections once the endpoint list has arrived."""

from __future__ import annotations

from dataclasses import dataclass

from locktide.config.address import Address, format_address
from locktide.dispatcher.endpoint_directory import EndpointDirectory
from locktide.dispatcher.endpoint_follower import EndpointFollower
from locktide.dispatcher.runtime import ServingState
from locktide.transport.listener import Listener
from locktide.transport.log import Log


@dataclass(eq=False, slots=True, kw_only=True)
class Startup:
    """Waits for the endpoint list, then listens."""

    follower: EndpointFollower
    endpoints: EndpointDirectory
    listener: Listener
    listen_address: Address
    state: ServingState
    log: Log

    async def run(self) -> None:
        """Listen once the endpoint list has arrived or the wait for it has timed out; raise OSError.

        A proxy keeps sending requests to a dispatcher that has restarted. Requests that were accepted before
        the list arrived were sent to workers that were draining by then
        (test_nothing_is_accepted_before_the_endpoint_list_has_come).
        """
        await self.follower.wait_for_first_list()
        self.listener.listen(self.listen_address)
        self.state.is_serving = True
        address = format_address(self.listen_address)
        workers = len(self.endpoints.entries)
        self.log.emit(
            f"serving on {address}, {workers} workers known",
            event="dispatcher_serving",
            listen=address,
            workers=workers,
        )
