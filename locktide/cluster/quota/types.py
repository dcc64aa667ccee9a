"""Values that the allocator and the lease holders exchange; quotas have the indices of their sorted names."""

from __future__ import annotations

from typing import NamedTuple

from locktide.cluster.messages import LoanTriple, Millionths, QuotaIndex

#: Shares of quotas, in millionths of the whole quota.
QuotaShares = dict[QuotaIndex, Millionths]
#: How much of each quota is demanded, in the quota's own unit.
QuotaDemand = dict[QuotaIndex, int]


class LoanKey(NamedTuple):
    """A loan's lending quota, and the quota whose requests borrow from it."""

    lender: QuotaIndex
    borrower: QuotaIndex


#: Loans, in millionths of the whole lending quota.
Loans = dict[LoanKey, Millionths]


def loans_from_wire(triples: list[LoanTriple]) -> Loans:
    """Return the loans that a message lists."""
    return {LoanKey(lender, borrower): share for lender, borrower, share in triples}


def loans_to_wire(loans: Loans) -> list[LoanTriple]:
    """Return the loans as a message lists them."""
    return [(lender, borrower, share) for (lender, borrower), share in loans.items()]
