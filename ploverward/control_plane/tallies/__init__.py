"""Tallies: replicated counters that accept adds on every side of a partition and merge later (docs/tallies.md)."""
