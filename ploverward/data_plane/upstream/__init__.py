"""Connections to replicas: the socket (`upstream_connection`), the protocol (`response_reader`) and the errors."""
