"""Durations of leases, and the relation of the clocks of grantor and holder.

Clocks are never compared, but the error of their rates is bounded: each is off by at most `MAX_CLOCK_DRIFT`.
A holder stops using a lease after its span by the holder's clock, counted from before it sent the request.
The grantor counts the lease as in force for `lifetime_at_grantor` of the span by its own clock, counted from
after it received the request. So the lease always ends at the holder first. All times are whole microseconds.

Source: Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
consistency", SOSP 1989.
"""

from __future__ import annotations

from dataclasses import dataclass

MILLION = 1_000_000

#: By how much the rate of a clock may be off, in parts per million. Crystals are within 100, a clock that is
#: being slewed by NTP within 500; this is twice that.
MAX_CLOCK_DRIFT = 1_000
#: Duration of the leader lease and of a lease of quota shares, in microseconds. With a shorter one, shares
#: are redistributed sooner after a member's death, but more messages are sent; below about a second, a busy
#: dispatcher's own pauses would cost it its shares.
LEADER_LEASE = 2_000_000
SHARE_LEASE = 2_000_000
#: Longest time between two ballots of the leader, and time between two requests of a member, in microseconds:
#: three attempts fit into a lease.
LEADER_RENEWAL_INTERVAL = 500_000
REQUEST_INTERVAL = 300_000
#: Duration of a loan, in microseconds. It is shorter than that of a share: if all borrowers are cut off when
#: the lender's demand returns, the lender waits for little more than this, and gets its quota back within a
#: second. One late or lost request of a borrower is tolerated.
LOAN_LEASE = 500_000


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Durations of quota leases.

    Attributes:
        share_lease: how long shares are leased, in microseconds.
        loan_lease: how long loans are leased, in microseconds.
        request_interval: the time between two requests of one member, in microseconds.
    """

    share_lease: int = SHARE_LEASE
    loan_lease: int = LOAN_LEASE
    request_interval: int = REQUEST_INTERVAL


DEFAULT_TIMING = LeaseTiming()


def lifetime_at_grantor(span: int, drift: int = MAX_CLOCK_DRIFT) -> int:
    """Return how long the grantor waits until `span` has surely passed on the holder's clock.

    Both times are in whole microseconds; the result is rounded up. `drift` is in parts per million: the
    holder's clock may be that much slow, and the grantor's that much fast.
    """
    fastest_grantor = MILLION + drift
    slowest_holder = MILLION - drift
    rounded_up = -(-span * fastest_grantor // slowest_holder)
    return rounded_up + 1
