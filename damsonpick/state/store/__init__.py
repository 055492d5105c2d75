"""Persistent storage in SQLite: tables, persistent actions, the endpoint list and slice leases."""
