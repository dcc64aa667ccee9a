"""How long what is promised lasts, and on whose clock.

Clocks are not compared, but they run at almost the same rate: of two, each is off by SKEW at most. Who holds
something stops after a span by its own clock, counted from before it asked; who gave it counts it as over
after `stretched` of that span by its own, counted from after it was asked. So the holder is always first.
"""

from __future__ import annotations

# Parts in a million by which a clock's rate may be off. Crystals are within 100, a clock that is being slewed
# by NTP within 500; twice that.
SKEW = 1_000
# Of the coordinator, and of a part. Shorter ones divide anew sooner after a death and talk more; below about
# a second a busy dispatcher's own pauses would cost it its parts.
LEAD = 2_000_000
PART = 2_000_000
# How often the lease is renewed and parts are asked for: three tries fit into a lease.
RENEW = 500_000
ASK = 300_000
# A loan is shorter than a part: with all of it cut off its owner waits for this and little more, within a
# second of its return. One late or lost question of its holder fits in.
LOAN = 500_000


def stretched(span: int, skew: int = SKEW) -> int:
    """So long by the giver's clock that `span` has gone by on the holder's, whatever their rates; whole
    microseconds, rounded up.
    """
    return -(-span * (1_000_000 + skew) // (1_000_000 - skew)) + 1
