"""Copies the identifiers of accepted orders to the archive register (docs/orders.md 3).

Invariant: a chosen value of the archive covers all orders up to the edition `archived`, so `configuration.orders` may
drop their identifiers from the configuration's register.
"""

from ploverward.control_plane.configuration import order_archive
from ploverward.control_plane.configuration import orders
from ploverward.control_plane.configuration.register_payloads import Payload
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.operator_api.dependencies import Registers


class OrderArchiver:
    """Appends accepted orders to the archive, one write at a time.

    Attributes:
        archived: the edition up to which the archive is known to contain all orders.

    Args:
        registers: the replicated registers.
    """

    def __init__(self, *, registers: Registers) -> None:
        self._registers = registers
        self.archived = 0
        self._is_writing = False

    def learn(self, payload: Payload) -> None:
        """Records a chosen value of the archive. To be called for each version that this node learns."""
        self.archived = max(self.archived, order_archive.archived_through(payload))

    def reconcile(self, payload: Payload) -> None:
        """Archives the orders of a chosen configuration once the archive lacks `MIN_ARCHIVE_BATCH` of them.

        Args:
            payload: a chosen value of the configuration's register.
        """
        rows = [row for row in orders.recent_of(payload) if row[0] > self.archived]
        if self._is_writing or len(rows) < orders.MIN_ARCHIVE_BATCH:
            return
        self._is_writing = True

        def done(error: Exception | None, _number: int, payload: Payload, _result: object) -> None:
            self._is_writing = False
            if error is None:
                self.learn(payload)

        self._registers.change(name=register_names.ARCHIVE, edit=order_archive.edit_for(rows=rows), done=done)
