"""The service class of a job as the write-ahead log stores it.

A job keeps the guarantees of the class with which it was accepted. The file in force at the next start may
lack the class, or give its name another meaning. The spellings and the order of the fields are part of the
stored format; they are independent of the values of the scheduler's enumerations.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType

import msgspec

from locktide.scheduler.config import ServiceClass
from locktide.scheduler.types import DeduplicationScope, Effect


class StoredEffect(StrEnum):
    """An effect as it is spelled in a record; a record with another spelling cannot be read."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENT_WITH_KEY = "keyed"
    AT_MOST_ONCE = "at-most-once"


class StoredScope(StrEnum):
    """A deduplication scope as it is spelled in a record."""

    FLEET = "fleet"
    ZONE = "zone"
    CELL = "cell"


STORED_EFFECTS: Mapping[Effect, StoredEffect] = MappingProxyType(
    {
        Effect.IDEMPOTENT: StoredEffect.IDEMPOTENT,
        Effect.IDEMPOTENT_WITH_KEY: StoredEffect.IDEMPOTENT_WITH_KEY,
        Effect.AT_MOST_ONCE: StoredEffect.AT_MOST_ONCE,
    }
)
STORED_SCOPES: Mapping[DeduplicationScope, StoredScope] = MappingProxyType(
    {
        DeduplicationScope.FLEET: StoredScope.FLEET,
        DeduplicationScope.ZONE: StoredScope.ZONE,
        DeduplicationScope.CELL: StoredScope.CELL,
    }
)
_EFFECTS = {stored: effect for effect, stored in STORED_EFFECTS.items()}
_SCOPES = {stored: scope for scope, stored in STORED_SCOPES.items()}


class StoredServiceClass(msgspec.Struct, array_like=True, frozen=True):
    """The guarantees and limits of a service class without its name; times are in microseconds.

    The fields are those of `scheduler.config.ServiceClass`.
    """

    effect: StoredEffect
    deduplication_scope: StoredScope
    deduplication_window: int
    latency_objective: int
    stretch: float
    timeout: int
    priority_weight: float
    overdue_weight: float
    worker_type: str | None
    allowed_worker_types: list[str] | None
    allowed_zones: list[str] | None

    @classmethod
    def of(cls, service_class: ServiceClass) -> StoredServiceClass:
        """Return the stored form of a service class."""
        return cls(
            effect=STORED_EFFECTS[service_class.effect],
            deduplication_scope=STORED_SCOPES[service_class.deduplication_scope],
            deduplication_window=service_class.deduplication_window,
            latency_objective=service_class.latency_objective,
            stretch=service_class.stretch,
            timeout=service_class.timeout,
            priority_weight=service_class.priority_weight,
            overdue_weight=service_class.overdue_weight,
            worker_type=service_class.worker_type,
            allowed_worker_types=_sorted(service_class.allowed_worker_types),
            allowed_zones=_sorted(service_class.allowed_zones),
        )

    def restore(self, name: str) -> ServiceClass:
        """Return the service class under its name."""
        return ServiceClass(
            name=name,
            effect=_EFFECTS[self.effect],
            deduplication_scope=_SCOPES[self.deduplication_scope],
            deduplication_window=self.deduplication_window,
            latency_objective=self.latency_objective,
            stretch=self.stretch,
            timeout=self.timeout,
            priority_weight=self.priority_weight,
            overdue_weight=self.overdue_weight,
            worker_type=self.worker_type,
            allowed_worker_types=_frozen(self.allowed_worker_types),
            allowed_zones=_frozen(self.allowed_zones),
        )


def _sorted(names: frozenset[str] | None) -> list[str] | None:
    return None if names is None else sorted(names)


def _frozen(names: list[str] | None) -> frozenset[str] | None:
    return None if names is None else frozenset(names)
