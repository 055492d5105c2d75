"""Learned state: snapshots on disk, their ageing and restoration, and confidence in a cached endpoint list."""
