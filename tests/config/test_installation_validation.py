"""Checks of an installation across keys: each names the key, what was expected and what was found."""

from __future__ import annotations

import pytest

from locktide.config.errors import ConfigFileError
from locktide.config.installation.loading import parse_installation

GRADE = "[[grade]]\nname = 'view'\n"
KNOWN = "[[known]]\nuid = 'w1'\nendpoint = '127.0.0.1:9001'\n"
TENANT = "[[tenant]]\nname = 'dairy'\nrate = 5.0\n"
DURABLE = "[durable]\non = true\ngrades = ['view']\n"

FAULTS = {
    GRADE * 2: "grade[1].name: expected a name of its own, found 'view' again",
    GRADE + KNOWN * 2: "known[1].uid: expected a uid of its own, found 'w1' again",
    GRADE + TENANT * 2: "tenant[1].name: expected a name of its own, found 'dairy' again",
    GRADE + "[durable]\ngrades = ['other']\n": (
        "durable.grades[0]: expected a service grade of this file, found 'other'"
    ),
    GRADE + "[durable]\non = true\n": "durable.grades: expected at least one service grade, found none",
    "[[grade]]\nname = 'jobs'\n" + DURABLE.replace("view", "jobs"): (
        "grade: expected no service grade 'jobs' beside durable.on, found one"
    ),
    GRADE + DURABLE + "beat_within = 1.9\n": (
        "durable.beat_within: expected at least twice workers.progress (1), found 1.9"
    ),
}


@pytest.mark.parametrize("text", FAULTS, ids=FAULTS.values())
def test_fault_across_keys_is_named_and_is_the_only_one(text: str) -> None:
    with pytest.raises(ConfigFileError) as raised:
        parse_installation(text)
    assert raised.value.lines == [FAULTS[text]]


def test_installation_at_the_bounds_of_these_checks_is_valid() -> None:
    installation = parse_installation(GRADE + KNOWN + TENANT + DURABLE + "beat_within = 2.0\n")
    assert installation.durable_jobs.heartbeat_timeout == 2 * installation.workers.report_interval
