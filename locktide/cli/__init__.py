"""The command line: parses arguments, runs the commands, prints their results, sets the exit code."""
