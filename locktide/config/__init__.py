"""What is read at start: the one place where it is read, checked and given defaults."""
