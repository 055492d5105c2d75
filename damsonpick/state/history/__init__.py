"""Versions of the published tables: digests, history, rollback and pin. Only `database` does I/O."""
