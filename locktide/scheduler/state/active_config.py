"""The configuration in force, and what follows from it."""

from __future__ import annotations

from locktide.scheduler.config import SchedulerConfig, ServiceClass


class ActiveConfig:
    """The configuration in force; requests keep the service class that they came with."""

    __slots__ = ("current", "service_classes", "known_service_classes", "dispatcher_share")

    def __init__(self, config: SchedulerConfig) -> None:
        self.current = config
        self.service_classes: dict[str, ServiceClass] = {}
        # Also those of earlier configurations, as requests of them may still come.
        self.known_service_classes: dict[str, ServiceClass] = {}
        self.dispatcher_share = 1.0  # our even part of the fleet
        self.replace(config)

    def replace(self, config: SchedulerConfig) -> None:
        """Put another configuration in force."""
        self.current = config
        self.service_classes = {each.name: each for each in config.service_classes}
        self.known_service_classes |= self.service_classes
        self.dispatcher_share = 1.0 / config.dispatcher_count
