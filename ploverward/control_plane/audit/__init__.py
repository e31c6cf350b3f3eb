"""Custody trails: where the content of requests was sent and cached. Stored by core nodes, audited by operators' tools."""
