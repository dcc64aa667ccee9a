"""Configuration of durable jobs."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from locktide.durable.leases import LeaseConfig


@dataclass(frozen=True, slots=True)
class JobConfig:
    """Which requests are durable jobs, and their limits; spans in microseconds."""

    service_classes: Collection[str]  # whose requests are durable jobs
    detached_timeout: int  # of a job for which nobody waits
    retention: int  # how long a final response can be asked for
    max_open_jobs: int
    resume_rate: float  # jobs resumed a second after a crash
    leases: LeaseConfig
