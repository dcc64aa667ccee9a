"""Every decision of locktide, for all deployments; docs/design.md gives sources, departures and figures.

The Scheduler of locktide/scheduler/scheduler.py hands each event to the policy here that it concerns,
and then runs a round. What the policies share is in locktide/scheduler/state/, one owner a module; each
module here begins with its rule.

The ordinary path is the design's: an aged pool, released in rounds, oldest first; in each round each request
makes one fresh uniform draw among the ready endpoints that fit, and is sent if our own slots in flight there
plus its width stay within the concurrency limit c, or nothing of ours is there. What comes back proven not to
have run rejoins the pool with its age. With an affinity key the draw is among the few endpoints that are the
key's own. Where the list's ratings follow load a drawn endpoint may decline, and the draw is made again at
once: each is drawn in the measure of its weight, from its rating, its slow-start factor and what an attempt
there costs beside work.

The ordinary path: `admission` and `quotas`, `rounds`, `placement` with `placement_strategy`
(`uniform_placement`, `weighted_placement` by `load_ratings`) and `affinity`, `request_lifecycle`.

Beside it: `concurrency_limit`; `slow_start`; `attempt_outcomes`, which hands what is heard of attempts to
`outlier_detection`, `attempt_timeouts` and the retries (`retries`, `retry_eligibility`, `retry_budget`);
`load_shedding`; `endpoint_list` and `endpoint_polling`.
"""
