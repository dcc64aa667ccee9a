"""The path of a job, which contains its id in percent-encoding."""

from __future__ import annotations

from urllib.parse import quote, unquote

from locktide.protocol import names


def job_path(job_id: str) -> str:
    """Return the path at which a job is queried or cancelled; an id may contain `%`, `?`, `#` and `/`."""
    return names.JOBS + quote(job_id, safe="")


def job_id_of(path: str) -> str:
    """Return the id in the path of a job."""
    return unquote(path.removeprefix(names.JOBS))
