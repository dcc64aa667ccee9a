"""Transport: reads from and writes to sockets for the state machines in `locktide.protocol`."""
