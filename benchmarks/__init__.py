"""Benchmarks. Each file says how to run it."""
