"""An asyncio event loop with a virtual clock and an in-memory network: the same seed gives the same run, byte
for byte.

Time advances only when no callback is left to run at the current time. Callbacks in the context of a process
that was killed are never run again, so that a process can crash between any two bytes.
"""
