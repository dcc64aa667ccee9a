"""What dispatchers agree upon: who is alive, and how much of each budget is whose. Off unless it is switched
on; docs/design/accord.md tells the promises and their proofs.
"""
