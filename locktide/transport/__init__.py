"""The sockets: reads and writes for the state machines in `locktide.protocol`."""
