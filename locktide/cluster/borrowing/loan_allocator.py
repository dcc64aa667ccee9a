"""Who lends and who borrows, as the member that divides sees it; no I/O, whole numbers.

An owner lends a stated part of what it does not use. From its first submission after it was quiet on, or once
it uses what it had kept, all its loans are called back and it lends nothing for a while. Nobody lends while
it borrows or borrows while it lends, so no loan is ever passed on.
"""

from __future__ import annotations

from dataclasses import dataclass

from locktide.cluster.quota.lease_timing import ASK

# An owner that was not asked for so long is quiet; one that came again lends nothing for as long. Three
# seconds: of a tenant with two submissions a second one gap in four hundred is longer.
QUIET = 3_000_000
# What an owner uses counts at its peak, which fades by half in two seconds, and twice: it comes in bunches.
FADES = 2_000_000
HEADROOM = 2
# Loans under a fiftieth of an owner's whole are not worth their leases.
LEAST = 20_000
WHOLE = 1_000_000

Loans = dict[tuple[int, int], int]  # by owner and borrower: millionths of the owner's whole


@dataclass(slots=True)
class Lender:
    rate: int  # of its whole, in millionths of a token a second
    divisible: int  # millionths that may be divided at all
    last_demand_at: int
    used_rate: int = 0  # in millionths of a token a second
    used_rate_at: int = 0
    reclaimed_at: int = 0  # when it last came back
    lends_again_at: int = 0  # it lends nothing before
    retained: int = WHOLE  # of its whole, beside what was planned to be lent

    def record_rate(self, rate: int, now: int) -> None:
        """What it is asked for now, in millionths of a token a second."""
        fades = min(FADES, now - self.used_rate_at)
        self.used_rate = max(rate, self.used_rate - self.used_rate * fades // (2 * FADES))
        self.used_rate_at = now


def rate_of(wants: int) -> int:
    """Millionths of a token a second out of a demand, of which half fades with each question: of a steady one
    it holds the last two spans' worth when it is told.
    """
    return wants * 1_000_000 * 1_000_000 // (2 * ASK)


class LoanAllocator:
    def __init__(self, rates: dict[int, int], movable: dict[int, int], lend: int, now: int) -> None:
        """`rates` of the budgets that may be lent, in millionths of a token a second; `lend`: how many
        millionths of what is not used may be.
        """
        self.lent_fraction = lend
        self.lenders = {
            name: Lender(rate, movable[name], now, used_rate=rate, used_rate_at=now)
            for name, rate in rates.items()
        }
        self.planned_loans: Loans = {}

    def record_demand(self, name: int, now: int) -> bool:
        """It was asked for; whether its loans have to be called back for it."""
        owner = self.lenders.get(name)
        if owner is None:
            return False
        back = now - owner.last_demand_at >= QUIET
        owner.last_demand_at = now
        return back and self.reclaim(name, now)

    def reclaim(self, name: int, now: int) -> bool:
        """The owner needs all of its own again."""
        owner = self.lenders[name]
        owner.reclaimed_at, owner.lends_again_at, owner.retained = now, now + QUIET, WHOLE
        ours = [pair for pair in self.planned_loans if pair[0] == name]
        for pair in ours:
            del self.planned_loans[pair]
        return bool(ours)

    def lendable_share(self, name: int, now: int) -> int:
        """Millionths of its whole that it may have lent."""
        owner = self.lenders[name]
        if now < owner.lends_again_at or not owner.rate:
            return 0
        free = owner.divisible - HEADROOM * owner.used_rate * WHOLE // owner.rate
        return max(0, free * self.lent_fraction // WHOLE)

    def replan(self, wants: dict[int, int], order: list[int], out: Loans, now: int) -> list[int]:
        """Plans anew, from what all want; `out` is what may be lent just now, `order` says who borrows first.
        Gives the owners whose loans have to be called back.
        """
        called: list[int] = []
        asked = {name: rate_of(wants.get(name, 0)) for name in self.lenders}
        for name, owner in self.lenders.items():
            owner.record_rate(asked[name], now)
            lends = any(pair[0] == name for pair in self.planned_loans)
            if lends and asked[name] * WHOLE > owner.retained * owner.rate and self.reclaim(name, now):
                called.append(name)
        lending, borrowing = {pair[0] for pair in out}, {pair[1] for pair in out}
        # Short is who is asked for more than its whole, by a twentieth at least.
        short = {
            name: asked[name] - owner.rate
            for name, owner in self.lenders.items()
            if 20 * asked[name] > 21 * owner.rate and name not in lending
        }
        free = {
            name: lendable * self.lenders[name].rate // WHOLE
            for name in sorted(self.lenders)
            if name not in borrowing
            and name not in short
            and (lendable := self.lendable_share(name, now)) >= LEAST
        }
        first = [name for name in order if name in short]
        short = {name: short[name] for name in [*first, *sorted(short.keys() - set(first))]}
        before = {
            pair: part * self.lenders[pair[0]].rate // WHOLE for pair, part in self.planned_loans.items()
        }
        self.planned_loans = {}
        shared = match(fill(short, sum(free.values())), free, before)
        for (name, borrower), rate in shared.items():
            part = rate * WHOLE // self.lenders[name].rate
            if part:
                self.planned_loans[name, borrower] = part
        for name, owner in self.lenders.items():
            owner.retained = WHOLE - sum(part for pair, part in self.planned_loans.items() if pair[0] == name)
        return called


def fill(short: dict[int, int], left: int) -> dict[int, int]:
    """Equal amounts to each that is short, up to what it is short of; the rest goes by their order."""
    given, open_ = dict.fromkeys(short, 0), list(short)
    while open_ and left:
        each = max(1, left // len(open_))
        for name in list(open_):
            more = min(each, short[name] - given[name], left)
            given[name] += more
            left -= more
            if given[name] == short[name]:
                open_.remove(name)
    return given


def match(given: dict[int, int], free: dict[int, int], before: Loans) -> Loans:
    """Whose capacity each amount comes from: as before, as far as that goes, since each move of a loan costs
    the time until its place is free; then from whoever has some left.
    """
    found: Loans = {}
    need, left = dict(given), dict(free)

    def take(owner: int, name: int, most: int) -> None:
        amount = min(need.get(name, 0), left.get(owner, 0), most)
        if amount > 0:
            found[owner, name] = found.get((owner, name), 0) + amount
            need[name] -= amount
            left[owner] -= amount

    for (owner, name), amount in sorted(before.items()):
        take(owner, name, amount)
    for name in need:
        for owner in left:
            take(owner, name, need[name])
    return found
