"""Configuration errors: key, expectation and value are attributes, and the message is made of them."""

from __future__ import annotations

import pytest

from locktide.config.errors import ConfigError, ConfigFileError
from locktide.config.installation.loading import parse_installation
from locktide.config.json_reader import JsonObject

SERVICE_CLASS = "[[grade]]\nname = 'view'\n"


def test_error_of_a_document_has_key_expectation_and_value() -> None:
    service_class = JsonObject({"TimeLimit": "soon"}, "settings.ServiceGrades[0]")
    with pytest.raises(ConfigError) as raised:
        service_class.number("TimeLimit")
    error = raised.value
    assert str(error) == "settings.ServiceGrades[0].TimeLimit: expected a number, not 'soon'"
    assert (error.key, error.expected, error.value) == (
        "settings.ServiceGrades[0].TimeLimit",
        "a number",
        "soon",
    )


def test_error_of_a_file_names_every_fault_with_key_expectation_and_value() -> None:
    with pytest.raises(ConfigFileError) as raised:
        parse_installation("[limits]\ndescriptors = 3\n[log]\nformat = 'xml'\n" + SERVICE_CLASS)
    first, second = raised.value.errors
    assert raised.value.lines == [
        "limits.descriptors: expected int >= 32, found 3",
        "log.format: Invalid enum value 'xml', found 'xml'",
    ]
    assert (first.key, first.expected, first.value) == ("limits.descriptors", "int >= 32", 3)
    assert (second.key, second.value) == ("log.format", "xml")
