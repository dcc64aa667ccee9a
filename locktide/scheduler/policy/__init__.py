"""All decisions of locktide, for all deployments; docs/design.md gives sources, deviations and figures.

The Scheduler of locktide/scheduler/scheduler.py passes each event to the policy that handles it, and then
runs a round. Data that the policies share is in locktide/scheduler/state/, each kind owned by one module.
Each module here begins with its rule.

Requests wait in a pool by age. In each round, oldest first, one endpoint is drawn for each request, uniformly
among the ready endpoints that fit. The request is sent there if our slots in flight at this endpoint plus its
width stay within the concurrency limit c, or if we have none in flight there. A request whose attempt is
proven not to have run returns to the pool with its age. With an affinity key the draw is among the few
endpoints that belong to the key. Where the ratings of the endpoint list follow load, the draw is weighted: an
endpoint is drawn in proportion to a weight made of its rating, its slow-start factor and the costs of an
attempt there in addition to its work.

Modules of the ordinary path: `admission` and `quotas`, `rounds`, `placement` with `placement_strategy`
(`uniform_placement`, `weighted_placement` by `load_ratings`) and `affinity`, `request_lifecycle`.

Other modules: `concurrency_limit`; `slow_start`; `attempt_outcomes`, which passes events of attempts to
`outlier_detection`, `attempt_timeouts` and the retries (`retries`, `retry_eligibility`, `retry_budget`);
`load_shedding`; `endpoint_list` and `endpoint_polling`.
"""
