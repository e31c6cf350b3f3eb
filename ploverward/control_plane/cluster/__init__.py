"""How core nodes act as one cluster: peer sessions, majority lease, voting set, singleton roles (docs/control.md)."""
