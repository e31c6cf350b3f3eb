"""One JSON line an event; a module of its own as only nodes load the JSON formatter."""

import logging
from typing import Any

from pythonjsonlogger import json as json_log

# Attributes of a LogRecord that are not the event's own fields.
_RECORD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "at"}


class EventFormatter(json_log.JsonFormatter):
    """Writes time, level, the event's name as `message`, `node`, `role`, and the event's own fields under `seen`.

    An event that was kept in memory has `at` as well: the node's monotonic clock, in seconds, when it was logged.

    Args:
        node: The node's name.
        role: `core` or `proxy`.
    """

    def __init__(self, *, node: str, role: str) -> None:
        super().__init__("%(asctime)s %(levelname)s %(message)s", static_fields={"node": node, "role": role})

    def add_fields(self, log_data: dict[str, Any], record: logging.LogRecord, message_dict: dict[str, Any]) -> None:
        """Puts the event's own fields under one key, so that none can hide a field of the line."""
        super().add_fields(log_data, record, message_dict)
        seen = {name: value for name, value in vars(record).items() if name not in _RECORD_ATTRIBUTES}
        for name in seen:
            log_data.pop(name, None)
        if seen:
            log_data["seen"] = seen
        if "at" in log_data:
            log_data["at"] = round(log_data["at"], 4)
