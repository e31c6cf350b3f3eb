"""Logs: a ring in memory, written out when something goes wrong, and little else."""

import collections
import logging
import sys
import time

RING_LINES = 200
_ring = collections.deque(maxlen=RING_LINES)
_log = logging.getLogger("ploverward")
_dumped_at = [0.0]
_is_verbose = [False]


def start(*, node: str, role: str, is_verbose: bool = False) -> None:
    _is_verbose[0] = is_verbose
    from pythonjsonlogger import json as json_log  # only programs that write need it

    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_log.JsonFormatter("%(asctime)s %(levelname)s %(message)s", static_fields={"node": node, "role": role})
    )
    _log.handlers[:] = [handler]
    _log.setLevel(logging.INFO)
    _log.propagate = False


def record(text: str, **fields) -> None:
    _ring.append((time.monotonic(), text, fields))
    if _is_verbose[0]:
        _log.info(text, extra={"seen": fields})


def log_event(text: str, **fields) -> None:
    """One line at once: start, end, settings."""
    record(text, **fields)
    _log.info(text, extra={"seen": fields})


def dump(reason: str, *, fault=None) -> None:
    """Something went wrong: the reason now, and the ring behind it, at most every few seconds."""
    record(reason)
    _log.error(reason, exc_info=fault)
    now = time.monotonic()
    if now - _dumped_at[0] < 5.0:
        return
    _dumped_at[0] = now
    while _ring:
        when, text, fields = _ring.popleft()
        _log.info(text, extra={"at": round(when, 4), "seen": fields})
