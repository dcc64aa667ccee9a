"""One member's part in the fairness ledger.

It writes the member's own rows, exchanges all rows, closes dead writers and computes the standing. It does no
I/O: its inputs are messages and the time, its outputs messages. Times are whole microseconds of the member's
own clock.
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
#: Members to which the digest is sent in each round. A change reaches nine members within four rounds and
#: fifty within six.
PEERS_PER_ROUND = 2
#: Shortest time between two writes of the member's own rows, and between two computations of the standing, in
#: microseconds.
WRITE_INTERVAL = 250_000
#: Most rows that all members together write in a second, as each row is sent to all members. With many
#: members or tenants each member writes less often.
ROWS_PER_SECOND = 300
#: Time between two searches for dead writers, in microseconds.
CLOSING_INTERVAL = 1_000_000
MICROSECONDS_PER_SECOND = 1_000_000
#: Messages to send, each with the name of its receiver.
Outgoing = list[tuple[str, Message]]


@dataclass(frozen=True)
class FairnessConfig:
    """Configuration of the ledger, which is the same at all members.

    Attributes:
        resources: the names of the resources; vectors have an amount of each, in thousandths.
        weights: the weight of each tenant, in thousandths.
        needs: the needs of a job of each service class for each slot of its width.
        worker_capacity: the capacity of each worker.
        max_job_time: how long a job of a dispatcher that died may still run, in microseconds.
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
        generator: the source of random choices.
        tenants: the names of the tenants in the order of their indices.
        weights: the weight of each tenant by its index.
        usage: the tenants' usage through this dispatcher.
        replica: the rows of all members.
        anti_entropy: the exchange of rows with other members.
        version: the version of the last row that this member wrote.
        next_round_at: when the next round of anti-entropy is due.
        next_write_at: when this member's own rows are next written.
        next_closing_at: when dead writers are next searched for.
        next_recompute_at: when the standing is next computed.
        dead_since: since when each dead writer counts as dead.
        standing: the standing computed last.
    """

    def __init__(
        self, config: FairnessConfig, member_id: MemberId, generator: LinearCongruentialGenerator, now: int
    ) -> None:
        self.config = config
        self.member_id = member_id
        self.generator = generator
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
        self.dead_since: dict[MemberId, int] = {}
        self.standing = FairnessStanding()

    @property
    def due(self) -> int:
        """When `tick` has to be called next."""
        return min(self.next_round_at, self.next_write_at, self.next_closing_at, self.next_recompute_at)

    def tick(self, alive: list[str], generations: dict[str, int], now: int) -> Outgoing:
        """Perform the work that is due, and return the messages to send.

        Args:
            alive: the names of the members that are alive or suspected.
            generations: the generation of the latest known process of each name.
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
            self._close_dead_writers(set(alive), generations, now)
        if now >= self.next_recompute_at:
            self.next_recompute_at = now + WRITE_INTERVAL
            self._recompute()
        return outgoing

    def handle(self, sender: str, message: Digest | Delta) -> Outgoing:
        """Process a message of another member, and return the answers."""
        if isinstance(message, Delta):
            self.anti_entropy.handle_delta(message)
            return []
        return [(sender, answer) for answer in self.anti_entropy.handle_digest(message)]

    def _choose_peers(self, peers: list[str]) -> list[str]:
        remaining = list(peers)
        count = min(PEERS_PER_ROUND, len(remaining))
        return [remaining.pop(self.generator.below(len(remaining))) for _ in range(count)]

    # --- own rows

    def _publish_rows(self, peers: list[str]) -> Outgoing:
        previous_version = self.version
        written = self._write_rows()
        outgoing: Outgoing = []
        for delta in self.anti_entropy.deltas_of(self.member_id, written, previous_version):
            outgoing += [(name, delta) for name in self._choose_peers(peers)]
        return outgoing

    def _write_rows(self) -> list[LedgerRow]:
        """Write the rows that have changed, or all rows if another member has closed them; return them."""
        writer_rows = self.replica.writers.get(self.member_id)
        generation, closed_version = self.replica.closed.get(self.member_id[0], NOT_CLOSED)
        if generation == self.member_id[1]:
            self.version = max(self.version, closed_version)  # others have declared this process dead
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
        """Return the amounts in use and waiting by row index, and the capacity that this member sees."""
        usage = self.usage
        none = [0] * len(self.config.resources)
        amounts = {CAPACITY_INDEX: (usage.capacity(), none)}
        for index in usage.in_use.keys() | usage.waiting.keys():
            amounts[index] = (usage.in_use.get(index, none), usage.waiting.get(index, none))
        return amounts

    # --- dead writers

    def _close_dead_writers(self, alive: set[str], generations: dict[str, int], now: int) -> None:
        """Close the rows of dead processes once all their jobs must have ended.

        Rows that one member closes are closed for all members. A process that was declared dead but still
        runs writes its rows again.
        """
        writers = self.replica.writers
        dead = {
            writer
            for writer in writers
            if writer != self.member_id
            and (writer[0] not in alive or generations.get(writer[0], 0) > writer[1])
        }
        self.dead_since = {writer: self.dead_since.get(writer, now) for writer in dead}
        for writer in sorted(dead):
            name, generation = writer
            has_older = any(other[0] == name and other[1] < generation for other in writers)
            if now >= self.dead_since[writer] + self.config.max_job_time and not has_older:
                self.replica.close(name, (generation, self.replica.read_version(writer)))

    # --- standing

    def _recompute(self) -> None:
        if self.standing.digest == self.replica.digest and self.standing.dominant_shares:
            return
        self.standing = compute_standing(self.replica, self.tenants, self.weights, len(self.config.resources))
