"""Applies new settings while the process serves."""

from __future__ import annotations

from dataclasses import dataclass

from locktide.config.address import format_address
from locktide.config.start import Start
from locktide.dispatcher.endpoint_follower import EndpointFollower
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.scheduler_bridge import SchedulerBridge
from locktide.dispatcher.settings import SettingsUpdater, with_socket_settings
from locktide.scheduler.events import ConfigReloaded
from locktide.transport.log import Log


@dataclass(eq=False, slots=True, kw_only=True)
class ConfigReloader:
    """Passes new settings to the components that use them, and to the scheduler."""

    updater: SettingsUpdater
    bridge: SchedulerBridge
    registry: RequestRegistry
    follower: EndpointFollower
    log: Log

    def reload(self, start: Start) -> None:
        """Put new settings in force, among them the address of discovery.

        Open requests keep their deadlines and service classes, and connections and jobs continue. A reload
        with the earlier settings restores them completely.
        """
        start = with_socket_settings(start)
        self.updater.apply(start)
        self.bridge.enqueue_event(ConfigReloaded(start.scheduler_config))
        self._log_reload()
        self.follower.restart()

    def _log_reload(self) -> None:
        discovery = format_address(self.updater.settings.discovery)
        service_classes = ", ".join(self.updater.listener.timeouts)
        open_count = self.registry.open_count()
        self.log.emit(
            f"reload: settings taken, {open_count} requests open; service classes {service_classes}; "
            f"endpoint list from {discovery}",
            event="config_reloaded",
            discovery=discovery,
            open=open_count,
            service_classes=service_classes,
        )
