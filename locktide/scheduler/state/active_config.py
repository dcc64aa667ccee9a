"""The configuration in force and values derived from it."""

from __future__ import annotations

from locktide.scheduler.config import SchedulerConfig, ServiceClass


class ActiveConfig:
    """The configuration in force; after a reload requests keep the service class with which they arrived."""

    __slots__ = ("current", "service_classes", "known_service_classes", "dispatcher_share")

    def __init__(self, config: SchedulerConfig) -> None:
        self.current = config
        self.service_classes: dict[str, ServiceClass] = {}
        # Includes the classes of earlier configurations, as requests of these classes may still arrive, and
        # those of requests that an earlier process accepted.
        self.known_service_classes: dict[str, ServiceClass] = {}
        self.dispatcher_share = 1.0  # this dispatcher's even share of the fleet
        self.replace(config)

    def replace(self, config: SchedulerConfig) -> None:
        """Replace the configuration in force."""
        self.current = config
        self.service_classes = {each.name: each for each in config.service_classes}
        self.known_service_classes |= self.service_classes
        self.dispatcher_share = 1.0 / config.dispatcher_count
