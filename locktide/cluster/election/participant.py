"""A member's part in the election of the leader: an acceptor, a proposer, and the routing of messages."""

from __future__ import annotations

from locktide.cluster.election.acceptor import Acceptor
from locktide.cluster.election.proposer import Outgoing, Proposer
from locktide.cluster.messages import Accepted, Ballot, MemberId, Prepare, Promise, Propose
from locktide.scheduler.estimators.random import LinearCongruentialGenerator


class ElectionParticipant:
    """A member that is configured as an acceptor, and so may become the leader as well.

    Attributes:
        acceptor: votes on ballots.
        proposer: begins its own ballots.
    """

    def __init__(
        self, member_id: MemberId, acceptors: list[str], generator: LinearCongruentialGenerator, now: int
    ) -> None:
        self.acceptor = Acceptor(now)
        self.proposer = Proposer(member_id, acceptors, generator, now)

    def term_as_leader(self, now: int) -> Ballot | None:
        """Return the term while this member is the leader; None otherwise."""
        return self.proposer.term if self.proposer.is_leader(now) else None

    def handle(self, sender: str, message: Prepare | Promise | Propose | Accepted, now: int) -> Outgoing:
        """Vote on another member's ballot, or count a vote on one of ours; return the messages to send."""
        reply: Promise | Accepted | None = None
        match message:
            case Prepare():
                reply = self.acceptor.handle_prepare(message, now)
            case Propose():
                reply = self.acceptor.handle_propose(message, now)
            case Promise():
                return self.proposer.handle_promise(sender, message, now)
            case Accepted():
                self.proposer.handle_accepted(sender, message, now)
        return [(sender, reply)] if reply is not None else []
