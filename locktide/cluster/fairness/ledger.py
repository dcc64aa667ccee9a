"""One member's part in the fairness ledger.

It writes its own rows, exchanges all rows, closes dead writers and computes the standing. No I/O: messages
and time in, messages out. Times are whole microseconds of the member's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32

from locktide.cluster.fairness.anti_entropy import AntiEntropy
from locktide.cluster.fairness.dominant_share import Vector
from locktide.cluster.fairness.replicated_ledger import CAPACITY_INDEX, NOT_CLOSED, ReplicatedLedger
from locktide.cluster.fairness.standing import FairnessStanding, compute_standing
from locktide.cluster.fairness.usage import UsageTracker
from locktide.cluster.messages import Delta, Digest, LedgerRow, MemberId, Message
from locktide.scheduler.estimators.random import LinearCongruentialGenerator

#: Time between two rounds of anti-entropy, in microseconds.
ROUND_INTERVAL = 250_000
#: Members that are sent the digest in each round. A change reaches nine members within four rounds and fifty
#: within six.
PEERS_PER_ROUND = 2
#: Least time between two writings of our own rows, and between two computations of the standing, in
#: microseconds.
WRITE_INTERVAL = 250_000
#: Rows that all members together write in a second at most, as each row is sent to all: with many members or
#: tenants each one writes less often.
ROWS_PER_SECOND = 300
#: Time between two searches for dead writers, in microseconds.
CLOSING_INTERVAL = 1_000_000
MICROSECONDS_PER_SECOND = 1_000_000
#: Messages to send, each with the name of its receiver.
Outgoing = list[tuple[str, Message]]


@dataclass(frozen=True)
class FairnessConfig:
    """Configuration of the ledger, the same at all members.

    Attributes:
        resources: the names of the resources; vectors have an amount of each, in thousandths.
        weights: the weight of each tenant, in thousandths.
        needs: what a job of each service class needs for each slot of its width.
        worker_capacity: what each worker has.
        max_job_time: the time after which no job of a dispatcher that died is left, in microseconds.
    """

    resources: list[str]
    weights: dict[str, int]
    needs: dict[str, Vector]
    worker_capacity: Vector
    max_job_time: int


class FairnessLedger:
    """Keeps a replica equal to those of the other members, and the standing that follows from it.

    Attributes:
        config: the configuration.
        member_id: name and generation of this member.
        random: the source of random choices.
        tenants: the names of the tenants in the order of their indices.
        weights: the weight of each tenant by its index.
        usage: what tenants use through this dispatcher.
        replica: the rows of all members.
        anti_entropy: the exchange of rows.
        version: the version of the last row that was written here.
        next_round_at: when the next round of anti-entropy is due.
        next_write_at: when our own rows are written next.
        next_closing_at: when dead writers are searched for next.
        next_recompute_at: when the standing is computed next.
        gone_since: since when each writer counts as dead.
        standing: the standing by the rows at the last computation.
    """

    def __init__(
        self, config: FairnessConfig, member_id: MemberId, random: LinearCongruentialGenerator, now: int
    ) -> None:
        self.config = config
        self.member_id = member_id
        self.random = random
        self.tenants = sorted(config.weights)
        self.weights = {index: config.weights[name] for index, name in enumerate(self.tenants)}
        tenant_indices = {name: index for index, name in enumerate(self.tenants)}
        self.usage = UsageTracker(tenant_indices, config.needs, config.worker_capacity)
        self.replica = ReplicatedLedger()
        schema = "\0".join([*self.tenants, "", *config.resources]).encode()
        self.anti_entropy = AntiEntropy(self.replica, crc32(schema))
        self.version = 0
        self.next_round_at = now
        self.next_write_at = now
        self.next_closing_at = now
        self.next_recompute_at = now
        self.gone_since: dict[MemberId, int] = {}
        self.standing = FairnessStanding()

    @property
    def due(self) -> int:
        """When `tick` is to be called next."""
        return min(self.next_round_at, self.next_write_at, self.next_closing_at, self.next_recompute_at)

    def tick(self, alive: list[str], starts: dict[str, int], now: int) -> Outgoing:
        """Do what is due; return the messages to send.

        Args:
            alive: the names of the members that are alive or suspected.
            starts: the generation of the latest known process of each name.
            now: the time.
        """
        outgoing: Outgoing = []
        peers = [name for name in alive if name != self.member_id[0]]
        if now >= self.next_write_at:
            row_count = len(alive) * len(self.tenants)
            time_for_rows = row_count * MICROSECONDS_PER_SECOND // ROWS_PER_SECOND
            self.next_write_at = now + max(WRITE_INTERVAL, time_for_rows)
            outgoing += self._publish_rows(peers)
        if now >= self.next_round_at:
            self.next_round_at = now + ROUND_INTERVAL
            outgoing += [(name, self.anti_entropy.opening_digest()) for name in self._choose_peers(peers)]
        if now >= self.next_closing_at:
            self.next_closing_at = now + CLOSING_INTERVAL
            self._close_dead_writers(set(alive), starts, now)
        if now >= self.next_recompute_at:
            self.next_recompute_at = now + WRITE_INTERVAL
            self._recompute()
        return outgoing

    def handle(self, sender: str, message: Digest | Delta) -> Outgoing:
        """Take in a message of another member; return the answers."""
        if isinstance(message, Delta):
            self.anti_entropy.handle_delta(message)
            return []
        return [(sender, answer) for answer in self.anti_entropy.handle_digest(message)]

    def _choose_peers(self, peers: list[str]) -> list[str]:
        left = list(peers)
        count = min(PEERS_PER_ROUND, len(left))
        return [left.pop(self.random.below(len(left))) for _ in range(count)]

    # --- own rows

    def _publish_rows(self, peers: list[str]) -> Outgoing:
        previous_version = self.version
        written = self._write_rows()
        outgoing: Outgoing = []
        for delta in self.anti_entropy.deltas_of(self.member_id, written, previous_version):
            outgoing += [(name, delta) for name in self._choose_peers(peers)]
        return outgoing

    def _write_rows(self) -> list[LedgerRow]:
        """Write rows that have changed, and all of them where others have closed what was written."""
        writer_rows = self.replica.writers.get(self.member_id)
        start, closed_version = self.replica.closed.get(self.member_id[0], NOT_CLOSED)
        if start == self.member_id[1]:
            self.version = max(self.version, closed_version)  # the others declared this process dead
        written = []
        for index, (in_use, waiting) in sorted(self._current_amounts().items()):
            previous = writer_rows.rows.get(index) if writer_rows is not None else None
            if previous is None or (previous.in_use, previous.waiting) != (in_use, waiting):
                self.version += 1
                row = LedgerRow(index=index, version=self.version, in_use=list(in_use), waiting=list(waiting))
                self.replica.put(self.member_id, row)
                written.append(row)
        return written

    def _current_amounts(self) -> dict[int, tuple[Vector, Vector]]:
        """Return what is in use and what waits, by row index, and the capacity as it is seen here."""
        usage = self.usage
        none = [0] * len(self.config.resources)
        amounts = {CAPACITY_INDEX: (usage.capacity(), none)}
        for index in usage.in_use.keys() | usage.waiting.keys():
            amounts[index] = (usage.in_use.get(index, none), usage.waiting.get(index, none))
        return amounts

    # --- dead writers

    def _close_dead_writers(self, alive: set[str], starts: dict[str, int], now: int) -> None:
        """Close the rows of processes that are gone, once their jobs must have ended.

        They are closed for all members as soon as for any. A process that lives all the same writes its rows
        anew.
        """
        writers = self.replica.writers
        gone = {
            writer
            for writer in writers
            if writer != self.member_id and (writer[0] not in alive or starts.get(writer[0], 0) > writer[1])
        }
        self.gone_since = {writer: self.gone_since.get(writer, now) for writer in gone}
        for writer in sorted(gone):
            name, start = writer
            has_older = any(other[0] == name and other[1] < start for other in writers)
            if now >= self.gone_since[writer] + self.config.max_job_time and not has_older:
                self.replica.close(name, (start, self.replica.read_version(writer)))

    # --- standing

    def _recompute(self) -> None:
        if self.standing.digest == self.replica.digest and self.standing.dominant_shares:
            return
        self.standing = compute_standing(self.replica, self.tenants, self.weights, len(self.config.resources))
