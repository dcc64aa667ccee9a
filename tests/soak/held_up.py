"""Records when dispatchers get no processor (holds), which explains why they do something late."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

#: Longest documented time, in seconds, for which a dispatcher is held up without acting late.
MAX_ALLOWED_HOLD = 0.15
#: Seconds after a hold within which a dispatcher does what became due during the hold.
CATCH_UP_TIME = 0.05
#: Log line of a dispatcher about a request that was held up.
TEXT_LOG_PATTERN = re.compile(r"request (\S+): held up for (\d+\.\d+) s before (.+)")
#: The same line in the structured log of `serve`.
STRUCTURED_LOG_PATTERN = re.compile(r"request_held_up .*request=(\S+) seconds=(\d+\.\d+) step=(\S+)")
#: Steps before which a request may be held up, as the two kinds of log name them.
WRITING_STEPS = frozenset({"its attempt was written", "writing"})
TIMING_OUT_STEPS = frozenset({"its deadline was noticed", "timing_out"})


@dataclass
class HoldTracker:
    """The holds of dispatchers, and the requests that they themselves logged as held up.

    Attributes:
        holds: (begin, end) of each hold in microseconds, by number of the dispatcher.
        written_late: requests whose attempt was written later than the limit allows, by a dispatcher's log.
        timed_out_late: requests whose deadline was noticed later than the limit, by a dispatcher's log.
    """

    holds: dict[int, list[tuple[int, int]]] = field(default_factory=dict)
    written_late: set[str] = field(default_factory=set)
    timed_out_late: set[str] = field(default_factory=set)

    def record_hold(self, dispatcher: int, now: int, duration: float) -> None:
        """Record a hold that begins now; its duration is in seconds."""
        self.holds.setdefault(dispatcher, []).append((now, now + round(duration * 1e6)))

    def is_held_up(self, dispatcher: int, now: int) -> bool:
        """Return whether the dispatcher is held up now."""
        return any(begin <= now < end for begin, end in self.holds.get(dispatcher, ()))

    def has_hold_since(self, dispatcher: int, since: int) -> bool:
        """Return whether a hold over the limit ended, or will end, at or after that moment."""
        return any(
            end >= since and end - begin > round(MAX_ALLOWED_HOLD * 1e6)
            for begin, end in self.holds.get(dispatcher, ())
        )

    def covers(self, dispatcher: int, due_at: int, done_at: int) -> bool:
        """Return whether a hold over the limit began by the due time and lasted until the action was done.

        The action may be done up to CATCH_UP_TIME after the end of the hold.
        """
        return any(
            begin <= due_at
            and done_at <= end + round(CATCH_UP_TIME * 1e6)
            and end - begin > round(MAX_ALLOWED_HOLD * 1e6)
            for begin, end in self.holds.get(dispatcher, ())
        )

    def read_log(self, lines: list[str]) -> None:
        """Record the requests that dispatchers logged as held up for longer than the limit."""
        for line in lines:
            match = TEXT_LOG_PATTERN.search(line) or STRUCTURED_LOG_PATTERN.search(line)
            if match is None or float(match[2]) <= MAX_ALLOWED_HOLD:
                continue
            if match[3] in WRITING_STEPS:
                self.written_late.add(match[1])
            elif match[3] in TIMING_OUT_STEPS:
                self.timed_out_late.add(match[1])
