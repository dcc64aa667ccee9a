"""The cluster protocol under faults: runs in virtual time and of real processes, model checking, checkers."""
