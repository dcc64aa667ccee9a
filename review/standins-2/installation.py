"""A dispatcher with durable jobs, run by `locktide serve` from the file of an installation."""

from __future__ import annotations

import importlib.util
from pathlib import Path

import rig

HEAD = """
[serve]
name = "d0"
listen = "127.0.0.1:{port}"
roster = "127.0.0.1:{discovery}"
[workers]
tells_start = true
progress = 1.0
[durable]
on = true
directory = "{directory}"
grades = [{durable}]
limit = {limit}
"""
GRADE = """
[[grade]]
name = "{name}"
effect = "{effect}"
group = "cell"
memory = 40.0
soft = 2.5
limit = 25.0
"""


class Installation:
    """The file of one dispatcher, which can be replaced, and the dispatcher that reads it."""

    def __init__(self, record: rig.Record, folder: Path, discovery: rig.Discovery, limit: float) -> None:
        if importlib.util.find_spec("msgspec") is None:
            raise rig.CaseError("locktide serve needs requirements-dev.txt: run review/build-2.sh")
        self.record = record
        self.dispatcher = rig.Dispatcher(record, "d0", folder)
        self.file = folder / "locktide.toml"
        self.values = {"port": self.dispatcher.port, "discovery": discovery.port}
        self.values |= {"directory": folder / "jobs", "limit": limit}
        # As the run line of the deploy file, with the program that reads the file of an installation.
        self.dispatcher.command = f"trap '' HUP; exec .venv/bin/locktide serve {self.file}"

    def write(self, grades: dict[str, str]) -> None:
        """Replace the file: each grade with its effect; all are durable."""
        durable = ", ".join(f'"{name}"' for name in grades)
        text = HEAD.format(durable=durable, **self.values)
        text += "".join(GRADE.format(name=name, effect=effect) for name, effect in grades.items())
        draft = self.file.with_suffix(".new")
        draft.write_text(text, encoding="utf-8")
        draft.replace(self.file)
        self.record.add(f"operator: file with {grades}")

    async def accept(self, grade: str, key: str = "") -> str:
        """Submit a job for which nobody waits; return its id once it is accepted."""
        more = {"Prefer": "respond-async"}
        request_id, status, _, _ = await rig.submit(
            self.record, self.dispatcher.port, grade, deadline_ms=25000, key=key, **more
        )
        if status != 202:
            raise rig.CaseError(f"not accepted: {status}")
        return request_id

    async def state(self, job_id: str) -> str:
        """Return the state of a job that has ended, else an empty text."""
        status, headers, body = await rig.call(self.dispatcher.port, "GET", f"/jobs/{job_id}")
        if status == 202:
            return ""
        state = headers.get("job-state", str(status))
        self.record.add(
            f"client: GET /jobs/{job_id}: {status} {state} {body.decode(errors='replace').strip()!r}"
        )
        return state
