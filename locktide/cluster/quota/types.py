"""Values that the allocator and the lease holders exchange; quotas are numbered by their sorted names."""

from __future__ import annotations

from typing import NamedTuple

from locktide.cluster.messages import LoanTriple, Millionths, QuotaIndex

# Each member's share of each quota, in millionths of that quota's whole.
QuotaShares = dict[QuotaIndex, Millionths]
# How much of each quota is asked for, in the quota's own unit.
QuotaDemand = dict[QuotaIndex, int]


class LoanKey(NamedTuple):
    """Whose quota is lent, and to which quota's requests."""

    lender: QuotaIndex
    borrower: QuotaIndex


# Millionths of the lender's whole.
Loans = dict[LoanKey, Millionths]


def loans_from_wire(triples: list[LoanTriple]) -> Loans:
    """Return the loans that a message lists."""
    return {LoanKey(lender, borrower): share for lender, borrower, share in triples}


def loans_to_wire(loans: Loans) -> list[LoanTriple]:
    """Return the loans as a message lists them."""
    return [(lender, borrower, share) for (lender, borrower), share in loans.items()]
