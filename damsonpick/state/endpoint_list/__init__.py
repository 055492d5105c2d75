"""The endpoint list: choosing among its sources and validating what they say. Sans I/O."""
