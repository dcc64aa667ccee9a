"""Configures and starts the cluster member of a dispatcher from the installation file."""

from __future__ import annotations

import secrets
import time
from pathlib import Path
from typing import TextIO

from locktide.cluster.config import ClusterConfig
from locktide.cluster.dispatcher_link import EventSource
from locktide.cluster.fairness.ledger import FairnessConfig
from locktide.cluster.quota.local_quota import QuotaSpec
from locktide.cluster.reporting import Log
from locktide.cluster.udp_transport import UdpTransport, open_udp_transport
from locktide.config.address import parse_address
from locktide.config.installation.document import Installation

#: Size of the seed of a member's random choices, in bits.
RANDOM_SEED_BITS = 60
#: Thousandths in one unit of a resource or a weight; the fairness ledger counts in thousandths.
THOUSANDTHS = 1000
#: Time added to the longest timeout of a job, in seconds, for messages that are still on their way.
LEDGER_MARGIN = 1.0
MICROSECONDS_PER_SECOND = 1e6
NANOSECONDS_PER_MICROSECOND = 1000


def cluster_config(installation: Installation) -> ClusterConfig:
    """Return the configuration of this process's member, with one quota for each tenant.

    The generation is the time of the start, which distinguishes this process from any other of its name.

    Raises:
        ConfigError: an address is malformed.
    """
    cluster = installation.cluster
    acceptors = {
        acceptor.name: parse_address("accord.electors", acceptor.address) for acceptor in cluster.acceptors
    }
    seeds = [parse_address("accord.seeds", seed) for seed in cluster.seeds]
    own_address = parse_address("accord.reach", cluster.reachable_address)
    return ClusterConfig(
        member_id=(installation.serve.name, time.time_ns() // NANOSECONDS_PER_MICROSECOND),
        address=own_address,
        acceptors=acceptors,
        seeds=[seed for seed in [*acceptors.values(), *seeds] if seed != own_address],
        quotas=[
            QuotaSpec(name=tenant.name, rate=tenant.rate, burst=tenant.rate * cluster.burst, lendable=True)
            for tenant in installation.tenants
        ],
        reserved_fraction=cluster.reserved_fraction,
        max_members=cluster.max_members,
        random_seed=secrets.randbits(RANDOM_SEED_BITS),
        lendable_fraction=cluster.lendable_fraction,
        fairness=fairness_config(installation) if cluster.resources else None,
    )


def fairness_config(installation: Installation) -> FairnessConfig:
    """Return the configuration of the fairness ledger; amounts and weights are in thousandths.

    A job may run until its timeout; the dispatcher makes no attempt to cancel it after that.
    """
    resources = installation.cluster.resources
    service_classes = installation.service_classes
    max_job_time = max(service_class.timeout for service_class in service_classes) + LEDGER_MARGIN
    weights = {tenant.name: max(1, round(THOUSANDTHS * tenant.weight)) for tenant in installation.tenants}
    needs = {
        service_class.name: [
            round(THOUSANDTHS * service_class.resource_needs.get(resource.name, 0.0))
            for resource in resources
        ]
        for service_class in service_classes
    }
    return FairnessConfig(
        [resource.name for resource in resources],
        weights,
        needs,
        [round(THOUSANDTHS * resource.worker_capacity) for resource in resources],
        round(max_job_time * MICROSECONDS_PER_SECOND),
    )


def open_trace(path: str) -> TextIO | None:
    """Open the trace file, which the transport closes; return None if no path is set."""
    if not path:
        return None
    return Path(path).open("a", encoding="utf-8")  # noqa: SIM115 - the file stays open while the member runs


async def start_cluster_member(
    event_source: EventSource, installation: Installation, log: Log
) -> UdpTransport:
    """Start the cluster member of a dispatcher, which joins the cluster.

    Raises:
        ConfigError: an address is malformed.
        OSError: the address cannot be bound, or the trace cannot be opened.
    """
    trace = open_trace(installation.cluster.trace)
    listen = parse_address("accord.listen", installation.cluster.listen)
    return await open_udp_transport(cluster_config(installation), log, event_source, listen, trace)
