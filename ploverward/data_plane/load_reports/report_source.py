"""What one proxy reports of itself, and how much of it the sums that come back hold already (docs/digest.md 2, 3)."""

import collections

from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import resolution
from ploverward.transport import row_codec

SENT, READ, DONE, BROKEN, FAILED = 0, 1, 2, 3, 4
MAX_READS = 4000
MAX_UNACKNOWLEDGED_REPORTS = 1000
NOTHING = (0, 0, 0)


class Source:
    """Rows are absolute for each replica that changed; outcomes are what ended since the last report."""

    def __init__(self, *, now, regions, suspicion_s: float):
        self._now = now
        self._regions = {name: index for index, name in enumerate(regions)}
        self._names = tuple(regions)
        self._suspicion_s = suspicion_s
        self._number = 0
        self._dirty = {}  # key: replica
        self._suspected = {}  # key: (replica, until)
        self._reported = {}  # key: (region, running, tokens, marks), as of the last report; zero rows are left out
        self._outcomes = {}  # key: [ended, failed]
        self._reads = []
        # For each region: reports that its sums are not known to hold, as (number, {key: load}, is whole).
        self._open = [collections.deque() for _name in self._names]
        self._counted = [{} for _name in self._names]  # for each region {key: load}, as its sums hold it
        self._lost = set(regions)  # regions whose sums hold nothing of ours

    def record(self, *, replica, kind: int) -> None:
        key = row_codec.key_of(replica.id)
        self._dirty[key] = replica
        if kind == BROKEN:
            self._suspected[key] = (replica, self._now() + self._suspicion_s)
        if kind in (DONE, BROKEN, FAILED):
            row = self._outcomes.setdefault(key, [0, 0])
            row[0] += 1
            row[1] += kind != DONE

    def note_read(self, *, replica, service: str, model: str, parts, salt: str = "") -> None:
        """`salt`: what X-Model said, where it names an adapter: parts of different adapters are never the same."""
        if len(self._reads) < MAX_READS and replica.region in self._regions:
            self._reads.append(
                row_codec.pack_read(
                    replica=row_codec.key_of(replica.id),
                    region=self._regions[replica.region],
                    domain=bytes.fromhex(resolution.domain_id(service=service, model=model)),
                    parts=tuple(
                        (cuckoo_filter.token_hash(model=salt or model, part=part, tokens=tokens), tokens)
                        for part, tokens in parts
                    ),
                )
            )

    def _row(self, key: bytes, replica) -> tuple:
        return (
            self._regions.get(replica.region, 255),
            row_codec.short(replica.running),
            row_codec.long(sum(replica.prefill_tokens.values())),
            int(key in self._suspected),
        )

    def _look(self) -> None:
        now = self._now()
        for key in [key for key, (_replica, until) in self._suspected.items() if until <= now]:
            self._dirty[key] = self._suspected.pop(key)[0]

    def _build(self, changed: dict, is_snapshot: bool) -> tuple:
        self._number += 1
        parts = []
        for key in changed.keys() | self._outcomes.keys():
            region, *load = changed.get(key) or self._reported.get(key) or (255, *NOTHING)
            ended, failed = self._outcomes.get(key, NOTHING[:2])
            parts.append(row_codec.REPORTED.pack(key, region, *load, row_codec.short(ended), row_codec.short(failed)))
        self._outcomes = {}
        reads, self._reads = self._reads, []
        for index, waiting in enumerate(self._open):
            rows = {key: row[1:] for key, row in changed.items() if row[0] == index}
            if rows or is_snapshot:
                waiting.append((self._number, rows, is_snapshot))
            while len(waiting) > MAX_UNACKNOWLEDGED_REPORTS:  # nobody counts them: a later whole report starts anew
                waiting.popleft()
        return self._number, b"".join(parts), b"".join(reads)

    def take_batch(self):
        """(number, rows, reads) of what changed, or None."""
        self._look()
        changed = {}
        for key, replica in self._dirty.items():
            row = self._row(key, replica)
            if row != self._reported.get(key, (row[0], *NOTHING)):
                changed[key] = row
                self._keep(key, row)
            elif key in self._outcomes:
                changed[key] = row  # names the region
        self._dirty = {}
        if not changed and not self._reads and not self._outcomes:
            return None
        return self._build(changed, False)

    def _keep(self, key, row) -> None:
        if row[1:] == NOTHING:
            self._reported.pop(key, None)
        else:
            self._reported[key] = row

    def checkpoint(self, *, replicas) -> tuple:
        """The whole state, for a holder that knows nothing of this proxy."""
        self._look()
        self._dirty = {}
        self._reported = {}
        for waiting in self._open:
            waiting.clear()
        self._lost = set(self._names)
        for replica in replicas:
            key = row_codec.key_of(replica.id)
            self._keep(key, self._row(key, replica))
        return self._build(dict(self._reported), True)

    def credit(self, *, region: str, number: int) -> None:
        """The sums of this region hold our reports up to this number."""
        index = self._regions.get(region)
        if index is None:
            return
        waiting = self._open[index]
        while waiting and waiting[0][0] <= number:
            _number, changed, is_snapshot = waiting.popleft()
            if is_snapshot:
                self._counted[index] = {}
            for key, row in changed.items():
                if row == NOTHING:
                    self._counted[index].pop(key, None)
                else:
                    self._counted[index][key] = row
        self._lost.discard(region)

    def mark_lost(self, *, region: str) -> None:
        """The sums of this region hold nothing of ours until they say so again."""
        self._lost.add(region)

    def counted(self, replica) -> tuple:
        """(running, tokens, marks) of ours inside the sum that is shown for this replica."""
        if replica.region in self._lost or replica.region not in self._regions:
            return NOTHING
        return self._counted[self._regions[replica.region]].get(row_codec.key_of(replica.id), NOTHING)
