# ruff: noqa: D103, PLR0915 - a script
"""Drains while discovery is slow and new configurations come in quick succession."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

import rig

#: Seconds that discovery takes for each call; an answer may come 2 s after the wait of its call is over.
SLOW = 1.9
#: New configurations, and seconds between two of them.
RELOADS, RELOAD_INTERVAL = 6, 1.6
#: A change counts as told 6 s after discovery had it. The grace is 250 ms, 50 ms on sockets, 150 ms of hold.
TOLD_WITHIN, GRACE = 6.0, 0.25 + 0.05 + 0.15
RUN_TIME = 0.6
#: Seconds after the begin of its drain at which the worker, which has nothing of before its drain, ends.
ENDS_AFTER = 9.5
PLAY = 18.0
#: Seconds between two requests.
INTERVAL = 0.15


async def play(record: rig.Record, folder: Path) -> int:
    discovery = rig.Discovery(record, "A", 40)
    discovery.delay = SLOW
    await discovery.start()
    dispatcher = rig.Dispatcher(record, "d0", folder)
    workers = [rig.Worker(record, f"w{index}") for index in range(3)]
    for worker in workers:
        await worker.start()
        worker.callback_port, worker.run_time = dispatcher.port, RUN_TIME
        discovery.put(worker.uid, worker.port)
    grades = [rig.service_grade("extract", "single_shot")]
    answers: list[tuple[str, int]] = []

    async def send_one() -> None:
        request_id, status, _, _ = await rig.submit(record, dispatcher.port, "extract")
        answers.append((request_id, status))

    async def reload_in_a_row() -> None:
        for number in range(RELOADS if rig.disruption_is_on() else 0):
            revised = rig.settings(grades, Discovery="subscribe", BeyondShareRevenue=0.9 - number / 100)
            dispatcher.configure(discovery.port, known, revised)
            dispatcher.signal(signal.SIGHUP)
            await asyncio.sleep(RELOAD_INTERVAL)

    lost: list[str] = []
    try:
        known = discovery.whole_list()
        dispatcher.configure(discovery.port, known, rig.settings(grades, Discovery="subscribe"))
        await dispatcher.start()
        sending: set[asyncio.Task[None]] = set()
        began = record.now()
        while record.now() < began + 10.0:  # the first call goes out within half of AskWithin
            sending.add(asyncio.create_task(send_one()))
            await asyncio.sleep(INTERVAL)
        drained_at = record.now()
        draining = workers[0]
        discovery.put(draining.uid, draining.port, "leaving")
        reloading = asyncio.create_task(reload_in_a_row())
        has_ended = False
        while record.now() < drained_at + PLAY:
            if not has_ended and record.now() > drained_at + ENDS_AFTER:
                has_ended = True
                lost = list(draining.open)
                draining.stop()
                discovery.put(draining.uid, draining.port, "left")
                record.add(f"worker {draining.uid}: ends, with {len(lost)} jobs that came after its drain")
            sending.add(asyncio.create_task(send_one()))
            await asyncio.sleep(INTERVAL)
        await asyncio.gather(reloading, *sending)
    finally:
        await dispatcher.end()
        for server in [discovery, *workers]:
            server.stop()
    late = [job.at - drained_at for job in draining.jobs if job.at > drained_at + TOLD_WITHIN + GRACE]
    unserved = [request_id for request_id, status in answers if status != 200]
    bound = TOLD_WITHIN + GRACE
    record.add(f"{len(answers)} requests, {len(answers) - len(unserved)} done")
    record.add(f"{draining.uid}: {len(late)} jobs later than {bound:.2f} s after discovery had its drain")
    if late:
        record.add(f"the last one {max(late):.2f} s after it")
    died = [request_id for request_id in unserved if request_id in lost]
    record.add(f"not done: {unserved}; of them died with {draining.uid}: {died}")
    return rig.BROKEN if late else rig.HELD


rig.main(Path(__file__).resolve().parent, play)
