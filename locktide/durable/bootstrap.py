"""Joins durable jobs to a node by an installation's settings."""

from __future__ import annotations

import time
from pathlib import Path

from locktide.config.installation import Durable
from locktide.dispatcher.dispatcher import Node
from locktide.durable import leases
from locktide.durable.disk import Disk, Folder
from locktide.durable.job_service import Desk, Terms
from locktide.durable.log.write_ahead_log import Journal
from locktide.durable.recovery import Moment
from locktide.transport.log import Log

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


def moment(boot_id: Path = BOOT_ID) -> Moment:
    """The machine's clocks. Where it does not say which boot this is, none is like another."""
    try:
        boot = boot_id.read_text(encoding="ascii").strip()
    except OSError:
        boot = f"unknown-{time.time_ns()}"
    return Moment(time.time_ns() // 1000, boot, time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000)


def terms(told: Durable) -> Terms:
    return Terms(
        frozenset(told.grades),
        round(told.limit * 1e6),
        round(told.keep * 1e6),
        told.most_open,
        told.pace,
        leases.Terms(round(told.start_within * 1e6), round(told.beat_within * 1e6)),
    )


async def join(
    node: Node, told: Durable, log: Log, disk: Disk | None = None, now: Moment | None = None
) -> Desk:
    """Raises Taken, Newer, Foreign, Damaged or OSError, and has changed nothing then."""
    journal = Journal(disk or Folder(Path(told.directory)), int(told.segment_mb * (1 << 20)))
    journal.open(skip_damaged=told.damaged == "skip")
    desk = Desk(node, journal, terms(told), log)
    await desk.recover(now or moment())
    return desk
