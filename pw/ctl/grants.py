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
