"""The structured log of `locktide serve`."""

from __future__ import annotations

import json
from http import HTTPStatus

import pytest

from locktide.cli.logs import FORMATS, StructuredLog
from locktide.scheduler.types import AttemptOutcome


@pytest.mark.parametrize("line_format", FORMATS)
def test_enum_in_a_log_line_is_written_as_its_value(
    line_format: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """An operator searched for status=400 and found nothing.

    The line said status=<HTTPStatus.BAD_REQUEST: 400>. Fields that are enums must be written as their values,
    in each format.
    """
    log = StructuredLog("d0", line_format)
    log.emit("line", event="message_rejected", status=HTTPStatus.BAD_REQUEST, outcome=AttemptOutcome.RESET)
    written = capsys.readouterr().err
    if line_format == "json":
        assert json.loads(written)["status"] == 400
        assert json.loads(written)["outcome"] == AttemptOutcome.RESET.value
    else:
        assert "status=400" in written and f"outcome={AttemptOutcome.RESET.value}" in written
        assert "<" not in written
