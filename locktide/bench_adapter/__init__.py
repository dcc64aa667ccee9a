"""Runs the scheduler behind the wire of the simulator; the adapter translates, and decides nothing.

`line` parses one line, `spellings` defines the names that are read, `decoding` turns lines into events and
`encoding` turns commands into lines; `adapter` reads batches and runs the schedulers.
"""
