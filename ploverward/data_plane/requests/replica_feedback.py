"""Consequences of an attempt's outcome for its replica (docs/design.md 7).

A failed attempt makes its replica suspected, and a refusal makes the proxy wait before it sends there again. The state
is kept at the replicas of the table.
"""

import logging
from collections.abc import Callable

from ploverward.data_plane.load_balancing import replica_table

_log = logging.getLogger(__name__)

WRONG_REPLICA_BACKOFF_SHARE = 1 / 2  # of contactMs: by then the endpoint list names the process behind the address
FULL_BACKOFF_SHARE = 1 / 60  # of contactMs: a batch slot is free again soon


class ReplicaFeedback:
    """Records failures and refusals at the replicas."""

    def __init__(self, *, now: Callable[[], float], table: replica_table.Table, contact_s: float) -> None:
        """Creates the feedback of one proxy.

        Args:
            now: seconds on the clock of the replicas' backoff.
            table: the replicas.
            contact_s: the bound `contactMs`.
        """
        self._now = now
        self._table = table
        self._contact_s = contact_s

    def note_attempt_failure(self, *, replica: replica_table.Replica, reason: str, was_up: bool) -> None:
        """An attempt failed; without a connection that was up, the replica itself is suspected."""
        _log.debug("attempt_failed", extra={"replica": replica.id, "reason": reason})
        if not was_up:
            self._table.mark_suspected(replica)

    def note_wrong_replica(self, replica: replica_table.Replica) -> None:
        """421: another process has the address. Until the endpoint list names it, nothing is sent there."""
        replica.close_idle()
        replica.backoff_until = self._now() + self._contact_s * WRONG_REPLICA_BACKOFF_SHARE

    def note_replica_full(self, replica: replica_table.Replica) -> None:
        """The replica refused a request because all its batch slots are in use."""
        backoff_until = self._now() + self._contact_s * FULL_BACKOFF_SHARE
        replica.backoff_until = max(replica.backoff_until, backoff_until)
