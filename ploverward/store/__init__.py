"""The store: keeps jobs of the batch tier on disk, and gives their items to proxies (docs/batch.md)."""
