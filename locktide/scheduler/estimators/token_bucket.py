"""A token bucket whose rate and capacity may change from one request to the next."""


class TokenBucket:
    """Tokens that come at a rate and are taken one by one."""

    __slots__ = ("level", "updated_at")

    def __init__(self, level: float, now: int) -> None:
        self.level, self.updated_at = level, now

    def take(self, rate: float, capacity: float, now: int) -> bool:
        """Takes a token if there is one, after those that have come at `rate` a second up to `capacity`."""
        level = min(capacity, self.level + (now - self.updated_at) * rate / 1e6)
        has_token = level >= 1.0
        self.level, self.updated_at = level - has_token, now
        return has_token
