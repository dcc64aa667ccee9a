"""The words that stand for effects, groups, outcomes and states."""

from __future__ import annotations

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
