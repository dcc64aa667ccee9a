"""Simulation: runs a scenario with faults on an emulated fleet of real dispatchers, and reports the outcome.

Emulated workers, clients and discovery services on asyncio drive the model of `locktide.simulation.model`.
They run on loopback, with dispatchers as processes, and in virtual time, with the dispatchers' own code in
this process.
"""
