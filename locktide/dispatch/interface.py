"""What passes between the decisions and any host; nothing here decides.

A host builds one `rules.Dispatcher` for each dispatcher it runs, from the terms below, and then calls
`turn(now, news)` whenever it has news: `now` is the clock, `news` a list of the news types below in the
order in which they came about. The call returns the list of orders to carry out, in order, at that same
moment. Nothing else passes either way. All times and spans are whole microseconds; the ids of submissions,
workers and tenants are whatever the host uses and come back unchanged.

A second protocol needs a host of its own that builds the same news and carries out the same orders; it
inherits the four rules, which the decisions keep.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

# How far a submission may be repeated.
REISSUABLE = "reissuable"
NUMBERED = "numbered"
AT_MOST_ONCE = "at-most-once"

# Who drops a repeat of a numbered submission.
EVERYONE = "everyone"
SAME_ZONE = "same zone"
SAME_CELL = "same cell"

# How a dispatch ended.
DONE = "done"
ERROR = "error"
FULL = "full"
TIMED_OUT = "timed out"
NO_CONNECTION = "no connection"
RESET = "reset"
WITHDRAWN = "withdrawn"
NEVER_SENT = "never sent"
UNFIT = "unfit"  # the worker has turned away the submission itself: another would, too
# A kept connection broke with no word, most likely closed as idle; or the process has started anew since.
CUT_OFF = "cut off"
PROVEN_NOT_RUN = frozenset((FULL, NO_CONNECTION, NEVER_SENT, UNFIT))
UNSENT = frozenset((NO_CONNECTION, NEVER_SENT))
TELLS_NOTHING = frozenset((NEVER_SENT, UNFIT, CUT_OFF))  # of how the worker fares

# What a piece of list news is, and what a listed worker is doing.
WHOLE = "whole"
CHANGES = "changes"
REMEMBERED = "remembered"
LIST_FAILED = "failed"  # the service has turned a call away
LIST_SILENT = "silent"  # or has not answered: it was not reached, so the call was no work for it
READY = "ready"
DRAINING = "draining"
GONE = "gone"


Ground = tuple[frozenset[str] | None, frozenset[str] | None]  # kinds, zones; None: any


# --- terms, given at start -------------------------------------------------------------------------------


@dataclass(slots=True)
class Grade:
    """A service grade. `kind` is the one kind of worker that runs it, or None for any; `kinds` and `zones`
    are those to which it may be sent at all, or None for all."""

    name: str
    effect: str
    group: str
    memory_span: int
    soft_limit: int
    stretch: float
    time_limit: int
    revenue: float
    overdue_revenue: float
    kind: str | None
    kinds: frozenset[str] | None = None
    zones: frozenset[str] | None = None

    @property
    def ground(self) -> Ground | None:
        """To which kinds and zones it is bound; the same for grades that are bound alike."""
        kinds = self.kinds if self.kind is None else frozenset([self.kind])
        return None if kinds is None and self.zones is None else (kinds, self.zones)


@dataclass(slots=True)
class DispatchTerms:
    """How often and how one submission may be dispatched.

    `counts_unsent`: whether one of which no last byte went out is among the most that there may be.
    """

    most_dispatches: int
    may_withdraw: bool
    counts_unsent: bool = True


@dataclass(slots=True)
class ClientTerms:
    """What clients may be told."""

    longest_advice: int


@dataclass(slots=True)
class ShareTerms:
    """How many submissions a second each tenant may ask of all dispatchers; what more than that is worth."""

    quotas: dict[Any, float]
    beyond_share: float


@dataclass(slots=True)
class GoalTerms:
    """What service is measured by: how much of it the worst-served grade decides, from 0 to 1."""

    worst_grade: float


@dataclass(slots=True)
class ColdTerms:
    """When a freshly started worker falls over. Of what the settings allow all dispatchers together may plan
    to send `margin`, as sizes and draws differ by chance.
    """

    factor: float
    window: int
    cold_from: float
    warm_after: int
    margin: float = 1.0


@dataclass(slots=True)
class ListTerms:
    """How the worker list is had: pushed, or only when asked for. `live`: ratings fall with the work that a
    worker holds, as size / (1 + submissions held a core) some time ago; else they tell sizes.
    """

    must_ask: bool
    ask_within: int
    live: bool = False
    hang_up_within: int = 0  # in which idle connections to a draining worker have to be closed; 0: no matter
    # So long after it could be had a change counts as told, whatever became of our calls; 0: unbound.
    told_within: int = 0


@dataclass(slots=True)
class PriceTerms:
    """What a dispatch costs beside its work, in parts of what a usual submission earns: a new connection, and
    a worker in another zone than `zone`, our own. Workers close a connection that was idle for `idle_close`.
    """

    connection: float = 0.0
    crossing: float = 0.0
    zone: str = ""
    idle_close: int = 0


@dataclass(slots=True)
class SignTerms:
    """What workers tell: the start of a job, and its progress every so often."""

    tells_start: bool
    progress_every: int


# --- news, from the host to the decisions ---------------------------------------------------------------


@dataclass(slots=True)
class Listed:
    worker: Any
    zone: str
    kind: str
    cell: int
    state: str
    rating: float
    started_at: int


@dataclass(slots=True)
class ListNews:
    kind: str
    entries: list[Listed]


@dataclass(slots=True)
class Arrival:
    submission: Any
    grade: str
    time_limit_at: int
    width: float = 1.0
    work_hint: int = 0
    tenant: Any = None
    retry: bool = False
    patient: bool = False  # nobody waits for it: it is kept to its time limit rather than denied
    key: int | None = None  # what it is about, where submissions that share one go together


@dataclass(slots=True)
class Earlier:
    """A dispatch that an earlier process made, as far as it is known. `outcome` is None while it may still
    run; the zone and cell are the worker's of then."""

    worker: Any
    zone: str
    cell: int
    sent_at: int
    outcome: str | None


@dataclass(slots=True)
class Recovered:
    """A submission that an earlier process had taken. Its dispatches count on from those that are told."""

    arrival: Arrival
    arrived_at: int
    dispatches: list[Earlier]


@dataclass(slots=True)
class Sent:
    """The last byte of a dispatch is on its way. A host that tells it keeps its own delays from being taken
    for the worker's; where it is not told, a dispatch counts as sent with its order."""

    submission: Any
    number: int


@dataclass(slots=True)
class Started:
    submission: Any
    number: int


@dataclass(slots=True)
class Progressed:
    submission: Any
    number: int
    share: float


@dataclass(slots=True)
class StreamBegan:
    submission: Any
    number: int


@dataclass(slots=True)
class Ended:
    """The end of one dispatch. `final` says that the submission itself has its answer."""

    submission: Any
    number: int
    outcome: str
    final: bool
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ClientGone:
    submission: Any


@dataclass(slots=True)
class TimerDue:
    mark: int


@dataclass(slots=True)
class ProbeEnded:
    worker: Any
    outcome: str
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class NewTerms:
    """The start terms anew, in their order: they hold from now on, also for what is open, but for the grade
    that each submission came with."""

    terms: tuple[Any, ...]


@dataclass(slots=True)
class Stage:
    """Parts of tenants' quotas that are in force before a moment; `lent` is what each was lent beside its
    own, in parts of its own quota."""

    until: int
    parts: dict[Any, float]
    lent: dict[Any, float] = field(default_factory=dict)


@dataclass(slots=True)
class Parts:
    """Our parts of tenants' quotas, as the dispatchers have agreed: one stage after the other. Who is not
    named has the even part, as all have where this is never told and after the last stage. `over` hold more
    than their fair share of a contended fleet, as far as is known before `over_until`."""

    stages: list[Stage]
    over: frozenset[Any] = frozenset()
    over_until: int = 0


# --- orders, from the decisions to the host -------------------------------------------------------------


@dataclass(slots=True)
class Dispatch:
    """The dispatches of one submission count 0, 1, 2 ... in the order of these orders. `before`: no byte of
    it may go out from that moment on; 0 where the time limit alone counts.
    """

    submission: Any
    worker: Any
    before: int = 0


@dataclass(slots=True)
class Withdraw:
    submission: Any
    number: int


@dataclass(slots=True)
class Deny:
    submission: Any
    come_back_after: int


@dataclass(slots=True)
class Terminate:
    submission: Any


@dataclass(slots=True)
class Wake:
    after: int
    mark: int


@dataclass(slots=True)
class Close:
    """Closes the connections to a worker that are at rest."""

    worker: Any


@dataclass(slots=True)
class WatchList:
    on: bool


@dataclass(slots=True)
class FetchList:
    pass


@dataclass(slots=True)
class BrokeOff:
    """A piece of news on which the decisions broke off; nothing of it counts. `submission`: the one it was
    about, which is to be answered by the host, as no order for it will come; None for any other.
    """

    submission: Any
    what: str


@dataclass(slots=True)
class Log:
    line: str
