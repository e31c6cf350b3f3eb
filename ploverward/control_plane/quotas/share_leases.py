"""Grant entries: shares of the bounds that hold over all machines (design 8).

Each core node owns an equal part of every bound and hands it out with the leases. An entry counts
until it has run out and its window is over, so the sum out never passes the part.
"""

import heapq
import math

import sortedcontainers

SUMMED_ANEW = 1024  # after so many changes a running total is summed anew


class ShareTable:
    """Shares of one bound. A renewal costs the same however many nodes there are: what is out is a running total."""

    def __init__(self, *, now, lease_s: float, window_s: float, withheld_until: float):
        self._now = now
        self._lease_s = lease_s
        self._window_s = window_s
        self._withheld_until = withheld_until
        self._out = {}  # node: [(share, counts until)]
        self._leased = {}  # node: the most that it may be using, the largest of its entries that still count
        self._total = 0.0
        self._ends = []  # heap of (counts until, node)
        self._changes = 0

    def _expire(self) -> None:
        """Takes off what has run out by now."""
        now = self._now()
        while self._ends and self._ends[0][0] <= now:
            _until, node = heapq.heappop(self._ends)
            rows = [row for row in self._out.get(node, ()) if row[1] > now]
            self._set(node, rows)

    def _set(self, node: str, rows: list) -> None:
        leased = max((share for share, _until in rows), default=0.0)
        self._total += leased - self._leased.get(node, 0.0)
        if rows:
            self._out[node], self._leased[node] = rows, leased
        else:
            self._out.pop(node, None)
            self._leased.pop(node, None)
        self._changes += 1
        if self._changes % SUMMED_ANEW == 0:
            self._total = math.fsum(self._leased.values())  # rounding must not add up

    def total_out(self) -> float:
        self._expire()
        return self._total

    def renew(self, *, node: str, part: float, live: int) -> float:
        """The share for a node that renews its lease; it may be 0."""
        if self._now() < self._withheld_until or live <= 0:
            return 0.0
        free = part - self.total_out() + self._leased.get(node, 0.0)
        share = max(0.0, min(part / live, free))
        if share > 0.0:
            until = self._now() + self._lease_s + self._window_s
            rows = [row for row in self._out.get(node, ()) if row[0] > share]
            self._set(node, rows + [(share, until)])
            heapq.heappush(self._ends, (until, node))
        return share


class OwnedShare:
    """The part of every bound that this core node owns, while the core set changes (docs/control.md 2).

    A part that shrinks counts at once. One that grows counts `wait_s` after this node learned of it: until then a
    member that was evicted, or that does not know of the change yet, may still have handed out what is now this node's.
    """

    def __init__(self, *, now, wait_s: float, first_part: float = 0.0):
        self._now = now
        self._wait_s = wait_s
        self._part = first_part
        self._version = 0
        self._older = []  # (part, until): smaller parts that still bind

    def resume(self, *, part: float, version: int) -> None:
        """What this node owned when it stopped: its disk holds that version as agreed."""
        self._part = part
        self._version = version

    def install(self, *, part: float, version: int) -> None:
        """This node's part under the newest core set that it knows. Under a version that it missed it may have had none."""
        least = self._part if version <= self._version + 1 else 0.0
        self._version = version
        if part > least:
            self._older.append((least, self._now() + self._wait_s))
        self._part = part

    def value(self) -> float:
        """What may be handed out now, from 0 to 1."""
        now = self._now()
        self._older = [(part, until) for part, until in self._older if until > now]
        return min([self._part, *(part for part, _until in self._older)])


class RateSlots:
    """Numbers for rates of which a node's even part is less than one request a second (design 8).

    Every node that may still act on its entry has a number of its own below `size`. Of any `size` numbers in a row, so
    many as the part allows are picked for each cold replica, and only their holders send to it: one request a second each.
    """

    STEP = 8

    def __init__(self, *, now, hold_s: float):
        self._now = now
        self._hold_s = hold_s
        self._leased = {}  # node: (slot, until)
        self._slots = sortedcontainers.SortedList()  # those held
        self._free = sortedcontainers.SortedList()  # those below the highest held that are free again
        self._ends = []  # heap of (until, node)
        self._size = self.STEP
        self._withheld_until = 0.0

    def _expire(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            _until, node = heapq.heappop(self._ends)
            slot, until = self._leased.get(node, (0, math.inf))
            if until <= now:
                del self._leased[node]
                self._slots.remove(slot)
                self._free.add(slot)

    def _new_slot(self) -> int:
        slot = self._free.pop(0) if self._free else (self._slots[-1] + 1 if self._slots else 0)
        self._slots.add(slot)
        return slot

    def renew(self, *, node: str) -> tuple:
        """(slot, size); size 0: none yet. A size that changes is told once all older entries have run out."""
        now = self._now()
        self._expire(now)
        slot = self._leased[node][0] if node in self._leased else self._new_slot()
        self._leased[node] = (slot, now + self._hold_s)
        heapq.heappush(self._ends, (now + self._hold_s, node))
        most = self._slots[-1] + 1
        if most > self._size or most * 2 + self.STEP <= self._size:
            self._size = -(-most // self.STEP) * self.STEP + self.STEP
            self._withheld_until = now + self._hold_s
        return (slot, self._size) if now >= self._withheld_until else (0, 0)
