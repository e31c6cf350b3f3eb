"""A request from its arrival to its one final answer (docs/requests.md). Begin with `request_handler`."""
