"""The decisions (rules/) and the types they share with any host (interface/)."""
