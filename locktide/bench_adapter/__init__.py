"""The host for the simulator's wire: it translates, and decides nothing."""
