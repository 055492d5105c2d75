"""What outlives a process: tables, standing orders, the endpoint list and slice leases, in SQLite."""
