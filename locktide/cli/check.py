"""`locktide check`: reads files as the command that uses them does, and reports all their faults."""

from __future__ import annotations

import tomllib
from pathlib import Path

import click
import msgspec

from locktide.cli.faulty import exit_with_errors
from locktide.config.errors import ConfigError, ConfigFileError
from locktide.config.installation.document import Installation
from locktide.config.installation.loading import load_installation
from locktide.config.toml_reader import describe_keys
from locktide.simulation.model import scenario as scenarios


def detect_kind(path: Path) -> str:
    """Return "installation" or "rehearsal", by the top-level keys that only one of them has."""
    try:
        keys = set(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError):
        return "installation"  # its reader reports the fault
    installation_keys = {field.encode_name for field in msgspec.structs.fields(Installation)}
    scenario_keys = {field.encode_name for field in msgspec.structs.fields(scenarios.Scenario)}
    return (
        "rehearsal"
        if len(keys & scenario_keys - installation_keys) > len(keys & installation_keys - scenario_keys)
        else "installation"
    )


def prepend_path(error: ConfigError, path: Path) -> ConfigError:
    """Return the error with the path before its key, unless it already begins with the path."""
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
    help="Kind of the files; by default it is detected by their tables.",
)
@click.option(
    "--keys", is_flag=True, help="List every key of that kind of file with its default and its meaning."
)
def check(files: tuple[Path, ...], kind: str, keys: bool) -> None:
    """Check the configuration files of installations (deploy/locktide.toml) or of scenarios (rehearsals).

    Prints every fault of every file as section.key: what was expected, what was found. Exit code 2 if there
    is any.
    """
    if keys:
        section: type[msgspec.Struct] = Installation
        if kind == "rehearsal":
            section = scenarios.Scenario
        for key in describe_keys(section):
            click.echo(f"{key.path:32} {key.default:24} {key.description}")
        return
    if not files:
        raise click.UsageError("name at least one file, or --keys")
    errors: list[ConfigError] = []
    for path in files:
        file_kind = detect_kind(path) if kind == "auto" else kind
        try:
            if file_kind == "rehearsal":
                scenarios.load(path)
            else:
                load_installation(path)
        except ConfigFileError as file_error:
            errors += [prepend_path(error, path) for error in file_error.errors]
        else:
            click.echo(f"{path}: good ({file_kind})")
    if errors:
        exit_with_errors(ConfigFileError(errors))
