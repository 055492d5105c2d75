"""The loop round the module: one clock, one writer."""
