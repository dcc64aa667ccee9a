"""`locktide serve`: one dispatcher by an installation's file."""

from __future__ import annotations

import asyncio
import secrets
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import click

from locktide.cli.faulty import refuse
from locktide.cli.logs import FORMATS, Structured
from locktide.config.errors import ConfigError, ConfigFileError
from locktide.config.installation.document import Installation
from locktide.config.installation.loading import load_installation
from locktide.config.installation.start import start_from_installation
from locktide.config.start import Start
from locktide.dispatcher.dispatcher import Dispatcher
from locktide.dispatcher.service import AttachedService
from locktide.dispatcher.service import serve as run
from locktide.protocol import discovery
from locktide.transport.log import Log


class Refused(Exception):
    """A part does not start; the text begins with its key."""


def parts(told: Installation, log: Log) -> list[Callable[[Dispatcher], Awaitable[AttachedService]]]:
    """What the file switches on; a part that is off is not even imported."""
    found: list[Callable[[Dispatcher], Awaitable[AttachedService]]] = []
    if told.cluster.enabled:
        from locktide.cluster.bootstrap import join  # noqa: PLC0415

        async def accord(node: Dispatcher) -> AttachedService:
            try:
                return await join(node.bridge, told, log)
            except OSError as trouble:
                raise Refused(f"accord.listen: {trouble}") from None

        found.append(accord)
    if not told.durable_jobs.enabled:
        return found
    from locktide.durable.bootstrap import attach_job_service
    from locktide.durable.errors import LogOpenError

    async def durable(node: Dispatcher) -> AttachedService:
        try:
            return await attach_job_service(node, told.durable_jobs, log)
        except (LogOpenError, OSError) as trouble:
            raise Refused(f"durable.directory: {trouble}") from None

    return [durable, *found]


@click.command()
@click.argument("file", type=click.Path(path_type=Path), default=Path("deploy/locktide.toml"))
@click.option("--log-format", type=click.Choice(FORMATS), help="Overrides log.format of the file.")
def serve(file: Path, log_format: str | None) -> None:
    """Run one dispatcher by an installation's FILE, until SIGTERM. SIGHUP reads the file's roster anew."""
    try:
        told = load_installation(file)
        begun = start_from_installation(told, secrets.randbits(62))
        known = discovery.read(begun.cached_endpoints, "known")
    except ConfigFileError as faults:
        refuse(faults, str(file))
    except ConfigError as trouble:
        refuse(ConfigFileError([trouble]), str(file))

    def again() -> Start:
        try:
            return start_from_installation(load_installation(file), 0)
        except ConfigFileError as faults:
            raise ConfigError(str(file), "; ".join(faults.lines)) from None

    log = Structured(begun.name, log_format or told.log.format)
    try:
        asyncio.run(run(begun, known, log, again, parts(told, log)))
    except Refused as trouble:
        print(f"locktide: {trouble}", file=sys.stderr)
        sys.exit(1)
    except OSError as trouble:
        print(f"locktide: serve.listen: {trouble}", file=sys.stderr)
        sys.exit(1)
