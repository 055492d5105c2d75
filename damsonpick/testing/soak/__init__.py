"""A seeded soak of the platform's pilot: the real program on sockets, against fakes that fail in any order."""
