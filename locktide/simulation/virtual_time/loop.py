"""The event loop: runs callbacks in order of their time, then of their creation; it never really waits."""

from __future__ import annotations

import asyncio
import contextvars
import heapq
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from typing import Any, Protocol

from locktide.simulation.virtual_time.process import PROCESS, VirtualProcess

# Limit for callbacks at one time: callbacks that keep scheduling each other without delay are a fault in the
# code that runs, and would never let time advance.
MAX_CALLBACKS_AT_ONCE = 2_000_000
# Added to the number of a signal's handle, so that it runs before all other callbacks of that time.
SIGNAL_ORDER_OFFSET = -(1 << 62)


class Network(Protocol):
    """The network of a loop, set as `VirtualLoop.network`; it creates connections."""

    def listen(self, factory: Callable[[], asyncio.BaseProtocol], host: str, port: int) -> Any: ...

    async def connect(self, host: str, port: int, source: str | None) -> Any: ...


class DeadlockError(RuntimeError):
    """No callback or timer is left before the awaited result exists, or callbacks never let time advance."""


class VirtualLoop(asyncio.AbstractEventLoop):
    network: Any

    def __init__(self) -> None:
        self.now = 0.0
        self.ready: deque[tuple[asyncio.Handle, VirtualProcess | None]] = deque()
        self.timers: list[tuple[float, int, asyncio.Handle, VirtualProcess | None]] = []
        self.handle_count = 0
        self.stopping = self.running = self.closed = False
        self.unhandled: list[dict[str, Any]] = []  # contexts of exceptions that no code has handled
        self.ran = 0

    # --- time

    def time(self) -> float:
        return self.now

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        process = PROCESS.get() if context is None else context.get(PROCESS)
        handle = asyncio.Handle(callback, args, self, context)
        self.ready.append((handle, process))
        return handle

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        return self.call_at(self.now + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        process = PROCESS.get() if context is None else context.get(PROCESS)
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self.handle_count += 1
        heapq.heappush(self.timers, (when, self.handle_count, handle, process))
        return handle

    def call_soon_threadsafe(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.Handle:
        return self.call_soon(callback, *args, context=context)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        pass  # a cancelled timer is skipped when it is due

    # --- running

    def run_forever(self) -> None:
        previous = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        self.running, self.stopping = True, False
        at_once = 0
        try:
            while not self.stopping:
                if not self.ready:
                    at_once = 0
                    if not self.pass_time():
                        raise DeadlockError(f"nothing left to do at {self.now:.6f} s")
                handle, process = self.ready.popleft()
                if handle.cancelled() or process is not None and process.dead:
                    continue
                if process is not None and process.held_until > self.now:
                    self.defer(handle, process)
                    continue
                at_once += 1
                self.ran += 1
                if at_once > MAX_CALLBACKS_AT_ONCE:
                    raise DeadlockError(f"callbacks never let time advance at {self.now:.6f} s: {handle!r}")
                handle._run()
        finally:
            self.running = False
            asyncio._set_running_loop(previous)

    def defer(self, handle: asyncio.Handle, process: VirtualProcess) -> None:
        """Postpone a callback until its process, which is held up, runs again; keep the order of calls."""
        self.handle_count += 1
        heapq.heappush(self.timers, (process.held_until, self.handle_count, handle, process))

    def deliver_signal(self, process: VirtualProcess, handler: Callable[[], Any]) -> None:
        """Call the signal handler of a process now, or after a hold before all its other callbacks."""
        if process.held_until <= self.now:
            self.call_soon(handler, context=process.context())
            return
        self.handle_count += 1
        handle = asyncio.Handle(handler, (), self, process.context())
        order = SIGNAL_ORDER_OFFSET + self.handle_count
        heapq.heappush(self.timers, (process.held_until, order, handle, process))

    def pass_time(self) -> bool:
        """Advance the time to the next due timer; return whether there is one."""
        while self.timers and (self.timers[0][2].cancelled() or self.dead(self.timers[0][3])):
            heapq.heappop(self.timers)
        if not self.timers:
            return False
        self.now = max(self.now, self.timers[0][0])
        while self.timers and self.timers[0][0] <= self.now:
            _, _, handle, process = heapq.heappop(self.timers)
            if not handle.cancelled():
                self.ready.append((handle, process))
        return True

    @staticmethod
    def dead(process: VirtualProcess | None) -> bool:
        return process is not None and process.dead

    def run_until_complete(self, future: Any) -> Any:
        task = asyncio.ensure_future(future, loop=self)
        task.add_done_callback(lambda _: self.stop())
        self.run_forever()
        return task.result()

    def stop(self) -> None:
        self.stopping = True

    def is_running(self) -> bool:
        return self.running

    def is_closed(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True
        self.ready.clear()
        self.timers.clear()

    async def shutdown_asyncgens(self) -> None:
        pass

    async def shutdown_default_executor(self, timeout: float | None = None) -> None:
        pass

    # --- futures and tasks

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Coroutine[Any, Any, Any] | Generator[Any, None, Any],
        *,
        name: str | None = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(coro, loop=self, name=name or "task", context=context)
        process = PROCESS.get() if context is None else context.get(PROCESS)
        if process is not None:
            process.hold(task)
        return task

    def get_debug(self) -> bool:
        return False

    def set_debug(self, enabled: bool) -> None:
        pass

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        self.unhandled.append(context)

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        self.unhandled.append(context)

    def add_signal_handler(  # type: ignore[override]
        self, sig: int, callback: Any, *args: Any
    ) -> None:
        """Ignore the handler: a process in virtual time is stopped by its backend."""

    def remove_signal_handler(self, sig: int) -> bool:
        return False

    # --- connections

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int, *, local_addr: Any = None, **_: Any
    ) -> tuple[Any, Any]:
        protocol = protocol_factory()
        transport = await self.network.connect(protocol, host, port, local_addr[0] if local_addr else None)
        return transport, protocol

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int, **_: Any
    ) -> Any:
        return self.network.listen(protocol_factory, host, port)

    async def create_datagram_endpoint(
        self, protocol_factory: Callable[[], Any], local_addr: Any = None, remote_addr: Any = None, **_: Any
    ) -> tuple[Any, Any]:
        transport, protocol = self.network.datagrams.bind(protocol_factory, local_addr)
        return transport, protocol

    async def sock_accept(self, sock: Any) -> tuple[Any, Any]:
        connection, address = await sock.accept()
        return connection, address

    async def connect_accepted_socket(
        self, protocol_factory: Callable[[], Any], sock: Any, **_: Any
    ) -> tuple[Any, Any]:
        protocol = protocol_factory()
        return sock.begin(protocol), protocol
