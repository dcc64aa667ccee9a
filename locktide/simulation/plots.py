"""An outcome drawn over time, as PNG files and as one HTML page that needs nothing beside it."""

from __future__ import annotations

import base64
import html
import io
import json
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib.figure import Figure  # noqa: E402

WIDE, HIGH, DOTS = 10.0, 2.6, 110
SHADES = ("#d97706", "#2563eb", "#7c3aed", "#059669", "#dc2626", "#475569")
PAGE = """<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{title}</title><style>
body{{font:15px/1.45 system-ui,sans-serif;max-width:72rem;margin:2rem auto;padding:0 1rem;color:#1f2937}}
table{{border-collapse:collapse;margin:1rem 0}}
td,th{{border:1px solid #d1d5db;padding:.3rem .7rem;text-align:left}}
td.n{{text-align:right;font-variant-numeric:tabular-nums}}.bad{{color:#b91c1c;font-weight:600}}
img{{max-width:100%}}pre{{background:#f3f4f6;padding:1rem;overflow:auto;max-height:24rem}}</style></head><body>
<h1>{title}</h1><p>{says}</p>{warning}{tables}{pictures}<h2>Everything</h2><pre>{raw}</pre></body></html>
"""


def axes(told: dict[str, Any], title: str, unit: str) -> tuple[Figure, Any]:
    figure = Figure(figsize=(WIDE, HIGH), layout="constrained")
    place = figure.subplots()
    place.set_title(title, loc="left", fontsize=10)
    place.set_xlabel("seconds", fontsize=8)
    place.set_ylabel(unit, fontsize=8)
    place.tick_params(labelsize=8)
    place.set_xlim(0, max(told["length_s"], *(one["at_s"] for one in told["over_time"]), 1.0))
    for number, one in enumerate(told["incidents"]):
        shade = SHADES[number % len(SHADES)]
        place.axvspan(one["at_s"], one["at_s"] + max(one["for_s"], 0.15), color=shade, alpha=0.13, lw=0)
        place.annotate(
            one["what"],
            (one["at_s"], 1.0 - 0.11 * (number % 4)),
            xycoords=("data", "axes fraction"),
            fontsize=7,
            color=shade,
            va="top",
        )
    return figure, place


def service(told: dict[str, Any]) -> Figure:
    figure, place = axes(told, "Service, by when it was asked for (5 s windows)", "part of the revenue")
    shape = told["windows_5s"]
    edges = [5 * number for number in range(len(shape) + 1)]
    place.stairs([value or 0.0 for value in shape], edges, color="#111827", fill=False, lw=1.6)
    place.set_ylim(0, 1.05)
    return figure


def lines(told: dict[str, Any], title: str, names: dict[str, str]) -> Figure:
    figure, place = axes(told, title, "")
    times = [one["at_s"] for one in told["over_time"]]
    for shade, (name, says) in zip(SHADES, names.items(), strict=False):
        place.plot(times, [one[name] for one in told["over_time"]], color=shade, label=says, lw=1.3)
    place.set_ylim(bottom=0)
    place.legend(fontsize=7, loc="upper right")
    return figure


def figures(told: dict[str, Any]) -> dict[str, Figure]:
    return {
        "service": service(told),
        "outstanding": lines(
            told, "Outstanding work", {"outstanding": "submissions open", "running": "jobs that run"}
        ),
        "queue": lines(told, "Queue at the workers", {"queued": "jobs that wait"}),
        "health": lines(
            told,
            "Health",
            {"up": "workers up", "cold": "cold", "slowed": "slowed or paused", "dispatchers": "dispatchers"},
        ),
    }


def as_png(figure: Figure) -> bytes:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=DOTS, metadata={"Software": "locktide"})
    return buffer.getvalue()


def table(head: list[str], rows: list[list[Any]]) -> str:
    def cell(value: Any) -> str:
        if isinstance(value, float):
            return f'<td class="n">{value:.3f}</td>'
        if isinstance(value, int):
            return f'<td class="n">{value}</td>'
        return f"<td>{html.escape(str(value))}</td>"

    top = "".join(f"<th>{html.escape(name)}</th>" for name in head)
    body = "".join("<tr>" + "".join(cell(value) for value in row) + "</tr>" for row in rows)
    return f"<table><tr>{top}</tr>{body}</table>"


def page(told: dict[str, Any], pictures: dict[str, bytes]) -> str:
    waits = told["waits_s"]
    grades = [
        [name, "-" if value is None else value, waits[name]["done"], waits[name]["p50"], waits[name]["p99"]]
        for name, value in told["by_grade"].items()
    ]
    grades.append(["all", "-" if told["service"] is None else told["service"], "", "", ""])
    grades.append(["worst 10 s", "-" if told["worst_10s"] is None else told["worst_10s"], "", "", ""])
    incidents = [[one["at_s"], one["for_s"], one["what"], " ".join(one["whom"])] for one in told["incidents"]]
    warnings = []
    if sum(told["rules"].values()):
        warnings.append("A rule was broken.")
    if not told.get("counts", True):
        warnings.append("The machine was too busy: this run does not count.")
    if not told["complete"]:
        warnings.append("Interrupted: the figures are of the part that was played.")
    shown = "".join(
        f'<h2>{name}</h2><img alt="{name}" src="data:image/png;base64,{base64.b64encode(data).decode()}">'
        for name, data in pictures.items()
    )
    tables = (
        table(["service grade", "service", "done", "half wait s", "99% wait s"], grades)
        + table(["rule", "broken"], [[name, count] for name, count in told["rules"].items()])
        + table(["at s", "for s", "incident", "whom"], incidents)
    )
    if told["broken"]:
        tables += table(["at s", "rule", "what"], [[b["at_s"], b["rule"], b["what"]] for b in told["broken"]])
    return PAGE.format(
        title=html.escape(f"Rehearsal {told['name']}, seed {told['seed']}"),
        says=html.escape(f"Played in {told['host']} against an emulated fleet: all figures are emulated."),
        warning="".join(f'<p class="bad">{html.escape(line)}</p>' for line in warnings),
        tables=tables,
        pictures=shown,
        raw=html.escape(json.dumps(told, indent=1)),
    )


def write(told: dict[str, Any], folder: Path) -> Path:
    """The JSON, the plots and the page, into a folder that is made; gives the page's path."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "outcome.json").write_text(json.dumps(told, indent=1) + "\n", encoding="utf-8")
    pictures = {name: as_png(figure) for name, figure in figures(told).items()}
    for name, data in pictures.items():
        (folder / f"{name}.png").write_bytes(data)
    path = folder / "report.html"
    path.write_text(page(told, pictures), encoding="utf-8")
    return path
