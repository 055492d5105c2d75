"""The running pilot: every part put together under one task group."""
