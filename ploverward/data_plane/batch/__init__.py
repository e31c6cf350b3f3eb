"""The proxy's side of batch jobs: the API for clients, connections to stores, and runs of items (docs/batch.md)."""
