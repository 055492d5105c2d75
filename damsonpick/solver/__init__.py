"""Linear programs that compute table weights from capacities and costs. Sans I/O; see docs/design/solver.md."""
