"""An asyncio event loop with a virtual clock and an in-memory network: the same seed gives the same run, byte
for byte.

Time passes only when nothing is left to do at the present moment. What runs in the context of a process that
was killed is never run again, so that a process can die between any two bytes.
"""
