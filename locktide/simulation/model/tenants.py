"""Tenants of a script: who asks for how much, where, and when it is idle; and what dispatchers agree upon."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

from locktide.config.errors import ConfigError
from locktide.config.installation.cluster import ResourceSection
from locktide.config.toml_reader import Section, key, seconds
from locktide.simulation.model import random_streams as chance

if TYPE_CHECKING:
    from locktide.simulation.model.scenario import Scenario
    from locktide.simulation.model.traffic import ClientRequest


class TenantSpec(Section):
    name: Annotated[str, key("as submissions name it", pattern="^[a-z][a-z0-9-]{0,40}$")]
    rate: Annotated[float, key("submissions a second that it may ask of all dispatchers", gt=0)]
    weight: Annotated[float, key("its share of a contended fleet, beside others'", gt=0, le=1000)] = 1.0
    share: Annotated[float, key("part of the submissions, against other tenants' parts", gt=0)] = 1.0
    skew: Annotated[float, key("part of its submissions that go to its home", ge=0, le=1)] = 0.0
    home: Annotated[int, key("number of the dispatcher that gets these", ge=0)] = 0
    idle: Annotated[list[list[float]], key("[from, to] in seconds: when it asks for nothing")] = []


class ClusterSpec(Section):
    """Whether dispatchers agree upon tenants' rates, over UDP; all of it as in an installation's file."""

    on: Annotated[bool, key("dispatchers divide tenants' rates")] = False
    reserve: Annotated[float, key("part of each rate in even floors", ge=0, le=1)] = 0.1
    spare: Annotated[int, key("processes beside the dispatchers that may run at once", ge=0)] = 2
    burst: Annotated[float, seconds("of a rate that may be asked for at once", gt=0)] = 5.0
    lend: Annotated[float, key("part of what a tenant does not use that may be lent", ge=0, le=1)] = 0.0
    resource: Annotated[list[ResourceSection], key("what tenants hold of the fleet, for the ledger")] = []
    beyond: Annotated[float, key("worth of what is beyond its tenant's share", ge=0, le=1)] = 0.1


def assign_tenants(script: Scenario, asks: list[ClientRequest]) -> list[ClientRequest]:
    """Gives each job its tenant, and takes out those of tenants that are idle then."""
    if not script.tenant:
        return asks
    whole = sum(tenant.share for tenant in script.tenant)
    kept = []
    for ask in asks:
        draw = chance.unit(script.seed, "tenant", ask.number) * whole
        for tenant in script.tenant:
            draw -= tenant.share
            if draw < 0:
                break
        at = ask.at / 1e6
        if any(begin <= at < end for begin, end in tenant.idle):
            continue
        ask.tenant = tenant.name
        if chance.unit(script.seed, "home", ask.number) < tenant.skew:
            ask.home = tenant.home
            ask.zone = tenant.home % script.fleet.zones
        kept.append(ask)
    return kept


def tenant_faults(script: Scenario) -> list[ConfigError]:
    """What the types cannot say."""
    found: list[ConfigError] = []
    if script.accord.on and not script.tenant:
        found.append(ConfigError.mismatch("tenant", expected="at least one with accord.on", found="none"))
    for place, tenant in enumerate(script.tenant):
        if tenant.name in [other.name for other in script.tenant[:place]]:
            found.append(
                ConfigError.mismatch(
                    f"tenant[{place}].name", expected="a name of its own", found=f"{tenant.name!r} again"
                )
            )
        if tenant.home >= script.fleet.dispatchers:
            last = script.fleet.dispatchers - 1
            found.append(
                ConfigError.mismatch(f"tenant[{place}].home", expected=f"0 to {last}", found=f"{tenant.home}")
            )
        for span in tenant.idle:
            if len(span) != 2 or not 0 <= span[0] < span[1]:
                found.append(
                    ConfigError.mismatch(
                        f"tenant[{place}].idle", expected="[from, to] with from before to", found=f"{span}"
                    )
                )
        floor = tenant.rate * script.accord.burst * script.accord.reserve
        most = script.fleet.dispatchers + script.accord.spare
        if script.accord.on and script.accord.reserve and floor < most:
            found.append(
                ConfigError.mismatch(
                    f"tenant[{place}].rate",
                    expected="a rate whose floors hold a submission each",
                    found=f"{tenant.rate:g}",
                )
            )
    names = [one.name for one in script.accord.resource]
    for place, grade in enumerate(script.grade):
        for name in grade.holds:
            if name not in names:
                found.append(
                    ConfigError.mismatch(
                        f"grade[{place}].holds", expected="an accord.resource", found=f"{name!r}"
                    )
                )
    return found
