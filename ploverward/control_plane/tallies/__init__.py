"""Tallies: counters that each core node adds to on any side of a partition and merges later (docs/tallies.md)."""
