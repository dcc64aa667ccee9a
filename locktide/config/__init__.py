"""The configuration: the only place where it is read, checked and given defaults."""
