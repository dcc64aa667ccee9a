"""Endpoint lists as discovery sends them, for tests."""

from __future__ import annotations

import json
from typing import Any


def list_entry(worker: str, **changed: Any) -> dict[str, Any]:
    """Return an entry in the form of the wire, with some of its keys changed."""
    defaults = {"uid": worker, "endpoint": "127.0.0.1:9", "az": "a", "model": "m", "state": "active"}
    return {**defaults, **changed}


def list_body(*entries: Any, version: int = 3) -> bytes:
    """Return the body of discovery's response that has a snapshot of the list."""
    return json.dumps({"rev": version, "all": True, "targets": entries}).encode()
