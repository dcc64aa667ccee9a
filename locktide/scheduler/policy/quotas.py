"""Mechanism 5, tenants' shares: what is beyond them."""

from typing import Any

from locktide.scheduler.config import QuotaConfig
from locktide.scheduler.events import QuotaSharesUpdated, QuotaStage

OWN, LENT, BEYOND = "own", "lent", "beyond"
NONE = QuotaStage(0, {})


class TenantQuotas:
    """Tells what is beyond its tenant's share: a bucket for each tenant, filled at our part of its quota."""

    def __init__(self, terms: QuotaConfig, fleet: int) -> None:
        self.terms, self.part, self.agreed = terms, 1.0 / fleet, QuotaSharesUpdated([])
        self.levels = {tenant: [5.0 * quota / fleet, 0.0] for tenant, quota in terms.quotas.items()}
        self.lent = dict[Any, list[float]]()  # the same of what others have lent them

    def stage(self, now: int) -> QuotaStage:
        return next((stage for stage in self.agreed.stages if now < stage.until), NONE)

    def covers(self, tenant: Any, now: int) -> str:
        """By what one more submission of it is covered, which that uses up."""
        if (own := self.levels.get(tenant)) is None:
            return OWN
        stage, quota = self.stage(now), self.terms.quotas[tenant]
        within = self.take(own, quota * stage.shares.get(tenant, self.part), 1.0, now)
        if now < self.agreed.over_fair_share_until and tenant in self.agreed.over_fair_share:
            return BEYOND  # it holds more of the fleet than it should while others go short
        if within:
            return OWN
        lent = quota * stage.borrowed.get(tenant, 0.0)
        return LENT if self.take(self.lent.setdefault(tenant, [0.0, now]), lent, 0.0, now) else BEYOND

    def take(self, bucket: list[float], rate: float, more: float, now: int) -> bool:
        # Five seconds of the quota at most: traffic comes in bunches.
        level = min(5.0 * rate + more, bucket[0] + (now - bucket[1]) * rate / 1e6)
        bucket[:] = level - (level >= 1.0), now
        return level >= 1.0
