"""Learned state: its snapshot on disk, how it ages, how it is restored, and confidence in a cached endpoint list."""
