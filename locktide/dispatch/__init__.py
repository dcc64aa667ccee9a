"""The decisions (rules.py) and the types they share with any host (interface.py)."""
