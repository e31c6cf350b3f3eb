"""The store node: persists and replicates jobs of the batch tier and leases their items to proxies (docs/batch.md)."""
