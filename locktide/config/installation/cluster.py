"""`[accord]`: the cluster of dispatchers, which communicate over UDP."""

from __future__ import annotations

from typing import Annotated

import msgspec

from locktide.config.installation.spellings import ADDRESS_PATTERN, ANY_PATTERN, NOT_EMPTY_PATTERN
from locktide.config.toml_reader import Section, key, seconds


class AcceptorSection(Section):
    """`[[accord.electors]]`: a dispatcher that votes on the leader."""

    name: Annotated[str, key("name of the dispatcher, as in its serve.name", pattern=NOT_EMPTY_PATTERN)]
    address: Annotated[str, key("UDP HOST:PORT where the dispatcher is reached", pattern=ADDRESS_PATTERN)]


class ResourceSection(Section):
    """`[[accord.resource]]`: what running jobs take, such as slots, memory or connections."""

    name: Annotated[str, key("name, as in a grade's holds", pattern="^[a-z][a-z0-9_-]{0,40}$")]
    worker_capacity: Annotated[float, key("amount that each ready worker provides", gt=0, le=1e9)] = (
        msgspec.field(name="each")
    )


class ClusterSection(Section):
    """`[accord]`: members, quotas and loans; `burst` is in seconds of a tenant's rate."""

    enabled: Annotated[bool, key("whether tenants' rates are divided among dispatchers by demand")] = (
        msgspec.field(name="on", default=False)
    )
    listen: Annotated[
        str, key("UDP HOST:PORT for messages of other dispatchers", pattern=ADDRESS_PATTERN)
    ] = "127.0.0.1:7171"
    advertised_address: Annotated[
        str, key("UDP HOST:PORT advertised to the others; empty: listen", pattern=ANY_PATTERN)
    ] = msgspec.field(name="reach", default="")
    acceptors: Annotated[list[AcceptorSection], key("dispatchers that elect the leader; an odd number")] = (
        msgspec.field(name="electors", default_factory=list)
    )
    seeds: Annotated[list[str], key("HOST:PORT of dispatchers to contact first, besides the electors")] = (
        msgspec.field(default_factory=list)
    )
    reserved_fraction: Annotated[
        float, key("fraction of each rate, over all members, that needs no communication", ge=0, le=1)
    ] = msgspec.field(name="reserve", default=0.1)
    max_members: Annotated[int, key("processes that may run at once, including duplicates", ge=1)] = (
        msgspec.field(name="most", default=1)
    )
    burst: Annotated[float, seconds("of a tenant's rate that may arrive at once", gt=0)] = 5.0
    lendable_fraction: Annotated[
        float, key("fraction of a tenant's unused quota that may be lent", ge=0, le=1)
    ] = msgspec.field(name="lend", default=0.0)
    resources: Annotated[list[ResourceSection], key("resources of the fleet in the fairness ledger")] = (
        msgspec.field(name="resource", default_factory=list)
    )
    trace: Annotated[
        str,
        key("file to which each change of the quotas in force is written; empty: none", pattern=ANY_PATTERN),
    ] = ""

    @property
    def reachable_address(self) -> str:
        """HOST:PORT where the other members reach this one."""
        return self.advertised_address or self.listen
