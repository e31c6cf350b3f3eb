"""Custody trails: where requests' content was sent and cached. Stored by core nodes, audited by operators' tools."""
