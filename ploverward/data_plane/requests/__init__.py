"""Handling of a request from its arrival to its one final response (docs/requests.md).

Start reading at `request_handler`.
"""
