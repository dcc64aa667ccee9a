"""The whole file of an installation as one typed document.

Every key has a default, except for the service classes and for names and addresses in lists.
"""

from __future__ import annotations

import msgspec

from locktide.config.installation.attempts import AttemptsSection
from locktide.config.installation.cluster import ClusterSection
from locktide.config.installation.dispatcher import LimitsSection, LogSection, ServeSection
from locktide.config.installation.durable_jobs import DurableJobsSection
from locktide.config.installation.objective import ObjectiveSection
from locktide.config.installation.service_classes import ServiceClassSection
from locktide.config.installation.tenants import TenantSection
from locktide.config.installation.workers import KnownWorkerSection, WorkersSection
from locktide.config.toml_reader import Section


class Installation(Section):
    """What one file configures; a section that is absent has its defaults."""

    serve: ServeSection = msgspec.field(default_factory=ServeSection)
    limits: LimitsSection = msgspec.field(default_factory=LimitsSection)
    log: LogSection = msgspec.field(default_factory=LogSection)
    attempts: AttemptsSection = msgspec.field(name="dispatches", default_factory=AttemptsSection)
    workers: WorkersSection = msgspec.field(default_factory=WorkersSection)
    durable_jobs: DurableJobsSection = msgspec.field(name="durable", default_factory=DurableJobsSection)
    cluster: ClusterSection = msgspec.field(name="accord", default_factory=ClusterSection)
    objective: ObjectiveSection = msgspec.field(name="worth", default_factory=ObjectiveSection)
    known_workers: list[KnownWorkerSection] = msgspec.field(name="known", default_factory=list)
    tenants: list[TenantSection] = msgspec.field(name="tenant", default_factory=list)
    service_classes: list[ServiceClassSection] = msgspec.field(name="grade", default_factory=list)
