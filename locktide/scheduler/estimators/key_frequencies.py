"""How often each affinity key is requested."""

from locktide.scheduler.estimators.decaying_sum import DecayingSum

#: Maximum number of counted keys. Limits the memory if each request has a different key.
MAX_KEYS = 1024
#: Decay time of the counts, in microseconds: long enough for some tens of requests even if few reach a
#: dispatcher.
COUNT_SPAN = 10_000_000


class KeyFrequencies:
    """Counts the requests for each key and for all keys together."""

    def __init__(self) -> None:
        self._counts: dict[int, DecayingSum] = {}
        self._total = DecayingSum(COUNT_SPAN)

    def count(self, key: int, now: int) -> None:
        """Count a request with the key."""
        if len(self._counts) >= MAX_KEYS:
            self._counts.clear()
        self._counts.setdefault(key, DecayingSum(COUNT_SPAN)).add(1.0, now)
        self._total.add(1.0, now)

    def share(self, key: int, now: int, others: float) -> float:
        """Return the key's fraction of all requests, with `others` assumed requests of other keys added."""
        count = self._counts[key].read(now) if key in self._counts else 0.0
        return count / (others + self._total.read(now))
