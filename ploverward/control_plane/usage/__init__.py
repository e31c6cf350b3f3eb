"""Reports of use to the platform: one node at a time makes them, a window at a time (docs/platform-duties.md)."""
