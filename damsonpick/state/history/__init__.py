"""Versions of the published tables: their digests, their history, the way back. The store is the one thing written."""
