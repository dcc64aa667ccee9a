"""`locktide serve`: runs one dispatcher that is configured by the file of an installation."""

from __future__ import annotations

import asyncio
import secrets
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import click

from locktide.cli.faulty import exit_with_errors
from locktide.cli.logs import FORMATS, StructuredLog
from locktide.config.errors import ConfigError, ConfigFileError
from locktide.config.installation.document import Installation
from locktide.config.installation.loading import load_installation
from locktide.config.installation.start import start_from_installation
from locktide.config.start import Start
from locktide.dispatcher.dispatcher import Dispatcher
from locktide.dispatcher.service import AttachedService
from locktide.dispatcher.service import serve as run_dispatcher
from locktide.protocol import discovery
from locktide.transport.log import Log


class ServiceStartError(Exception):
    """An attached service does not start; the message begins with the key of its setting."""


def enabled_services(
    installation: Installation, log: Log
) -> list[Callable[[Dispatcher], Awaitable[AttachedService]]]:
    """Return a function for each enabled service that attaches it; a disabled service is not imported."""
    attach_functions: list[Callable[[Dispatcher], Awaitable[AttachedService]]] = []
    if installation.cluster.enabled:
        from locktide.cluster.bootstrap import start_cluster_member  # noqa: PLC0415

        async def attach_cluster(dispatcher: Dispatcher) -> AttachedService:
            try:
                return await start_cluster_member(dispatcher.bridge, installation, log)
            except OSError as error:
                raise ServiceStartError(f"accord.listen: {error}") from None

        attach_functions.append(attach_cluster)
    if not installation.durable_jobs.enabled:
        return attach_functions
    from locktide.durable.bootstrap import attach_job_service
    from locktide.durable.errors import LogOpenError

    async def attach_durable_jobs(dispatcher: Dispatcher) -> AttachedService:
        try:
            return await attach_job_service(dispatcher, installation.durable_jobs, log)
        except (LogOpenError, OSError) as error:
            raise ServiceStartError(f"durable.directory: {error}") from None

    return [attach_durable_jobs, *attach_functions]


@click.command()
@click.argument("file", type=click.Path(path_type=Path), default=Path("deploy/locktide.toml"))
@click.option(
    "--log-format", type=click.Choice(FORMATS), help="Format of log lines; overrides log.format of the file."
)
def serve(file: Path, log_format: str | None) -> None:
    """Run one dispatcher as configured by FILE until SIGTERM; SIGHUP reloads FILE."""
    try:
        installation = load_installation(file)
        start = start_from_installation(installation, secrets.randbits(62))
        known_endpoints = discovery.read(start.cached_endpoints, "known")
    except ConfigFileError as errors:
        exit_with_errors(errors, str(file))
    except ConfigError as error:
        exit_with_errors(ConfigFileError([error]), str(file))

    def read_start_again() -> Start:
        try:
            return start_from_installation(load_installation(file), 0)
        except ConfigFileError as errors:
            raise ConfigError(str(file), "; ".join(errors.lines)) from None

    log = StructuredLog(start.name, log_format or installation.log.format)
    try:
        asyncio.run(
            run_dispatcher(start, known_endpoints, log, read_start_again, enabled_services(installation, log))
        )
    except ServiceStartError as error:
        print(f"locktide: {error}", file=sys.stderr)
        sys.exit(1)
    except OSError as error:
        print(f"locktide: serve.listen: {error}", file=sys.stderr)
        sys.exit(1)
