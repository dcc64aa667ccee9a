"""What is said on the sockets: state machines that are fed bytes and know no socket."""
