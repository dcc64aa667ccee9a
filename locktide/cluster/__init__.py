"""The cluster of dispatchers: they agree on which of them are alive and how much of each quota each may use.

The cluster is off unless the configuration switches it on. docs/design/cluster.md states the guarantees and
proves them.
"""
