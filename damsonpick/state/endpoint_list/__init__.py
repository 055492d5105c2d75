"""The endpoint list: selects the active list source and validates the lists that the sources send. Sans I/O."""
