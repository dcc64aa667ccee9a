"""The listening socket on which clients send requests and workers call back."""

from __future__ import annotations

import asyncio
import socket

from locktide.config.address import Address
from locktide.transport.client_connection import ClientConnection, PeerRole
from locktide.transport.client_session import LINGER_TIMEOUT, ClientSession
from locktide.transport.client_stream import SharedBufferProtocol
from locktide.transport.descriptor_budget import DescriptorBudget, run_pending_reads
from locktide.transport.interfaces import RequestHandler, System
from locktide.transport.log import Log
from locktide.transport.system import RealSystem

#: Connections in the kernel's queue.
BACKLOG = 1024
#: Seconds after a failed accept until the next.
ACCEPT_RETRY_DELAY = 0.01
#: One in so many descriptors is not for clients that wait, so that workers can always call back and health be
#: checked. One in eight is enough, as a callback takes a thousandth of the time that a client waits.
CALLBACK_PART = 8


class Listener:
    """Owns the listening socket and the connections that it accepted.

    Its attributes are those of `ConnectionContext`, and:

    Attributes:
        connections: The open connections, in the order in which they came: what is done to each of them is
            done in the same order in every run.
        tasks: One for each connection, for as long as it has a descriptor.
        is_placing: Whether an accepted connection waits for its descriptor.
    """

    def __init__(  # noqa: PLR0913 - collaborators and settings, handed over once
        self,
        descriptors: DescriptorBudget,
        timeouts: dict[str, int],
        keyed_classes: set[str],
        max_stored_bytes: int,
        request_handler: RequestHandler,
        log: Log,
        system: System | None = None,
    ) -> None:
        """Begin before it listens.

        Args:
            descriptors: Budget of the accepted connections.
            timeouts: Timeout of each service class in microseconds; may be changed at any time.
            keyed_classes: Service classes whose requests need an idempotency key; may be changed, too.
            max_stored_bytes: How many bytes of messages that are half received or wait may be kept.
            request_handler: Handles the messages.
            log: The log.
            system: Opens the listening socket; the operating system by default.
        """
        self.descriptors = descriptors
        self.timeouts = timeouts
        self.keyed_classes = keyed_classes
        self.request_handler = request_handler
        self.log = log
        self.system = system or RealSystem()
        self.keeps_jobs = False
        self.connections: dict[ClientConnection, None] = {}
        self.tasks: dict[asyncio.Task[None], None] = {}
        self.waiting_clients = 0
        self.max_waiting_clients = descriptors.limit - descriptors.limit // CALLBACK_PART
        self.stored_bytes = 0
        self.max_stored_bytes = max_stored_bytes
        self.is_placing = False
        self.stopping = False

    def listen(self, address: Address) -> None:
        """Listen, and accept from now on; raise OSError."""
        self.socket = self.system.listening(address, BACKLOG)
        self.socket.setblocking(False)
        self.accepting = asyncio.create_task(self.accept())

    async def accept(self) -> None:
        """Accept connections until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = await loop.sock_accept(self.socket)
            except OSError as error:
                self.log.emit(f"clients: cannot accept ({error})", event="accept_failed", error=str(error))
                await asyncio.sleep(ACCEPT_RETRY_DELAY)
                continue
            # The one just accepted waits for its descriptor here, the others in the kernel's queue.
            self.is_placing = True
            await self.descriptors.acquire()
            self.is_placing = False
            task = asyncio.create_task(self.serve(accepted))
            self.tasks[task] = None
            task.add_done_callback(self.tasks.pop)

    async def serve(self, accepted: socket.socket) -> None:
        """Serve one connection, until it is closed and its descriptor returned."""
        connection = None
        try:
            connection = await self.open_connection(accepted)
            self.connections[connection] = None
            await ClientSession(connection).run()
        except OSError:
            pass  # the other side is gone; the handler of its request has been notified
        except Exception as error:  # protects the other connections
            cause = f"{type(error).__name__}: {error}"
            self.log.emit(f"clients: a connection ended by {cause}", event="connection_failed", error=cause)
        finally:
            if connection is None:
                accepted.close()
            else:
                await connection.close()
                self.connections.pop(connection, None)
            self.descriptors.release(connection)

    async def open_connection(self, accepted: socket.socket) -> ClientConnection:
        """Attach an accepted socket to the event loop; raise OSError."""
        loop = asyncio.get_running_loop()
        protocol = SharedBufferProtocol()
        transport, _ = await loop.connect_accepted_socket(lambda: protocol, accepted)
        writer = asyncio.StreamWriter(transport, protocol, protocol.reader, loop)
        return ClientConnection(self, protocol, writer)

    async def wind_down(self) -> None:
        """End connections with their next response, and those of clients that are idle now.

        One that was just opened stays: its first message may be on its way, and no client sends that again as
        it does on a connection that was reused
        (test_wind_down_ends_idle_connections_and_not_those_just_opened). What has come is read first: a call
        to stop takes fewer turns of the loop than bytes do, and requests that had come before it were lost
        (test_wind_down_reads_what_has_come_before_it_ends_idle_connections).
        """
        self.stopping = True
        await run_pending_reads()
        for connection in self.connections:
            if connection.is_idle and connection.peer is not PeerRole.WORKER:
                connection.half_close(LINGER_TIMEOUT)

    def busy(self) -> bool:
        """Return whether a message is on its way in, or may be, or a response on its way out.

        A connection that was just opened counts as busy: its first message may be on its way, and no client
        sends that again. Those that send nothing are closed in their time.
        """
        idle_count = sum(connection.is_idle for connection in self.connections)
        return self.is_placing or len(self.tasks) > idle_count

    async def stop(self) -> None:
        """Accept nothing more, and end what is left."""
        self.accepting.cancel()
        self.socket.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
