"""What a dispatcher that gets no processor for longer than the page allows may do late, and what shows it."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

#: Seconds for which the page lets a dispatcher be held up.
ALLOWED_HOLD = 0.15
#: Seconds after a hold in which what fell due in it is done.
CATCH_UP = 0.05
#: What a dispatcher logs of a request that was held up.
LINE = re.compile(r"request (\S+): held up for (\d+\.\d+) s before (.+)")
#: The same in the structured log of `serve`.
STRUCTURED_LINE = re.compile(r"request_held_up .*request=(\S+) seconds=(\d+\.\d+) step=(\S+)")
BEFORE_WRITING = frozenset({"its attempt was written", "writing"})
BEFORE_TIMING_OUT = frozenset({"its deadline was noticed", "timing_out"})


@dataclass
class HeldUp:
    """The times in which dispatchers were held up, and the requests of which they say so themselves.

    Attributes:
        holds: (from, until) in microseconds, by number of the dispatcher.
        written_late: requests whose attempt was written later than the page allows, by a dispatcher's log.
        timed_out_late: the same of requests whose deadline was noticed late.
    """

    holds: dict[int, list[tuple[int, int]]] = field(default_factory=dict)
    written_late: set[str] = field(default_factory=set)
    timed_out_late: set[str] = field(default_factory=set)

    def begin(self, dispatcher: int, now: int, length: float) -> None:
        """Note a hold."""
        self.holds.setdefault(dispatcher, []).append((now, now + round(length * 1e6)))

    def is_held(self, dispatcher: int, now: int) -> bool:
        """Whether a hold is under way."""
        return any(begin <= now < end for begin, end in self.holds.get(dispatcher, ()))

    def overlaps(self, dispatcher: int, since: int) -> bool:
        """Whether a hold over the allowance ended, or ends, after that moment."""
        return any(
            end >= since and end - begin > round(ALLOWED_HOLD * 1e6)
            for begin, end in self.holds.get(dispatcher, ())
        )

    def covers(self, dispatcher: int, due: int, done: int) -> bool:
        """Whether a hold over the allowance began before something fell due and lasted until it was done."""
        return any(
            begin <= due and done <= end + round(CATCH_UP * 1e6) and end - begin > round(ALLOWED_HOLD * 1e6)
            for begin, end in self.holds.get(dispatcher, ())
        )

    def read_log(self, lines: list[str]) -> None:
        """Note the requests that the dispatchers say were held up."""
        for line in lines:
            found = LINE.search(line) or STRUCTURED_LINE.search(line)
            if found is None or float(found[2]) <= ALLOWED_HOLD:
                continue
            if found[3] in BEFORE_WRITING:
                self.written_late.add(found[1])
            elif found[3] in BEFORE_TIMING_OUT:
                self.timed_out_late.add(found[1])
