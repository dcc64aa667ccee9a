"""Configuration of durable jobs."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from locktide.durable.leases import LeaseConfig


@dataclass(frozen=True, slots=True)
class JobConfig:
    """Which requests are durable jobs, and their limits.

    Attributes:
        service_classes: The service classes whose requests are durable jobs.
        detached_timeout: Timeout of a job for which no client waits, in microseconds.
        retention: How long a final response can be queried, in microseconds.
        max_open_jobs: How many jobs may be open; more are rejected.
        resume_rate: Jobs resumed after a crash, per second.
        leases: How long a worker may be silent.
    """

    service_classes: Collection[str]
    detached_timeout: int
    retention: int
    max_open_jobs: int
    resume_rate: float
    leases: LeaseConfig
