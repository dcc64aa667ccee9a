"""Parses lines of the wire: a message, then `name=value` fields separated by spaces."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeAlias, TypeVar

from locktide.bench_adapter import spellings
from locktide.bench_adapter.errors import MalformedLineError

Fields: TypeAlias = dict[str, str]
Choice = TypeVar("Choice")

MICROSECONDS_PER_MILLISECOND = 1000


def parse_line(line: str) -> tuple[str, Fields]:
    """Return the message of a line and its fields; the settings of an instance run to the end of the line.

    Raises:
        MalformedLineError: a field has no `=`.
    """
    message, _, rest = line.partition(" ")
    settings = None
    if message == spellings.START_INSTANCE:
        rest, _, settings = rest.partition(f"{spellings.SETTINGS}=")
    try:
        fields = dict([part.split("=", 1) for part in rest.split()])
    except ValueError as error:
        raise MalformedLineError(f"name=value parts after {message}") from error
    if settings is not None:
        fields[spellings.SETTINGS] = settings
    return message, fields


def microseconds(text: str) -> int:
    """Convert a time in milliseconds, with fractions, to whole microseconds."""
    try:
        return round(float(text) * MICROSECONDS_PER_MILLISECOND)
    except (ValueError, OverflowError) as error:
        raise MalformedLineError("a time in milliseconds", repr(text)) from error


def milliseconds(duration: int) -> str:
    """Format a time in microseconds as the wire spells it, in milliseconds."""
    return f"{duration / MICROSECONDS_PER_MILLISECOND:.3f}"


def read_text(fields: Fields, name: str) -> str:
    """Return the value of a required field."""
    try:
        return fields[name]
    except KeyError as error:
        raise MalformedLineError(f"the field {name}") from error


def read_integer(fields: Fields, name: str) -> int:
    """Return the whole number in a required field."""
    try:
        return int(fields[name])
    except KeyError as error:
        raise MalformedLineError(f"the field {name}") from error
    except ValueError as error:
        raise MalformedLineError(f"a whole number in {name}", repr(fields[name])) from error


def read_number(fields: Fields, name: str, default: float) -> float:
    """Return the number in a field, or the default where the field is absent."""
    text = fields.get(name)
    if text is None:
        return default
    try:
        return float(text)
    except ValueError as error:
        raise MalformedLineError(f"a number in {name}", repr(text)) from error


def read_choice(choices: Mapping[str, Choice], fields: Fields, name: str) -> Choice:
    """Return the member of `choices` that the value of a required field names."""
    try:
        return choices[fields[name]]
    except KeyError as error:
        found = read_text(fields, name)
        raise MalformedLineError(f"one of {', '.join(choices)} in {name}", repr(found)) from error


def read_load(fields: Fields) -> dict[str, float]:
    """Return the load that a worker reported, by the name of its measure; empty where it reported none."""
    text = fields.get(spellings.LOAD, "")
    if text in spellings.NO_LOAD:
        return {}
    try:
        measures = [measure.split(":", 1) for measure in text.split(",")]
        return {name: float(value) for name, value in measures}
    except ValueError as error:
        raise MalformedLineError(f"name:value pairs in {spellings.LOAD}", repr(text)) from error
