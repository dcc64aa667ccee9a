"""The one address on which clients hand in submissions and workers call back."""

from __future__ import annotations

import asyncio
import socket

from locktide.config.start import Address
from locktide.transport.client_connection import LINGER_FOR, ClientConnection, PeerRole, RequestHandler
from locktide.transport.descriptor_budget import DescriptorBudget, read_first
from locktide.transport.log import Log
from locktide.transport.streams import SharedBufferProtocol
from locktide.transport.system import RealSystem, System

BACKLOG = 1024
# The part of the places that no waiting client may hold, so that workers can always call back and readiness
# be asked: one in eight, as a callback takes a thousandth of the time that a client waits.
FOR_CALLBACKS = 8


class Listener:
    """Owns the listening socket and the connections that it accepted."""

    def __init__(
        self,
        descriptors: DescriptorBudget,
        grades: dict[str, int],
        numbered: set[str],
        most_stored: int,
        desk: RequestHandler,
        log: Log,
        system: System | None = None,
    ) -> None:
        self.descriptors, self.timeouts, self.keyed_classes = descriptors, grades, numbered
        self.request_handler, self.log = desk, log
        self.system = system or RealSystem()
        self.keeps_jobs = False  # whether clients may ask for durable jobs
        # In the order in which they came: what is done to all of them is done alike in every run.
        self.callers: dict[ClientConnection, None] = {}
        self.tasks: dict[asyncio.Task[None], None] = {}  # one for each connection, from place to place
        self.waiting = 0  # callers that wait for their answer
        self.most_waiting = descriptors.limit - descriptors.limit // FOR_CALLBACKS
        self.stored, self.most_stored = 0, most_stored  # bytes of messages that came in, in part or whole
        self.placing = False  # whether an accepted connection waits for its place
        self.stopping = False

    def listen(self, address: Address) -> None:
        self.socket = self.system.listening(address, BACKLOG)
        self.socket.setblocking(False)
        self.accepting = asyncio.create_task(self.accept())

    async def accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                connection, _ = await loop.sock_accept(self.socket)
            except OSError as trouble:
                self.log.emit(
                    f"clients: cannot accept ({trouble})", event="accept-failed", trouble=str(trouble)
                )
                await asyncio.sleep(0.01)
                continue
            # The one just accepted waits for its place, the others in the kernel's queue.
            self.placing = True
            await self.descriptors.acquire()
            self.placing = False
            task = asyncio.create_task(self.serve(connection))
            self.tasks[task] = None
            task.add_done_callback(self.tasks.pop)

    async def serve(self, connection: socket.socket) -> None:
        """One connection, until it and its place are given back."""
        caller = None
        try:
            inlet, loop = SharedBufferProtocol(), asyncio.get_running_loop()
            transport, _ = await loop.connect_accepted_socket(lambda: inlet, connection)
            caller = ClientConnection(self, inlet, asyncio.StreamWriter(transport, inlet, inlet.reader, loop))
            self.callers[caller] = None
            await caller.converse()
        except OSError:
            pass  # the other side is gone; what it had handed in has been told
        except Exception as trouble:
            what = f"{type(trouble).__name__}: {trouble}"
            self.log.emit(
                f"clients: a connection ended by {what}", event="connection-broke-off", trouble=what
            )
        finally:
            if caller is None:
                connection.close()
            else:
                await caller.close()
                self.callers.pop(caller, None)
            self.descriptors.release(caller)

    async def wind_down(self) -> None:
        """From now on connections end with their answers; those of clients that are at rest end now.

        Guards against ending one that was just opened: its first message may be on its way, and nobody sends
        that anew as on a connection that was kept. It has its time to come in, as ever. And against ending
        one whose next message has come but was not read yet: the word to stop takes a shorter way through
        our loop than bytes do. Seen on loopback, three and four lost at once some 100 ms after SIGTERM.
        """
        self.stopping = True
        await read_first()
        for caller in self.callers:
            if caller.at_rest and caller.peer is not PeerRole.WORKER:
                caller.shut(LINGER_FOR)

    def busy(self) -> bool:
        """Whether a message is on its way in, or may be, or an answer on its way out.

        Guards against closing with no word a connection that was just opened: its first message may be on its
        way, and nobody sends that anew. Those that send nothing are closed in their time.
        """
        return self.placing or len(self.tasks) > sum(caller.at_rest for caller in self.callers)

    async def stop(self) -> None:
        """Takes in nothing more; ends what is left."""
        self.accepting.cancel()
        self.socket.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
