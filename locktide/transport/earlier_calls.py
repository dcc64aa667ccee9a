"""Calls to discovery that are awaited beside the current call of a watch.

An overdue call had no response in time, which may still be on its way.

A superseded call was made by an earlier watch. A reload replaces the watch of the endpoint list. If the
outstanding calls ended with it, a service that answers later than the reloads follow one another would never
be heard. So the next watch awaits them, until a call that was made later is answered. Their number is
limited: with each reload there is one call more.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from locktide.config.address import Address
from locktide.transport.discovery_call import Call

#: How many calls of earlier watches are awaited at most to the address in force, and as many to others. The
#: oldest one will be answered first; the second one is there in case discovery never answers it.
MAX_SUPERSEDED_BY_GROUP = 2
#: Seconds beyond its wait for which a call is awaited while it keeps another from being awaited. A change
#: counts as notified after 6 s, and two calls may be needed: one that was answered just before the change,
#: and the next.
MAX_PATIENCE = 3.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Handover:
    """What a watch leaves to the one that replaces it.

    Attributes:
        address: Address of discovery that it followed.
        delay: By how much the responses from there were late recently, in seconds.
        calls: The outstanding calls, in the order in which they were made.
    """

    address: Address
    delay: float
    calls: list[Call]


class EarlierCalls:
    """The calls that a watch awaits beside its current one.

    Attributes:
        superseded: The calls of earlier watches, in the order in which they were made.
        overdue: A call of this watch that had no response in time; None if there is none.
    """

    def __init__(self) -> None:
        self.superseded: list[Call] = []
        self.overdue: Call | None = None

    @property
    def calls(self) -> list[Call]:
        """All calls, in the order in which they were made."""
        return self.superseded if self.overdue is None else [*self.superseded, self.overdue]

    def take_over(self, calls: Sequence[Call], address: Address, now: float) -> None:
        """Await the calls of an earlier watch, as far as the limit allows, and abandon the others.

        Args:
            calls: The calls, in the order in which they were made.
            address: Address of discovery in force.
            now: The time of the event loop, in seconds.
        """
        self.superseded = _select(calls, address, now)
        for call in calls:
            call.is_superseded = True
            if call not in self.superseded:
                call.abandon()

    def keep_overdue(self, call: Call, now: float) -> None:
        """Keep an overdue call, or abandon it while an earlier one is kept."""
        if self.overdue is not None and self.overdue.delay(now) < MAX_PATIENCE:
            call.abandon()
            return
        if self.overdue is not None:
            self.overdue.abandon()
        self.overdue = call

    def take_ended(self) -> Call | None:
        """Remove and return the earliest call that has ended, if there is one."""
        ended = next((call for call in self.calls if call.task.done()), None)
        if ended is not None:
            self._remove(ended)
        return ended

    def abandon_before(self, answered: Call, address: Address) -> None:
        """Abandon the calls that were made before a call that was answered: their answers would be older.

        What an address that is not in force answers is not the whole news, so it only outdates calls to the
        same address.

        Args:
            answered: The call that was answered.
            address: Address of discovery in force.
        """
        for call in list(self.calls):
            is_outdated = answered.address in (address, call.address)
            if is_outdated and call.began_at < answered.began_at:
                self._remove(call)
                call.abandon()

    def _remove(self, call: Call) -> None:
        if call is self.overdue:
            self.overdue = None
        else:
            self.superseded.remove(call)


def _select(calls: Sequence[Call], address: Address, now: float) -> list[Call]:
    """Return the calls that are awaited, in the order in which they were made.

    These are the oldest calls to the address in force and the oldest to other addresses: where addresses
    alternate, silent calls to one must not displace those to the other.
    """
    awaited = [call for call in calls if call.task.done() or call.delay(now) < MAX_PATIENCE]
    in_force = [call for call in awaited if call.address == address]
    others = [call for call in awaited if call.address != address]
    selected = [*in_force[:MAX_SUPERSEDED_BY_GROUP], *others[:MAX_SUPERSEDED_BY_GROUP]]
    return sorted(selected, key=lambda call: call.began_at)
