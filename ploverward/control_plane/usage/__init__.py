"""Usage reports to the platform: one node at a time sends one report per time window (docs/platform-duties.md)."""
