"""Rehearsals: a scripted rough day, played by the fleet's model against real dispatchers, and what came of
it.

Stand-ins on asyncio drive the model of `locktide.simulation.model`. The same stand-ins run on loopback,
with dispatchers as processes, and in virtual time, with the dispatchers' own code in this process.
"""
