"""The replicas as this proxy sees them, and the choice of one for an attempt (design 6, docs/scale.md)."""
