"""A token bucket whose rate and capacity may change from one request to the next."""

MICROSECONDS = 1e6


class TokenBucket:
    """Tokens that are added at a rate and taken one by one.

    Attributes:
        level: tokens as of `updated_at`.
        updated_at: when it was last brought up to date, in microseconds.
    """

    __slots__ = ("level", "updated_at")

    def __init__(self, level: float, now: int) -> None:
        self.level = level
        self.updated_at = now

    def take(self, rate: float, capacity: float, now: int) -> bool:
        """Take a token if there is one.

        Args:
            rate: tokens that have been added each second since the last call.
            capacity: the most tokens that the bucket holds.
            now: the present, in microseconds.
        """
        level = min(capacity, self.level + (now - self.updated_at) * rate / MICROSECONDS)
        has_token = level >= 1.0
        self.level = level - has_token
        self.updated_at = now
        return has_token
