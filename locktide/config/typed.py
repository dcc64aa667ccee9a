"""Reads TOML into msgspec structs and names every fault of a file at once, as `part.key: expected ..., found
...`.

Not imported on the platform's `run` path, which reads its JSON by `locktide.config.checks`.
"""

from __future__ import annotations

import re
import tomllib
import typing
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

S = TypeVar("S", bound=msgspec.Struct)
FOUND = re.compile(r",? ?(but )?got `?(.*?)`?( - at .*)?$")


def key(says: str, **bounds: Any) -> Any:
    """What a key means and what it may hold, for Annotated."""
    return Meta(description=says, **bounds)


def seconds(says: str, **bounds: Any) -> Any:
    """The same for a span, which is at least 0 unless the bounds say more."""
    return key(f"seconds: {says}", **(bounds or {"ge": 0}))


class Section(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of a file: every key is known, and told by its name."""


class ConfigErrors(Exception):
    """All that is wrong with one file, a line each; the exit code is 2."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def shown(value: Any) -> str:
    return f"{value!r:.60}"


def read_file(kind: type[S], path: Path) -> S:
    """Raises Faults, also for a file that cannot be read or is no TOML."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as trouble:
        raise ConfigErrors([f"{path}: {trouble}"]) from None
    return read_text(kind, text, str(path))


def read_text(kind: type[S], text: str, name: str) -> S:
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as trouble:
        raise ConfigErrors([f"{name}: {trouble}"]) from None
    return read(kind, raw)


def read(kind: type[S], raw: dict[str, Any]) -> S:
    faults: list[str] = []
    made = struct(kind, raw, "", faults)
    if faults:
        raise ConfigErrors(faults)
    return typing.cast(S, made)


def struct(kind: type[msgspec.Struct], raw: Any, path: str, faults: list[str]) -> Any:
    """The struct, or None where a fault was added; goes on after a fault, so that all are found."""
    if not isinstance(raw, dict):
        faults.append(f"{path or 'the whole'}: expected a table, found {shown(raw)}")
        return None
    before, made = len(faults), {}
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for key in raw:
        if key not in fields:
            known = ", ".join(fields)
            faults.append(f"{join(path, key)}: expected one of {known}, found this key")
    for key, field in fields.items():
        if key in raw:
            made[field.name] = value(field.type, raw[key], join(path, key), faults)
        elif field.required:
            faults.append(f"{join(path, key)}: expected a value, found none")
    return kind(**made) if len(faults) == before else None


def value(kind: Any, raw: Any, path: str, faults: list[str]) -> Any:
    bare = typing.get_args(kind)[0] if typing.get_origin(kind) is Annotated else kind
    if isinstance(bare, type) and issubclass(bare, msgspec.Struct):
        return struct(bare, raw, path, faults)
    inner = typing.get_args(bare)
    if (
        typing.get_origin(bare) is list
        and isinstance(inner[0], type)
        and issubclass(inner[0], msgspec.Struct)
    ):
        if not isinstance(raw, list):
            faults.append(f"{path}: expected a list of tables, found {shown(raw)}")
            return None
        return [struct(inner[0], entry, f"{path}[{place}]", faults) for place, entry in enumerate(raw)]
    try:
        made = msgspec.convert(raw, kind)
    except msgspec.ValidationError as trouble:
        wanted = FOUND.sub("", str(trouble).replace("Expected", "expected", 1)).replace("`", "")
        faults.append(f"{path}: {wanted}, found {shown(raw)}")
        return None
    if isinstance(made, float) and made != made:
        faults.append(f"{path}: expected a number, found nan")
    return made


def join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def keys(kind: type[msgspec.Struct], path: str = "") -> Iterator[tuple[str, str, str]]:
    """Every key with its default and what its Meta says of it, for a listing."""
    hints = typing.get_type_hints(kind, include_extras=True)
    for field in msgspec.structs.fields(kind):
        hint, says = hints[field.name], ""
        if typing.get_origin(hint) is Annotated:
            says = next((str(m.description) for m in hint.__metadata__ if isinstance(m, Meta)), "")
            hint = typing.get_args(hint)[0]
        inner = typing.get_args(hint)
        if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
            yield from keys(hint, join(path, field.encode_name))
        elif inner and isinstance(inner[0], type) and issubclass(inner[0], msgspec.Struct):
            yield from keys(inner[0], f"{join(path, field.encode_name)}[]")
        else:
            default = "(must be given)"
            if field.default is not msgspec.NODEFAULT:
                default = repr(field.default)
            elif field.default_factory is not msgspec.NODEFAULT:
                default = repr(field.default_factory())
            yield join(path, field.encode_name), default, says
