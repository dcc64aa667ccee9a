"""Reads TOML files into typed sections, and reports all faults of a file at once.

A section is a msgspec struct whose fields are annotated with bounds and a description. `python -m locktide`,
which the platform starts, may load only the standard library and h11: it does not import this module, and
reads JSON with `json_reader`.
"""

from __future__ import annotations

import math
import re
import tomllib
import typing
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

from locktide.config.errors import ConfigError, ConfigFileError

SectionType = TypeVar("SectionType", bound=msgspec.Struct)

#: Characters of a faulty value that an error message shows, so that one fault stays on one line.
MAX_SHOWN_VALUE = 60
#: The end of an msgspec message, which says what was found; ConfigError says it in a uniform form instead.
FOUND_SUFFIX = re.compile(r",? ?(but )?got `?(.*?)`?( - at .*)?$")
#: Shown as the default of a key that has none.
NO_DEFAULT = "(must be given)"


class Section(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of a file; an unknown key is a fault."""


def key(description: str, **bounds: Any) -> Any:
    """Return the annotation of a field: the meaning of its key, and the bounds of its value."""
    return Meta(description=description, **bounds)


def seconds(description: str, **bounds: Any) -> Any:
    """Return the annotation of a time in seconds; without bounds it is at least 0."""
    return key(f"seconds: {description}", **(bounds or {"ge": 0}))


def read_file(section: type[SectionType], path: Path) -> SectionType:
    """Read a TOML file.

    Raises:
        ConfigFileError: the file cannot be read, is not TOML, or has faults, all of which the error names.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigFileError([ConfigError(str(path), str(error))]) from error
    return read_text(section, text, str(path))


def read_text(section: type[SectionType], text: str, name: str) -> SectionType:
    """Read the text of a TOML file; syntax errors begin with `name`; raises as `read_file`."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigFileError([ConfigError(name, str(error))]) from error
    reader = _SectionReader()
    parsed = reader.read_section(section, document, path="")
    if reader.errors:
        raise ConfigFileError(reader.errors)
    return typing.cast(SectionType, parsed)


class _SectionReader:
    """Converts decoded TOML to sections, and collects all faults in `errors`."""

    def __init__(self) -> None:
        self.errors: list[ConfigError] = []

    def read_section(self, section: type[msgspec.Struct], raw: Any, path: str) -> msgspec.Struct | None:
        """Return the section; None where it has faults, which are added to `errors`."""
        if not isinstance(raw, dict):
            self._add_mismatch(path or "the whole", "a table", raw)
            return None
        errors_before = len(self.errors)
        fields = {field.encode_name: field for field in msgspec.structs.fields(section)}
        self._check_keys_known(raw, list(fields), path)
        values = {}
        for name, field in fields.items():
            field_path = _join(path, name)
            if name in raw:
                values[field.name] = self._read_value(field.type, raw[name], field_path)
            elif field.required:
                self.errors.append(ConfigError.mismatch(field_path, expected="a value", found="none"))
        if len(self.errors) > errors_before:
            return None
        return section(**values)

    def _check_keys_known(self, raw: dict[str, Any], known: list[str], path: str) -> None:
        expected = f"one of {', '.join(known)}"
        for name in raw:
            if name not in known:
                error = ConfigError.mismatch(_join(path, name), expected=expected, found="this key")
                self.errors.append(error)

    def _read_value(self, field_type: Any, raw: Any, path: str) -> Any:
        bare_type = _without_annotation(field_type)
        if _is_section(bare_type):
            return self.read_section(bare_type, raw, path)
        item_section = _item_section(bare_type)
        if item_section is None:
            return self._convert(field_type, raw, path)
        if not isinstance(raw, list):
            self._add_mismatch(path, "a list of tables", raw)
            return None
        return [self.read_section(item_section, item, f"{path}[{index}]") for index, item in enumerate(raw)]

    def _convert(self, field_type: Any, raw: Any, path: str) -> Any:
        try:
            value = msgspec.convert(raw, field_type)
        except msgspec.ValidationError as error:
            message = _message_without_value(error)
            found = _abbreviated(raw)
            expected = message.removeprefix("expected ")
            self.errors.append(ConfigError(path, f"{message}, found {found}", expected=expected, value=raw))
            return None
        if isinstance(value, float) and math.isnan(value):
            self.errors.append(ConfigError.mismatch(path, expected="a number", found="nan", value=raw))
        return value

    def _add_mismatch(self, path: str, expected: str, raw: Any) -> None:
        self.errors.append(ConfigError.mismatch(path, expected=expected, found=_abbreviated(raw), value=raw))


def _message_without_value(error: msgspec.ValidationError) -> str:
    """Return the message of msgspec without the value that was found: `expected int >= 24`."""
    message = str(error).replace("Expected", "expected", 1)
    return FOUND_SUFFIX.sub("", message).replace("`", "")


def _abbreviated(raw: Any) -> str:
    return repr(raw)[:MAX_SHOWN_VALUE]


@dataclass(frozen=True, slots=True)
class KeyDescription:
    """One key of a file, as `locktide check --keys` lists it.

    Attributes:
        path: the key with the tables that contain it; `[]` follows a list of tables.
        default: its default, as a Python literal.
        description: its meaning, with the unit of a time.
    """

    path: str
    default: str
    description: str


def describe_keys(section: type[msgspec.Struct], path: str = "") -> Iterator[KeyDescription]:
    """Yield every key of a section and of the sections in it."""
    hints = typing.get_type_hints(section, include_extras=True)
    for field in msgspec.structs.fields(section):
        field_path = _join(path, field.encode_name)
        hint = hints[field.name]
        bare_type = _without_annotation(hint)
        item_section = _item_section(bare_type)
        if _is_section(bare_type):
            yield from describe_keys(bare_type, field_path)
        elif item_section is not None:
            yield from describe_keys(item_section, f"{field_path}[]")
        else:
            yield KeyDescription(field_path, _default(field), _description(hint))


def _default(field: msgspec.structs.FieldInfo) -> str:
    if field.default is not msgspec.NODEFAULT:
        return repr(field.default)
    if field.default_factory is not msgspec.NODEFAULT:
        return repr(field.default_factory())
    return NO_DEFAULT


def _description(hint: Any) -> str:
    if typing.get_origin(hint) is not Annotated:
        return ""
    descriptions = (str(meta.description) for meta in hint.__metadata__ if isinstance(meta, Meta))
    return next(descriptions, "")


def _without_annotation(field_type: Any) -> Any:
    return typing.get_args(field_type)[0] if typing.get_origin(field_type) is Annotated else field_type


def _is_section(field_type: Any) -> bool:
    return isinstance(field_type, type) and issubclass(field_type, msgspec.Struct)


def _item_section(field_type: Any) -> type[msgspec.Struct] | None:
    """Return the section that is the item type of a list; None for any other type."""
    if typing.get_origin(field_type) is not list:
        return None
    (item_type,) = typing.get_args(field_type)
    return item_type if _is_section(item_type) else None


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name
