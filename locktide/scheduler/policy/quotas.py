"""Tenants' quotas: what is within them, what a loan covers, what is beyond."""

from locktide.scheduler.estimators.token_bucket import TokenBucket
from locktide.scheduler.events import QuotaSharesUpdated, QuotaStage
from locktide.scheduler.state import ActiveConfig, Clock
from locktide.scheduler.types import QuotaCoverage, TenantId

OWN, BORROWED, BEYOND = QuotaCoverage.OWN, QuotaCoverage.BORROWED, QuotaCoverage.BEYOND
BURST = 5.0  # seconds of the quota at most: traffic comes in bunches
NO_STAGE = QuotaStage(0, {})


class TenantQuotas:
    """A token bucket for each tenant, filled at our share of its quota."""

    def __init__(self, clock: Clock, config: ActiveConfig) -> None:
        self._clock = clock
        self._config = config

    def configure(self) -> None:
        """Starts anew from the configured quotas and even shares."""
        config, self.shares = self._config.current, QuotaSharesUpdated([])
        self._quotas, dispatchers = config.quotas.quotas, config.dispatcher_count
        self.buckets = {
            tenant: TokenBucket(BURST * quota / dispatchers, 0) for tenant, quota in self._quotas.items()
        }
        self._borrowed_buckets = dict[TenantId, TokenBucket]()  # the same of what others have lent them

    def stage(self) -> QuotaStage:
        """The stage of the agreed shares that is in force now."""
        now = self._clock.now
        return next((stage for stage in self.shares.stages if now < stage.until), NO_STAGE)

    def cover(self, tenant: TenantId | None) -> QuotaCoverage:
        """By what one more request of the tenant is covered, which that uses up."""
        if tenant is None or (bucket := self.buckets.get(tenant)) is None:
            return OWN
        now, stage, quota = self._clock.now, self.stage(), self._quotas[tenant]
        share = stage.shares.get(tenant, self._config.dispatcher_share)
        rate = quota * share
        is_within = bucket.take(rate, BURST * rate + 1.0, now)
        if now < self.shares.over_fair_share_until and tenant in self.shares.over_fair_share:
            return BEYOND  # it holds more of the fleet than it should while others go short
        if is_within:
            return OWN
        rate = quota * stage.borrowed.get(tenant, 0.0)
        bucket = self._borrowed_buckets.setdefault(tenant, TokenBucket(0.0, now))
        is_lent = bucket.take(rate, BURST * rate, now)
        return BORROWED if is_lent else BEYOND
