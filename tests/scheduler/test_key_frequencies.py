"""How often affinity keys are asked for."""

from __future__ import annotations

from locktide.scheduler.estimators.key_frequencies import MAX_KEYS, KeyFrequencies


def test_a_share_counts_all_keys_and_those_taken_for_granted() -> None:
    frequencies = KeyFrequencies()
    for key in (1, 1, 1, 2):
        frequencies.count(key, 0)
    assert frequencies.share(1, 0, others=4.0) == 3 / 8
    assert frequencies.share(9, 0, others=4.0) == 0.0


def test_keys_are_forgotten_once_there_are_too_many() -> None:
    frequencies = KeyFrequencies()
    for key in range(MAX_KEYS):
        frequencies.count(key, 0)
    assert frequencies.share(0, 0, others=0.0) == 1 / MAX_KEYS
    frequencies.count(MAX_KEYS, 0)
    assert frequencies.share(0, 0, others=0.0) == 0.0
    assert frequencies.share(MAX_KEYS, 0, others=0.0) == 1 / (MAX_KEYS + 1)
