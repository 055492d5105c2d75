"""The decisions: which endpoint serves which slice, at what weight, and how much of each request class is admitted.

`Planner.handle` in `planner.py` is the only entry point. Every rule has a module of its own and works on the
`FleetState`. Nothing here does I/O, reads a clock or draws a random number that the planner's seed does not fix, and
nothing depends on the order of a set: the same events and the same seed give the same actions.
"""
