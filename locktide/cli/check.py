"""`locktide check`: reads a file as its command would, and names all its faults."""

from __future__ import annotations

import tomllib
from pathlib import Path

import click
import msgspec

from locktide.cli.faulty import refuse
from locktide.config import installation, typed
from locktide.config.typed import ConfigErrors
from locktide.simulation.model import scenario as script


def kind_of(path: Path) -> str:
    """An installation or a rehearsal, by the tables that only one of them has."""
    try:
        keys = set(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError):
        return "installation"  # whose reader tells what is wrong
    ours = {field.encode_name for field in msgspec.structs.fields(installation.Installation)}
    theirs = {field.encode_name for field in msgspec.structs.fields(script.Scenario)}
    return "rehearsal" if len(keys & theirs - ours) > len(keys & ours - theirs) else "installation"


@click.command()
@click.argument("files", nargs=-1, type=click.Path(path_type=Path))
@click.option(
    "--as",
    "kind",
    type=click.Choice(["auto", "installation", "rehearsal"]),
    default="auto",
    help="What the files are; by default told by their tables.",
)
@click.option("--keys", is_flag=True, help="List every key of that kind with its default and its meaning.")
def check(files: tuple[Path, ...], kind: str, keys: bool) -> None:
    """Check configuration files: an installation's (deploy/locktide.toml) or a rehearsal's script.

    Names every fault of every file, as part.key: what was expected, what was found; exit code 2 for any.
    """
    if keys:
        of: type[msgspec.Struct] = installation.Installation
        if kind == "rehearsal":
            of = script.Scenario
        for key, default, says in typed.keys(of):
            click.echo(f"{key:32} {default:24} {says}")
        return
    if not files:
        raise click.UsageError("name at least one file, or --keys")
    faults: list[str] = []
    for path in files:
        chosen = kind_of(path) if kind == "auto" else kind
        try:
            if chosen == "rehearsal":
                script.load(path)
            else:
                installation.load(path)
        except ConfigErrors as found:
            faults += [line if line.startswith(str(path)) else f"{path}: {line}" for line in found.lines]
        else:
            click.echo(f"{path}: good ({chosen})")
    if faults:
        refuse(ConfigErrors(faults))
