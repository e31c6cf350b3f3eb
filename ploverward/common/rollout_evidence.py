"""What proxies count of a roll-out, and how it travels to the core nodes (docs/rollouts.md 4).

Counts are cumulative for one incarnation of a proxy and one order, so a report that is lost or comes twice changes
nothing. Times are counted in buckets of the ratio between what was measured and what was expected.
"""

import collections
import dataclasses
import json
import math
import zlib
from collections.abc import Iterable

from ploverward.common import errors

GROUPS = 8  # replicas of the new version are told apart by so many groups
BUCKETS_PER_DOUBLING = 3  # each bucket's ratio is the third root of two times the one before
BUCKETS = 48  # up to a ratio of 2 ** 13
UNIT_BUCKET = 8  # the bucket of a ratio of one
UNIT_S = 0.01  # a ratio of one, of a pause between chunks and of a first chunk beyond what was expected
MAX_REPORT_BYTES = 1024 * 1024  # unpacked; what a peer sends must not fill the memory

Histogram = collections.Counter[int]  # bucket: count


def group_of(key: bytes) -> int:
    """Returns the group of a replica, by its key (ploverward/transport/row_codec.py)."""
    return key[0] % GROUPS


def bucket_of(ratio: float) -> int:
    """Returns the bucket of a time, given as a multiple of what was expected."""
    if ratio <= 0:
        return 0
    return max(0, min(BUCKETS - 1, round(BUCKETS_PER_DOUBLING * math.log2(ratio)) + UNIT_BUCKET))


@dataclasses.dataclass(slots=True)
class Tally:
    """Answers of one kind of request by one version.

    Attributes:
        ended: Answers that ended, well or not.
        failed: Of these, with a status of 500 and more.
        broken: Answers that broke off before their end.
        first_chunk_times: Times to the first chunk, by bucket.
        chunk_intervals: Pauses between chunks, by bucket.
    """

    ended: int = 0
    failed: int = 0
    broken: int = 0
    first_chunk_times: Histogram = dataclasses.field(default_factory=collections.Counter)
    chunk_intervals: Histogram = dataclasses.field(default_factory=collections.Counter)

    def add(self, other: "Tally", *, sign: int = 1) -> None:
        """Adds another tally; subtracts it with a `sign` of -1."""
        self.ended += sign * other.ended
        self.failed += sign * other.failed
        self.broken += sign * other.broken
        for own, added in (
            (self.first_chunk_times, other.first_chunk_times),
            (self.chunk_intervals, other.chunk_intervals),
        ):
            for bucket, count in added.items():
                own[bucket] += sign * count

    def copy(self) -> "Tally":
        """Returns a tally with the same counts that changes by itself."""
        new = Tally()
        new.add(self)
        return new


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class TallyKey:
    """Whose answers a tally counts.

    Attributes:
        route: The route's name.
        is_new: Whether the roll-out's target answered, or a former version.
        group: The replica's group; 0 of former versions.
    """

    route: str
    is_new: bool
    group: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """What one incarnation of a proxy counted since one order.

    Attributes:
        service: The service that is rolled out.
        number: The order's number.
        step: The step of the roll-out that the proxy applies.
        age_s: Seconds since the order, by the proxy's clock.
        sent: Requests that arrived for the service since the order.
        sent_new: Of these, sent to the new version.
        in_flight_old: Attempts in flight at replicas of other versions.
        tallies: The answers.
    """

    service: str
    number: int
    step: int
    age_s: float
    sent: int
    sent_new: int
    in_flight_old: int
    tallies: dict[TallyKey, Tally]


def pack(reports: Iterable[Report]) -> bytes:
    """Packs reports as compressed JSON; rows rather than objects, as the names would be most of it."""
    rows = [
        [
            report.service,
            report.number,
            report.step,
            round(report.age_s, 3),
            report.sent,
            report.sent_new,
            report.in_flight_old,
            [_tally_row(key, tally) for key, tally in sorted(report.tallies.items())],
        ]
        for report in reports
    ]
    return zlib.compress(json.dumps(rows, separators=(",", ":")).encode(), 1)


def _tally_row(key: TallyKey, tally: Tally) -> list:
    counts = [key.route, int(key.is_new), key.group, tally.ended, tally.failed, tally.broken]
    return [*counts, sorted(tally.first_chunk_times.items()), sorted(tally.chunk_intervals.items())]


def unpack(data: bytes) -> list[Report]:
    """Unpacks what `pack` packed.

    Raises:
        FrameError: The bytes are no reports.
    """
    try:
        text = zlib.decompressobj().decompress(data, MAX_REPORT_BYTES)
        return [_report(row) for row in json.loads(text)]
    except (zlib.error, ValueError, TypeError, IndexError) as error:
        raise errors.FrameError(f"no evidence: {error}", step="evidence") from None


def _report(row: list) -> Report:
    service, number, step, age_s, sent, sent_new, in_flight_old, rows = row
    tallies = {}
    for route, is_new, group, ended, failed, broken, first_chunk_times, chunk_intervals in rows:
        tallies[TallyKey(route=str(route), is_new=bool(is_new), group=int(group))] = Tally(
            ended=int(ended),
            failed=int(failed),
            broken=int(broken),
            first_chunk_times=collections.Counter({int(bucket): int(count) for bucket, count in first_chunk_times}),
            chunk_intervals=collections.Counter({int(bucket): int(count) for bucket, count in chunk_intervals}),
        )
    return Report(
        service=str(service),
        number=int(number),
        step=int(step),
        age_s=float(age_s),
        sent=int(sent),
        sent_new=int(sent_new),
        in_flight_old=int(in_flight_old),
        tallies=tallies,
    )
