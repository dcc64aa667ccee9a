"""Key frequencies: how often each affinity key is requested."""

from __future__ import annotations

from locktide.scheduler.estimators.key_frequencies import MAX_KEYS, KeyFrequencies


def test_a_share_counts_all_requests_and_the_others_beside_them() -> None:
    """After a restart the first key had a share of all requests, and so was sent to every worker.

    Its requests spread over the fleet, and each worker fetched the data of the key. Assumed requests of other
    keys are added to the observed ones, so that the first key of a dispatcher has a small share.
    """
    frequencies = KeyFrequencies()
    for key in (1, 1, 1, 2):
        frequencies.count(key, 0)
    assert frequencies.share(1, 0, others=4.0) == 3 / 8
    assert frequencies.share(9, 0, others=4.0) == 0.0


def test_keys_are_forgotten_once_there_are_too_many() -> None:
    """A client sends each request with a different key.

    The counts of all these keys would use up the memory of the process. The number of counted keys is
    limited: beyond it all counts are reset.
    """
    frequencies = KeyFrequencies()
    for key in range(MAX_KEYS):
        frequencies.count(key, 0)
    assert frequencies.share(0, 0, others=0.0) == 1 / MAX_KEYS
    frequencies.count(MAX_KEYS, 0)
    assert frequencies.share(0, 0, others=0.0) == 0.0
    assert frequencies.share(MAX_KEYS, 0, others=0.0) == 1 / (MAX_KEYS + 1)
