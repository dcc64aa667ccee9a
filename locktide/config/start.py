"""Reads the start configuration of a dispatcher: GW_* variables and the JSON file that GW_CONFIG names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from locktide.config.address import Address, parse_address
from locktide.config.errors import ConfigError
from locktide.config.json_reader import JsonObject
from locktide.config.platform_keys import (
    CeilingsKey,
    EndpointListKey,
    LimitsKey,
    SettingsKey,
    StartKey,
    Variable,
)
from locktide.config.settings import scheduler_config
from locktide.scheduler.config import SchedulerConfig

#: Default limit of open file descriptors, and the lowest limit that a dispatcher can run with.
DEFAULT_DESCRIPTORS = 1024
MIN_DESCRIPTORS = 32
#: Default limit of the memory, and the lowest limit that a dispatcher can run with, in MiB.
DEFAULT_MEMORY_MEGABYTES = 2048
MIN_MEMORY_MEGABYTES = 24
BYTES_PER_MEGABYTE = 1 << 20
#: Default timeout for connecting to a worker, and default idle time after which workers close a connection,
#: in milliseconds.
DEFAULT_CONNECT_TIMEOUT = 250.0
DEFAULT_IDLE_TIMEOUT = 15_000.0
#: The key `seed` is a hexadecimal number.
SEED_BASE = 16


@dataclass(slots=True)
class Start:
    """The start configuration of one dispatcher.

    Attributes:
        name: the name of the dispatcher, the same after a restart.
        listen: the address to which clients and workers connect.
        discovery: the address of the discovery service.
        seed: the seed of all random draws.
        descriptors: how many file descriptors the process may have open.
        memory: how much memory the process may take, in bytes.
        cached_endpoints: the endpoint list from before the start, as decoded JSON in the form of discovery.
        connect_within: how long connecting to a worker may take, in microseconds.
        idle_close: the idle time after which workers close a connection, in microseconds.
        scheduler_config: the configuration of the scheduler.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    descriptors: int
    memory: int
    cached_endpoints: Any
    connect_within: int
    idle_close: int
    scheduler_config: SchedulerConfig


def read_start(environment: Mapping[str, str], *, is_reload: bool = False) -> Start:
    """Read the start file that the environment names.

    A variable that is set takes precedence over the file, except that a reload takes the address of discovery
    from the file.

    Raises:
        ConfigError: the file cannot be read, or a key is missing or has an invalid value.
    """
    path = environment.get(Variable.CONFIG_FILE)
    if not path:
        raise ConfigError(Variable.CONFIG_FILE, "is not set")
    try:
        document = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(Variable.CONFIG_FILE, f"{path}: {error}", value=path) from error
    return start_from_document(JsonObject(document), environment, is_reload=is_reload)


def start_from_document(
    document: JsonObject, environment: Mapping[str, str], *, is_reload: bool = False
) -> Start:
    """Return the start configuration of a decoded start file; the rules are those of `read_start`."""
    limits = document.object(StartKey.LIMITS, {})
    settings = document.object(StartKey.SETTINGS)
    ceilings = settings.object(SettingsKey.CEILINGS, {})
    seed = _read_seed(document)
    discovery_environment = {} if is_reload else environment
    return Start(
        name=environment.get(Variable.NAME) or document.text(StartKey.NAME),
        listen=_read_address(document, StartKey.LISTEN, environment, Variable.LISTEN),
        discovery=_read_address(document, StartKey.DISCOVERY, discovery_environment, Variable.DISCOVERY),
        seed=seed,
        descriptors=limits.integer(LimitsKey.DESCRIPTORS, DEFAULT_DESCRIPTORS, minimum=MIN_DESCRIPTORS),
        memory=_read_memory(limits),
        cached_endpoints=document.object(StartKey.CACHED_ENDPOINTS, endpoint_list([])).raw,
        connect_within=ceilings.microseconds(CeilingsKey.CONNECT_TIMEOUT, DEFAULT_CONNECT_TIMEOUT),
        idle_close=ceilings.microseconds(CeilingsKey.IDLE_TIMEOUT, DEFAULT_IDLE_TIMEOUT),
        scheduler_config=scheduler_config(settings),
    )


def endpoint_list(endpoints: list[dict[str, Any]]) -> dict[str, Any]:
    """Return an endpoint list with these entries as a snapshot, in the form of a start file."""
    return {
        EndpointListKey.VERSION: 0,
        EndpointListKey.IS_SNAPSHOT: True,
        EndpointListKey.ENDPOINTS: endpoints,
    }


def _read_address(document: JsonObject, key: str, environment: Mapping[str, str], variable: str) -> Address:
    """Return the address in the variable where it is set, else that in the start file."""
    text = environment.get(variable)
    if text:
        return parse_address(variable, text)
    return parse_address(key, document.text(key))


def _read_seed(document: JsonObject) -> int:
    text = document.text(StartKey.SEED, "0")
    try:
        return int(text, SEED_BASE)
    except ValueError as error:
        raise ConfigError.unexpected(StartKey.SEED, expected="a hexadecimal number", value=text) from error


def _read_memory(limits: JsonObject) -> int:
    """Return the memory limit in bytes."""
    megabytes = limits.integer(
        LimitsKey.MEMORY_MEGABYTES, DEFAULT_MEMORY_MEGABYTES, minimum=MIN_MEMORY_MEGABYTES
    )
    return megabytes * BYTES_PER_MEGABYTE
