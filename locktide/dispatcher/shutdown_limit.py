"""Limits the deadlines of the requests that arrive during a shutdown, so that none is open at the kill.

The platform kills a process that was sent SIGTERM after a stated time. A request that arrives within
`ACCEPT_AFTER_STOP` may still be open then; any later one has to have its response before. The moment of the
kill allows no tolerance, unlike the deadline of a client. So the latest deadline lies before the kill by

- the time for which the process may be held up between a deadline and the write of the response,
- the transit of the response, and
- the time in which the other responses that are due then are written.
"""

from __future__ import annotations

from dataclasses import dataclass

from locktide.dispatcher.loop_lag import LoopLagMonitor

#: Seconds after SIGTERM in which connections and requests are accepted as usual: clients open new
#: connections for 0.4 s.
ACCEPT_AFTER_STOP = 0.5
#: The process has at least this time after SIGTERM, or the longest timeout if that is shorter, plus
#: `SHUTDOWN_EXTRA`, before it is killed; in seconds.
SHUTDOWN_TIMEOUT = 3.0
#: See `SHUTDOWN_TIMEOUT`, in seconds.
SHUTDOWN_EXTRA = 0.7
#: Seconds for which the platform's terms allow a process to be held up between reading its clock and writing.
ALLOWED_HOLD = 0.15
#: Seconds for the transit of a response, and for the turns of the event loop in which it is written.
RESPONSE_TRANSIT = 0.08
#: Seconds between the deadlines of two late requests: hundreds of responses that are due at one moment would
#: take longer to write than `RESPONSE_TRANSIT`.
RESPONSE_INTERVAL = 0.001


@dataclass(eq=False, slots=True, kw_only=True)
class ShutdownLimit:
    """The latest deadlines of requests during one shutdown; times are in seconds of the event loop.

    The process learns of a signal only once it runs: the signal was sent between the last moment at which the
    process ran before and the moment at which it learned of it. Each time below is computed from the end of
    that interval at which it is safe.

    Attributes:
        accepts_until: Until when new connections may come, if the signal was sent as late as possible.
        applies_from: From when new requests are limited, if the signal was sent as early as possible.
        killed_at: The earliest kill, if the signal was sent as early as possible.
        lag: The lag of the event loop.
        limited_count: How many deadlines have been limited.
    """

    accepts_until: float
    applies_from: float
    killed_at: float
    lag: LoopLagMonitor
    limited_count: int = 0

    @classmethod
    def at_signal(cls, now: float, longest_timeout: float, lag: LoopLagMonitor) -> ShutdownLimit:
        """Return the limit of a shutdown; `now` is when the process learned of the signal.

        Without the interval, a process that was held up as the signal came counted its time from the end of
        the hold, and requests were open at the kill
        (test_hold_at_sigterm_leaves_no_late_request_without_a_response).
        """
        earliest = lag.last_run_at
        return cls(
            accepts_until=now + ACCEPT_AFTER_STOP,
            applies_from=earliest + ACCEPT_AFTER_STOP,
            killed_at=earliest + min(SHUTDOWN_TIMEOUT, longest_timeout) + SHUTDOWN_EXTRA,
            lag=lag,
        )

    @property
    def greatest_signal_age(self) -> float:
        """Return how long before it was noticed the signal may have been sent."""
        return self.accepts_until - self.applies_from

    def applies(self, now: float) -> bool:
        """Return whether a request that is read now may have arrived too late to be open at the kill.

        This is no timer: one that is overdue after a hold runs after the requests that were read in its turn
        (test_hold_before_the_limit_is_in_force_leaves_no_late_request_without_a_response).
        """
        return now >= self.applies_from

    def latest_deadline(self) -> float:
        """Return the latest deadline of a single request.

        A process that was held up for longer than the platform allows is likely to be held up so again.
        """
        hold = max(ALLOWED_HOLD, self.lag.longest_lag())
        return self.killed_at - RESPONSE_TRANSIT - hold

    def next_deadline(self) -> float:
        """Return the latest deadline of the next request that is limited."""
        deadline = self.latest_deadline() - self.limited_count * RESPONSE_INTERVAL
        self.limited_count += 1
        return deadline
