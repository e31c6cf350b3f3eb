"""ploverward: serves a language model across regions (docs/architecture.md)."""
