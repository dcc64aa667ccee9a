"""Stored bytes of durable jobs, written by an earlier version: no renaming may change how they are read.

The segments under `tests/data/durable_journal/` were written once by the version of commit 53c25d5, before
its classes were renamed. Its `Journal.append` wrote them in four successive openings of one directory, each
of which wrote a `Began` record. The first opening accepted jobs 1 to 12. The second had a segment size of 16
bytes, so that it wrote a snapshot (segment 3); an OSError was raised at its crash point "before old segments
go", so that the older segments were kept. The third accepted jobs 13 to 24. The last nine bytes that the
fourth wrote were cut off, within the final response of job 20. The files are never written again: a test that
fails here has found a change of the format.
"""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import Any

import msgspec
import pytest

from locktide.cli.jobs import export_job
from locktide.durable import recovery
from locktide.durable.disk import DirectoryStorage
from locktide.durable.errors import DamagedLogError
from locktide.durable.job_states import JOB_STATE_WORDS
from locktide.durable.jobs import Job, JobTable
from locktide.durable.leases import LeaseConfig, LeaseTable
from locktide.durable.log import framing, records
from locktide.durable.log.reader import read_log, segment_name
from locktide.durable.log.stored_outcomes import STORED_OUTCOMES
from locktide.durable.log.stored_service_class import STORED_EFFECTS, STORED_SCOPES
from locktide.durable.log.write_ahead_log import WriteAheadLog
from locktide.scheduler.config import ServiceClass
from locktide.scheduler.types import PROVEN_NOT_RUN, AttemptOutcome, DeduplicationScope, Effect

STORED = Path(__file__).parent / "data" / "durable_journal"
STORED_WITH_CLASS = STORED.parent / "durable_log_with_classes"
# Unix microseconds at which the first process started. Times in the tables below are relative to it.
EPOCH = 1_700_000_000_000_000
HEADERS = [(b"content-type", b"text/plain"), (b"x-bytes", b"\xff\x80")]
LONG_BODY = b"x" * 300
SEGMENTS = {
    "0000000001.journal": 3096,
    "0000000002.journal": 52,
    "0000000003.journal": 2930,
    "0000000004.journal": 2184,
    "0000000005.journal": 142,  # without its torn end
}

# The fields of each job: id, state, service class, idempotency key, digest, method, target, headers, body,
# accepted at, deadline, width, leases (fence, worker, zone, cell, granted at, expires at), ended attempts
# (key in the table, fence, outcome, ended at), final response (status, body, retry after, finished at) and
# late reports (fence, worker, state, reported at).
JOBS: list[tuple[Any, ...]] = [
    (
        "job-01",
        "open",
        "record",
        "key-1",
        "digest-1",
        "POST",
        "/record/1",
        [],
        b"body \x00\xff 1",
        1000000,
        62000000,
        0.25,
        [],
        [],
        None,
        [],
    ),
    (
        "job-02",
        "open",
        "record",
        "",
        "digest-2",
        "POST",
        "/record/2",
        [],
        b"body \x00\xff 2",
        2000000,
        64000000,
        0.5,
        [(1, "w3", "zone-1", 12, 2000102, 22000104)],
        [],
        None,
        [],
    ),
    (
        "job-03",
        "open",
        "batch",
        "key-3",
        "digest-3",
        "POST",
        "/batch/3",
        [],
        b"body \x00\xff 3",
        3000000,
        8000000,
        0.75,
        [(1, "w4", "zone-1", 10, 3000103, 23000106)],
        [],
        None,
        [],
    ),
    (
        "job-04",
        "open",
        "record",
        "",
        "digest-4",
        "POST",
        "/record/4",
        HEADERS,
        b"body \x00\xff 4",
        4000000,
        68000000,
        1.0,
        [(1, "w5", "zone-1", 11, 4000104, 24000108)],
        [(1, 1, "error", 4000904)],
        None,
        [],
    ),
    (
        "job-05",
        "done",
        "record",
        "key-5",
        "digest-5",
        "PUT",
        "/record/5",
        [],
        b"body \x00\xff 5",
        5000000,
        70000000,
        1.25,
        [(1, "w6", "zone-1", 12, 5000105, 25000110), (2, "w7", "zone-2", 12, 5001005, 25001010)],
        [(1, 1, "full", 5000905)],
        (200, b"result \x00\xff", 0, 14000005),
        [(1, "w6", "done", 15000001)],
    ),
    (
        "job-06",
        "terminated",
        "batch",
        "",
        "digest-6",
        "POST",
        "/batch/6",
        [],
        b"body \x00\xff 6",
        6000000,
        72000000,
        1.5,
        [(1, "w7", "zone-1", 10, 6000106, 26000112), (2, "w8", "zone-2", 10, 6001006, 26001012)],
        [(1, 1, "timed out", 6000906)],
        (502, b"terminated\n", 0, 14000007),
        [(1, "w7", "failed", 15000002)],
    ),
    (
        "job-07",
        "denied",
        "record",
        "key-7",
        "digest-7",
        "POST",
        "/record/7",
        [],
        LONG_BODY,
        7000000,
        74000000,
        1.75,
        [(1, "w1", "zone-1", 11, 7000107, 27000114)],
        [(1, 1, "no connection", 7000907)],
        (503, b"denied\n", 2500000, 14000008),
        [],
    ),
    (
        "job-08",
        "open",
        "record",
        "",
        "digest-8",
        "POST",
        "/record/8",
        HEADERS,
        b"",
        8000000,
        76000000,
        2.0,
        [(1, "w2", "zone-1", 12, 8000108, 28000116)],
        [(1, 1, "reset", 8000908)],
        None,
        [],
    ),
    (
        "job-09",
        "terminated",
        "batch",
        "key-9",
        "digest-9",
        "POST",
        "/batch/9",
        [],
        b"body \x00\xff 9",
        9000000,
        78000000,
        2.25,
        [(1, "w3", "zone-1", 10, 9000109, 29000118), (2, "w4", "zone-2", 10, 9001009, 29001018)],
        [(1, 1, "withdrawn", 9000909)],
        (504, b"its limit\n", 0, 24000013),
        [],
    ),
    (
        "job-10",
        "open",
        "record",
        "",
        "digest-10",
        "PUT",
        "/record/10",
        [],
        b"body \x00\xff 10",
        10000000,
        80000000,
        2.5,
        [(1, "w4", "zone-1", 11, 10000110, 30000120), (2, "w5", "zone-2", 11, 10001010, 30001020)],
        [(1, 1, "never sent", 10000910)],
        None,
        [],
    ),
    (
        "job-11",
        "open",
        "record",
        "key-11",
        "digest-11",
        "POST",
        "/record/11",
        [],
        b"body \x00\xff 11",
        11000000,
        82000000,
        2.75,
        [(1, "w5", "zone-1", 12, 11000111, 31000122)],
        [(1, 1, "unfit", 11000911)],
        None,
        [],
    ),
    (
        "job-12",
        "open",
        "batch",
        "",
        "digest-12",
        "POST",
        "/batch/12",
        HEADERS,
        b"body \x00\xff 12",
        12000000,
        84000000,
        3.0,
        [(1, "w6", "zone-1", 10, 12000112, 32000124)],
        [(1, 1, "cut off", 12000912)],
        None,
        [],
    ),
    (
        "job-13",
        "open",
        "record",
        "key-13",
        "digest-13",
        "POST",
        "/record/13",
        [],
        b"body \x00\xff 13",
        13000000,
        18000000,
        3.25,
        [],
        [],
        None,
        [],
    ),
    (
        "job-14",
        "open",
        "record",
        "",
        "digest-14",
        "POST",
        "/record/14",
        [],
        b"body \x00\xff 14",
        14000000,
        88000000,
        3.5,
        [],
        [],
        None,
        [],
    ),
    (
        "job-15",
        "open",
        "batch",
        "key-15",
        "digest-15",
        "PUT",
        "/batch/15",
        [],
        b"body \x00\xff 15",
        15000000,
        90000000,
        3.75,
        [(1, "w2", "zone-1", 10, 15000115, 35000130)],
        [],
        None,
        [],
    ),
    (
        "job-16",
        "open",
        "record",
        "",
        "digest-16",
        "POST",
        "/record/16",
        HEADERS,
        b"body \x00\xff 16",
        16000000,
        92000000,
        4.0,
        [(1, "w3", "zone-1", 11, 16000116, 36000132), (2, "w4", "zone-2", 11, 24000012, 44000028)],
        [(1, 1, "no connection", 24000011)],
        None,
        [],
    ),
    (
        "job-17",
        "done",
        "record",
        "key-17",
        "digest-17",
        "POST",
        "/record/17",
        [],
        b"body \x00\xff 17",
        17000000,
        94000000,
        4.25,
        [(1, "w4", "zone-1", 12, 17000117, 37000134)],
        [],
        (200, b"", 0, 24000014),
        [(3, "w1", "done", 24000015)],
    ),
    (
        "job-18",
        "denied",
        "batch",
        "",
        "digest-18",
        "POST",
        "/batch/18",
        [],
        b"body \x00\xff 18",
        18000000,
        96000000,
        4.5,
        [(1, "w5", "zone-1", 10, 18000118, 38000136)],
        [],
        (503, b"no room\n", 1000000, 25000001),
        [],
    ),
    (
        "job-19",
        "open",
        "record",
        "key-19",
        "digest-19",
        "POST",
        "/record/19",
        [],
        b"body \x00\xff 19",
        19000000,
        98000000,
        4.75,
        [(1, "w6", "zone-1", 11, 19000119, 39000138)],
        [(1, 1, "reset", 25000002)],
        None,
        [],
    ),
    (
        "job-20",
        "open",
        "record",
        "",
        "digest-20",
        "PUT",
        "/record/20",
        HEADERS,
        b"body \x00\xff 20",
        20000000,
        100000000,
        5.0,
        [(1, "w7", "zone-1", 12, 20000120, 40000140)],
        [],
        None,
        [],
    ),
    (
        "job-21",
        "open",
        "batch",
        "key-21",
        "digest-21",
        "POST",
        "/batch/21",
        [],
        b"body \x00\xff 21",
        21000000,
        102000000,
        5.25,
        [(1, "w1", "zone-1", 10, 21000121, 41000142)],
        [],
        None,
        [],
    ),
    (
        "job-22",
        "open",
        "record",
        "",
        "digest-22",
        "POST",
        "/record/22",
        [],
        b"body \x00\xff 22",
        22000000,
        104000000,
        5.5,
        [(1, "w2", "zone-1", 11, 22000122, 42000144)],
        [],
        None,
        [],
    ),
    (
        "job-23",
        "open",
        "record",
        "key-23",
        "digest-23",
        "POST",
        "/record/23",
        [],
        b"body \x00\xff 23",
        23000000,
        106000000,
        5.75,
        [(1, "w3", "zone-1", 12, 23000123, 43000146)],
        [],
        None,
        [],
    ),
    (
        "job-24",
        "open",
        "batch",
        "",
        "digest-24",
        "POST",
        "/batch/24",
        HEADERS,
        b"body \x00\xff 24",
        24000000,
        108000000,
        6.0,
        [(1, "w4", "zone-1", 10, 24000124, 44000148)],
        [],
        None,
        [],
    ),
]

# The resumed jobs, oldest first: id, deadline, indexes of the pending attempts.
RESUMED = [
    ("job-01", 62000000, []),
    ("job-02", 64000000, [0]),
    ("job-04", 68000000, []),
    ("job-08", 76000000, []),
    ("job-10", 80000000, [1]),
    ("job-11", 82000000, []),
    ("job-12", 84000000, []),
    ("job-14", 88000000, []),
    ("job-15", 90000000, [0]),
    ("job-16", 92000000, [1]),
    ("job-19", 98000000, []),
    ("job-20", 100000000, [0]),
    ("job-21", 102000000, [0]),
    ("job-22", 104000000, [0]),
    ("job-23", 106000000, [0]),
    ("job-24", 108000000, [0]),
]
# The jobs past their deadline: id, status of the final response.
ENDED = [("job-03", 502), ("job-13", 503)]

EXPORTED = {
    "id": "job-05",
    "grade": "record",
    "key": "key-5",
    "state": "done",
    "accepted_at": "2023-11-14T22:13:25.000+00:00",
    "time_limit_at": "2023-11-14T22:14:30.000+00:00",
    "target": "/record/5",
    "body": "Ym9keSAA/yA1",
    "may_have_run": True,
    "leases": [
        {
            "fence": 1,
            "worker": "w6",
            "zone": "zone-1",
            "cell": 12,
            "at": "2023-11-14T22:13:25.000+00:00",
            "until_at_first": "2023-11-14T22:13:45.000+00:00",
            "outcome": "full",
        },
        {
            "fence": 2,
            "worker": "w7",
            "zone": "zone-2",
            "cell": 12,
            "at": "2023-11-14T22:13:25.001+00:00",
            "until_at_first": "2023-11-14T22:13:45.001+00:00",
            "outcome": None,
        },
    ],
    "late_words": [{"fence": 1, "worker": "w6", "state": "done", "at": "2023-11-14T22:13:35.000+00:00"}],
    "finished_at": "2023-11-14T22:13:34.000+00:00",
    "status": 200,
    "result": "cmVzdWx0IAD/",
}


@pytest.fixture
def stored(tmp_path: Path) -> Path:
    """A copy of the stored segments that a test may write to."""
    return Path(shutil.copytree(STORED, tmp_path / "journal"))


def job_row(job: Job) -> tuple[Any, ...]:
    accepted, finished = job.accepted, job.finished
    return (
        job.job_id,
        JOB_STATE_WORDS[job.state],
        accepted.service_class,
        accepted.key,
        accepted.digest,
        accepted.method,
        accepted.target,
        accepted.forwarded_headers,
        accepted.body,
        accepted.recorded_at - EPOCH,
        accepted.deadline - EPOCH,
        accepted.width,
        [
            (
                lease.fence,
                lease.worker,
                lease.zone,
                lease.cell,
                lease.recorded_at - EPOCH,
                lease.expires_at - EPOCH,
            )
            for lease in job.leases
        ],
        [
            (fence, ended.fence, ended.outcome, ended.recorded_at - EPOCH)
            for fence, ended in job.ended_attempts.items()
        ],
        (finished.status, finished.body, finished.retry_after, finished.recorded_at - EPOCH)
        if finished
        else None,
        [(late.fence, late.worker, late.state, late.recorded_at - EPOCH) for late in job.late_reports],
    )


def test_a_stored_journal_is_opened_and_recovered_as_before(stored: Path) -> None:
    log = WriteAheadLog(DirectoryStorage(stored), 1 << 30)
    log.open()
    log.close()
    assert (log.contents.segment_count, log.contents.record_count, log.contents.byte_count) == (5, 90, 8446)
    assert log.contents.torn == ["0000000005.journal: at byte 142: 42 bytes of a record of 51"]
    assert log.contents.damaged == []
    table = log.table
    assert [job_row(job) for job in table.jobs.values()] == JOBS
    assert [id for id, job in table.jobs.items() if not job.possibly_executed()] == [
        "job-01",
        "job-07",
        "job-11",
        "job-13",
        "job-14",
    ]
    assert table.job_ids_by_key == {(job[2], job[3]): job[0] for job in JOBS if job[3]}
    assert (table.open_count, table.last_recorded_at - EPOCH) == (18, 25_000_002)
    writer = table.writer
    assert writer is not None
    assert (writer.recorded_at - EPOCH, writer.boot_id, writer.uptime) == (25_000_000, "boot-b", 8_000_000)
    # The torn end is cut off, the other bytes are unchanged, and a new segment has been begun.
    assert {path.name: path.stat().st_size for path in stored.glob("*.journal")} == SEGMENTS | {
        "0000000006.journal": 16
    }
    for name, size in SEGMENTS.items():
        assert (stored / name).read_bytes() == (STORED / name).read_bytes()[:size]
    assert (stored / "0000000006.journal").read_bytes().hex() == "4c4b54444a4f4253" "01000000" "06000000"


def test_the_stored_open_jobs_are_ended_or_resumed_as_before(stored: Path) -> None:
    table = JobTable()
    read_log(DirectoryStorage(stored), table)
    leases = LeaseTable(LeaseConfig(5_000_000, 2_000_000))
    elapsed = recovery.ElapsedBounds(1_000_000, 2_000_000)
    steps = recovery.plan(table, leases, elapsed, table.last_recorded_at + 1_000_000)
    resumed = [step for step in steps if isinstance(step, recovery.ResumeJob)]
    assert [(step.job.job_id, step.deadline - EPOCH, step.pending) for step in resumed] == RESUMED
    assert [(step.job.job_id, step.status) for step in steps if isinstance(step, recovery.FinishJob)] == ENDED
    attempts = next(step.attempts for step in resumed if step.job.job_id == "job-16")
    assert [
        (attempt.worker, attempt.zone, attempt.cell, attempt.sent_at - EPOCH, attempt.outcome)
        for attempt in attempts
    ] == [("w3", "zone-1", 11, 15_000_116, "no connection"), ("w4", "zone-2", 11, 23_000_012, None)]


def with_appended_fields(record: Any) -> Any:
    """Return a decoded record of an earlier version with the defaults of the fields appended since."""
    if record[0] == "Accepted":
        return [*record, None]  # `accepted_class`
    if record[0] == "Kept":
        return [record[0], with_appended_fields(record[1]), *record[2:]]
    return record


def test_every_stored_record_is_written_again_in_the_same_bytes_and_appended_defaults() -> None:
    tags = set()
    for number, (name, size) in enumerate(SEGMENTS.items(), start=1):
        data = (STORED / name).read_bytes()
        payloads = [
            item.payload for item in framing.read_frames(data) if isinstance(item, framing.FramedPayload)
        ]
        tags |= {msgspec.msgpack.decode(payload)[0] for payload in payloads}
        frames = [framing.encode_frame(payload) for payload in payloads]
        assert segment_name(number) == name
        assert framing.encode_header(number) + b"".join(frames) == data[:size]
        for payload in payloads:
            expected = msgspec.msgpack.encode(with_appended_fields(msgspec.msgpack.decode(payload)))
            assert records.encode(records.decode(payload)) == expected
    assert tags == {"Began", "Accepted", "Leased", "Ended", "Finished", "Late", "Kept", "Whole"}


def test_stored_class_of_a_job_is_read_and_written_again_in_the_same_bytes() -> None:
    """The segment was written when `accepted_class` was appended; as the others it is never written again."""
    data = (STORED_WITH_CLASS / "0000000001.journal").read_bytes()
    payloads = [item.payload for item in framing.read_frames(data) if isinstance(item, framing.FramedPayload)]
    reencoded = [framing.encode_frame(records.encode(records.decode(payload))) for payload in payloads]
    assert framing.encode_header(1) + b"".join(reencoded) == data
    accepted = records.decode(payloads[1])
    assert isinstance(accepted, records.JobAccepted) and accepted.accepted_class is not None
    assert accepted.accepted_class.restore("record") == ServiceClass(
        name="record",
        effect=Effect.AT_MOST_ONCE,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window=40_000_000,
        latency_objective=1_000_000,
        stretch=2.0,
        timeout=60_000_000,
        priority_weight=10.0,
        overdue_weight=0.5,
        worker_type=None,
        allowed_worker_types=frozenset(["m1", "m2"]),
        allowed_zones=frozenset(["a"]),
    )


def test_job_with_an_unknown_effect_ends_the_start_and_changes_nothing(tmp_path: Path) -> None:
    """A later version may know more effects; to take such a job for another kind could run it twice."""
    data = (STORED_WITH_CLASS / "0000000001.journal").read_bytes()
    frames = [item for item in framing.read_frames(data) if isinstance(item, framing.FramedPayload)]
    changed = frames[1].payload.replace(b"at-most-once", b"at-most-ten!")
    segment = tmp_path / "0000000001.journal"
    segment.write_bytes(data[: frames[1].offset] + framing.encode_frame(changed))
    earlier = segment.read_bytes()
    with pytest.raises(DamagedLogError, match=rf"{segment.name}: at byte {frames[1].offset}: .*at-most-ten!"):
        WriteAheadLog(DirectoryStorage(tmp_path), 1 << 20).open()
    assert segment.read_bytes() == earlier


def test_each_effect_and_scope_has_a_stored_spelling() -> None:
    assert STORED_EFFECTS.keys() == set(Effect) and STORED_SCOPES.keys() == set(DeduplicationScope)
    assert [*STORED_EFFECTS.values(), *STORED_SCOPES.values()] == [
        "idempotent",
        "keyed",
        "at-most-once",
        "fleet",
        "zone",
        "cell",
    ]


def test_outcomes_are_stored_in_the_same_words() -> None:
    outcomes = [
        AttemptOutcome.ERROR,
        AttemptOutcome.FULL,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.NO_CONNECTION,
        AttemptOutcome.RESET,
        AttemptOutcome.CANCELLED,
        AttemptOutcome.NEVER_SENT,
        AttemptOutcome.UNPROCESSABLE,
        AttemptOutcome.CONNECTION_CLOSED,
    ]
    assert [STORED_OUTCOMES[outcome] for outcome in outcomes] == [
        "error",
        "full",
        "timed out",
        "no connection",
        "reset",
        "withdrawn",
        "never sent",
        "unfit",
        "cut off",
    ]
    proven_not_run = {STORED_OUTCOMES[outcome] for outcome in PROVEN_NOT_RUN}
    assert proven_not_run == {"full", "no connection", "never sent", "unfit"}


def test_a_stored_job_is_exported_under_the_same_keys(stored: Path) -> None:
    table = JobTable()
    read_log(DirectoryStorage(stored), table)
    assert export_job(table.jobs["job-05"]) == EXPORTED
