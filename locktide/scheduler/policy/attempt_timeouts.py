"""Attempt timeouts: what sign is expected from an attempt by when."""

from locktide.scheduler.state import ActiveConfig


class AttemptTimeouts:
    """Limits within which an attempt has to give a sign."""

    def __init__(self, config: ActiveConfig) -> None:
        self._config = config
        self.prompt_start = 0  # microseconds: a start later than this after sending is late

    def configure(self) -> None:
        """Follow the configuration in force."""
        classes = self._config.service_classes.values()
        # A quarter of the shortest objective: later is late, as little is left.
        self.prompt_start = min([each.latency_objective for each in classes]) // 4
