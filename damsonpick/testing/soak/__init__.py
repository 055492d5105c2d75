"""Seeded soaks of a pilot that uses the platform's protocol.

A soak runs the real program over sockets against fakes, and injects faults in random order.
"""
