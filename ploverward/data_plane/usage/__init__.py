"""Counts of this proxy's requests that ran at replicas, by time window and tenant (docs/platform-duties.md)."""
