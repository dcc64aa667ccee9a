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
    worker_capacity: Vector
    max_job_time: int


@dataclass(frozen=True)
class FairnessStanding:
    """What follows from the rows: all of it is the same wherever the digest is. Shares are in ONEs."""

    digest: int = 0
    order: list[str] = field(default_factory=list)  # of tenants, who has least for its weight first
    dominant_shares: dict[str, int] = field(default_factory=dict)  # dominant shares
    fair_shares: dict[str, int] = field(default_factory=dict)
    contended: bool = False
    over_share: frozenset[str] = frozenset()  # who holds more than it should while others go short


class FairnessLedger:
    def __init__(
        self, terms: FairnessConfig, who: MemberId, chance: LinearCongruentialGenerator, now: int
    ) -> None:
        self.config, self.member_id, self.random = terms, who, chance
        self.tenants = sorted(terms.weights)
        self.weights = {place: terms.weights[name] for place, name in enumerate(self.tenants)}
        places = {name: place for place, name in enumerate(self.tenants)}
        self.usage = UsageTracker(places, terms.needs, terms.worker_capacity)
        self.replica = ReplicatedLedger()
        numbered = "\0".join([*self.tenants, "", *terms.resources]).encode()
        self.anti_entropy = AntiEntropy(self.replica, crc32(numbered))
        self.version = 0
        self.next_round_at = self.next_write_at = self.next_closing_at = self.next_recompute_at = now
        self.gone_since: dict[MemberId, int] = {}
        self.standing = FairnessStanding()

    @property
    def due(self) -> int:
        return min(self.next_round_at, self.next_write_at, self.next_closing_at, self.next_recompute_at)

    def tick(self, alive: list[str], starts: dict[str, int], now: int) -> list[tuple[str, Message]]:
        """`alive` are those that may live, `starts` when the latest known process of each name began."""
        sends: list[tuple[str, Message]] = []
        others = [name for name in alive if name != self.member_id[0]]
        if now >= self.next_write_at:
            self.next_write_at = now + max(
                WRITES, len(alive) * len(self.tenants) * 1_000_000 // ROWS_A_SECOND
            )
            before = self.version
            written = self.write_rows()
            for word in self.anti_entropy.deltas_of(self.member_id, written, before):
                sends += [(name, word) for name in self.choose_peers(others)]
        if now >= self.next_round_at:
            self.next_round_at = now + ROUND
            sends += [(name, self.anti_entropy.opening_digest()) for name in self.choose_peers(others)]
        if now >= self.next_closing_at:
            self.next_closing_at = now + LOOK
            self.close_dead_writers(set(alive), starts, now)
        if now >= self.next_recompute_at:
            self.next_recompute_at = now + WRITES
            self.recompute()
        return sends

    def handle(self, sender: str, word: Digest | Delta) -> list[tuple[str, Message]]:
        if isinstance(word, Delta):
            self.anti_entropy.handle_delta(word)
            return []
        return [(sender, answer) for answer in self.anti_entropy.handle_digest(word)]

    def choose_peers(self, others: list[str]) -> list[str]:
        left = list(others)
        return [left.pop(self.random.below(len(left))) for _ in range(min(OTHERS, len(left)))]

    # --- own rows

    def write_rows(self) -> list[LedgerRow]:
        """Rows that have changed, and all of them where others have closed what we wrote."""
        holdings, pages = self.usage, self.replica.writers.get(self.member_id)
        start, closed = self.replica.closed.get(self.member_id[0], (0, 0))
        if start == self.member_id[1]:
            self.version = max(self.version, closed)  # they thought that we were dead
        none = [0] * len(self.config.resources)
        wanted = {CAPACITY: (holdings.capacity(), none)}
        for place in holdings.in_use.keys() | holdings.waiting.keys():
            wanted[place] = (holdings.in_use.get(place, none), holdings.waiting.get(place, none))
        written = []
        for place, (held, waits) in sorted(wanted.items()):
            before = pages.rows.get(place) if pages is not None else None
            if before is None or (before.in_use, before.waiting) != (held, waits):
                self.version += 1
                row = LedgerRow(place, self.version, list(held), list(waits))
                self.replica.put(self.member_id, row)
                written.append(row)
        return written

    # --- the dead

    def close_dead_writers(self, alive: set[str], starts: dict[str, int], now: int) -> None:
        """Rows of a process that is gone count until its jobs must have ended, and are closed then: for all
        as soon as for anyone. Who lives all the same writes them anew.
        """
        gone = {
            who
            for who in self.replica.writers
            if who != self.member_id and (who[0] not in alive or starts.get(who[0], 0) > who[1])
        }
        self.gone_since = {who: self.gone_since.get(who, now) for who in gone}
        for who in sorted(gone):
            older = [other for other in self.replica.writers if other[0] == who[0] and other[1] < who[1]]
            if now >= self.gone_since[who] + self.config.max_job_time and not older:
                self.replica.close(who[0], (who[1], self.replica.read_version(who)))

    # --- what follows

    def recompute(self) -> None:
        if self.standing.digest == self.replica.digest and self.standing.dominant_shares:
            return
        count = len(self.config.resources)
        capacity = capacity_of(self.replica, count)
        held, asked = totals(self.replica, count)
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
        names = self.tenants
        self.standing = FairnessStanding(
            self.replica.digest,
            [names[place] for place in order],
            {names[place]: part for place, part in sorted(shares.items())},
            {names[place]: part for place, part in sorted(fair.items())},
            bool(short),
            frozenset(names[place] for place in over),
        )
