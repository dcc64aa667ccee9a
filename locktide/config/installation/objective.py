"""`[worth]`: what decides between placements and rejections beside the service classes."""

from __future__ import annotations

from typing import Annotated

import msgspec

from locktide.config.toml_reader import Section, key


class ObjectiveSection(Section):
    """`[worth]`: weights and costs, as fractions."""

    worst_class_weight: Annotated[float, key("part of the goal that the worst grade decides", ge=0, le=1)] = (
        msgspec.field(name="worst_grade", default=0.0)
    )
    beyond_quota_weight: Annotated[float, key("worth of what is beyond its tenant's rate", ge=0, le=1)] = (
        msgspec.field(name="beyond_share", default=1.0)
    )
    connection_cost: Annotated[float, key("price of a new connection, in usual submissions", ge=0, le=1)] = (
        msgspec.field(name="connection", default=0.0)
    )
    cross_zone_cost: Annotated[float, key("price of a dispatch to another zone, the same", ge=0, le=1)] = (
        msgspec.field(name="crossing", default=0.0)
    )
