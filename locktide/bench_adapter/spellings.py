"""Names of the simulator's wire that the adapter reads: messages, fields and values.

The constants are named by the terms of this project.
"""

from __future__ import annotations

from collections.abc import Mapping

from locktide.scheduler.types import AttemptOutcome, EndpointState, ListUpdateKind

# Messages that open, address and end a batch.
BEGIN_BATCH = "SYNC"
END_OF_BATCH = "EOB"
SELECT_INSTANCE = "TO"

# Messages about instances and their endpoint lists.
START_INSTANCE = "SPAWN"
STOP_INSTANCE = "RETIRE"
ENDPOINT_LIST = "DIRECTORY"
ENDPOINT = "ITEM"
ENDPOINT_LIST_UPDATE = "UPDATE"

# Messages that are decoded to events of the scheduler.
REQUEST_ARRIVED = "QUERY"
RESPONSE_STARTED = "HEADERS"
WORKER_REPORT = "NOTE"
ATTEMPT_ENDED = "ENDED"
CLIENT_DISCONNECTED = "TIMED_OUT_CLIENT"
TIMER_FIRED = "DUE"
PROBE_COMPLETED = "PROBE_RESULT"
PEER_MESSAGE = "NEIGHBOUR_SAYS"

# Fields; times are in milliseconds.
CLOCK = "AtTime"
INSTANCE = "DispatcherId"
SETTINGS = "Config"
SEED = "RngSeed"
LIST_ID = "Sheet"
LIST_SIZE = "Items"
LIST_UPDATE_KIND = "Mode"
WORKER = "Worker"
ZONE = "FailureDomain"
WORKER_TYPE = "Model"
CELL = "Cluster"
STATE = "Readiness"
RATING = "Rating"
STARTED_AT = "StartedAt"
REQUEST_ID = "Corr"
SERVICE_CLASS = "Cls"
DEADLINE = "GiveUpAt"
WIDTH = "Width"
WORK_HINT = "Work"
TENANT = "ClientGroup"
IS_RETRY = "Repeat"
AFFINITY_KEY = "NameKey"
ATTEMPT = "Shot"
REPORT_KIND = "What"
REPORT_VALUE = "Value"
OUTCOME = "Verdict"
IS_FINAL = "Last"
LOAD = "Load"
TIMER_ID = "Cookie"

# Values.
YES = "1"
NO_TENANT = "0"
NO_LOAD = ("-", "")
REPORT_STARTED = 1
REPORT_PROGRESSED = 2

ENDPOINT_STATES: Mapping[str, EndpointState] = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.GONE,
}

LIST_UPDATE_KINDS: Mapping[str, ListUpdateKind] = {
    "INCREMENTAL": ListUpdateKind.DELTA,
    "FULL": ListUpdateKind.SNAPSHOT,
    "SAVED": ListUpdateKind.CACHED,
    "FAILED": ListUpdateKind.FETCH_FAILED,
}

OUTCOMES: Mapping[str, AttemptOutcome] = {
    "OK": AttemptOutcome.DONE,
    "INTERNAL": AttemptOutcome.ERROR,
    "RESOURCE_EXHAUSTED": AttemptOutcome.FULL,
    "DEADLINE_EXCEEDED": AttemptOutcome.TIMED_OUT,
    "UNAVAILABLE": AttemptOutcome.NO_CONNECTION,
    "ABORTED": AttemptOutcome.RESET,
    "CANCELLED": AttemptOutcome.CANCELLED,
    "TOO_LATE": AttemptOutcome.NEVER_SENT,
}

#: Members of the enums above that have no spelling on the wire, each with the reason.
WITHOUT_SPELLING: Mapping[ListUpdateKind | AttemptOutcome, str] = {
    ListUpdateKind.FETCH_TIMED_OUT: "the simulator reports every failed fetch alike, as FAILED",
    AttemptOutcome.UNPROCESSABLE: "requests of the simulator have no content that a worker could reject",
    AttemptOutcome.CONNECTION_CLOSED: "the simulator reports every connection that breaks alike, as ABORTED",
}
