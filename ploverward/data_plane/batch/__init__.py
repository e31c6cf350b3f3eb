"""Jobs at a proxy: calls of clients, the connections to stores, and the items that run here (docs/batch.md)."""
