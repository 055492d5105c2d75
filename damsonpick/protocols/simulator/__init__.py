"""The simulator's wire: codec and host. Translates and nothing else."""
