"""Writes changes of a member's state to the log and to the trace file."""

from __future__ import annotations

import json
from typing import Protocol, TextIO

from locktide.cluster.member import ClusterMember
from locktide.cluster.membership.events import MembershipEvent, MembershipEventKind

#: Kind of all log lines of the cluster; lines of one kind are rate-limited together.
LOG_KIND = "cluster"
#: Millionths in one percent.
PERCENT = 10_000


class Log(Protocol):
    """The destination of log lines; `event` and the fields state the content of the line for programs."""

    def emit(self, line: str, kind: str = "", event: str = "", **fields: object) -> None:
        """Write a log line."""


class Reporter:
    """Reports membership events, quotas, loans and fairness of one member.

    Attributes:
        member: the member.
        log: the destination of log lines.
        trace: receives a line of JSON for each change of the quotas in force or of their expiry; None for no
            trace.
        logged_loans: lenders and borrowers in the last log line on loans.
        logged_over_share: tenants over their fair shares in the last log line on fairness.
    """

    def __init__(self, member: ClusterMember, log: Log, trace: TextIO | None) -> None:
        self.member = member
        self.log = log
        self.trace = trace
        self.logged_loans: list[tuple[str, str]] = []
        self.logged_over_share: frozenset[str] = frozenset()

    def report_event(self, event: MembershipEvent) -> None:
        """Log a change of the membership."""
        record = event.record
        address = f"{record.address[0]}:{record.address[1]}"
        line = f"cluster: member {record.name} at {address} is {event.kind}"
        if event.kind is MembershipEventKind.SUPERSEDED:
            line = f"cluster: a later process of our name runs at {address}; this one steps down"
        self.log.emit(
            line,
            LOG_KIND,
            event=f"member_{event.kind}",
            member=record.name,
            generation=record.generation,
            address=address,
        )

    def report_quotas(self, now: int) -> None:
        """Log the quotas in force, and loans and fairness if these have changed; write the trace."""
        shares = self.member.local_quota.shares
        listing = ", ".join(f"{name} {share / PERCENT:.1f}%" for name, share in shares.items())
        self.log.emit(
            f"cluster: quotas in force: {listing}", LOG_KIND, event="quotas_changed", quotas=dict(shares)
        )
        self.report_loans()
        self.report_fairness()
        self.trace_quotas(now)

    def trace_quotas(self, now: int) -> None:
        """Write the quotas in force to the trace, if there is one."""
        if self.trace is not None:
            self.write_trace(self.trace, now)

    def report_loans(self) -> None:
        """Log which quotas lend to which, if that has changed since the last line."""
        loans = sorted(self.member.local_quota.loans.items())
        pairs = [pair for pair, _ in loans]
        if pairs == self.logged_loans:
            return
        self.logged_loans = pairs
        listing = ", ".join(
            f"{share / PERCENT:.1f}% of {lender} for {borrower}" for (lender, borrower), share in loans
        )
        self.log.emit(
            f"cluster: borrowed {listing or 'nothing'}", LOG_KIND, event="loans_changed", loans=pairs
        )

    def report_fairness(self) -> None:
        """Log which tenants hold more than their fair shares, if that has changed since the last line."""
        if self.member.tenants_over_share == self.logged_over_share:
            return
        self.logged_over_share = self.member.tenants_over_share
        tenants = sorted(self.logged_over_share)
        line = f"cluster: tenants over their fair share: {', '.join(tenants) or 'nobody'}"
        self.log.emit(line, LOG_KIND, event="fairness_changed", tenants_over_share=tenants)

    def write_trace(self, trace: TextIO, now: int) -> None:
        """Write the quotas in force and their expiry as a line of JSON."""
        quota = self.member.local_quota
        entry = {
            "at": now,
            "parts": quota.shares,
            "until": quota.shares_until,
            "floor": quota.guaranteed_minimum,
            "loans": [[*names, share] for names, share in quota.loans.items()],
            "loans_until": quota.loans_until,
        }
        print(json.dumps(entry), file=trace, flush=True)

    def close(self) -> None:
        """Close the trace."""
        if self.trace is not None:
            self.trace.close()
