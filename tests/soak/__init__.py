"""The soak: seeded scripts of signals, faults and raw clients, run on loopback and in virtual time."""
