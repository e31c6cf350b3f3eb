"""Connections to replicas: the socket (`upstream_connection`), the protocol (`response_reader`), what went wrong."""
