"""How often each affinity key is requested."""

from __future__ import annotations

from locktide.scheduler.estimators.key_frequencies import MAX_KEYS, KeyFrequencies


def test_a_share_counts_all_requests_and_the_others_beside_them() -> None:
    """After a restart the first key that came had all of what was seen, and with it every worker.

    Its requests then spread over the fleet and each worker fetched what the key needs. Requests of other keys
    count beside the observed ones, so that the first key of a dispatcher has a small share.
    """
    frequencies = KeyFrequencies()
    for key in (1, 1, 1, 2):
        frequencies.count(key, 0)
    assert frequencies.share(1, 0, others=4.0) == 3 / 8
    assert frequencies.share(9, 0, others=4.0) == 0.0


def test_keys_are_forgotten_once_there_are_too_many() -> None:
    """A client sends each request with a key of its own.

    A count for each would grow with the requests until the process is out of memory. The number of counted
    keys is bounded: past it the counts begin anew.
    """
    frequencies = KeyFrequencies()
    for key in range(MAX_KEYS):
        frequencies.count(key, 0)
    assert frequencies.share(0, 0, others=0.0) == 1 / MAX_KEYS
    frequencies.count(MAX_KEYS, 0)
    assert frequencies.share(0, 0, others=0.0) == 0.0
    assert frequencies.share(MAX_KEYS, 0, others=0.0) == 1 / (MAX_KEYS + 1)
