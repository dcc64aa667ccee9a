"""The listening socket for the requests of clients and the callbacks of workers."""

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

#: Length of the kernel's queue of connections that are not accepted yet.
BACKLOG = 1024
#: Seconds between a failed accept and the next.
ACCEPT_RETRY_DELAY = 0.01
#: One in this many descriptors is reserved for callbacks and health checks, which must be possible while
#: clients wait. One in eight is enough, as a callback takes a thousandth of the time that a client waits.
CALLBACK_RESERVE_DIVISOR = 8


class Listener:
    """Owns the listening socket and the connections that it accepted.

    It has the attributes of `ConnectionContext` and these:

    Attributes:
        connections: The open connections, in order of their accept, so that a loop over them has the same
            order in every run.
        tasks: One task for each connection, for as long as the connection has a descriptor.
        is_awaiting_descriptor: Whether an accepted connection waits for its descriptor.
    """

    def __init__(  # noqa: PLR0913 - collaborators and settings, passed only here
        self,
        descriptors: DescriptorBudget,
        timeouts: dict[str, int],
        keyed_classes: set[str],
        max_stored_bytes: int,
        request_handler: RequestHandler,
        log: Log,
        system: System | None = None,
    ) -> None:
        """Create a listener that does not listen yet.

        Args:
            descriptors: Budget of the accepted connections.
            timeouts: Timeout of each service class in microseconds; may be changed at any time.
            keyed_classes: Service classes whose requests need an idempotency key; may be changed at any time.
            max_stored_bytes: Upper limit of the bytes of messages that are partly received or waiting.
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
        self.max_waiting_clients = descriptors.limit - descriptors.limit // CALLBACK_RESERVE_DIVISOR
        self.stored_bytes = 0
        self.max_stored_bytes = max_stored_bytes
        self.is_awaiting_descriptor = False
        self.is_stopping = False

    def listen(self, address: Address) -> None:
        """Listen and start to accept connections; raise OSError."""
        self.socket = self.system.open_listener(address, BACKLOG)
        self.socket.setblocking(False)
        self.accepting = asyncio.create_task(self.accept())

    async def accept(self) -> None:
        """Accept connections until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = await loop.sock_accept(self.socket)
            except OSError as error:
                self.log.emit(
                    f"clients: cannot accept a connection ({error})", event="accept_failed", error=str(error)
                )
                await asyncio.sleep(ACCEPT_RETRY_DELAY)
                continue
            # The accepted connection waits for its descriptor here, the next ones wait in the kernel's queue.
            self.is_awaiting_descriptor = True
            await self.descriptors.acquire()
            self.is_awaiting_descriptor = False
            task = asyncio.create_task(self.serve(accepted))
            self.tasks[task] = None
            task.add_done_callback(self.tasks.pop)

    async def serve(self, accepted: socket.socket) -> None:
        """Serve one connection until it is closed; then release its descriptor."""
        connection = None
        try:
            connection = await self.open_connection(accepted)
            self.connections[connection] = None
            await ClientSession(connection).run()
        except OSError:
            pass  # the peer is gone; the request handler has been notified
        except Exception as error:  # protects the other connections
            cause = f"{type(error).__name__}: {error}"
            self.log.emit(f"clients: a connection failed: {cause}", event="connection_failed", error=cause)
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
        """End the idle connections of clients now, and other connections with their next response.

        A connection that was just opened stays: its first message may be on its way, and a client resends a
        message only on a connection that was reused
        (test_wind_down_ends_idle_connections_and_not_those_just_opened). Bytes that have arrived are read
        first: a call to stop takes fewer turns of the event loop than bytes do, and requests that had arrived
        before it were lost (test_wind_down_reads_what_has_come_before_it_ends_idle_connections).
        """
        self.is_stopping = True
        await run_pending_reads()
        for connection in self.connections:
            if connection.is_idle and connection.peer is not PeerRole.WORKER:
                connection.half_close(LINGER_TIMEOUT)

    async def end_receiving(self) -> None:
        """End the connections of clients on which no message is complete, shortly before a kill.

        A message that was completed later would have no response at the kill, if the process were held up
        then. Its client sends it elsewhere, as the connection ends before. Bytes that have arrived are read
        first (test_connection_on_which_nothing_has_come_ends_before_the_kill).
        """
        await run_pending_reads()
        for connection in self.connections:
            if connection.is_awaiting_bytes and connection.peer is not PeerRole.WORKER:
                connection.half_close(LINGER_TIMEOUT)

    def is_busy(self) -> bool:
        """Return whether a message is being received, or may be on its way, or a response is due.

        A connection that was just opened counts as busy: its first message may be on its way, and the client
        would not resend it. A connection on which nothing is sent is closed after `MESSAGE_TIMEOUT`.
        """
        idle_count = sum(connection.is_idle for connection in self.connections)
        return self.is_awaiting_descriptor or len(self.tasks) > idle_count

    async def stop(self) -> None:
        """Stop accepting connections, and cancel those that are left."""
        self.accepting.cancel()
        self.socket.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
