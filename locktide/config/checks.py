"""Reads fields out of decoded JSON; what is wrong with one is said with its name."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from math import isfinite
from typing import Any, TypeVar

Choice = TypeVar("Choice")


class ConfigError(Exception):
    """A key that is missing or holds what it may not; the text begins with the key."""

    def __init__(self, key: str, wrong: str) -> None:
        super().__init__(f"{key}: {wrong}")


def number(key: str, value: Any, least: float) -> float:
    try:
        whole = not isinstance(value, bool) and isinstance(value, int | float) and isfinite(value)
    except OverflowError:  # more digits than any figure of ours has
        whole = False
    if not whole:
        raise ConfigError(key, f"expected a number, not {value!r:.40}")
    if value < least:
        raise ConfigError(key, f"expected at least {least:g}, not {value!r}")
    return float(value)


_MUST = object()


class Table:
    """A JSON object and where it stands, as `settings.Rules`."""

    def __init__(self, raw: Any, path: str = "") -> None:
        if not isinstance(raw, dict):
            raise ConfigError(path or "the whole", f"expected an object, not {raw!r:.40}")
        self.raw, self.path = raw, path

    def key(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name

    def get(self, name: str, absent: Any = _MUST) -> Any:
        if name in self.raw:
            return self.raw[name]
        if absent is _MUST:
            raise ConfigError(self.key(name), "is missing")
        return absent

    def text(self, name: str, absent: Any = _MUST) -> str:
        value = self.get(name, absent)
        if not isinstance(value, str):
            raise ConfigError(self.key(name), f"expected a text, not {value!r:.40}")
        return value

    def number(self, name: str, absent: Any = _MUST, least: float = 0.0) -> float:
        return number(self.key(name), self.get(name, absent), least)

    def whole(self, name: str, absent: Any = _MUST, least: int = 0) -> int:
        value = self.number(name, absent, least)
        if value != int(value):
            raise ConfigError(self.key(name), f"expected a whole number, not {value!r}")
        return int(value)

    def span(self, name: str, absent: Any = _MUST) -> int:
        """Milliseconds, fractions allowed, as whole microseconds."""
        return round(self.number(name, absent) * 1000)

    def flag(self, name: str, absent: Any = _MUST) -> bool:
        value = self.get(name, absent)
        if not isinstance(value, bool):
            raise ConfigError(self.key(name), f"expected true or false, not {value!r:.40}")
        return value

    def one_of(self, table: Mapping[str, Choice], name: str, absent: Any = _MUST) -> Choice:
        value = self.get(name, absent)
        if not isinstance(value, str) or value not in table:
            raise ConfigError(self.key(name), f"expected one of {', '.join(table)}, not {value!r:.40}")
        return table[value]

    def table(self, name: str, absent: Any = _MUST) -> Table:
        return Table(self.get(name, absent), self.key(name))

    def row(self, name: str, absent: Any = _MUST) -> list[Any]:
        value = self.get(name, absent)
        if not isinstance(value, list):
            raise ConfigError(self.key(name), f"expected a list, not {value!r:.40}")
        return value

    def texts(self, name: str) -> frozenset[str] | None:
        """A list of texts; None where it is absent. An empty one would allow nothing."""
        if name not in self.raw:
            return None
        for place, text in enumerate(self.row(name)):
            if not isinstance(text, str):
                raise ConfigError(f"{self.key(name)}[{place}]", f"expected a text, not {text!r:.40}")
        if not self.raw[name]:
            raise ConfigError(self.key(name), "expected at least one")
        return frozenset(self.raw[name])

    def tables(self, name: str, absent: Any = _MUST) -> Iterator[Table]:
        for place, entry in enumerate(self.row(name, absent)):
            yield Table(entry, f"{self.key(name)}[{place}]")
