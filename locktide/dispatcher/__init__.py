"""One dispatcher process: passes events from its sockets to the scheduler and carries out its commands."""
