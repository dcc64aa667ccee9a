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
        retention: How long the final response of a job can be queried, in microseconds.
        max_open_jobs: How many jobs may be open at a time; further jobs are rejected.
        resume_rate: How many jobs are resumed per second after a crash.
        leases: How long a worker may go without a report before its lease expires.
    """

    service_classes: Collection[str]
    detached_timeout: int
    retention: int
    max_open_jobs: int
    resume_rate: float
    leases: LeaseConfig
