"""The scheduler's configuration: typed, immutable sections."""

from __future__ import annotations

from dataclasses import FrozenInstanceError, fields, replace
from typing import Any

import pytest
from helpers import SERVICE_CLASSES, scheduler_config

from locktide.scheduler.config import SchedulerConfig


def test_sections_are_declared_in_the_order_in_which_hosts_pass_them() -> None:
    assert [field.name for field in fields(SchedulerConfig)] == [
        "round_interval",
        "dispatcher_count",
        "service_classes",
        "retry",
        "clients",
        "quotas",
        "objective",
        "slow_start",
        "endpoint_list",
        "progress",
        "costs",
    ]


def test_neither_the_configuration_nor_a_section_can_be_modified() -> None:
    config = scheduler_config(3, 1, False, 0.4)
    sections = [getattr(config, field.name) for field in fields(config)]
    for frozen in [config, *config.service_classes, *sections[3:]]:
        with pytest.raises(FrozenInstanceError):
            setattr(frozen, fields(frozen)[0].name, None)


@pytest.mark.parametrize(
    ("confined", "placement"),
    [
        ({}, None),
        ({"allowed_zones": frozenset(["a"])}, (None, frozenset(["a"]))),
        ({"allowed_worker_types": frozenset(["big"])}, (frozenset(["big"]), None)),
        ({"worker_type": "small"}, (frozenset(["small"]), None)),
        (
            {
                "worker_type": "small",
                "allowed_worker_types": frozenset(["big"]),
                "allowed_zones": frozenset("a"),
            },
            (frozenset(["small"]), frozenset(["a"])),
        ),
    ],
)
def test_a_service_class_states_the_types_and_zones_it_is_confined_to(confined: Any, placement: Any) -> None:
    assert replace(SERVICE_CLASSES[0], **confined).placement == placement
