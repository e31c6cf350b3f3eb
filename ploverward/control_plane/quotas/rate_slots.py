"""Rate slots: numbers by which many proxies share a rate that allows less than one request per second to each.

`RateSlots` owns the numbers at one core node (design 8). Invariant: no two nodes that may still act on their lease have
the same slot, and all of them received the same slot count. Of any `slot_count` successive numbers, as many as the
owned share allows are selected for each replica that is warming up, by a hash of the replica; only the owners of these
numbers send to it, one request per second each (`ploverward.data_plane.quotas.shared_limits`).
"""

import heapq
import math
import typing
from collections.abc import Callable

import sortedcontainers

SLOT_COUNT_STEP = 8  # the slot count is a multiple of this and includes as many spare slots, so that it rarely changes


class RateSlot(typing.NamedTuple):
    """A node's slot and the slot count, on which it may act. A `slot_count` of 0 means that it has no slot yet."""

    slot: int
    slot_count: int


class _Reservation(typing.NamedTuple):
    """A node's slot, and the time until which the node may act on it."""

    slot: int
    until: float


NO_SLOT = RateSlot(slot=0, slot_count=0)


class RateSlots:
    """Slots of all nodes.

    Args:
        now: Clock of this process, in seconds.
        reserved_s: How long a node may act on a slot: the duration of its lease and the window of a rate.
    """

    def __init__(self, *, now: Callable[[], float], reserved_s: float) -> None:
        self._now = now
        self._reserved_s = reserved_s
        self._reservations: dict[str, _Reservation] = {}  # by node
        self._used = sortedcontainers.SortedList()
        self._free = sortedcontainers.SortedList()  # released slots below the highest used one
        self._expirations: list[tuple[float, str]] = []  # heap of (until, node)
        self._slot_count = SLOT_COUNT_STEP
        self._withheld_until = 0.0

    def renew(self, *, node: str) -> RateSlot:
        """Reserves the node's slot for another `reserved_s`.

        Returns:
            The slot; after a change of the slot count, `NO_SLOT` until all reservations under the former count expired.
        """
        now = self._now()
        self._expire(now)
        slot = self._reservations[node].slot if node in self._reservations else self._allocate()
        until = now + self._reserved_s
        self._reservations[node] = _Reservation(slot, until)
        heapq.heappush(self._expirations, (until, node))
        needed = self._used[-1] + 1
        if needed > self._slot_count or needed * 2 + SLOT_COUNT_STEP <= self._slot_count:
            self._slot_count = math.ceil(needed / SLOT_COUNT_STEP) * SLOT_COUNT_STEP + SLOT_COUNT_STEP
            self._withheld_until = until
        return RateSlot(slot, self._slot_count) if now >= self._withheld_until else NO_SLOT

    def _expire(self, now: float) -> None:
        while self._expirations and self._expirations[0][0] <= now:
            _until, node = heapq.heappop(self._expirations)
            reservation = self._reservations.get(node)
            if reservation is not None and reservation.until <= now:
                del self._reservations[node]
                self._used.remove(reservation.slot)
                self._free.add(reservation.slot)

    def _allocate(self) -> int:
        next_slot = self._used[-1] + 1 if self._used else 0
        slot = self._free.pop(0) if self._free else next_slot
        self._used.add(slot)
        return slot
