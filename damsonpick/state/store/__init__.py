"""What outlives a process: tables, persistent actions, the endpoint list and slice leases, in SQLite."""
