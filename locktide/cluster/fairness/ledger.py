"""One member's ledger: writes its own rows, makes all ledgers equal, closes what the dead left, and reckons.

No I/O: words and time in, words out. Times are whole microseconds of the member's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from zlib import crc32

from locktide.cluster.fairness.anti_entropy import AntiEntropy
from locktide.cluster.fairness.dominant_share import Vector, dominant, fill
from locktide.cluster.fairness.replicated_ledger import CAPACITY, ReplicatedLedger, capacity_of, totals
from locktide.cluster.fairness.usage import UsageTracker
from locktide.cluster.messages import Delta, Digest, LedgerRow, MemberId, Message
from locktide.scheduler.estimators.random import LinearCongruentialGenerator

# Two others are told each round. Of nine all knew within four rounds, of fifty within six.
ROUND, OTHERS = 250_000, 2
# Own rows are written anew so often at most; of many members less often, so that all together write so many
# a second: each of them goes to all.
WRITES, ROWS_A_SECOND = 250_000, 300
LOOK = 1_000_000  # between two looks for whom to close


@dataclass(frozen=True)
class FairnessConfig:
    """`weights` by tenant, `needs` by grade and `each` of a worker in thousandths, a vector over `resources`.
    `longest`: microseconds after which no job of a dispatcher that died is left.
    """

    resources: list[str]
    weights: dict[str, int]
    needs: dict[str, Vector]
    each: Vector
    longest: int


@dataclass(frozen=True)
class FairnessStanding:
    """What follows from the rows: all of it is the same wherever the digest is. Shares are in ONEs."""

    digest: int = 0
    order: list[str] = field(default_factory=list)  # of tenants, who has least for its weight first
    held: dict[str, int] = field(default_factory=dict)  # dominant shares
    fair: dict[str, int] = field(default_factory=dict)
    contended: bool = False
    over: frozenset[str] = frozenset()  # who holds more than it should while others go short


class FairnessLedger:
    def __init__(
        self, terms: FairnessConfig, who: MemberId, chance: LinearCongruentialGenerator, now: int
    ) -> None:
        self.terms, self.who, self.chance = terms, who, chance
        self.names = sorted(terms.weights)
        self.weights = {place: terms.weights[name] for place, name in enumerate(self.names)}
        places = {name: place for place, name in enumerate(self.names)}
        self.holdings = UsageTracker(places, terms.needs, terms.each)
        self.book = ReplicatedLedger()
        numbered = "\0".join([*self.names, "", *terms.resources]).encode()
        self.gossip = AntiEntropy(self.book, crc32(numbered))
        self.version = 0
        self.round_at = self.write_at = self.look_at = self.reckon_at = now
        self.gone_at: dict[MemberId, int] = {}
        self.standing = FairnessStanding()

    @property
    def due(self) -> int:
        return min(self.round_at, self.write_at, self.look_at, self.reckon_at)

    def tick(self, alive: list[str], starts: dict[str, int], now: int) -> list[tuple[str, Message]]:
        """`alive` are those that may live, `starts` when the latest known process of each name began."""
        sends: list[tuple[str, Message]] = []
        others = [name for name in alive if name != self.who[0]]
        if now >= self.write_at:
            self.write_at = now + max(WRITES, len(alive) * len(self.names) * 1_000_000 // ROWS_A_SECOND)
            before = self.version
            written = self.write()
            for word in self.gossip.fresh(self.who, written, before):
                sends += [(name, word) for name in self.some(others)]
        if now >= self.round_at:
            self.round_at = now + ROUND
            sends += [(name, self.gossip.open()) for name in self.some(others)]
        if now >= self.look_at:
            self.look_at = now + LOOK
            self.close_the_dead(set(alive), starts, now)
        if now >= self.reckon_at:
            self.reckon_at = now + WRITES
            self.reckon()
        return sends

    def hear(self, sender: str, word: Digest | Delta) -> list[tuple[str, Message]]:
        if isinstance(word, Delta):
            self.gossip.rows(word)
            return []
        return [(sender, answer) for answer in self.gossip.heard(word)]

    def some(self, others: list[str]) -> list[str]:
        left = list(others)
        return [left.pop(self.chance.below(len(left))) for _ in range(min(OTHERS, len(left)))]

    # --- own rows

    def write(self) -> list[LedgerRow]:
        """Rows that have changed, and all of them where others have closed what we wrote."""
        holdings, pages = self.holdings, self.book.writers.get(self.who)
        start, closed = self.book.closed.get(self.who[0], (0, 0))
        if start == self.who[1]:
            self.version = max(self.version, closed)  # they thought that we were dead
        none = [0] * len(self.terms.resources)
        wanted = {CAPACITY: (holdings.capacity(), none)}
        for place in holdings.held.keys() | holdings.waits.keys():
            wanted[place] = (holdings.held.get(place, none), holdings.waits.get(place, none))
        written = []
        for place, (held, waits) in sorted(wanted.items()):
            before = pages.rows.get(place) if pages is not None else None
            if before is None or (before.held, before.waits) != (held, waits):
                self.version += 1
                row = LedgerRow(place, self.version, list(held), list(waits))
                self.book.put(self.who, row)
                written.append(row)
        return written

    # --- the dead

    def close_the_dead(self, alive: set[str], starts: dict[str, int], now: int) -> None:
        """Rows of a process that is gone count until its jobs must have ended, and are closed then: for all
        as soon as for anyone. Who lives all the same writes them anew.
        """
        gone = {
            who
            for who in self.book.writers
            if who != self.who and (who[0] not in alive or starts.get(who[0], 0) > who[1])
        }
        self.gone_at = {who: self.gone_at.get(who, now) for who in gone}
        for who in sorted(gone):
            older = [other for other in self.book.writers if other[0] == who[0] and other[1] < who[1]]
            if now >= self.gone_at[who] + self.terms.longest and not older:
                self.book.close(who[0], (who[1], self.book.head(who)))

    # --- what follows

    def reckon(self) -> None:
        if self.standing.digest == self.book.digest and self.standing.held:
            return
        count = len(self.terms.resources)
        capacity = capacity_of(self.book, count)
        held, asked = totals(self.book, count)
        held = {place: amounts for place, amounts in held.items() if place in self.weights}
        fair = fill(capacity, {place: asked[place] for place in held}, self.weights)
        shares = {place: dominant(amounts, capacity) for place, amounts in held.items()}
        wants = {place: dominant(asked[place], capacity) for place in held}
        short = {place for place in held if fair[place] < wants[place]}
        over = {place for place in held if short and shares[place] > fair[place]}
        # By shares for the weight, without a fraction; and by name where they are the same.
        whole = 1
        for weight in sorted(set(self.weights.values())):
            whole *= weight
        order = sorted(
            self.weights, key=lambda place: (shares.get(place, 0) * (whole // self.weights[place]), place)
        )
        names = self.names
        self.standing = FairnessStanding(
            self.book.digest,
            [names[place] for place in order],
            {names[place]: part for place, part in sorted(shares.items())},
            {names[place]: part for place, part in sorted(fair.items())},
            bool(short),
            frozenset(names[place] for place in over),
        )
