"""The time of the scheduler's current step."""


class Clock:
    """Time that was passed to `Scheduler.step`; only the scheduler sets it."""

    __slots__ = ("now",)

    def __init__(self) -> None:
        self.now = 0  # microseconds
