"""How often affinity keys are asked for."""

from locktide.scheduler.estimators.decaying_sum import DecayingSum

MAX_KEYS = 1024  # guards the memory where each request has a key of its own
MEMORY = 10_000_000  # microseconds; long enough for some tens of requests where few come to one of us


class KeyFrequencies:
    """Counts the requests for each key, and for any."""

    def __init__(self) -> None:
        self._by_key, self._total = dict[int, DecayingSum](), DecayingSum(MEMORY)

    def count(self, key: int, now: int) -> None:
        """Counts a request for the key."""
        if len(self._by_key) >= MAX_KEYS:
            self._by_key.clear()
        self._by_key.setdefault(key, DecayingSum(MEMORY)).add(1.0, now)
        self._total.add(1.0, now)

    def share(self, key: int, now: int, others: float) -> float:
        """The key's part of all requests; `others` of other keys are taken for granted beside them."""
        count = self._by_key[key].read(now) if key in self._by_key else 0.0
        return count / (others + self._total.read(now))
