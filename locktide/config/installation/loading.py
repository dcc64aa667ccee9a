"""Reads the file of an installation."""

from __future__ import annotations

from pathlib import Path

from locktide.config.errors import ConfigFileError
from locktide.config.installation.document import Installation
from locktide.config.installation.validation import find_errors
from locktide.config.toml_reader import read_file, read_text


def load_installation(path: Path) -> Installation:
    """Return the installation of a file.

    Raises:
        ConfigFileError: the file cannot be read or has faults; the error names all of them.
    """
    return _validated(read_file(Installation, path))


def parse_installation(text: str) -> Installation:
    """Return the installation of a file's text; raise as `load_installation` does."""
    return _validated(read_text(Installation, text, "installation"))


def _validated(installation: Installation) -> Installation:
    errors = find_errors(installation)
    if errors:
        raise ConfigFileError(errors)
    return installation
