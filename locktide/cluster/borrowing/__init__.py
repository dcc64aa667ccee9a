"""Idle capacity lent: what an owner does not use, to whom, and its way back."""
