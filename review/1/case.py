"""Case 1: a denial after the workers have forgotten the key lets the client's retry run the job again."""

# ruff: noqa: D103, INP001

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    Answer,
    Clients,
    CouldNotRunError,
    Fleet,
    KeyMemory,
    Record,
    Worker,
    play,
)

SPAN = 1.5  # seconds for which every worker drops a repeat of a key (MemorySpan)
TIME_LIMIT = 5.0  # seconds after which a client gives up (TimeLimit)
WORKERS = 6
CORES = 3
HANG_AT, HANG_FOR = 5.0, 8.0  # one worker of six takes jobs and answers none
END = 20.0
RATE = 20.0  # requests a second at both dispatchers together

SETTINGS = {
    "Azs": ["a"],
    "Ceilings": {
        "ConnectTimeout": 250.0,
        "IdleClose": 30000.0,
        "MaxDispatches": 3,
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
    "Domain": {"ClassKind": [-1], "ClassStretch": [1.75], "Progress": 2000.0, "TellsStart": True},
    "Kinds": ["std"],
    "LoadReport": {"Fields": [], "Source": "silent"},
    "Rules": {
        "AnswerSlack": 16.0,
        "AskWithin": 10000.0,
        "Cold": 8300.0,
        "ColdFrom": 0.3,
        "DrainGrace": 1500.0,
        "OverloadFactor": 3.0,
        "OverloadFor": 1500.0,
    },
    "ServiceGrades": [
        {
            "Group": "all",
            "MemorySpan": SPAN * 1000,
            "Name": "post",
            "Revenue": 8.0,
            "Semantics": "guarded",
            "SoftLimit": 200.0,
            "Stream": False,
            "TimeLimit": TIME_LIMIT * 1000,
        }
    ],
    "ServiceType": "jobs",
    "Step": 4.0,
    "WeightKind": "silent",
    "Zone": "a",
}


async def story(record: Record, folder: Path, trouble: bool) -> int:
    chance = random.Random(7)
    memory = KeyMemory(SPAN)
    workers = [
        Worker(f"s-{number}", record, CORES, lambda _: chance.uniform(0.09, 0.17), memory)
        for number in range(WORKERS)
    ]
    fleet = Fleet(record, folder, workers, 2, SETTINGS)
    try:
        await fleet.start()
        return await traffic(record, workers, [each.address for each in fleet.dispatchers], trouble)
    finally:
        fleet.end()


async def traffic(record: Record, workers: list[Worker], addresses: list[str], trouble: bool) -> int:
    clients, chance = Clients(record), random.Random(8)
    chains: list[list[Answer]] = []

    async def client(number: int) -> None:
        """Send a request; where it is refused, send it once more with the same key, after a wait."""
        key = f"key{number:06d}"
        chain = [await clients.send(chance.choice(addresses), "post", TIME_LIMIT, key)]
        chains.append(chain)
        if chain[0].status in (429, 503):
            await asyncio.sleep(chain[0].retry_after + 0.1)
            record(f"client: {chain[0].id} was refused, key {key} is sent again")
            chain.append(await clients.send(chance.choice(addresses), "post", TIME_LIMIT, key))

    began, number, tasks = record.now(), 0, []
    hanging = workers[2]
    while record.now() - began < END:
        elapsed = record.now() - began
        is_hung = trouble and HANG_AT <= elapsed < HANG_AT + HANG_FOR
        if is_hung and hanging.answers.is_set():
            record(f"TROUBLE {hanging.uid} takes jobs and answers none")
            hanging.answers.clear()
        elif not is_hung and not hanging.answers.is_set():
            record(f"TROUBLE {hanging.uid} answers again")
            hanging.answers.set()
        tasks.append(asyncio.create_task(client(number)))
        number += 1
        await asyncio.sleep(chance.expovariate(RATE))
    await asyncio.gather(*tasks)
    await asyncio.sleep(1.0)
    return judge(record, workers, chains, clients)


def judge(record: Record, workers: list[Worker], chains: list[list[Answer]], clients: Clients) -> int:
    runs: dict[str, list[tuple[float, str, str]]] = {}
    for worker in workers:
        for run in worker.runs:
            runs.setdefault(run.key, []).append((run.at, run.worker, run.id))
    twice = {key: sorted(each) for key, each in runs.items() if len(each) > 1}
    statuses: dict[int, int] = {}
    for answer in clients.answers:
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
    record.say(f"{len(chains)} jobs, {len(clients.answers)} requests, answers by status {statuses}")
    if statuses.get(200, 0) < len(chains) // 2:
        raise CouldNotRunError("most requests were not served")
    refused = {chain[0].id: chain[0] for chain in chains if chain[0].status in (429, 503)}
    broken = 0
    for key, each in twice.items():
        first, second = each[0], each[1]
        # Only what the dispatcher's own refusal has let the client do counts.
        if first[2] in refused and second[2] != first[2]:
            broken += 1
            record.say(
                f"key {key}: ran at {first[1]} at {first[0]:.3f} as {first[2]}, refused with "
                f"{refused[first[2]].status}, ran again at {second[1]} at {second[0]:.3f} as {second[2]}"
            )
    record.say(f"{len(refused)} refusals, {broken} jobs ran twice because of one")
    return BROKEN if broken else HELD


play(HERE, story)
