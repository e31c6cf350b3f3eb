"""Grant entries: shares of the bounds that hold over all machines (design 8).

Each core node owns an equal part of every bound and hands it out with the leases. An entry counts
until it has run out and its window is over, so the sum out never passes the part.
"""


class Book:
    def __init__(self, *, now, life_s: float, window_s: float, quiet_until: float):
        self._now = now
        self._life_s = life_s
        self._window_s = window_s
        self._quiet_until = quiet_until
        self._out = {}  # node: [(share, counts until)]

    def _held(self, node: str) -> float:
        """The most that a node may be using: the largest of its entries that still count."""
        now = self._now()
        rows = [row for row in self._out.get(node, ()) if row[1] > now]
        if rows:
            self._out[node] = rows
        else:
            self._out.pop(node, None)
        return max((share for share, _until in rows), default=0.0)

    def total_out(self) -> float:
        return sum(self._held(node) for node in list(self._out))

    def renew(self, *, node: str, part: float, live: int) -> float:
        """The share for a node that renews its lease; it may be 0."""
        if self._now() < self._quiet_until or live <= 0:
            return 0.0
        own = self._held(node)
        free = part - self.total_out() + own
        share = max(0.0, min(part / live, free))
        if share > 0.0:
            until = self._now() + self._life_s + self._window_s
            rows = [row for row in self._out.get(node, ()) if row[0] > share]
            self._out[node] = rows + [(share, until)]
        return share


class Slots:
    """Numbers for rates of which a node's even part is less than one request a second (design 8).

    Every node that may still act on its entry has a number of its own below `size`. Of any `size` numbers in a row, so
    many as the part allows are picked for each cold replica, and only their holders send to it: one request a second each.
    """

    STEP = 8

    def __init__(self, *, now, hold_s: float):
        self._now = now
        self._hold_s = hold_s
        self._held = {}  # node: (slot, until)
        self._size = self.STEP
        self._quiet_until = 0.0

    def renew(self, *, node: str) -> tuple:
        """(slot, size); size 0: none yet. A size that changes is told once all older entries have run out."""
        now = self._now()
        for other in [other for other, (_slot, until) in self._held.items() if until <= now]:
            del self._held[other]
        if node in self._held:
            slot = self._held[node][0]
        else:
            taken = {slot for slot, _until in self._held.values()}
            slot = next(number for number in range(len(taken) + 1) if number not in taken)
        self._held[node] = (slot, now + self._hold_s)
        most = max(slot for slot, _until in self._held.values()) + 1
        if most > self._size or most * 2 + self.STEP <= self._size:
            self._size = -(-most // self.STEP) * self.STEP + self.STEP
            self._quiet_until = now + self._hold_s
        return (slot, self._size) if now >= self._quiet_until else (0, 0)
