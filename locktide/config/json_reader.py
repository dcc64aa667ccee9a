"""Reads typed values out of decoded JSON; an error names the key at fault."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from math import isfinite
from typing import Any, Final, TypeVar

from locktide.config.errors import ConfigError

Choice = TypeVar("Choice")

MICROSECONDS_PER_MILLISECOND = 1000

#: The default that marks a key as required; None is not used for it, as it may be a real default.
REQUIRED: Final = object()


def read_number(key: str, value: Any, minimum: float) -> float:
    """Return a finite number that is at least `minimum`.

    Raises:
        ConfigError: the value is something else; the error names `key`.
    """
    if not _is_finite_number(value):
        raise ConfigError.unexpected(key, expected="a number", value=value)
    if value < minimum:
        raise ConfigError.unexpected(key, expected=f"at least {minimum:g}", value=value, max_shown=None)
    return float(value)


def _is_finite_number(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    try:
        return isfinite(value)
    except OverflowError:  # a whole number too large for a float
        return False


class JsonObject:
    """A JSON object that is read key by key.

    Every method that takes a `default` returns it where the key is absent, and raises ConfigError where the
    key is absent and has no default, or where its value is not of the type that is read.

    Attributes:
        raw: the decoded object.
        path: its path in its document, such as `settings.Rules`; empty for the whole document.
    """

    def __init__(self, raw: Any, path: str = "") -> None:
        if not isinstance(raw, dict):
            raise ConfigError.unexpected(path or "the whole", expected="an object", value=raw)
        self.raw = raw
        self.path = path

    def key(self, name: str) -> str:
        """Return the full key of a name in this object, for error messages."""
        return f"{self.path}.{name}" if self.path else name

    def get(self, name: str, default: Any = REQUIRED) -> Any:
        """Return the value as it was decoded."""
        if name in self.raw:
            return self.raw[name]
        if default is REQUIRED:
            raise ConfigError(self.key(name), "is missing")
        return default

    def text(self, name: str, default: Any = REQUIRED) -> str:
        """Return a string."""
        value = self.get(name, default)
        if not isinstance(value, str):
            raise ConfigError.unexpected(self.key(name), expected="a text", value=value)
        return value

    def number(self, name: str, default: Any = REQUIRED, minimum: float = 0.0) -> float:
        """Return a finite number that is at least `minimum`."""
        return read_number(self.key(name), self.get(name, default), minimum)

    def integer(self, name: str, default: Any = REQUIRED, minimum: int = 0) -> int:
        """Return a whole number that is at least `minimum`; 2.0 counts as whole."""
        value = self.number(name, default, minimum)
        if value != int(value):
            raise ConfigError.unexpected(
                self.key(name), expected="a whole number", value=value, max_shown=None
            )
        return int(value)

    def microseconds(self, name: str, default: Any = REQUIRED) -> int:
        """Return a time given in milliseconds, with fractions, in whole microseconds."""
        return round(self.number(name, default) * MICROSECONDS_PER_MILLISECOND)

    def flag(self, name: str, default: Any = REQUIRED) -> bool:
        """Return true or false."""
        value = self.get(name, default)
        if not isinstance(value, bool):
            raise ConfigError.unexpected(self.key(name), expected="true or false", value=value)
        return value

    def choice(self, spellings: Mapping[str, Choice], name: str, default: Any = REQUIRED) -> Choice:
        """Return the value to which `spellings` maps the string; any other string is an error."""
        value = self.get(name, default)
        if not isinstance(value, str) or value not in spellings:
            expected = f"one of {', '.join(spellings)}"
            raise ConfigError.unexpected(self.key(name), expected=expected, value=value)
        return spellings[value]

    def object(self, name: str, default: Any = REQUIRED) -> JsonObject:
        """Return an object inside this one."""
        return JsonObject(self.get(name, default), self.key(name))

    def items(self, name: str, default: Any = REQUIRED) -> list[Any]:
        """Return a list, its items as they were decoded."""
        value = self.get(name, default)
        if not isinstance(value, list):
            raise ConfigError.unexpected(self.key(name), expected="a list", value=value)
        return value

    def objects(self, name: str, default: Any = REQUIRED) -> Iterator[JsonObject]:
        """Yield the objects of a list."""
        for index, item in enumerate(self.items(name, default)):
            yield JsonObject(item, f"{self.key(name)}[{index}]")

    def text_set(self, name: str) -> frozenset[str] | None:
        """Return a list of strings as a set; None where the key is absent.

        An empty list is an error: as a constraint it would allow nothing.
        """
        if name not in self.raw:
            return None
        items = self.items(name)
        for index, item in enumerate(items):
            if not isinstance(item, str):
                raise ConfigError.unexpected(f"{self.key(name)}[{index}]", expected="a text", value=item)
        if not items:
            raise ConfigError(self.key(name), "expected at least one", expected="at least one", value=items)
        return frozenset(items)
