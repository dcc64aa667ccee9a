"""Translates between names of quotas and their indices in messages."""

from __future__ import annotations

from zlib import crc32

from locktide.cluster.quota.types import Loans

#: Amounts by the index of the quota.
QuotaAmounts = dict[int, int]


class QuotaNames:
    """The sorted names of all quotas.

    A leader does not answer the lease request of a member whose checksum differs from its own, as that member
    has different quotas configured.

    Attributes:
        names: the sorted names.
        indices: the index of each name in messages.
        checksum: the CRC-32 of the sorted names.
    """

    def __init__(self, names: list[str]) -> None:
        self.names = sorted(names)
        self.indices = {name: index for index, name in enumerate(self.names)}
        self.checksum = crc32("\0".join(self.names).encode())

    def __len__(self) -> int:
        return len(self.names)

    def amounts_by_name(self, amounts: QuotaAmounts) -> dict[str, int]:
        """Return amounts by name; unknown indices are left out."""
        return {self.names[index]: amount for index, amount in amounts.items() if index < len(self.names)}

    def loans_by_name(self, loans: Loans) -> dict[tuple[str, str], int]:
        """Return loans by the names of lender and borrower; unknown indices are left out."""
        return {
            (self.names[lender], self.names[borrower]): amount
            for (lender, borrower), amount in loans.items()
            if max(lender, borrower) < len(self.names)
        }

    def known_indices(self, names: list[str]) -> list[int]:
        """Return the indices of the names that are quotas, in the given order."""
        return [self.indices[name] for name in names if name in self.indices]
