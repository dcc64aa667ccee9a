"""`locktide check`: reads a file as its command would, and names all its faults."""

from __future__ import annotations

import tomllib
from pathlib import Path

import click
import msgspec

from locktide.cli.faulty import refuse
from locktide.config.errors import ConfigError, ConfigFileError
from locktide.config.installation.document import Installation
from locktide.config.installation.loading import load_installation
from locktide.config.toml_reader import describe_keys
from locktide.simulation.model import scenario as script


def kind_of(path: Path) -> str:
    """An installation or a rehearsal, by the tables that only one of them has."""
    try:
        keys = set(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError):
        return "installation"  # whose reader tells what is wrong
    ours = {field.encode_name for field in msgspec.structs.fields(Installation)}
    theirs = {field.encode_name for field in msgspec.structs.fields(script.Scenario)}
    return "rehearsal" if len(keys & theirs - ours) > len(keys & ours - theirs) else "installation"


def with_path(error: ConfigError, path: Path) -> ConfigError:
    """The fault with the file before its key, where it does not begin with the file already."""
    text = str(error)
    if text.startswith(str(path)):
        return error
    return ConfigError(str(path), text, expected=error.expected, value=error.value)


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
        of: type[msgspec.Struct] = Installation
        if kind == "rehearsal":
            of = script.Scenario
        for key in describe_keys(of):
            click.echo(f"{key.path:32} {key.default:24} {key.description}")
        return
    if not files:
        raise click.UsageError("name at least one file, or --keys")
    faults: list[ConfigError] = []
    for path in files:
        chosen = kind_of(path) if kind == "auto" else kind
        try:
            if chosen == "rehearsal":
                script.load(path)
            else:
                load_installation(path)
        except ConfigFileError as found:
            faults += [with_path(error, path) for error in found.errors]
        else:
            click.echo(f"{path}: good ({chosen})")
    if faults:
        refuse(ConfigFileError(faults))
