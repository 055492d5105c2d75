"""Versions of the published tables: their digests, their history, rollback and pin. Only the database does I/O."""
