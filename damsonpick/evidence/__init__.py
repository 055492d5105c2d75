"""What gateways met and asked for: their sums, doubted, added up, and handed to the module."""
