"""Modules shared by core nodes, proxies and tools: errors, settings, log events, residency, exchanged data."""
