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

The policies beside it: concurrency limits, with throughputs of worker types where no ratings follow load;
outlier detection by health records; attempt timeouts and retries for late starts and silence; slow start;
load shedding and tenants' quotas; the endpoint list, polled at drawn moments.
"""
