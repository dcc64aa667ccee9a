"""Every decision of locktide, for all deployments; docs/design.md gives sources, departures and figures.

A host builds one Dispatcher(seed, terms ...) and calls turn(now, news) whenever it has news; the orders that
come back are carried out at that moment. The types of both are in locktide/scheduler/interface/.

The ordinary path is the design's: an aged pool, released in rounds, oldest first; in each round each
submission makes one fresh uniform draw among the ready workers that fit, and goes out if our own outstanding
slots there plus its width stay within the cap c, or nothing of ours is there. What comes back proven not to
have run rejoins the pool with its age. With a key the draw is among the few workers that are the key's own.
Where the list's ratings follow load a drawn worker may decline, and the draw is made again at once: each is
drawn in the measure of its odds, from its rating, its warmth and what a dispatch there costs beside work.

The mechanisms beside it: 1. the learned cap c, with rests and paces of kinds where no ratings follow load;
2. the health posterior, which decides on tries at doubtful workers; 3. further dispatches for late starts and
silence; 4. the cold budget; 5. denials and tenants' shares; 6. the worker list, asked for at drawn moments.
"""

from locktide.scheduler.policy.scheduler import Scheduler as Scheduler
