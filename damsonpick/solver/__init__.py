"""Weights solved under capacity and cost. Sans I/O; see docs/design/solver.md."""
