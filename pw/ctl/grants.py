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


class Parts:
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
