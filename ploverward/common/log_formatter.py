"""Formats each log event as a JSON line; a separate module because only nodes need to load the JSON formatter."""

import logging
from typing import Any

from pythonjsonlogger import json as json_log

# Attributes of a LogRecord that are not fields of the event.
_RECORD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "at"}


class EventFormatter(json_log.JsonFormatter):
    """Formats time, level, the event's name as `message`, `node`, `role`, and the event's fields under `seen`.

    A buffered event also has `at`: the time when it was logged, in seconds on the node's monotonic clock.

    Args:
        node: Name of the node.
        role: `core` or `proxy`.
    """

    def __init__(self, *, node: str, role: str) -> None:
        super().__init__("%(asctime)s %(levelname)s %(message)s", static_fields={"node": node, "role": role})

    def add_fields(self, log_data: dict[str, Any], record: logging.LogRecord, message_dict: dict[str, Any]) -> None:
        """Puts the event's fields under one key, so that none of them can overwrite a field of the line."""
        super().add_fields(log_data, record, message_dict)
        seen = {name: value for name, value in vars(record).items() if name not in _RECORD_ATTRIBUTES}
        for name in seen:
            log_data.pop(name, None)
        if seen:
            log_data["seen"] = seen
        if "at" in log_data:
            log_data["at"] = round(log_data["at"], 4)
