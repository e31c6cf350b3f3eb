"""What this proxy's requests used of replicas, by window of time and tenant (docs/platform-duties.md)."""
