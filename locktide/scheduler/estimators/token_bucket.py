"""A token bucket whose rate and capacity may change from one request to the next."""

MICROSECONDS_PER_SECOND = 1e6


class TokenBucket:
    """Tokens that are added at a given rate and taken one at a time.

    Attributes:
        level: the number of tokens as of `updated_at`.
        updated_at: when the level was last updated, in microseconds.
    """

    __slots__ = ("level", "updated_at")

    def __init__(self, level: float, now: int) -> None:
        self.level = level
        self.updated_at = now

    def level_at(self, now: int, rate: float) -> float:
        """Return the level at `now`, in tokens and without a limit, by `rate` tokens per second."""
        return self.level + (now - self.updated_at) * rate / MICROSECONDS_PER_SECOND

    def take(self, rate: float, capacity: float, now: int) -> bool:
        """Take a token if there is one; return whether there was.

        Args:
            rate: tokens added per second since the last call.
            capacity: the maximum number of tokens in the bucket.
            now: the current time, in microseconds.
        """
        level = min(capacity, self.level_at(now, rate))
        has_token = level >= 1.0
        self.level = level - has_token
        self.updated_at = now
        return has_token
