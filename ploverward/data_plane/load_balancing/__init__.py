"""Load balancing: the replicas of this proxy and the choice of one for an attempt (design 6, docs/scale.md)."""
