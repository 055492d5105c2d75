"""Adapter for the wire protocol of the simulator: codec and host. It only translates and takes no decisions."""
