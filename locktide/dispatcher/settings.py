"""The settings in force, and how a start or a reload puts them there."""

from __future__ import annotations

from dataclasses import dataclass, replace

from locktide.config.address import Address
from locktide.config.start import Start
from locktide.scheduler.config import EndpointListConfig
from locktide.scheduler.types import Effect
from locktide.transport.listener import Listener
from locktide.transport.upstream_pool import UpstreamPool

#: Microseconds after which a change of the endpoint list counts as notified on the platform's sockets, once
#: discovery has it and can be reached, whatever became of a call.
NOTIFIED_WITHIN = 6_000_000
#: Part of the slow-start budget of a worker that all dispatchers together plan to use. They draw without
#: knowledge of each other, and work differs by worker type and request: the rest is for requests that
#: fall together by chance (tests/scheduler/test_slow_start.py).
SLOW_START_MARGIN = 0.75


def with_socket_settings(start: Start) -> Start:
    """Return a copy of the settings with the three fields that the platform's JSON has no key for.

    They depend on the host: the simulator's adapter keeps the defaults of `scheduler.config`. The settings
    that are given stay as they are, as others may hold them.
    """
    config = start.scheduler_config
    config = replace(
        config,
        retry=replace(config.retry, counts_unsent=False),  # an attempt counts once its last byte is sent
        slow_start=replace(config.slow_start, margin=SLOW_START_MARGIN),
        endpoint_list=replace(config.endpoint_list, notified_within=NOTIFIED_WITHIN),
    )
    return replace(start, scheduler_config=config)


@dataclass(slots=True, kw_only=True)
class DispatcherSettings:
    """The settings that may change while the process serves.

    Attributes:
        discovery: Address of discovery.
        endpoint_list: How the endpoint list is followed.
        connect_within: How long a connection to a worker may take to come up, in microseconds.
        longest_timeout: The longest timeout of all service classes so far, in microseconds.
    """

    discovery: Address
    endpoint_list: EndpointListConfig
    connect_within: int
    longest_timeout: int = 0


@dataclass(eq=False, slots=True, kw_only=True)
class SettingsUpdater:
    """Puts settings in force; name, address, seed and limits stay those of the process."""

    settings: DispatcherSettings
    upstream: UpstreamPool
    listener: Listener

    def apply(self, start: Start) -> None:
        """Put new settings in force."""
        settings = self.settings
        settings.discovery = start.discovery
        settings.endpoint_list = start.scheduler_config.endpoint_list
        settings.connect_within = start.connect_within
        self.upstream.set_spans(start.connect_within, start.idle_close)
        self._apply_service_classes(start)
        # Never less than before: a request that came under a longer timeout may still be open.
        settings.longest_timeout = max(settings.longest_timeout, *self.listener.timeouts.values())

    def _apply_service_classes(self, start: Start) -> None:
        """Change the listener's tables in place: connections that are open go by them, too."""
        classes = start.scheduler_config.service_classes
        keyed = [each.name for each in classes if each.effect == Effect.IDEMPOTENT_WITH_KEY]
        self.listener.timeouts.clear()
        self.listener.timeouts.update({each.name: each.timeout for each in classes})
        self.listener.keyed_classes.clear()
        self.listener.keyed_classes.update(keyed)
