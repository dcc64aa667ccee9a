"""The settings in force, and their update at start and at reload."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from locktide.config.address import Address
from locktide.config.start import Start
from locktide.scheduler.config import EndpointListConfig, ServiceClass
from locktide.scheduler.types import Effect
from locktide.transport.listener import Listener
from locktide.transport.upstream_pool import UpstreamPool

#: Microseconds after which a change of the endpoint list counts as notified on the platform's sockets, once
#: discovery has the change and can be reached; the result of a single call does not matter.
NOTIFIED_WITHIN = 6_000_000
#: Fraction of a worker's slow-start budget that all dispatchers together plan to use. Each draws without
#: knowledge of the others, and work differs by worker type and request: the rest is for requests that
#: coincide by chance (tests/scheduler/test_slow_start.py).
SLOW_START_MARGIN = 0.75


def with_socket_settings(start: Start) -> Start:
    """Return a copy of the settings with the three fields set for which the platform's JSON has no key.

    The three depend on the host: the simulator's adapter keeps the defaults of `scheduler.config`. The given
    settings are not changed, as other code may hold them.
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
        connect_within: Timeout for opening a connection to a worker, in microseconds.
        longest_timeout: The longest timeout of all service classes so far, in microseconds.
        service_classes: The service classes in force by their names.
    """

    discovery: Address
    endpoint_list: EndpointListConfig
    connect_within: int
    longest_timeout: int = 0
    service_classes: Mapping[str, ServiceClass] = field(default_factory=dict)


@dataclass(eq=False, slots=True, kw_only=True)
class SettingsUpdater:
    """Puts settings in force; name, listening address, seed and limits of the process do not change."""

    settings: DispatcherSettings
    upstream: UpstreamPool
    listener: Listener

    def apply(self, start: Start) -> None:
        """Put new settings in force."""
        settings = self.settings
        settings.discovery = start.discovery
        settings.endpoint_list = start.scheduler_config.endpoint_list
        settings.connect_within = start.connect_within
        self.upstream.set_timeouts(start.connect_within, start.idle_close)
        self._apply_service_classes(start)
        # Never reduced: a request that arrived under a longer timeout may still be open.
        settings.longest_timeout = max(settings.longest_timeout, *self.listener.timeouts.values())

    def _apply_service_classes(self, start: Start) -> None:
        """Change the listener's tables in place, as open connections use them as well."""
        classes = start.scheduler_config.service_classes
        self.settings.service_classes = {service_class.name: service_class for service_class in classes}
        keyed = [
            service_class.name
            for service_class in classes
            if service_class.effect == Effect.IDEMPOTENT_WITH_KEY
        ]
        self.listener.timeouts.clear()
        self.listener.timeouts.update(
            {service_class.name: service_class.timeout for service_class in classes}
        )
        self.listener.keyed_classes.clear()
        self.listener.keyed_classes.update(keyed)
