"""A seeded soak of the platform's pilot: the real program on sockets, against fakes with faults in random order."""
