"""The report of a run: plots over time as PNG files, and one self-contained HTML page."""

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


def axes(outcome: dict[str, Any], title: str, unit: str) -> tuple[Figure, Any]:
    figure = Figure(figsize=(WIDE, HIGH), layout="constrained")
    axis = figure.subplots()
    axis.set_title(title, loc="left", fontsize=10)
    axis.set_xlabel("seconds", fontsize=8)
    axis.set_ylabel(unit, fontsize=8)
    axis.tick_params(labelsize=8)
    axis.set_xlim(0, max(outcome["length_s"], *(entry["at_s"] for entry in outcome["over_time"]), 1.0))
    for number, entry in enumerate(outcome["incidents"]):
        shade = SHADES[number % len(SHADES)]
        axis.axvspan(entry["at_s"], entry["at_s"] + max(entry["for_s"], 0.15), color=shade, alpha=0.13, lw=0)
        axis.annotate(
            entry["what"],
            (entry["at_s"], 1.0 - 0.11 * (number % 4)),
            xycoords=("data", "axes fraction"),
            fontsize=7,
            color=shade,
            va="top",
        )
    return figure, axis


def service(outcome: dict[str, Any]) -> Figure:
    figure, axis = axes(outcome, "Service by time of the request (5 s windows)", "part of the revenue")
    values = outcome["windows_5s"]
    edges = [5 * number for number in range(len(values) + 1)]
    axis.stairs([value or 0.0 for value in values], edges, color="#111827", fill=False, lw=1.6)
    axis.set_ylim(0, 1.05)
    return figure


def lines(outcome: dict[str, Any], title: str, names: dict[str, str]) -> Figure:
    figure, axis = axes(outcome, title, "")
    times = [entry["at_s"] for entry in outcome["over_time"]]
    for shade, (name, label) in zip(SHADES, names.items(), strict=False):
        axis.plot(times, [entry[name] for entry in outcome["over_time"]], color=shade, label=label, lw=1.3)
    axis.set_ylim(bottom=0)
    axis.legend(fontsize=7, loc="upper right")
    return figure


def figures(outcome: dict[str, Any]) -> dict[str, Figure]:
    return {
        "service": service(outcome),
        "outstanding": lines(
            outcome, "Outstanding work", {"outstanding": "submissions open", "running": "jobs that run"}
        ),
        "queue": lines(outcome, "Queue at the workers", {"queued": "jobs that wait"}),
        "health": lines(
            outcome,
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


def page(outcome: dict[str, Any], pictures: dict[str, bytes]) -> str:
    waits = outcome["waits_s"]
    grades = [
        [name, "-" if value is None else value, waits[name]["done"], waits[name]["p50"], waits[name]["p99"]]
        for name, value in outcome["by_grade"].items()
    ]
    grades.append(["all", "-" if outcome["service"] is None else outcome["service"], "", "", ""])
    grades.append(["worst 10 s", "-" if outcome["worst_10s"] is None else outcome["worst_10s"], "", "", ""])
    incidents = [
        [entry["at_s"], entry["for_s"], entry["what"], " ".join(entry["whom"])]
        for entry in outcome["incidents"]
    ]
    warnings = []
    if sum(outcome["rules"].values()):
        warnings.append("A rule was broken.")
    if not outcome.get("counts", True):
        warnings.append("The machine was too busy: this run does not count.")
    if not outcome["complete"]:
        warnings.append("Interrupted: the figures cover only the part that was run.")
    images = "".join(
        f'<h2>{name}</h2><img alt="{name}" src="data:image/png;base64,{base64.b64encode(data).decode()}">'
        for name, data in pictures.items()
    )
    tables = (
        table(["service grade", "service", "done", "p50 wait s", "p99 wait s"], grades)
        + table(["rule", "broken"], [[name, count] for name, count in outcome["rules"].items()])
        + table(["at s", "for s", "incident", "whom"], incidents)
    )
    if outcome["broken"]:
        tables += table(
            ["at s", "rule", "what"], [[b["at_s"], b["rule"], b["what"]] for b in outcome["broken"]]
        )
    return PAGE.format(
        title=html.escape(f"Rehearsal {outcome['name']}, seed {outcome['seed']}"),
        says=html.escape(f"Run in {outcome['host']} against an emulated fleet: all figures are emulated."),
        warning="".join(f'<p class="bad">{html.escape(line)}</p>' for line in warnings),
        tables=tables,
        pictures=images,
        raw=html.escape(json.dumps(outcome, indent=1)),
    )


def write(outcome: dict[str, Any], folder: Path) -> Path:
    """Write the JSON, the plots and the page into a folder, which is created; return the path of the page."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "outcome.json").write_text(json.dumps(outcome, indent=1) + "\n", encoding="utf-8")
    pictures = {name: as_png(figure) for name, figure in figures(outcome).items()}
    for name, data in pictures.items():
        (folder / f"{name}.png").write_bytes(data)
    path = folder / "report.html"
    path.write_text(page(outcome, pictures), encoding="utf-8")
    return path
