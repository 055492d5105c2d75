"""Measurements; each file says how to run it."""
