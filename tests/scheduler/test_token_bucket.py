"""Token bucket: tokens are added at a rate and taken one at a time."""

from __future__ import annotations

from locktide.scheduler.estimators.token_bucket import TokenBucket

SECOND = 1_000_000


def test_a_bucket_gives_the_whole_tokens_that_it_holds() -> None:
    bucket = TokenBucket(2.5, 0)
    assert [bucket.take(0.0, 10.0, 0) for _ in range(3)] == [True, True, False]
    assert bucket.level == 0.5


def test_tokens_come_at_the_rate_up_to_the_capacity() -> None:
    bucket = TokenBucket(0.0, 0)
    assert [bucket.take(2.0, 3.0, SECOND) for _ in range(3)] == [True, True, False]
    assert [bucket.take(2.0, 3.0, 100 * SECOND) for _ in range(4)] == [True, True, True, False]


def test_a_capacity_that_has_shrunk_counts_at_once() -> None:
    """A tenant's share of its quota is reduced while its bucket is full of tokens of the larger share.

    With these tokens the tenant would exceed its quota over all dispatchers. The smaller capacity must reduce
    the level at the next request.
    """
    bucket = TokenBucket(5.0, 0)
    assert not bucket.take(0.0, 0.5, 0)
    assert bucket.level == 0.5
