"""The settings in force, and how a start or a reload puts them there."""

from __future__ import annotations

from dataclasses import dataclass, replace

from locktide.config.address import Address
from locktide.config.start import Start
from locktide.scheduler.config import EndpointListConfig
from locktide.scheduler.types import Effect
from locktide.transport.listener import Listener
from locktide.transport.upstream_pool import UpstreamPool

# On the platform's sockets a change counts as notified so many microseconds after discovery had it and could
# be reached, whatever became of a call.
NOTIFIED_WITHIN = 6_000_000
# A worker in its slow start that may get N usual requests falls at N + 2 root N + 2 of all dispatchers, in
# work. Where some worker types run at 0.6 of the usual speed and work differs by a lognormal, thirty
# dispatchers came to more in 12 of 600 seeded bursts with the whole of N planned, in 1 with three quarters
# (tests/scheduler/test_slow_start.py).
SLOW_START_MARGIN = 0.75


def with_socket_settings(start: Start) -> Start:
    """Add what the platform's sockets need to the settings; a copy, as others may hold those given."""
    config = start.scheduler_config
    config = replace(
        config,
        retry=replace(config.retry, counts_unsent=False),  # an attempt counts once its last byte has come
        slow_start=replace(config.slow_start, margin=SLOW_START_MARGIN),
        endpoint_list=replace(config.endpoint_list, notified_within=NOTIFIED_WITHIN),
    )
    return replace(start, scheduler_config=config)


@dataclass(slots=True)
class DispatcherSettings:
    """The settings that may change while the process serves. Times are in microseconds."""

    discovery: Address
    endpoint_list: EndpointListConfig
    connect_within: int
    longest_timeout: int = 0  # of all service classes so far

    def apply(self, start: Start, upstream: UpstreamPool, listener: Listener) -> None:
        """Put new settings in force; name, address, seed and limits stay those of the process."""
        classes = start.scheduler_config.service_classes
        self.discovery = start.discovery
        self.endpoint_list = start.scheduler_config.endpoint_list
        self.connect_within = start.connect_within
        upstream.set_spans(start.connect_within, start.idle_close)
        # In place: idle client connections go by them, too.
        listener.timeouts.clear()
        listener.timeouts.update({each.name: each.timeout for each in classes})
        listener.keyed_classes.clear()
        listener.keyed_classes.update(
            [each.name for each in classes if each.effect == Effect.IDEMPOTENT_WITH_KEY]
        )
        # Never less than before: a request taken under a longer timeout may still be open.
        self.longest_timeout = max(self.longest_timeout, *listener.timeouts.values())
