"""What dispatchers agree upon: which of them are alive, and how much of each quota each may use.

Off unless it is switched on; docs/design/cluster.md has the promises and their proofs.
"""
