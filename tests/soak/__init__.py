"""The soak: seeded scripts of signals, faults and rough clients, played on loopback and in virtual time."""
