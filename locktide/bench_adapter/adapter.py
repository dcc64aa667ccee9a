"""Many instances of the decisions behind the simulator's wire, on standard input and output."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Iterator
from typing import Any, BinaryIO

from locktide.bench_adapter import wire
from locktide.scheduler.events import EndpointEntry, EndpointListUpdate
from locktide.scheduler.scheduler import Scheduler
from locktide.scheduler.types import ListUpdateKind


class BenchAdapter:
    """Reads batches, hands each instance its news in order, and writes one reply for each batch."""

    def __init__(self) -> None:
        self.instances: dict[int, Scheduler] = {}
        self.sheets: dict[int, list[EndpointEntry]] = {}
        self.line_number = 0

    def lines(self, source: BinaryIO) -> Iterator[str]:
        for raw in source:
            self.line_number += 1
            try:
                text = raw.decode("utf-8").rstrip("\r\n")
            except UnicodeDecodeError:
                raise wire.Malformed("expected UTF-8 text") from None
            yield text

    def started(self, instance: int | None) -> int:
        if instance is None or instance not in self.instances:
            raise wire.Malformed(f"expected news of a started instance, not of {instance}")
        return instance

    def batch(self, lines: Iterator[str], opening: str) -> bytes:
        """One batch, from its opening SYNC line to EOB, into its reply."""
        message, fields = wire.split(opening)
        if message != "SYNC":
            raise wire.Malformed(f"expected SYNC, not {message!r}")
        now = wire.micros(wire.word(fields, "AtTime"))
        news: dict[int, list[Any]] = {}  # by instance, in the order in which their orders go out
        current: int | None = None
        for line in lines:
            if line == "EOB":
                break
            message, fields = wire.split(line)
            translate = wire.NEWS.get(message)
            if translate is not None:
                piece = translate(fields)
                pieces = news.setdefault(self.started(current), [])
                if piece is not None:
                    pieces.append(piece)
            elif message == "TO":
                current = wire.integer(fields, "DispatcherId")
            elif message == "DIRECTORY":
                sheet, count = wire.integer(fields, "Sheet"), wire.integer(fields, "Items")
                items = []
                for _ in range(count):
                    items.append(wire.item(next(lines, "")))
                self.sheets[sheet] = items
            elif message == "UPDATE":
                instance = self.started(current)
                kind = wire.one_of(wire.LISTS, fields, "Mode")
                entries: list[EndpointEntry] = []
                if kind != ListUpdateKind.FETCH_FAILED:
                    sheet = wire.integer(fields, "Sheet")
                    if sheet not in self.sheets:
                        raise wire.Malformed(f"expected a Sheet that a DIRECTORY has set up, not {sheet}")
                    entries = self.sheets[sheet]
                news.setdefault(instance, []).append(EndpointListUpdate(kind, entries))
            elif message == "SPAWN":
                if current is None:
                    raise wire.Malformed("expected a TO line before SPAWN")
                config = wire.scheduler_config(fields["Config"])
                self.instances[current] = Scheduler(wire.integer(fields, "RngSeed"), config)
                news[current] = []
            elif message == "RETIRE":
                if current is not None:
                    self.instances.pop(current, None)
                    news.pop(current, None)
            else:
                raise wire.Malformed(f"expected a message of the wire page, not {message!r}")
        else:
            raise wire.Malformed("expected EOB before the end of input")
        return self.reply(now, news)

    def reply(self, now: int, news: dict[int, list[Any]]) -> bytes:
        out: list[str] = []
        for instance, pieces in news.items():
            try:
                orders = [wire.line(order) for order in self.instances[instance].step(now, pieces)]
            except Exception as trouble:
                traceback.print_exc(file=sys.stderr)
                orders = ["GIVE_IN Line=" + " ".join(f"{type(trouble).__name__}: {trouble}".split())]
            if orders:
                out.append(f"AS DispatcherId={instance}")
                out.extend(orders)
        out.append("END\n")
        return "\n".join(out).encode()


def main() -> int:
    host = BenchAdapter()
    lines = host.lines(sys.stdin.buffer)
    try:
        for opening in lines:
            if opening:
                sys.stdout.buffer.write(host.batch(lines, opening))
                sys.stdout.buffer.flush()
    except wire.Malformed as trouble:
        print(f"line {host.line_number}: {trouble}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0
