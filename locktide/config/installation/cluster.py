"""`[accord]`: what dispatchers agree on, over UDP."""

from __future__ import annotations

from typing import Annotated

import msgspec

from locktide.config.installation.spellings import ADDRESS_PATTERN, ANY_PATTERN, NOT_EMPTY_PATTERN
from locktide.config.toml_reader import Section, key, seconds


class AcceptorSection(Section):
    """`[[accord.electors]]`: a dispatcher that votes on the leader."""

    name: Annotated[str, key("of the dispatcher, as in its serve.name", pattern=NOT_EMPTY_PATTERN)]
    address: Annotated[str, key("HOST:PORT where it is reached, UDP", pattern=ADDRESS_PATTERN)]


class ResourceSection(Section):
    """`[[accord.resource]]`: something that a running job takes, as slots, memory or connections."""

    name: Annotated[str, key("as in a grade's holds", pattern="^[a-z][a-z0-9_-]{0,40}$")]
    worker_capacity: Annotated[float, key("how much of it each ready worker brings", gt=0, le=1e9)] = (
        msgspec.field(name="each")
    )


class ClusterSection(Section):
    """`[accord]`: members, quotas and loans; `burst` is in seconds of a tenant's rate."""

    enabled: Annotated[bool, key("whether tenants' rates are divided among dispatchers by demand")] = (
        msgspec.field(name="on", default=False)
    )
    listen: Annotated[str, key("HOST:PORT for the others, UDP", pattern=ADDRESS_PATTERN)] = "127.0.0.1:7171"
    advertised_address: Annotated[
        str, key("HOST:PORT told to the others; empty for listen", pattern=ANY_PATTERN)
    ] = msgspec.field(name="reach", default="")
    acceptors: Annotated[
        list[AcceptorSection], key("an odd number of dispatchers that choose who divides")
    ] = msgspec.field(name="electors", default_factory=list)
    seeds: Annotated[list[str], key("HOST:PORT of others to meet first; the electors are asked anyway")] = (
        msgspec.field(default_factory=list)
    )
    reserved_fraction: Annotated[float, key("part of each rate that needs no talk, over all", ge=0, le=1)] = (
        msgspec.field(name="reserve", default=0.1)
    )
    max_members: Annotated[int, key("processes that may run at once, doubles included", ge=1)] = (
        msgspec.field(name="most", default=1)
    )
    burst: Annotated[float, seconds("of a tenant's rate that it may ask for at once", gt=0)] = 5.0
    lendable_fraction: Annotated[
        float, key("part of what a tenant does not use that may be lent", ge=0, le=1)
    ] = msgspec.field(name="lend", default=0.0)
    resources: Annotated[list[ResourceSection], key("what tenants hold of the fleet, for the ledger")] = (
        msgspec.field(name="resource", default_factory=list)
    )
    trace: Annotated[
        str, key("file for each change of what is in force; empty for none", pattern=ANY_PATTERN)
    ] = ""

    @property
    def reachable_address(self) -> str:
        """HOST:PORT where the other members reach this one."""
        return self.advertised_address or self.listen
