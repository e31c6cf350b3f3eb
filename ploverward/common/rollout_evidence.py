"""Evidence of a roll-out that proxies collect, and its encoding in reports to core nodes (docs/rollouts.md 4).

Counts are cumulative for one incarnation of a proxy and one order, so lost and repeated reports do no harm. Times are
counted in histogram buckets by the ratio of the measured to the expected time.
"""

import collections
import dataclasses
import json
import math
import zlib
from collections.abc import Iterable

from ploverward.common import errors

GROUPS = 8  # groups of replicas of the new version that are counted separately
BUCKETS_PER_DOUBLING = 3  # the ratio of each bucket is that of the previous one times the cube root of 2
BUCKETS = 48  # up to a ratio of 2 ** 13
UNIT_BUCKET = 8  # the bucket of a ratio of one
UNIT_S = 0.01  # ratio of one for the interval between chunks, and for the excess time to the first chunk
MAX_REPORT_BYTES = 1024 * 1024  # after decompression; limits the memory that a report from a peer can take

Histogram = collections.Counter[int]  # count by bucket


def group_of(key: bytes) -> int:
    """Returns the group of a replica from its key (ploverward/transport/row_codec.py)."""
    return key[0] % GROUPS


def bucket_of(ratio: float) -> int:
    """Returns the histogram bucket of a time, given as a multiple of the expected time."""
    if ratio <= 0:
        return 0
    return max(0, min(BUCKETS - 1, round(BUCKETS_PER_DOUBLING * math.log2(ratio)) + UNIT_BUCKET))


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of the responses of one group of replicas for one route.

    Attributes:
        ended: Responses that ended, successfully or not.
        failed: Those of `ended` with a status of 500 or above.
        broken: Those of `ended` that were interrupted.
        first_chunk_times: Histogram of the time to the first chunk.
        chunk_intervals: Histogram of the interval between chunks.
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
        """Returns an independent copy."""
        new = Tally()
        new.add(self)
        return new


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class TallyKey:
    """Identifies the responses that a tally counts.

    Attributes:
        route: Name of the route.
        is_new: Whether the responses are of the roll-out's target version or of a former version.
        group: Group of the replicas; 0 for former versions.
    """

    route: str
    is_new: bool
    group: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """Cumulative evidence of one incarnation of a proxy since an order.

    Attributes:
        service: The service of the roll-out.
        number: Number of the order.
        step: The step of the roll-out that the proxy applies.
        age_s: Seconds since the order, by the proxy's clock.
        sent: Requests that arrived for the service since the order.
        sent_new: Those of `sent` that were sent to the new version.
        in_flight_old: Attempts in flight at replicas of other versions.
        tallies: Counts of the responses.
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
    """Encodes reports as compressed JSON; rows instead of objects, as field names would be most of the size."""
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
    """Decodes the reports that `pack` encoded.

    Raises:
        FrameError: The bytes are not encoded reports.
    """
    try:
        text = zlib.decompressobj().decompress(data, MAX_REPORT_BYTES)
        return [_parse_report(row) for row in json.loads(text)]
    except (zlib.error, ValueError, TypeError, IndexError) as error:
        raise errors.FrameError(f"malformed roll-out reports: {error}", step="evidence") from None


def _parse_report(row: list) -> Report:
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
