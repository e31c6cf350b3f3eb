"""Applies the outcome of an attempt to its replica (docs/design.md 7).

A replica whose connection could not be established is suspected, and a replica that refused a request gets a backoff.
The state is kept in the replicas of the table.
"""

import logging
from collections.abc import Callable

from ploverward.data_plane.load_balancing import replica_table

_log = logging.getLogger(__name__)

WRONG_REPLICA_BACKOFF_SHARE = 1 / 2  # share of contactMs: by then the endpoint list has the replica now at the address
FULL_BACKOFF_SHARE = 1 / 60  # share of contactMs: short, since a batch slot becomes free soon


class ReplicaFeedback:
    """Records failed and refused attempts in their replicas."""

    def __init__(self, *, now: Callable[[], float], table: replica_table.ReplicaTable, contact_s: float) -> None:
        """Creates the feedback of a proxy.

        Args:
            now: Returns the time in seconds, on the clock of `backoff_until`.
            table: The replicas.
            contact_s: The bound `contactMs`, in seconds.
        """
        self._now = now
        self._table = table
        self._contact_s = contact_s

    def note_attempt_failure(self, *, replica: replica_table.Replica, reason: str, was_up: bool) -> None:
        """Logs a failed attempt, and marks the replica as suspected if the connection was not established."""
        _log.debug("attempt_failed", extra={"replica": replica.id, "reason": reason})
        if not was_up:
            self._table.mark_suspected(replica)

    def note_wrong_replica(self, replica: replica_table.Replica) -> None:
        """Backs off from a replica whose address answered 421, because another process has the address.

        The backoff lasts until the endpoint list is expected to have that process.
        """
        replica.close_idle()
        replica.backoff_until = self._now() + self._contact_s * WRONG_REPLICA_BACKOFF_SHARE

    def note_replica_full(self, replica: replica_table.Replica) -> None:
        """Backs off briefly from a replica that refused a request because all its batch slots are in use."""
        backoff_until = self._now() + self._contact_s * FULL_BACKOFF_SHARE
        replica.backoff_until = max(replica.backoff_until, backoff_until)
