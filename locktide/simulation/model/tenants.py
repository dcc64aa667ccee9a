"""Tenants of a scenario (their rates, home dispatchers and idle times) and the settings of the cluster."""

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
    name: Annotated[str, key("name of the tenant, as in requests", pattern="^[a-z][a-z0-9-]{0,40}$")]
    rate: Annotated[float, key("quota: requests per second over all dispatchers", gt=0)]
    weight: Annotated[float, key("weight of its share of a contended fleet", gt=0, le=1000)] = 1.0
    share: Annotated[
        float, key("part of the requests, relative to the shares of the other tenants", gt=0)
    ] = 1.0
    skew: Annotated[float, key("part of its requests that go to its home dispatcher", ge=0, le=1)] = 0.0
    home: Annotated[int, key("number of its home dispatcher", ge=0)] = 0
    idle: Annotated[list[list[float]], key("spans [from, to] in seconds without requests")] = []


class ClusterSpec(Section):
    """Settings of the cluster, in which dispatchers divide tenants' quotas; as in an installation file."""

    on: Annotated[bool, key("whether dispatchers form a cluster and divide tenants' quotas")] = False
    reserve: Annotated[
        float, key("part of each quota that is split evenly into guaranteed minimums", ge=0, le=1)
    ] = 0.1
    spare: Annotated[int, key("members that may run at once in addition to the dispatchers", ge=0)] = 2
    burst: Annotated[float, seconds("of a quota that may be used at once", gt=0)] = 5.0
    lend: Annotated[float, key("part of a tenant's unused quota that may be lent", ge=0, le=1)] = 0.0
    resource: Annotated[
        list[ResourceSection], key("resources of the fleet that tenants use, for the fairness ledger")
    ] = []
    beyond: Annotated[
        float, key("revenue factor for requests of a tenant over its fair share", ge=0, le=1)
    ] = 0.1


def assign_tenants(scenario: Scenario, requests: list[ClientRequest]) -> list[ClientRequest]:
    """Assign each request to a tenant, and return them without those of tenants that are idle at the time."""
    if not scenario.tenant:
        return requests
    total_share = sum(tenant.share for tenant in scenario.tenant)
    assigned = []
    for request in requests:
        draw = chance.unit(scenario.seed, "tenant", request.number) * total_share
        for tenant in scenario.tenant:
            draw -= tenant.share
            if draw < 0:
                break
        at_s = request.at / 1e6
        if any(begin <= at_s < end for begin, end in tenant.idle):
            continue
        request.tenant = tenant.name
        if chance.unit(scenario.seed, "home", request.number) < tenant.skew:
            request.home = tenant.home
            request.zone = tenant.home % scenario.fleet.zones
        assigned.append(request)
    return assigned


def tenant_faults(scenario: Scenario) -> list[ConfigError]:
    """Return the errors of tenants and cluster that the types cannot express."""
    errors: list[ConfigError] = []
    if scenario.accord.on and not scenario.tenant:
        errors.append(ConfigError.mismatch("tenant", expected="at least one with accord.on", found="none"))
    for index, tenant in enumerate(scenario.tenant):
        if tenant.name in [other.name for other in scenario.tenant[:index]]:
            errors.append(
                ConfigError.mismatch(
                    f"tenant[{index}].name", expected="a name of its own", found=f"{tenant.name!r} again"
                )
            )
        if tenant.home >= scenario.fleet.dispatchers:
            last = scenario.fleet.dispatchers - 1
            errors.append(
                ConfigError.mismatch(f"tenant[{index}].home", expected=f"0 to {last}", found=f"{tenant.home}")
            )
        for span in tenant.idle:
            if len(span) != 2 or not 0 <= span[0] < span[1]:
                errors.append(
                    ConfigError.mismatch(
                        f"tenant[{index}].idle", expected="[from, to] with from before to", found=f"{span}"
                    )
                )
        floor = tenant.rate * scenario.accord.burst * scenario.accord.reserve
        max_members = scenario.fleet.dispatchers + scenario.accord.spare
        if scenario.accord.on and scenario.accord.reserve and floor < max_members:
            errors.append(
                ConfigError.mismatch(
                    f"tenant[{index}].rate",
                    expected="a rate whose floors hold a submission each",
                    found=f"{tenant.rate:g}",
                )
            )
    names = [resource.name for resource in scenario.accord.resource]
    for index, service_class in enumerate(scenario.grade):
        for name in service_class.holds:
            if name not in names:
                errors.append(
                    ConfigError.mismatch(
                        f"grade[{index}].holds", expected="an accord.resource", found=f"{name!r}"
                    )
                )
    return errors
