"""What outlives a pilot: tables, custody, gateway numbers and the last server list."""
