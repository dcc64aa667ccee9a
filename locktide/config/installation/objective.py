"""`[worth]`: weights and costs, besides the service classes, that decide on placements and rejections."""

from __future__ import annotations

from typing import Annotated

import msgspec

from locktide.config.toml_reader import Section, key


class ObjectiveSection(Section):
    """`[worth]`: weights and costs, as fractions."""

    worst_class_weight: Annotated[
        float, key("fraction of the objective that the worst grade decides", ge=0, le=1)
    ] = msgspec.field(name="worst_grade", default=0.0)
    beyond_quota_weight: Annotated[
        float, key("weight of requests beyond their tenant's rate", ge=0, le=1)
    ] = msgspec.field(name="beyond_share", default=1.0)
    connection_cost: Annotated[float, key("cost of a new connection, in ordinary requests", ge=0, le=1)] = (
        msgspec.field(name="connection", default=0.0)
    )
    cross_zone_cost: Annotated[
        float, key("cost of an attempt in another zone, in ordinary requests", ge=0, le=1)
    ] = msgspec.field(name="crossing", default=0.0)
