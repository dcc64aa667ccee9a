"""Runs the schedulers of many instances behind the simulator's wire, on standard input and output."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Iterator
from typing import BinaryIO

from locktide.bench_adapter import spellings
from locktide.bench_adapter.decoding import EVENT_DECODERS, decode_config, decode_endpoint
from locktide.bench_adapter.encoding import (
    END_OF_REPLY,
    encode_commands,
    encode_instance,
    encode_instance_failure,
)
from locktide.bench_adapter.errors import MalformedLineError
from locktide.bench_adapter.line import Fields, microseconds, parse_line, read_choice, read_integer, read_text
from locktide.scheduler.events import EndpointEntry, EndpointListUpdate, Event
from locktide.scheduler.scheduler import Scheduler
from locktide.scheduler.types import ListUpdateKind

EXIT_MALFORMED_INPUT = 2
EXIT_OUTPUT_CLOSED = 1


class Batch:
    """The state of one batch while it is read.

    Attributes:
        lines: the lines that are not read yet.
        instance: the instance that the next lines are for; None before the first line that names one.
        events: the events of each instance; the reply has the instances in the same order.
    """

    def __init__(self, lines: Iterator[str]) -> None:
        self.lines = lines
        self.instance: int | None = None
        self.events: dict[int, list[Event]] = {}


class BenchAdapter:
    """Reads batches, passes the events of each instance to its scheduler, and returns a reply per batch.

    Attributes:
        schedulers: the scheduler of each started instance.
        endpoint_lists: the endpoint lists that batches contained, by their id on the wire.
        line_number: the number of the line that was read last, from 1.
    """

    def __init__(self) -> None:
        self.schedulers: dict[int, Scheduler] = {}
        self.endpoint_lists: dict[int, list[EndpointEntry]] = {}
        self.line_number = 0
        self._control_handlers = {
            spellings.SELECT_INSTANCE: self._select_instance,
            spellings.ENDPOINT_LIST: self._store_endpoint_list,
            spellings.ENDPOINT_LIST_UPDATE: self._update_endpoint_list,
            spellings.START_INSTANCE: self._start_instance,
            spellings.STOP_INSTANCE: self._stop_instance,
        }

    def read_lines(self, source: BinaryIO) -> Iterator[str]:
        """Yield the lines of a source without their ends, and count them."""
        for raw_line in source:
            self.line_number += 1
            try:
                yield raw_line.decode("utf-8").rstrip("\r\n")
            except UnicodeDecodeError as error:
                raise MalformedLineError("UTF-8 text") from error

    def process_batch(self, lines: Iterator[str], opening: str) -> bytes:
        """Read one batch, from its opening line to its end, and return its reply.

        Raises:
            MalformedLineError: a line is malformed, or the batch has no end.
        """
        now = _read_clock(opening)
        batch = Batch(lines)
        for line in lines:
            if line == spellings.END_OF_BATCH:
                return self._reply(now, batch.events)
            message, fields = parse_line(line)
            decode_event = EVENT_DECODERS.get(message)
            if decode_event is None:
                self._handle_control_message(message, fields, batch)
                continue
            event = decode_event(fields)
            events = batch.events.setdefault(self._started_instance(batch), [])
            if event is not None:
                events.append(event)
        raise MalformedLineError(f"{spellings.END_OF_BATCH} before the end of input")

    def _handle_control_message(self, message: str, fields: Fields, batch: Batch) -> None:
        handler = self._control_handlers.get(message)
        if handler is None:
            raise MalformedLineError("a message of the wire", repr(message))
        handler(fields, batch)

    def _started_instance(self, batch: Batch) -> int:
        instance = batch.instance
        if instance is None or instance not in self.schedulers:
            raise MalformedLineError("news of a started instance", f"of {instance}")
        return instance

    def _select_instance(self, fields: Fields, batch: Batch) -> None:
        batch.instance = read_integer(fields, spellings.INSTANCE)

    def _store_endpoint_list(self, fields: Fields, batch: Batch) -> None:
        list_id = read_integer(fields, spellings.LIST_ID)
        size = read_integer(fields, spellings.LIST_SIZE)
        self.endpoint_lists[list_id] = [decode_endpoint(next(batch.lines, "")) for _ in range(size)]

    def _update_endpoint_list(self, fields: Fields, batch: Batch) -> None:
        instance = self._started_instance(batch)
        kind = read_choice(spellings.LIST_UPDATE_KINDS, fields, spellings.LIST_UPDATE_KIND)
        entries = [] if kind is ListUpdateKind.FETCH_FAILED else self._stored_endpoint_list(fields)
        batch.events.setdefault(instance, []).append(EndpointListUpdate(kind, entries))

    def _stored_endpoint_list(self, fields: Fields) -> list[EndpointEntry]:
        list_id = read_integer(fields, spellings.LIST_ID)
        if list_id not in self.endpoint_lists:
            expected = f"a {spellings.LIST_ID} that a {spellings.ENDPOINT_LIST} has defined"
            raise MalformedLineError(expected, str(list_id))
        return self.endpoint_lists[list_id]

    def _start_instance(self, fields: Fields, batch: Batch) -> None:
        if batch.instance is None:
            expected = f"a {spellings.SELECT_INSTANCE} line before {spellings.START_INSTANCE}"
            raise MalformedLineError(expected)
        config = decode_config(fields[spellings.SETTINGS])
        seed = read_integer(fields, spellings.SEED)
        self.schedulers[batch.instance] = Scheduler(seed, config)
        batch.events[batch.instance] = []

    def _stop_instance(self, _fields: Fields, batch: Batch) -> None:
        if batch.instance is not None:
            self.schedulers.pop(batch.instance, None)
            batch.events.pop(batch.instance, None)

    def _reply(self, now: int, events_by_instance: dict[int, list[Event]]) -> bytes:
        lines: list[str] = []
        for instance, events in events_by_instance.items():
            command_lines = self._step(now, instance, events)
            if command_lines:
                lines.append(encode_instance(instance))
                lines.extend(command_lines)
        lines.append(f"{END_OF_REPLY}\n")
        return "\n".join(lines).encode()

    def _step(self, now: int, instance: int, events: list[Event]) -> list[str]:
        """Return the commands of one scheduler as lines; on an error, the line that fails the instance."""
        try:
            return encode_commands(self.schedulers[instance].step(now, events))
        except Exception as error:  # must not end the other instances of this process
            traceback.print_exc(file=sys.stderr)
            return [encode_instance_failure(error)]


def _read_clock(opening: str) -> int:
    """Return the time of a batch, in microseconds, from its opening line."""
    message, fields = parse_line(opening)
    if message != spellings.BEGIN_BATCH:
        raise MalformedLineError(spellings.BEGIN_BATCH, repr(message))
    return microseconds(read_text(fields, spellings.CLOCK))


def main() -> int:
    """Answer batches until the end of input, and return the exit code."""
    adapter = BenchAdapter()
    lines = adapter.read_lines(sys.stdin.buffer)
    try:
        for opening in lines:
            if opening:
                sys.stdout.buffer.write(adapter.process_batch(lines, opening))
                sys.stdout.buffer.flush()
    except MalformedLineError as error:
        print(f"line {adapter.line_number}: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    except BrokenPipeError:
        return EXIT_OUTPUT_CLOSED
    return 0
