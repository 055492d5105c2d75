"""Stand-ins of the platform, its proxies, servers and clients, for the cases 6 to 10 of the review."""
