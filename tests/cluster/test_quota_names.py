"""Quota names and their indices in messages."""

from __future__ import annotations

from locktide.cluster.quota.types import LoanKey
from locktide.cluster.quota_names import QuotaNames


def test_indices_and_checksum_do_not_depend_on_the_order_of_the_names() -> None:
    first, second = QuotaNames(["goats", "dairy"]), QuotaNames(["dairy", "goats"])
    assert first.indices == second.indices == {"dairy": 0, "goats": 1}
    assert first.checksum == second.checksum != QuotaNames(["dairy"]).checksum


def test_indices_beyond_the_names_are_left_out() -> None:
    names = QuotaNames(["goats", "dairy"])
    assert names.amounts_by_name({0: 5, 1: 6, 2: 7}) == {"dairy": 5, "goats": 6}
    assert names.loans_by_name({LoanKey(0, 1): 5, LoanKey(0, 2): 6, LoanKey(2, 0): 7}) == {
        ("dairy", "goats"): 5
    }


def test_names_that_are_not_quotas_are_left_out_and_the_order_is_kept() -> None:
    assert QuotaNames(["goats", "dairy"]).known_indices(["goats", "sheep", "dairy"]) == [1, 0]
