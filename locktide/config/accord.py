"""The accord's part of an installation's file, and what its types cannot say."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

from locktide.config.typed import Section, key, seconds

if TYPE_CHECKING:
    from locktide.config.installation import Installation

PLACE = r"^[^\s]+:[0-9]{1,5}$"
MOST_TENANTS = 50


class Elector(Section):
    name: Annotated[str, key("of the dispatcher, as in its serve.name", pattern=".")]
    address: Annotated[str, key("HOST:PORT where it is reached, UDP", pattern=PLACE)]


class Resource(Section):
    """Something that jobs hold while they are out: slots, memory, connections, fetches of a store."""

    name: Annotated[str, key("as in a grade's holds", pattern="^[a-z][a-z0-9_-]{0,40}$")]
    each: Annotated[float, key("how much of it each ready worker brings", gt=0, le=1e9)]


class Accord(Section):
    """What dispatchers agree upon, over UDP among themselves."""

    on: Annotated[bool, key("whether tenants' rates are divided among dispatchers by demand")] = False
    listen: Annotated[str, key("HOST:PORT for the others, UDP", pattern=PLACE)] = "127.0.0.1:7171"
    reach: Annotated[str, key("HOST:PORT told to the others; empty for listen", pattern="")] = ""
    electors: Annotated[list[Elector], key("an odd number of dispatchers that choose who divides")] = []
    seeds: Annotated[list[str], key("HOST:PORT of others to meet first; the electors are asked anyway")] = []
    reserve: Annotated[float, key("part of each rate that needs no talk, over all", ge=0, le=1)] = 0.1
    most: Annotated[int, key("processes that may run at once, doubles included", ge=1)] = 1
    burst: Annotated[float, seconds("of a tenant's rate that it may ask for at once", gt=0)] = 5.0
    lend: Annotated[float, key("part of what a tenant does not use that may be lent", ge=0, le=1)] = 0.0
    resource: Annotated[list[Resource], key("what tenants hold of the fleet, for the ledger")] = []
    trace: Annotated[str, key("file for each change of what is in force; empty for none", pattern="")] = ""


def accord_faults(told: Installation) -> list[str]:
    accord, faults = told.accord, []
    if not accord.on:
        return []
    names = [elector.name for elector in accord.electors]
    if len(names) % 2 == 0:
        faults.append(f"accord.electors: expected an odd number, found {len(names)}")
    for place, elector in enumerate(accord.electors):
        if elector.name in names[:place]:
            faults.append(
                f"accord.electors[{place}].name: expected a name of its own, found {elector.name!r} again"
            )
        ours, reached = elector.name == told.serve.name, accord.reach or accord.listen
        if ours and elector.address != reached:
            faults.append(
                f"accord.electors[{place}].address: expected {reached!r}, where this dispatcher is reached, "
                f"found {elector.address!r}"
            )
    if accord.most < len(names):
        faults.append(f"accord.most: expected at least the {len(names)} electors, found {accord.most}")
    for place, tenant in enumerate(told.tenant):
        # A floor whose burst holds no whole submission would never let one through.
        floor = tenant.rate * accord.burst * accord.reserve / accord.most
        if accord.reserve and tenant.rate and floor < 1.0:
            least = accord.most / (accord.burst * accord.reserve)
            faults.append(
                f"tenant[{place}].rate: expected at least {least:g}, so that each of accord.most floors "
                f"holds a submission, found {tenant.rate:g}"
            )
    # One datagram tells of all of them: their parts, what is wanted, and the loans.
    if len(told.tenant) > MOST_TENANTS:
        faults.append(f"tenant: expected {MOST_TENANTS} at most with accord.on, found {len(told.tenant)}")
    resources = [one.name for one in accord.resource]
    for place, name in enumerate(resources):
        if name in resources[:place]:
            faults.append(f"accord.resource[{place}].name: expected a name of its own, found {name!r} again")
    for place, grade in enumerate(told.grade):
        for name, amount in grade.holds.items():
            if name not in resources:
                faults.append(f"grade[{place}].holds: expected an accord.resource, found {name!r}")
            elif not 0 <= amount <= 1e9:
                faults.append(f"grade[{place}].holds.{name}: expected 0 to 1e9, found {amount:g}")
    return faults
