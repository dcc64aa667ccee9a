"""Changes of the membership that are reported to the host."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from locktide.cluster.messages import MemberRecord, MemberState


class MembershipEventKind(StrEnum):
    """A kind of membership change; the values are parts of the ids of log events."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"
    SUPERSEDED = "superseded"


#: The kind of event that is reported when a member enters a state.
EVENT_OF_STATE = {
    MemberState.ALIVE: MembershipEventKind.ALIVE,
    MemberState.SUSPECT: MembershipEventKind.SUSPECT,
    MemberState.DEAD: MembershipEventKind.DEAD,
    MemberState.LEFT: MembershipEventKind.LEFT,
}


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """A change of the membership.

    Attributes:
        kind: the kind of change; SUPERSEDED if a later process of this member's own name was found.
        record: the record of the member, or of that later process.
    """

    kind: MembershipEventKind
    record: MemberRecord
