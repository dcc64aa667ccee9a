"""The time of the scheduler: the moment of its current step."""


class Clock:
    """Holds the moment for which `Scheduler.step` was called; it is set by the scheduler alone."""

    __slots__ = ("now",)

    def __init__(self) -> None:
        self.now = 0  # microseconds
