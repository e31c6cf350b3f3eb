"""Load reports of one proxy, and the part of them that the published loads already include (docs/digest.md 2, 3).

`ReportSource` owns the numbers of this proxy's reports and, for each region, the loads that its relay is known to
have counted. Invariant: published total - `counted` + own present load = actual load, except for reports in flight.

A read is a prompt that a replica processed, so that the prompt's parts are in its cache.
"""

import collections
import enum
import typing
from collections.abc import Callable
from collections.abc import Iterable

from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import resolution
from ploverward.data_plane.relay.load_counts import NO_LOAD
from ploverward.data_plane.relay.load_counts import UNKNOWN_REGION
from ploverward.data_plane.relay.load_counts import UNKNOWN_REPLICA
from ploverward.data_plane.relay.load_counts import LoadCounts
from ploverward.data_plane.relay.load_counts import OutcomeCounts
from ploverward.data_plane.relay.load_counts import RegionLoad
from ploverward.transport import messages
from ploverward.transport import row_codec

MAX_READS_PER_REPORT = 4000  # further ones are omitted
MAX_UNACKNOWLEDGED_REPORTS = 1000  # per region; without credits, a later checkpoint starts again


class AttemptEvent(enum.IntEnum):
    """Change of an attempt's state at a replica."""

    SENT = 0
    PREFILLED = 1  # the replica processed its prompt
    DONE = 2
    BROKEN = 3  # its connection broke; the replica is suspected too
    FAILED = 4


SENT, PREFILLED, DONE, BROKEN, FAILED = AttemptEvent
_ENDINGS = (DONE, BROKEN, FAILED)


class _Suspicion(typing.NamedTuple):
    replica: replica_table.Replica
    until_s: float  # on the loop's clock


class _PendingReport(typing.NamedTuple):
    """The part of a report for one region whose relay has not credited it yet."""

    number: int
    loads: dict[bytes, LoadCounts]  # by replica key
    is_snapshot: bool  # the loads replace all earlier ones


class ReportSource:
    """Makes the reports of one proxy.

    A report has the absolute loads of the replicas that changed, the attempts that ended and the prompts that were
    processed since the last report.

    Args:
        now: The loop's clock, in seconds.
        regions: Names of all regions, sorted.
        suspicion_s: Time for which a replica is suspected after a connection to it broke.

    Attributes:
        on_change: Called whenever there is something to report.
    """

    def __init__(self, *, now: Callable[[], float], regions: Iterable[str], suspicion_s: float) -> None:
        self._now = now
        self._region_names = tuple(regions)
        self._region_indexes = {name: index for index, name in enumerate(self._region_names)}
        self._suspicion_s = suspicion_s
        self._number = 0
        self._dirty: dict[bytes, replica_table.Replica] = {}  # replicas whose load may have changed, by key
        self._suspected: dict[bytes, _Suspicion] = {}
        self._reported: dict[bytes, RegionLoad] = {}  # as last reported; replicas without load are omitted
        self._outcomes: dict[bytes, OutcomeCounts] = {}
        self._reads: list[bytes] = []
        self._pending: list[collections.deque[_PendingReport]] = [collections.deque() for _name in self._region_names]
        self._counted: list[dict[bytes, LoadCounts]] = [{} for _name in self._region_names]  # by region and replica key
        self.on_change: Callable[[], object] = lambda: None
        self._lost_regions = set(self._region_names)  # their published loads include none of this proxy's loads

    def record_attempt(self, *, replica: replica_table.Replica, kind: int) -> None:
        """Records that an attempt at a replica was sent or that its state changed.

        Args:
            replica: The replica's entry in the table; its load is read when the report is made.
            kind: The change, an `AttemptEvent`.
        """
        key = row_codec.replica_key(replica.id)
        self._dirty[key] = replica
        if kind == BROKEN:
            self._suspected[key] = _Suspicion(replica, self._now() + self._suspicion_s)
        if kind in _ENDINGS:
            outcomes = self._outcomes.get(key)
            if outcomes is None:
                outcomes = self._outcomes[key] = OutcomeCounts()
            outcomes.ended += 1
            outcomes.failed += kind != DONE
        self.on_change()

    @property
    def has_changes(self) -> bool:
        """True if there is something for the next report, including suspicions that may end."""
        return bool(self._dirty or self._outcomes or self._reads or self._suspected)

    def record_prefill(
        self,
        *,
        replica: replica_table.Replica,
        service: str,
        model: str,
        parts: Iterable[tuple[str, int]],
        salt: str = "",
    ) -> None:
        """Records that a replica processed a prompt, so that the prompt's parts are in its cache now.

        Args:
            replica: The replica.
            service: Service of the replica.
            model: The model that processed the prompt.
            parts: (name, tokens) of each part, from the front of the prompt.
            salt: The value of X-Model if it names an adapter, as parts of different adapters are never the same.
        """
        if len(self._reads) >= MAX_READS_PER_REPORT or replica.region not in self._region_indexes:
            return
        self._reads.append(
            row_codec.pack_read(
                replica=row_codec.replica_key(replica.id),
                region=self._region_indexes[replica.region],
                domain=bytes.fromhex(resolution.domain_id(service=service, model=model)),
                parts=tuple(
                    (cuckoo_filter.token_hash(model=salt or model, part=part, tokens=tokens), tokens)
                    for part, tokens in parts
                ),
            )
        )
        self.on_change()

    def next_report(self) -> messages.LoadReport | None:
        """Returns the changes since the last report, or None if there are none."""
        self._end_suspicions()
        changed = {}
        for key, replica in self._dirty.items():
            row = self._current_load(key, replica)
            reported = self._reported.get(key)
            if (row != reported) if reported is not None else (row.load != NO_LOAD):
                changed[key] = row
                self._set_reported(key, row)
            elif key in self._outcomes:
                changed[key] = row  # the load is unchanged, but the row of its outcomes needs the region
        self._dirty = {}
        if not changed and not self._reads and not self._outcomes:
            return None
        return self._make_report(changed, is_snapshot=False)

    def checkpoint(self, *, replicas: Iterable[replica_table.Replica]) -> messages.LoadReport:
        """Returns the complete state, for a digest that has no state of this proxy.

        Args:
            replicas: The replicas with attempts of this proxy in flight, including unlisted ones.
        """
        self._end_suspicions()
        self._dirty = {}
        self._reported = {}
        for pending in self._pending:
            pending.clear()
        self._lost_regions = set(self._region_names)
        for replica in replicas:
            key = row_codec.replica_key(replica.id)
            self._set_reported(key, self._current_load(key, replica))
        return self._make_report(dict(self._reported), is_snapshot=True)

    def _current_load(self, key: bytes, replica: replica_table.Replica) -> RegionLoad:
        load = LoadCounts(
            row_codec.clamp_uint16(replica.running),
            row_codec.clamp_uint32(sum(replica.prefill_tokens.values())),
            int(key in self._suspected),
        )
        return RegionLoad(self._region_indexes.get(replica.region, UNKNOWN_REGION), load)

    def _end_suspicions(self) -> None:
        now = self._now()
        for key in [key for key, suspicion in self._suspected.items() if suspicion.until_s <= now]:
            self._dirty[key] = self._suspected.pop(key).replica

    def _set_reported(self, key: bytes, row: RegionLoad) -> None:
        if row.load == NO_LOAD:
            self._reported.pop(key, None)
        else:
            self._reported[key] = row

    def _make_report(self, changed: dict[bytes, RegionLoad], *, is_snapshot: bool) -> messages.LoadReport:
        self._number += 1
        outcomes, self._outcomes = self._outcomes, {}
        reads, self._reads = self._reads, []
        rows = []
        for key in changed.keys() | outcomes.keys():
            region, load = changed.get(key) or self._reported.get(key) or UNKNOWN_REPLICA
            ended_here = outcomes.get(key)
            ended, failed = (ended_here.ended, ended_here.failed) if ended_here is not None else (0, 0)
            rows.append(
                row_codec.REPORTED_LOAD_ROW.pack(
                    key, region, *load, row_codec.clamp_uint16(ended), row_codec.clamp_uint16(failed)
                )
            )
        for index, pending in enumerate(self._pending):
            loads = {key: row.load for key, row in changed.items() if row.region == index}
            if loads or is_snapshot:
                pending.append(_PendingReport(self._number, loads, is_snapshot))
            while len(pending) > MAX_UNACKNOWLEDGED_REPORTS:
                pending.popleft()
        return messages.LoadReport(self._number, b"".join(rows), b"".join(reads))

    def credit(self, *, region: str, number: int) -> None:
        """Handles the credit that the region's published loads include this proxy's reports up to this number."""
        index = self._region_indexes.get(region)
        if index is None:
            return
        pending, counted = self._pending[index], self._counted[index]
        while pending and pending[0].number <= number:
            report = pending.popleft()
            if report.is_snapshot:
                counted.clear()
            for key, load in report.loads.items():
                if load == NO_LOAD:
                    counted.pop(key, None)
                else:
                    counted[key] = load
        self._lost_regions.discard(region)

    def mark_lost(self, *, region: str) -> None:
        """Assumes that the region's published loads include none of this proxy's loads until the next credit."""
        self._lost_regions.add(region)

    def counted(self, replica: replica_table.Replica) -> LoadCounts:
        """Returns this proxy's part of the replica's published load."""
        if replica.region in self._lost_regions or replica.region not in self._region_indexes:
            return NO_LOAD
        return self._counted[self._region_indexes[replica.region]].get(row_codec.replica_key(replica.id), NO_LOAD)
