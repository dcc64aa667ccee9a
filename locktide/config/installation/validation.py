"""Checks of an installation across keys and sections, which the types of single keys cannot express."""

from __future__ import annotations

from collections.abc import Iterator

from locktide.config.address import is_port
from locktide.config.errors import ConfigError
from locktide.config.installation.cluster import ClusterSection
from locktide.config.installation.document import Installation
from locktide.config.installation.service_classes import ServiceClassSection

#: Maximum number of tenants of a cluster, as one datagram carries the shares, the demand and the loans of all
#: of them.
MAX_CLUSTER_TENANTS = 50
#: Maximum amount of a resource that one slot may need: the largest amount in a datagram of the fairness
#: ledger.
MAX_RESOURCE_NEED = 1e9
#: Minimum duration of a lease, in report intervals; a single late report would end a shorter lease.
MIN_REPORTS_PER_LEASE = 2
#: The path under which clients query durable jobs; no service class may have this name if durable jobs
#: are enabled.
JOBS_PATH = "jobs"


def find_errors(installation: Installation) -> list[ConfigError]:
    """Return all faults of an installation whose single keys are valid."""
    return [
        *_service_class_errors(installation),
        *_known_worker_errors(installation),
        *_tenant_errors(installation),
        *_durable_job_errors(installation),
        *_cluster_errors(installation),
        *_port_errors(installation),
    ]


def _repeated_name(key: str, name: str, noun: str = "name") -> ConfigError:
    """Return the error of an entry whose name an earlier entry already has."""
    return ConfigError.mismatch(key, expected=f"a {noun} of its own", found=f"{name!r} again", value=name)


def _repeated_names(names: list[str], section: str, noun: str = "name") -> Iterator[ConfigError]:
    """Yield an error for each entry of a list of sections whose name an earlier entry already has."""
    for index, name in enumerate(names):
        if name in names[:index]:
            yield _repeated_name(f"{section}[{index}].{noun}", name, noun)


def _service_class_errors(installation: Installation) -> Iterator[ConfigError]:
    service_classes = installation.service_classes
    if not service_classes:
        yield ConfigError.mismatch("grade", expected="at least one service grade", found="none")
    names: list[str] = []
    for index, service_class in enumerate(service_classes):
        if service_class.name in names:
            yield _repeated_name(f"grade[{index}].name", service_class.name)
        names.append(service_class.name)
        objective = service_class.latency_objective
        timeout = service_class.timeout
        if objective > timeout:
            yield ConfigError.mismatch(
                f"grade[{index}].soft",
                expected=f"no more than limit ({timeout:g})",
                found=f"{objective:g}",
                value=objective,
            )


def _known_worker_errors(installation: Installation) -> Iterator[ConfigError]:
    uids = [worker.uid for worker in installation.known_workers]
    yield from _repeated_names(uids, "known", "uid")


def _tenant_errors(installation: Installation) -> Iterator[ConfigError]:
    names = [tenant.name for tenant in installation.tenants]
    yield from _repeated_names(names, "tenant")


def _durable_job_errors(installation: Installation) -> Iterator[ConfigError]:
    durable_jobs = installation.durable_jobs
    names = {service_class.name for service_class in installation.service_classes}
    for index, name in enumerate(durable_jobs.service_classes):
        if name not in names:
            yield ConfigError.mismatch(
                f"durable.grades[{index}]",
                expected="a service grade of this file",
                found=repr(name),
                value=name,
            )
    if not durable_jobs.enabled:
        return
    if not durable_jobs.service_classes:
        yield ConfigError.mismatch("durable.grades", expected="at least one service grade", found="none")
    if JOBS_PATH in names:
        expected = f"no service grade {JOBS_PATH!r} beside durable.on"
        yield ConfigError.mismatch("grade", expected=expected, found="one", value=JOBS_PATH)
    report_interval = installation.workers.report_interval
    if report_interval > durable_jobs.heartbeat_timeout / MIN_REPORTS_PER_LEASE:
        yield ConfigError.mismatch(
            "durable.beat_within",
            expected=f"at least twice workers.progress ({report_interval:g})",
            found=f"{durable_jobs.heartbeat_timeout:g}",
            value=durable_jobs.heartbeat_timeout,
        )


def _cluster_errors(installation: Installation) -> Iterator[ConfigError]:
    if not installation.cluster.enabled:
        return
    yield from _acceptor_errors(installation)
    yield from _quota_errors(installation)
    yield from _resource_errors(installation)


def _acceptor_errors(installation: Installation) -> Iterator[ConfigError]:
    cluster = installation.cluster
    count = len(cluster.acceptors)
    if count % 2 == 0:
        yield ConfigError.mismatch("accord.electors", expected="an odd number", found=str(count), value=count)
    names: list[str] = []
    for index, acceptor in enumerate(cluster.acceptors):
        if acceptor.name in names:
            yield _repeated_name(f"accord.electors[{index}].name", acceptor.name)
        names.append(acceptor.name)
        own_address = cluster.reachable_address
        if acceptor.name == installation.serve.name and acceptor.address != own_address:
            yield ConfigError.mismatch(
                f"accord.electors[{index}].address",
                expected=f"{own_address!r}, where this dispatcher is reached",
                found=repr(acceptor.address),
                value=acceptor.address,
            )
    if cluster.max_members < count:
        yield ConfigError.mismatch(
            "accord.most",
            expected=f"at least the {count} electors",
            found=str(cluster.max_members),
            value=cluster.max_members,
        )


def _quota_errors(installation: Installation) -> Iterator[ConfigError]:
    cluster = installation.cluster
    for index, tenant in enumerate(installation.tenants):
        if not cluster.reserved_fraction or not tenant.rate:
            continue
        # A guaranteed minimum whose burst is below one request would never admit any.
        requests_per_burst = cluster.burst * cluster.reserved_fraction
        guaranteed_burst = tenant.rate * cluster.burst * cluster.reserved_fraction / cluster.max_members
        if guaranteed_burst < 1.0:
            min_rate = cluster.max_members / requests_per_burst
            yield ConfigError.mismatch(
                f"tenant[{index}].rate",
                expected=(
                    f"at least {min_rate:g}, so that each of accord.most guaranteed minimums admits a request"
                ),
                found=f"{tenant.rate:g}",
                value=tenant.rate,
            )
    count = len(installation.tenants)
    if count > MAX_CLUSTER_TENANTS:
        expected = f"{MAX_CLUSTER_TENANTS} at most with accord.on"
        yield ConfigError.mismatch("tenant", expected=expected, found=str(count), value=count)


def _resource_errors(installation: Installation) -> Iterator[ConfigError]:
    names = [resource.name for resource in installation.cluster.resources]
    yield from _repeated_names(names, "accord.resource")
    for index, service_class in enumerate(installation.service_classes):
        yield from _resource_need_errors(service_class, f"grade[{index}].holds", names)


def _resource_need_errors(
    service_class: ServiceClassSection, key: str, resources: list[str]
) -> Iterator[ConfigError]:
    for name, amount in service_class.resource_needs.items():
        if name not in resources:
            yield ConfigError.mismatch(key, expected="an accord.resource", found=repr(name), value=name)
        elif not 0 <= amount <= MAX_RESOURCE_NEED:
            yield ConfigError.mismatch(
                f"{key}.{name}", expected="0 to 1e9", found=f"{amount:g}", value=amount
            )


def _port_errors(installation: Installation) -> Iterator[ConfigError]:
    for key, address in _addresses(installation):
        port = address.rpartition(":")[2]
        if not is_port(port):
            expected = "a port from 1 to 65535"
            yield ConfigError.mismatch(key, expected=expected, found=repr(address), value=address)


def _addresses(installation: Installation) -> Iterator[tuple[str, str]]:
    """Yield the key and the HOST:PORT of every address of the file."""
    yield "serve.listen", installation.serve.listen
    yield "serve.roster", installation.serve.discovery
    yield from _cluster_addresses(installation.cluster)
    for index, worker in enumerate(installation.known_workers):
        yield f"known[{index}].endpoint", worker.endpoint


def _cluster_addresses(cluster: ClusterSection) -> Iterator[tuple[str, str]]:
    yield "accord.listen", cluster.listen
    for seed in cluster.seeds:
        yield "accord.seeds", seed
    if cluster.advertised_address:
        yield "accord.reach", cluster.advertised_address
    for index, acceptor in enumerate(cluster.acceptors):
        yield f"accord.electors[{index}].address", acceptor.address
