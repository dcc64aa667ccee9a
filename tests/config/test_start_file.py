"""The platform's start file: what is read, and which key is named where it is malformed."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from locktide.config import start
from locktide.config.errors import ConfigError

FIRST_CLASS = ["settings", "ServiceGrades", 0]


SERVICE_CLASS = {"Name": "view", "Semantics": "free", "SoftLimit": 250.0, "TimeLimit": 6000.0}


START_FILE = {
    "name": "n3",
    "listen": "127.0.0.1:7070",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"sockets": 300},
    "known": {"rev": 1, "all": True, "targets": []},
    "settings": {
        "ServiceGrades": [SERVICE_CLASS],
        "Ceilings": {"IdleClose": 30000.0, "RetryAfter": True},
        "New": {},
    },
}


def read_start(tmp_path: Path, document: Any, **environment: str) -> start.Start:
    path = tmp_path / "start.json"
    path.write_text(document if isinstance(document, str) else json.dumps(document))
    return start.read_start({"GW_CONFIG": str(path), **environment})


def test_start_file_is_read_with_defaults_and_overridden_by_variables(tmp_path: Path) -> None:
    settings = read_start(tmp_path, START_FILE, GW_LISTEN="127.0.0.9:1", GW_NAME="n4")
    assert (settings.name, settings.listen, settings.discovery) == (
        "n4",
        ("127.0.0.9", 1),
        ("127.0.0.1", 8500),
    )
    assert (settings.seed, settings.descriptors) == (0x8C1F30D27A5BE964, 300)
    assert (settings.idle_close, settings.connect_within) == (30_000_000, 250_000)
    assert (
        settings.scheduler_config.service_classes[0].timeout == 6_000_000
        and settings.scheduler_config.dispatcher_count == 1
    )
    environment = {"GW_CONFIG": str(tmp_path / "start.json"), "GW_DISCOVERY": "127.0.0.9:2"}
    assert start.read_start(environment).discovery == ("127.0.0.9", 2)
    assert start.read_start(environment, is_reload=True).discovery == (
        "127.0.0.1",
        8500,
    )  # a reload uses the file's address


@pytest.mark.parametrize(
    "path, value, message",
    [
        (["listen"], "here", "listen: expected HOST:PORT"),
        (["listen"], "127.0.0.1:99999", "listen: expected HOST:PORT"),
        (["seed"], "xyz", "seed: expected a hexadecimal number"),
        (["limits"], [], "limits: expected an object"),
        (["limits", "sockets"], 3, "limits.sockets: expected at least 32"),
        (["limits", "sockets"], True, "limits.sockets: expected a number"),
        (["settings"], None, "settings: expected an object"),
        (["settings", "Step"], "4ms", "settings.Step: expected a number"),
        (["settings", "FleetSize"], 1.5, "settings.FleetSize: expected a whole number"),
        (["settings", "ServiceGrades"], [], "settings.ServiceGrades: expected at least one"),
        ([*FIRST_CLASS, "TimeLimit"], -1, "settings.ServiceGrades[0].TimeLimit: expected at least 0"),
        ([*FIRST_CLASS, "Semantics"], "odd", "settings.ServiceGrades[0].Semantics: expected one of"),
        ([*FIRST_CLASS, "Name"], 4, "settings.ServiceGrades[0].Name: expected a text"),
        (["settings", "Ceilings", "RetryAfter"], 1, "settings.Ceilings.RetryAfter: expected true or false"),
        (["settings", "WeightKind"], "lively", "settings.WeightKind: expected one of silent"),
        (["settings", "Prices"], {"Handshake": "dear"}, "settings.Prices.Handshake: expected a number"),
        (["settings", "Prices"], {"CrossZone": -1}, "settings.Prices.CrossZone: expected at least 0"),
        (["settings", "Zone"], 3, "settings.Zone: expected a text"),
    ],
)
def test_malformed_key_is_named(tmp_path: Path, path: list[Any], value: Any, message: str) -> None:
    document = json.loads(json.dumps(START_FILE))
    parent = document
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = value
    with pytest.raises(ConfigError) as error:
        read_start(tmp_path, document)
    assert str(error.value).startswith(message)


def test_missing_key_or_malformed_json_is_named(tmp_path: Path) -> None:
    without_classes = {**START_FILE, "settings": {}}
    for document, message in [(without_classes, "settings.ServiceGrades: is missing"), ("{", "GW_CONFIG: ")]:
        with pytest.raises(ConfigError) as error:
            read_start(tmp_path, document)
        assert str(error.value).startswith(message)
