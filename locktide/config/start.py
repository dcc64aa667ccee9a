"""What one real dispatcher is told at start: the GW_* variables and the JSON that GW_CONFIG names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from locktide.config.checks import ConfigError, Table
from locktide.config.settings import scheduler_config
from locktide.scheduler.config import SchedulerConfig

Address = tuple[str, int]


@dataclass(slots=True)
class Start:
    name: str
    listen: Address
    discovery: Address
    seed: int
    descriptors: int
    memory: int  # bytes
    cached_endpoints: Any  # the remembered list, in discovery's form
    connect_within: int
    idle_close: int  # workers close connections that stood idle so long
    scheduler_config: SchedulerConfig


def address(key: str, text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(key, f"expected HOST:PORT, not {text!r:.60}")
    return host.strip("[]"), int(port)


def spelled(at: Address) -> str:
    return f"{at[0]}:{at[1]}"


def read(environment: Mapping[str, str], again: bool = False) -> Start:
    """A variable that is set goes before the same thing in the JSON; read again, discovery is the JSON's."""
    path = environment.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG", "is not set")
    try:
        with open(path, encoding="utf-8") as source:
            whole = Table(json.load(source))
    except (OSError, ValueError) as trouble:
        raise ConfigError("GW_CONFIG", f"{path}: {trouble}") from None
    return from_table(whole, environment, again)


def from_table(whole: Table, environment: Mapping[str, str], again: bool = False) -> Start:
    """The same from JSON that is read already."""
    limits, told = whole.table("limits", {}), whole.table("settings")
    ceilings = told.table("Ceilings", {})

    def place(variable: str, name: str) -> Address:
        text = environment.get(variable)
        return address(variable, text) if text else address(name, whole.text(name))

    seed = whole.text("seed", "0")
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigError("seed", f"expected a hexadecimal number, not {seed!r:.40}") from None
    return Start(
        environment.get("GW_NAME") or whole.text("name"),
        place("GW_LISTEN", "listen"),
        address("discovery", whole.text("discovery")) if again else place("GW_DISCOVERY", "discovery"),
        number,
        limits.whole("sockets", 1024, least=32),
        limits.whole("memory_mb", 2048, least=24) << 20,
        whole.table("known", {"rev": 0, "all": True, "targets": []}).raw,
        ceilings.span("ConnectTimeout", 250.0),
        ceilings.span("IdleClose", 15000.0),
        scheduler_config(told),
    )
