"""Model of the fleet around the dispatchers: workers, discovery service, clients, load balancer, network
links, and the checker that observes all of them.

The model consists of state machines and calculations, without sockets or clocks: the time is an argument in
whole microseconds, random numbers come from seeds. `locktide.simulation` drives the model, on loopback or in
virtual time.
"""
