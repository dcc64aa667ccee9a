"""Service classes of requests that were accepted earlier, which the configuration in force may lack."""

from __future__ import annotations

from dataclasses import dataclass

from locktide.scheduler.config import ServiceClass
from locktide.scheduler.state.active_config import ActiveConfig
from locktide.scheduler.state.endpoint_table import EndpointTable
from locktide.scheduler.state.fleet_estimates import FleetEstimates


@dataclass(eq=False)
class AcceptedClasses:
    """Makes such classes known to the tables that are keyed by classes."""

    config: ActiveConfig
    endpoints: EndpointTable
    estimates: FleetEstimates

    def add(self, service_class: ServiceClass) -> None:
        """Make a class known, unless the configuration has one of that name.

        Without it each request of the class ended by an exception, after a restart with a file without it
        (test_job_of_a_class_that_the_file_lacks_is_resumed).
        """
        known_classes = self.config.known_service_classes
        if service_class.name in known_classes:
            return
        known_classes[service_class.name] = service_class
        self.estimates.configure()
        self.endpoints.rebuild_candidates(known_classes.values())
