"""Cluster of core nodes: peer sessions, majority lease, voting set and singleton roles (docs/control.md)."""
