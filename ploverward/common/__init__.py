"""What both roles and the operators' tools share: errors, settings, log events, residency, rows that nodes exchange."""
