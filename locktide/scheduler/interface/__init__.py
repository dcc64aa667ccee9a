"""What passes between the decisions and any host; nothing here decides.

A host builds one `rules.Dispatcher` for each dispatcher it runs, from the terms below, and then calls
`turn(now, news)` whenever it has news: `now` is the clock, `news` a list of the news types below in the
order in which they came about. The call returns the list of orders to carry out, in order, at that same
moment. Nothing else passes either way. All times and spans are whole microseconds; the ids of submissions,
workers and tenants are whatever the host uses and come back unchanged.

A second protocol needs a host of its own that builds the same news and carries out the same orders; it
inherits the four rules, which the decisions keep.
"""

from locktide.scheduler.commands import *  # noqa: F403
from locktide.scheduler.config import *  # noqa: F403
from locktide.scheduler.events import *  # noqa: F403
from locktide.scheduler.types import *  # noqa: F403
