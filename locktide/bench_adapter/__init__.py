"""The scheduler behind the wire of the simulator: it translates, and decides nothing.

`line` parses one line, `spellings` has the words that are read, `decoding` makes events of lines and
`encoding` makes lines of commands; `adapter` reads batches and runs the schedulers.
"""
