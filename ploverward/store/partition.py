"""One partition at its primary: the log, how far each copy is, and the lots (docs/batch.md 2, 3).

An entry is committed once it is on this store's disk and on those of all backups. Only then is it applied, answered and
shown, so what was shown or promised is on all copies.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable

from ploverward.common import batch_partitions
from ploverward.store import lot_entries
from ploverward.store import lot_table
from ploverward.store import store_disk
from ploverward.transport import batch_messages
from ploverward.transport.batch_messages import Condition
from ploverward.transport.batch_messages import Outcome

LEASE_S = 20.0  # of an item: longer than the longest run
RETRY_PAUSE_S = 0.5  # from a run that failed to the next one

Reply = Callable[[Outcome], object]


class PartitionLog:
    """The entries of a partition at one store.

    Attributes:
        entries: The first one has position 1.
        durable: Position of the last one that is synced here, and all before it.
    """

    def __init__(self) -> None:
        self.entries: list[bytes] = []
        self.durable = 0

    def append(self, data: bytes) -> int:
        """Adds an entry and returns its position."""
        self.entries.append(data)
        return len(self.entries)

    def after(self, position: int) -> list[bytes]:
        """Returns the entries behind a position."""
        return self.entries[position:]


class Partition:
    """A partition that this store is the primary of.

    Args:
        number: Of the partition.
        owners: Its stores.
        log: What this store has of it.
        add: Writes an entry to this store's disk.
        now: The loop's clock, in seconds.
        wall_time: The time of day, in seconds.
        on_appended: Called after an entry was added: backups are to get it.

    Attributes:
        number: As given.
        owners: As given.
        log: As given.
        table: The committed lots.
        stored_at: Position up to which each backup has the log on its disk.
        committed: Position of the last entry that all copies have.
    """

    def __init__(
        self,
        *,
        number: int,
        owners: batch_partitions.PartitionOwners,
        log: PartitionLog,
        add: Callable[[store_disk.StoredEntry], object],
        now: Callable[[], float],
        wall_time: Callable[[], float],
        on_appended: Callable[[Partition], object],
    ) -> None:
        self.number = number
        self.owners = owners
        self.log = log
        self.table = lot_table.LotTable()
        self.stored_at = dict.fromkeys(owners.backups, 0)
        self.committed = 0
        self._add = add
        self._now = now
        self._wall_time = wall_time
        self._on_appended = on_appended
        self._waiting: dict[int, list[Callable[[], object]]] = {}  # position: what follows its commit
        self._submitted: dict[tuple[str, str], int] = {}  # lots that are being written: position
        self._submitted_tokens: dict[tuple[str, str], dict[str, int]] = {}  # tenant and route: tokens by such a lot

    @property
    def is_complete(self) -> bool:
        """Whether all that this store has of the log is committed, so that it may say what there is not."""
        return self.committed == len(self.log.entries)

    # Commit.
    def _append(self, entry: lot_entries.Entry, *, then: Callable[[], object]) -> int:
        data = lot_entries.pack(entry)
        position = self.log.append(data)
        self._waiting.setdefault(position, []).append(then)
        self._add(store_disk.StoredEntry(self.number, position, data))
        self._on_appended(self)
        return position

    def handle_stored(self, backup: str, position: int) -> None:
        """A backup has the log up to this position."""
        if backup in self.stored_at:
            self.stored_at[backup] = max(self.stored_at[backup], min(position, len(self.log.entries)))
            self.advance()

    def advance(self) -> None:
        """Applies what all copies have by now, and answers those who wait for it."""
        reached = min([self.log.durable, *self.stored_at.values()])
        while self.committed < reached:
            self.committed += 1
            self.table.apply(lot_entries.unpack(self.log.entries[self.committed - 1]))
            for then in self._waiting.pop(self.committed, ()):
                then()

    # Lots.
    def submit(self, message: batch_messages.SubmitLot, reply: Reply) -> None:
        """Takes a lot once; `reply` is called when it is kept, or at once where it is not taken."""
        if not self.is_complete and self.committed == 0:
            reply(Outcome.NOT_OWNER)  # it has not heard from its backups since its start
            return
        key = (message.tenant, message.lot)
        if key in self.table.lots:
            reply(Outcome.DONE)
            return
        if key in self._submitted:
            self._waiting.setdefault(self._submitted[key], []).append(lambda: reply(Outcome.DONE))
            return
        tokens = sum(item.tokens for item in lot_table.items_of(message.body).values())
        if message.max_queued_tokens and self._queued(message) + tokens > message.max_queued_tokens:
            reply(Outcome.OVER_QUOTA)
            return
        entry = lot_entries.LotAccepted(
            tenant=message.tenant,
            lot=message.lot,
            route=message.route,
            due_at=self._wall_time() + message.due_ms / 1000,
            max_attempts=message.max_attempts,
            body=message.body,
        )
        self._submitted_tokens.setdefault((message.tenant, message.route), {})[message.lot] = tokens
        self._submitted[key] = self._append(entry, then=lambda: self._handle_accepted(message, reply))

    def _queued(self, message: batch_messages.SubmitLot) -> int:
        submitted = self._submitted_tokens.get((message.tenant, message.route), {})
        return self.table.queued_tokens(tenant=message.tenant, route=message.route) + sum(submitted.values())

    def _handle_accepted(self, message: batch_messages.SubmitLot, reply: Reply) -> None:
        self._submitted.pop((message.tenant, message.lot), None)
        self._submitted_tokens[message.tenant, message.route].pop(message.lot, None)
        reply(Outcome.DONE)

    def end_lot(self, message: batch_messages.EndLot, reply: Reply) -> None:
        """Ends a lot; repeated calls are answered alike."""
        lot = self.table.find(tenant=message.tenant, lot=message.lot)
        if lot is None:
            reply(Outcome.NOT_FOUND if self.is_complete else Outcome.NOT_OWNER)
        elif lot.is_ended:
            reply(Outcome.DONE)
        else:
            self._append(lot_entries.LotEnded(message.tenant, message.lot), then=lambda: reply(Outcome.DONE))

    # Items.
    def lease(self, lot: lot_table.Lot, item: lot_table.Item) -> batch_messages.PulledItem:
        """Leases an item to a proxy."""
        item.state = lot_table.ItemState.LEASED
        item.lease_ends_at = self._now() + LEASE_S
        return batch_messages.PulledItem(
            tenant=lot.tenant,
            lot=lot.lot_id,
            item=item.item_id,
            route=lot.route,
            path=item.path,
            headers=_json_bytes(item.headers),
            parcel=item.parcel.encode(),
            left_ms=max(0, math.floor((lot.due_at - self._wall_time()) * 1000)),
        )

    def finish(self, message: batch_messages.FinishItem, reply: Reply) -> None:
        """A run ended: the item is listed, or waits for another run."""
        lot = self.table.find(tenant=message.tenant, lot=message.lot)
        item = lot.items.get(message.item) if lot is not None else None
        if lot is None or item is None:
            reply(Outcome.NOT_FOUND if self.is_complete else Outcome.NOT_OWNER)
            return
        if item.state in (lot_table.ItemState.LISTED, lot_table.ItemState.FINISHING):
            reply(Outcome.DONE)
            return
        condition = Condition(message.condition)
        if condition is Condition.FAILED:
            item.failures += 1
            condition = Condition.DEAD_LETTER if item.failures >= lot.max_attempts else Condition.RELEASED
        if condition is Condition.RELEASED:
            item.state = lot_table.ItemState.WAITING
            item.not_before = self._now() + RETRY_PAUSE_S
            reply(Outcome.DONE)
            return
        item.state = lot_table.ItemState.FINISHING
        text = message.text if condition is Condition.DELIVERED else b""
        entry = lot_entries.ItemListed(message.tenant, message.lot, message.item, int(condition), text)
        self._append(entry, then=lambda: reply(Outcome.DONE))


def _json_bytes(headers: dict[str, str]) -> bytes:
    return json.dumps(headers, separators=(",", ":")).encode()
