"""Case 2: held up for 0.1 s in its shutdown, a dispatcher leaves requests open at the earliest kill."""

# ruff: noqa: D103, INP001

from __future__ import annotations

import asyncio
import signal
import sys
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    Clients,
    CouldNotRunError,
    Fleet,
    Record,
    Worker,
    encode,
    play,
    read_message,
    split_address,
)

OPEN_AFTER = (0.25, 0.30, 0.35)  # seconds after SIGTERM: new connections go on coming for 0.2 to 0.4 s
SEND_AFTER = (0.9, 1.2, 1.5, 1.8)  # seconds after SIGTERM: clients send on connections that stay open
KILL_AFTER = 3.705  # SIGKILL comes no sooner than 3 s and 0.7 s more after SIGTERM
HOLD_AFTER = (
    3.605  # the dispatcher is held up from here, for 0.1 s until the kill; the pages name up to 0.15 s
)
COUNTS_AFTER = 0.7  # what came more than 0.7 s after SIGTERM and is unanswered at SIGKILL is lost
TIME_LIMIT = 25.0
CLASS = "pickup-record"

SETTINGS = {
    "Azs": ["a"],
    "Ceilings": {
        "ConnectTimeout": 250.0,
        "IdleClose": 30000.0,
        "MaxDispatches": 4,
        "MaxOpen": 20000,
        "MaxRetryAfter": 2000.0,
        "MaxStreams": 1,
        "MayCancel": True,
        "Peers": False,
        "Probing": False,
        "RetryAfter": True,
        "SecondCopies": False,
    },
    "Clients": {"MarksRetry": False},
    "Discovery": "automatic",
    "Domain": {"ClassKind": [-1], "ClassStretch": [2.0], "Progress": 1000.0, "TellsStart": True},
    "Kinds": ["std"],
    "LoadReport": {"Fields": [], "Source": "silent"},
    "Rules": {
        "AnswerSlack": 16.0,
        "AskWithin": 10000.0,
        "Cold": 9000.0,
        "ColdFrom": 0.31,
        "DrainGrace": 250.0,
        "OverloadFactor": 4.0,
        "OverloadFor": 2000.0,
    },
    "ServiceGrades": [
        {
            "Group": "cell",
            "MemorySpan": 40000.0,
            "Name": CLASS,
            "Revenue": 10.0,
            "Semantics": "guarded",
            "SoftLimit": 1500.0,
            "Stream": False,
            "TimeLimit": TIME_LIMIT * 1000,
        }
    ],
    "ServiceType": "jobs",
    "Step": 4.0,
    "WeightKind": "silent",
    "Zone": "a",
}


@dataclass
class Late:
    """A request that a client sends after SIGTERM, on a connection that was opened in time."""

    id: str
    opened_after: float
    sent_after: float
    status: int = 0
    answered_after: float = 0.0


async def story(record: Record, folder: Path, trouble: bool) -> int:
    workers = [Worker(f"s-{number}", record, 3, lambda _: 4.0, progress=1.0) for number in range(5)]
    fleet = Fleet(record, folder, workers, 2, SETTINGS)
    try:
        await fleet.start()
        return await restart(record, fleet, trouble)
    finally:
        fleet.end()


async def restart(record: Record, fleet: Fleet, trouble: bool) -> int:
    """Send SIGTERM to one dispatcher, and SIGKILL at the earliest moment that the pages allow."""
    clients, stopping = Clients(record), fleet.dispatchers[0]
    before = [
        asyncio.create_task(clients.send(each.address, CLASS, TIME_LIMIT, f"key{number}"))
        for number, each in enumerate(fleet.dispatchers * 2)
    ]
    await asyncio.sleep(2.0)
    record(f"SIGTERM to {stopping.name}")
    process = stopping.process
    assert process is not None
    process.send_signal(signal.SIGTERM)
    term_at = record.now()
    late = [Late(clients.next_id(), opened, sent) for opened in OPEN_AFTER for sent in SEND_AFTER]
    sending = [asyncio.create_task(send(record, stopping.address, term_at, each)) for each in late]
    if trouble:
        await asyncio.sleep(term_at + HOLD_AFTER - record.now())
        if process.poll() is None:
            record(f"TROUBLE {stopping.name} is held up")
            process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(term_at + KILL_AFTER - record.now())
    ended = process.poll()
    record(f"SIGKILL to {stopping.name}, {record.now() - term_at:.3f} s after SIGTERM, exit before: {ended}")
    stopping.kill()
    await asyncio.gather(*sending)
    await asyncio.gather(*before)
    return judge(record, clients, late)


async def send(record: Record, address: str, term_at: float, late: Late) -> None:
    """Open a connection and send a request on it, each at its time; wait for the answer."""
    await asyncio.sleep(term_at + late.opened_after - record.now())
    headers = {
        "Host": "backend.local",
        "Req-Id": late.id,
        "Req-Kind": CLASS,
        "Req-Deadline": f"{round(TIME_LIMIT * 1000)}m",
        "Idempotency-Key": f"late-{late.id}",
    }
    with suppress(OSError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection(*split_address(address))
        await asyncio.sleep(term_at + late.sent_after - record.now())
        if reader.at_eof():
            late.status = -1  # the dispatcher ended the connection before the request: it is sent elsewhere
            return
        record(f"client: sends {late.id} on a connection that stays open")
        writer.write(encode(f"POST /{CLASS} HTTP/1.1", headers, b"x" * 100))
        message = await read_message(reader, record)
        if message is not None:
            late.status = int(message.start[1])
            late.answered_after = record.now() - term_at
            record(f"client: {late.id} answered {late.status}, {late.answered_after:.3f} s after SIGTERM")
        writer.close()


def judge(record: Record, clients: Clients, late: list[Late]) -> int:
    taken = [each for each in late if each.status >= 0 and each.sent_after > COUNTS_AFTER]
    lost = [each for each in taken if each.status == 0]
    answered = sorted(each.answered_after for each in taken if each.status)
    if not any(answer.status == 200 for answer in clients.answers) or not taken:
        raise CouldNotRunError("no request was served, or none was sent after SIGTERM")
    for each in lost:
        record.say(f"{each.id} was sent {each.sent_after} s after SIGTERM and has no answer at SIGKILL")
    times = f", {answered[0]:.3f} to {answered[-1]:.3f} s after SIGTERM" if answered else ""
    record.say(f"{len(taken)} requests came after SIGTERM, {len(answered)} answered{times}, {len(lost)} lost")
    return BROKEN if lost else HELD


play(HERE, story)
