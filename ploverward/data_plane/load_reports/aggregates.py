"""Aggregates of the load reports of a digest's members (docs/digest.md 2, 3).

`LoadAggregates` owns each member's newest loads and, for each region, their sum and the changes that its relay has not
been sent. Invariant: a region's total is the sum of the members' newest loads there.

A read is a prompt that a replica processed, so that the prompt's parts are in its cache. A digest only sums loads and
forwards reads; only the relay's actors keep the exact ownership of prompt parts.
"""

import collections
import dataclasses
import typing
from collections.abc import Hashable
from collections.abc import Iterable

from ploverward.common import errors
from ploverward.data_plane.relay.load_counts import NO_LOAD
from ploverward.data_plane.relay.load_counts import LoadCounts
from ploverward.data_plane.relay.load_counts import LoadTotal
from ploverward.data_plane.relay.load_counts import OutcomeCounts
from ploverward.data_plane.relay.load_counts import RegionLoad
from ploverward.transport import messages
from ploverward.transport import row_codec

MAX_QUEUED_READS = 20000  # reads queued for one region's relay; further ones are dropped
MAX_UNACKNOWLEDGED_BATCHES = 2000  # per region; the members of older batches receive no credit


_NO_TOTAL = LoadTotal()  # shared; must not be modified

MemberT = typing.TypeVar("MemberT", bound=Hashable)


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingBatch(typing.Generic[MemberT]):
    """A batch that the region's relay has not acknowledged yet."""

    number: int
    report_numbers: dict[MemberT, int]  # number of the newest report in the batch, by member


class _RegionAggregates(typing.Generic[MemberT]):
    """Loads of one region's replicas, and the changes that its relay has not been sent."""

    __slots__ = ("changed", "index", "outcomes", "pending", "reads", "reporters", "totals")

    def __init__(self, *, index: int) -> None:
        self.index = index
        self.totals: dict[bytes, LoadTotal] = {}  # by replica key
        self.changed: set[bytes] = set()  # keys of the replicas whose rows are in the next batch
        self.outcomes: dict[bytes, OutcomeCounts] = {}
        self.reads: dict[bytes, bool] = {}  # an ordered set: the same chain at the same replica is sent once
        self.reporters: set[MemberT] = set()  # members whose reports are in the next batch
        self.pending: collections.deque[_PendingBatch[MemberT]] = collections.deque()

    def replace_load(self, key: bytes, *, before: LoadCounts, load: LoadCounts) -> None:
        total = self.totals.get(key)
        if total is None:
            total = self.totals[key] = LoadTotal()
        total.replace(before, load)
        self.changed.add(key)

    def add_outcomes(self, key: bytes, *, ended: int, failed: int) -> None:
        outcomes = self.outcomes.get(key)
        if outcomes is None:
            outcomes = self.outcomes[key] = OutcomeCounts()
        outcomes.ended += ended
        outcomes.failed += min(failed, ended)
        self.changed.add(key)

    def drain(self, keys: Iterable[bytes]) -> tuple[bytes, bytes]:
        """Returns the rows of these replicas and all queued reads, and clears the changes, reads and outcomes."""
        rows = b"".join([self._pack_row(key) for key in keys])
        reads = b"".join(self.reads)
        self.changed = set()
        self.discard_reads_and_outcomes()
        return rows, reads

    def discard_reads_and_outcomes(self) -> None:
        self.reads = {}
        self.outcomes = {}

    def _pack_row(self, key: bytes) -> bytes:
        total = self.totals.get(key)
        if total is None:
            total = _NO_TOTAL
        elif total.is_zero:
            del self.totals[key]
        outcomes = self.outcomes.get(key)
        ended, failed = (outcomes.ended, outcomes.failed) if outcomes is not None else (0, 0)
        return row_codec.REPORTED_LOAD_ROW.pack(
            key,
            self.index,
            row_codec.clamp_uint16(total.running),
            row_codec.clamp_uint32(total.prefill_tokens),
            row_codec.clamp_uint16(total.suspect_count),
            row_codec.clamp_uint16(ended),
            row_codec.clamp_uint16(failed),
        )


class LoadAggregates(typing.Generic[MemberT]):
    """Sums the members' reports for each region and makes numbered batches of the changes."""

    def __init__(self, *, regions: Iterable[str]) -> None:
        names = tuple(regions)
        self._regions: list[_RegionAggregates[MemberT]] = [
            _RegionAggregates(index=index) for index in range(len(names))
        ]
        self._by_name = dict(zip(names, self._regions, strict=True))
        self._loads: dict[MemberT, dict[bytes, RegionLoad]] = {}  # by member and replica key
        self._numbers: dict[MemberT, int] = {}  # number of the newest report, by member
        self._batch_number = 0  # of the last batch, counted over all regions

    def handle_report(self, member: MemberT, report: messages.LoadReport) -> None:
        """Replaces what the member reported earlier about the same replicas.

        Raises:
            FrameError: The report is malformed or not newer than the member's last one; nothing was changed.
        """
        rows = row_codec.rows(shape=row_codec.REPORTED_LOAD_ROW, data=report.load_rows)
        reads = row_codec.split_reads(data=report.read_rows)
        if report.number <= self._numbers.get(member, 0):
            raise errors.FrameError(
                f"report number {report.number} is not greater than the last one, {self._numbers[member]}",
                step="report",
            )
        member_loads = self._loads.setdefault(member, {})
        self._numbers[member] = report.number
        for key, region, running, prefill_tokens, suspect_count, ended, failed in rows:
            if region >= len(self._regions):
                continue
            aggregates = self._regions[region]
            self._replace_member_load(member_loads, key, region, LoadCounts(running, prefill_tokens, suspect_count))
            if ended:
                aggregates.add_outcomes(key, ended=ended, failed=failed)
            aggregates.reporters.add(member)
        for region, read in reads:
            if region < len(self._regions) and len(self._regions[region].reads) < MAX_QUEUED_READS:
                self._regions[region].reads[read] = True
                self._regions[region].reporters.add(member)

    def _replace_member_load(
        self, member_loads: dict[bytes, RegionLoad], key: bytes, region: int, load: LoadCounts
    ) -> None:
        reported = member_loads.get(key)
        before = NO_LOAD
        if reported is not None:
            if reported.region == region:
                before = reported.load
            else:
                self._regions[reported.region].replace_load(key, before=reported.load, load=NO_LOAD)
        if load == NO_LOAD:
            member_loads.pop(key, None)
        else:
            member_loads[key] = RegionLoad(region, load)
        if load != before:
            self._regions[region].replace_load(key, before=before, load=load)

    def remove(self, member: MemberT) -> None:
        """Withdraws the loads of a member that disconnected or reports elsewhere."""
        for key, (region, load) in self._loads.pop(member, {}).items():
            self._regions[region].replace_load(key, before=load, load=NO_LOAD)
        self._numbers.pop(member, None)
        for aggregates in self._regions:
            aggregates.reporters.discard(member)

    def next_batch(self, *, region: str) -> messages.Aggregates | None:
        """Returns the changes for this region's relay since the last batch, or None if there are none."""
        aggregates = self._by_name[region]
        if not aggregates.changed and not aggregates.reads and not aggregates.reporters:
            return None
        return self._make_batch(aggregates, aggregates.changed)

    def checkpoint(self, *, region: str) -> messages.Aggregates:
        """Returns the complete totals of a region, for a relay that has no state of this digest.

        Its acknowledgement credits all members, so earlier batches need none.
        """
        aggregates = self._by_name[region]
        aggregates.pending.clear()
        aggregates.reporters = set(self._numbers)
        return self._make_batch(aggregates, aggregates.totals.keys() | aggregates.outcomes.keys())

    def _make_batch(self, aggregates: _RegionAggregates[MemberT], keys: Iterable[bytes]) -> messages.Aggregates:
        rows, reads = aggregates.drain(keys)
        self._batch_number += 1
        report_numbers = {member: self._numbers[member] for member in aggregates.reporters if member in self._numbers}
        aggregates.reporters = set()
        aggregates.pending.append(_PendingBatch(self._batch_number, report_numbers))
        while len(aggregates.pending) > MAX_UNACKNOWLEDGED_BATCHES:
            aggregates.pending.popleft()
        return messages.Aggregates(self._batch_number, rows, reads)

    def discard_reads_and_outcomes(self, *, region: str) -> None:
        """Drops the region's queued reads and outcomes while its relay is unreachable; loads are kept."""
        self._by_name[region].discard_reads_and_outcomes()

    def acknowledge(self, *, region: str, number: int) -> dict[MemberT, int]:
        """Handles the acknowledgement that the region's relay counted the batches up to this number.

        Returns:
            The number of the newest report in these batches, by member.
        """
        pending = self._by_name[region].pending
        credits: dict[MemberT, int] = {}
        while pending and pending[0].number <= number:
            credits.update(pending.popleft().report_numbers)
        return credits

    def total(self, *, region: str, key: bytes) -> LoadCounts:
        """Returns the sum of all members' loads of this replica."""
        total = self._by_name[region].totals.get(key)
        return total.counts() if total is not None else NO_LOAD
