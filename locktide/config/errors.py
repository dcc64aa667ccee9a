"""Errors of reading configuration; each names the key at fault."""

from __future__ import annotations

from collections.abc import Sequence

from locktide.errors import LocktideError

#: Characters of a faulty value that an error message shows, so that one message stays on one line.
MAX_SHOWN_VALUE = 40


class ConfigError(LocktideError):
    """A setting is missing or has an invalid value.

    Attributes:
        key: path of the setting, such as `settings.ServiceGrades[0].TimeLimit`; begins the message.
        expected: what the setting may be; empty where the message is complete without it.
        value: the value that was found; None where there is no value.
    """

    def __init__(self, key: str, problem: str, *, expected: str = "", value: object = None) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.expected = expected
        self.value = value

    @classmethod
    def unexpected(
        cls, key: str, *, expected: str, value: object, max_shown: int | None = MAX_SHOWN_VALUE
    ) -> ConfigError:
        """Return the error for a value of a JSON document, which is shown up to `max_shown` characters."""
        return cls(key, f"expected {expected}, not {repr(value)[:max_shown]}", expected=expected, value=value)

    @classmethod
    def mismatch(cls, key: str, *, expected: str, found: str, value: object = None) -> ConfigError:
        """Return the error for a value of a TOML file; `found` is the text that describes the value."""
        return cls(key, f"expected {expected}, found {found}", expected=expected, value=value)


class ConfigFileError(LocktideError):
    """All faults of one file; the message has one line for each.

    Attributes:
        errors: the faults, in the order in which they were found.
    """

    def __init__(self, errors: Sequence[ConfigError]) -> None:
        self.errors = list(errors)
        super().__init__("\n".join(self.lines))

    @property
    def lines(self) -> list[str]:
        """The message of each fault."""
        return [str(error) for error in self.errors]
