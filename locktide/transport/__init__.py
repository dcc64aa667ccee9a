"""The sockets: thin drivers that read and write for the state machines in locktide.protocol."""
