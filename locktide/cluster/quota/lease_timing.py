"""Durations of leases, and how the clocks of a grantor and a holder relate.

Clocks are never compared, but their rates differ by a bounded amount: each is off by `MAX_CLOCK_DRIFT` at
most. A holder stops using a lease after its span by the holder's clock, counted from before it sent the
request. The grantor counts the lease as in force for `lifetime_at_grantor` of the span by its own clock,
counted from after it received the request. So the holder always stops first. All times are whole
microseconds.

Source: Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
consistency", SOSP 1989.
"""

from __future__ import annotations

from dataclasses import dataclass

# Parts in a million by which a clock's rate may be off. Crystals are within 100, a clock that is being slewed
# by NTP within 500; twice that.
MAX_CLOCK_DRIFT = 1_000
# Leases of the leader and of quota shares. Shorter ones redistribute sooner after a death and send more
# messages; below about a second a busy dispatcher's own pauses would cost it its shares.
LEADER_LEASE = 2_000_000
SHARE_LEASE = 2_000_000
# How often the leader renews its lease and members request shares: three tries fit into a lease.
LEADER_RENEWAL_INTERVAL = 500_000
REQUEST_INTERVAL = 300_000
# A loan is shorter than a share: with all of its borrowers cut off, its lender waits for this and little
# more, within a second of its return. One late or lost request of the borrower fits in.
LOAN_LEASE = 500_000


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """How long shares and loans are leased and how often they are requested, in microseconds."""

    share_lease: int = SHARE_LEASE
    loan_lease: int = LOAN_LEASE
    request_interval: int = REQUEST_INTERVAL


DEFAULT_TIMING = LeaseTiming()


def lifetime_at_grantor(span: int, drift: int = MAX_CLOCK_DRIFT) -> int:
    """Return how long the grantor waits until `span` has passed on the holder's clock, whatever the rates.

    Whole microseconds, rounded up.
    """
    return -(-span * (1_000_000 + drift) // (1_000_000 - drift)) + 1
