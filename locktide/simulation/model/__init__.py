"""The model of the fleets that locktide serves: workers, roster, clients, front, links, and a checker that
sees all.

State machines and sums, with no socket and no clock: the time comes as an argument in whole microseconds,
chance from seeds. `locktide.simulation` drives them, on loopback or in virtual time.
"""
