"""The decisions: which endpoint serves which slice, with what weight, and what share of each request class is admitted.

`Planner.handle` in `planner.py` is the only entry point. Each rule has its own module and works on the `FleetState`.
The package does no I/O and reads no clock. All its random numbers are determined by the planner's seed, and it does not
depend on the iteration order of sets. The same events and the same seed therefore produce the same actions.
"""
