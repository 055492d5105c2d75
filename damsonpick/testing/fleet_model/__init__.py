"""A model of planners, store, channels and proxies of a site with slices, in simulated time, that checks the rules.

It runs the decisions without sockets, with the behaviour of store and proxies that the platform's protocol states.
Random days with failures are played with `python -m damsonpick.testing.fleet_model FIRST COUNT`.
"""
