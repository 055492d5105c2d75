"""Learned state: its snapshot on disk, how it ages, how it is restored, and confidence in a kept endpoint list."""
