"""HTTP messages between dispatcher, clients, workers and discovery, as state machines that are fed bytes.

Nothing here opens a socket, reads a clock or waits.
"""
