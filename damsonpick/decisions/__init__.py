"""The decisions: which endpoint serves which slice, with what weight, and what share of each request class is admitted.

`Planner.handle` in `planner.py` is the only entry point. Each rule has its own module and works on the `FleetState`.
The package does no I/O, reads no clock, draws no random number that is not determined by the planner's seed, and
depends on the iteration order of no set. The same events and the same seed therefore produce the same actions.
"""
