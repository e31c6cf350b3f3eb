"""The sums of a zone's reports, at the proxy that holds the zone's digest (docs/digest.md 2, 3).

A digest is no actor: it adds loads up and passes reads on; ownership stays exact in the relay's actors alone.
"""

import collections

from ploverward.common import errors
from ploverward.transport import row_codec

MAX_READS = 20000
MAX_UNACKNOWLEDGED_CUTS = 2000
NOTHING = (0, 0, 0)


class Aggregates:
    def __init__(self, *, regions):
        self._names = tuple(regions)
        self._regions = {name: index for index, name in enumerate(regions)}
        self.members = {}  # member: {key: (region, running, tokens, marks)}
        self._numbers = {}  # member: the newest report of it
        self._totals = [{} for _name in self._names]  # for each region {key: [running, tokens, marks]}
        self._dirty = [set() for _name in self._names]
        self._outcomes = [{} for _name in self._names]
        self._reads = [{} for _name in self._names]
        self._touched = [set() for _name in self._names]  # members whose reports are in the next cut
        self._unacknowledged = [
            collections.deque() for _name in self._names
        ]  # (number of the cut, {member: number of its report})
        self._batch_number = 0

    def take(self, member, number: int, rows: bytes, reads: bytes) -> None:
        """One report; malformed ones raise before they change anything."""
        loads = row_codec.rows(shape=row_codec.REPORTED, data=rows)
        split = row_codec.split_reads(data=reads)
        if number <= self._numbers.get(member, 0):
            raise errors.FrameError(f"report {number} after {self._numbers[member]}", step="report")
        table = self.members.setdefault(member, {})
        self._numbers[member] = number
        for key, region, running, tokens, suspect_count, ended, failed in loads:
            if region >= len(self._names):
                continue
            self._set(table, key, region, (running, tokens, suspect_count))
            if ended:
                row = self._outcomes[region].setdefault(key, [0, 0])
                row[0] += ended
                row[1] += min(failed, ended)
                self._dirty[region].add(key)
            self._touched[region].add(member)
        for region, read in split:
            if region < len(self._names) and len(self._reads[region]) < MAX_READS:
                self._reads[region][read] = True  # the same chain at the same replica counts once
                self._touched[region].add(member)

    def _set(self, table, key: bytes, region: int, load: tuple) -> None:
        old = table.get(key)
        before = old[1:] if old is not None and old[0] == region else NOTHING
        if old is not None and old[0] != region:
            self._add(old[0], key, NOTHING, old[1:])
        if load == NOTHING:
            table.pop(key, None)
        else:
            table[key] = (region, *load)
        if load != before:
            self._add(region, key, load, before)

    def _add(self, region: int, key: bytes, load: tuple, before: tuple) -> None:
        total = self._totals[region].setdefault(key, [0, 0, 0])
        for column in range(3):
            total[column] += load[column] - before[column]
        self._dirty[region].add(key)

    def end(self, member) -> None:
        """The member is gone, or reports elsewhere: its part is withdrawn."""
        for key, (region, *load) in self.members.pop(member, {}).items():
            self._add(region, key, NOTHING, tuple(load))
        self._numbers.pop(member, None)
        for touched in self._touched:
            touched.discard(member)

    def _pack(self, region: int, keys) -> bytes:
        parts = []
        totals, outcomes = self._totals[region], self._outcomes[region]
        for key in keys:
            total = totals.get(key, NOTHING)
            ended, failed = outcomes.get(key, (0, 0))
            parts.append(
                row_codec.REPORTED.pack(
                    key,
                    region,
                    row_codec.short(total[0]),
                    row_codec.long(total[1]),
                    row_codec.short(total[2]),
                    row_codec.short(ended),
                    row_codec.short(failed),
                )
            )
            if key in totals and not any(total):
                del totals[key]
        return b"".join(parts)

    def take_batch(self, *, region: str):
        """(number, rows, reads) of what changed for one region's relay, or None."""
        index = self._regions[region]
        if not self._dirty[index] and not self._reads[index] and not self._touched[index]:
            return None
        rows = self._pack(index, self._dirty[index])
        reads = b"".join(self._reads[index])
        self._dirty[index] = set()
        self._outcomes[index] = {}
        self._reads[index] = {}
        return self._numbered(index, rows, reads)

    def _numbered(self, index: int, rows: bytes, reads: bytes) -> tuple:
        self._batch_number += 1
        batches = self._unacknowledged[index]
        batches.append(
            (
                self._batch_number,
                {member: self._numbers[member] for member in self._touched[index] if member in self._numbers},
            )
        )
        self._touched[index] = set()
        while len(batches) > MAX_UNACKNOWLEDGED_CUTS:
            batches.popleft()
        return self._batch_number, rows, reads

    def checkpoint(self, *, region: str) -> tuple:
        """The whole sum, for a relay that has nothing of this digest."""
        index = self._regions[region]
        self._unacknowledged[index].clear()
        self._touched[index] = set(self._numbers)
        keys = set(self._totals[index]) | set(self._outcomes[index])
        rows = self._pack(index, keys)
        reads = b"".join(self._reads[index])
        self._dirty[index] = set()
        self._outcomes[index] = {}
        self._reads[index] = {}
        return self._numbered(index, rows, reads)

    def discard(self, *, region: str) -> None:
        """No relay takes this region's reads and outcomes now: they are dropped, the loads stay."""
        index = self._regions[region]
        self._reads[index] = {}
        self._outcomes[index] = {}

    def counted(self, *, region: str, number: int) -> dict:
        """The relay holds our cuts up to this number: {member: the number of its report that is in them}."""
        batches = self._unacknowledged[self._regions[region]]
        credits = {}
        while batches and batches[0][0] <= number:
            credits.update(batches.popleft()[1])
        return credits

    def total(self, *, region: str, key: bytes) -> tuple:
        return tuple(self._totals[self._regions[region]].get(key, NOTHING))
