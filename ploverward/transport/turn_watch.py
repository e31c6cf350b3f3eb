"""Logs turns of the event loop that took long, and for whom (docs/operations.md, "Log events").

While one callback runs, the process answers nobody else, neither readiness checks nor heartbeats of its peers.
A long turn is therefore a fault of this process even if every callback succeeds. `TurnWatch` measures each turn, and
names the callback that took the largest part of the longest one, with the other end of its connection.
"""

import logging
from collections.abc import Callable

_log = logging.getLogger(__name__)

LONG_TURN_S = 0.25  # a readiness check or a heartbeat tolerates it, several in a row they do not
REPORT_INTERVAL_S = 5.0  # between two events; the turns in between are counted


class TurnWatch:
    """Measures the turns of one event loop.

    Args:
        now: Returns the time of a monotonic clock, in seconds.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._turn_began_at = 0.0
        self._call_began_at = 0.0
        self._longest_call_s = 0.0  # of this turn
        self._longest_callback: Callable | None = None
        self._long_turns = 0  # since the last event
        self._reported_at = -REPORT_INTERVAL_S

    def begin_turn(self) -> None:
        """Notes that the wait of a turn is over and its calls begin."""
        self._turn_began_at = self._call_began_at = self._now()
        self._longest_call_s = 0.0
        self._longest_callback = None

    def note_call(self, callback: Callable) -> None:
        """Notes the end of a call; the next one begins at the same time."""
        now = self._now()
        took_s = now - self._call_began_at
        self._call_began_at = now
        if took_s > self._longest_call_s:
            self._longest_call_s = took_s
            self._longest_callback = callback

    def end_turn(self) -> None:
        """Logs the turn if it took long and no other one was logged recently."""
        took_s = self._call_began_at - self._turn_began_at
        if took_s < LONG_TURN_S:
            return
        self._long_turns += 1
        if self._call_began_at - self._reported_at < REPORT_INTERVAL_S:
            return
        _log.info(
            "turn_long",
            extra={
                "took_s": round(took_s, 3),
                "call_s": round(self._longest_call_s, 3),
                "call": getattr(self._longest_callback, "__qualname__", type(self._longest_callback).__name__),
                "peer": peer_of(self._longest_callback),
                "turns": self._long_turns,
            },
        )
        self._reported_at = self._call_began_at
        self._long_turns = 0


def peer_of(callback: Callable | None) -> str:
    """Returns the ADDRESS:PORT of the other end of a callback's connection; empty if there is none."""
    sock = getattr(getattr(callback, "__self__", None), "sock", None)
    try:
        host, port = sock.getpeername()  # type: ignore[union-attr]
    except (AttributeError, OSError, ValueError):
        return ""
    return f"{host}:{port}"
