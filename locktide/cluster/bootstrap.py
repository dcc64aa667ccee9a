"""Joins the accord to a node by an installation's settings."""

from __future__ import annotations

import secrets
import time

from locktide.cluster.config import ClusterConfig
from locktide.cluster.fairness.ledger import FairnessConfig
from locktide.cluster.quota.local_quota import QuotaSpec
from locktide.cluster.udp_transport import EventSource, Log, UdpTransport, open_udp_transport
from locktide.config.installation import Installation
from locktide.config.start import Address, address


def place(key: str, text: str) -> Address:
    return address(key, text)


def terms(told: Installation) -> ClusterConfig:
    """One budget for each tenant; our start tells this process from any other of our name."""
    accord = told.accord
    electors = {one.name: place("accord.electors", one.address) for one in accord.electors}
    seeds = [place("accord.seeds", seed) for seed in accord.seeds]
    reached = place("accord.reach", accord.reach or accord.listen)
    return ClusterConfig(
        (told.serve.name, time.time_ns() // 1000),
        reached,
        electors,
        [seed for seed in [*electors.values(), *seeds] if seed != reached],
        [QuotaSpec(tenant.name, tenant.rate, tenant.rate * accord.burst, True) for tenant in told.tenant],
        accord.reserve,
        accord.most,
        secrets.randbits(60),
        accord.lend,
        ledger(told) if accord.resource else None,
    )


def ledger(told: Installation) -> FairnessConfig:
    """Amounts and weights in thousandths. A job may run until its time limit, and its withdrawal is tried no
    longer; a second more for what is on its way.
    """
    resources = told.accord.resource
    longest = max(grade.limit for grade in told.grade) + 1.0
    return FairnessConfig(
        [one.name for one in resources],
        {tenant.name: max(1, round(1000 * tenant.weight)) for tenant in told.tenant},
        {
            grade.name: [round(1000 * grade.holds.get(one.name, 0.0)) for one in resources]
            for grade in told.grade
        },
        [round(1000 * one.each) for one in resources],
        round(longest * 1e6),
    )


async def join(node: EventSource, told: Installation, log: Log) -> UdpTransport:
    """Raises OSError."""
    trace = open(told.accord.trace, "a", encoding="utf-8") if told.accord.trace else None
    return await open_udp_transport(terms(told), log, node, place("accord.listen", told.accord.listen), trace)
