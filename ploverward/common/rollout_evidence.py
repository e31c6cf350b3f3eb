"""What proxies count of a roll-out, and how it travels to the core (docs/rollouts.md 4).

Counts are cumulative for one life of a proxy and one order, so a report that is lost or comes twice changes nothing.
"""

import collections
import dataclasses
import json
import math
import zlib

from ploverward.common import errors

GROUPS = 8  # replicas of the new version are told apart by so many groups
STEPS_AN_OCTAVE = 3  # buckets of times: each is the third root of two times the one before
BUCKETS = 48
FIRST_BUCKET = 8  # the bucket of a ratio of one
UNIT_S = 0.01  # what a ratio of one is, of a pause between pieces and of a first piece beyond what was expected
MOST_BYTES = 1024 * 1024


def group_of(key: bytes) -> int:
    """The group of a replica, by its key (ploverward/transport/row_codec.py)."""
    return key[0] % GROUPS


def bucket_of(ratio: float) -> int:
    """The bucket of a time, given as a multiple of what was expected."""
    if ratio <= 0:
        return 0
    return max(0, min(BUCKETS - 1, round(STEPS_AN_OCTAVE * math.log2(ratio)) + FIRST_BUCKET))


@dataclasses.dataclass
class Tally:
    """Answers of one kind of request by one version. `failed`: with a status of 500 and more; `broken`: without an end."""

    ended: int = 0
    failed: int = 0
    broken: int = 0
    firsts: collections.Counter = dataclasses.field(default_factory=collections.Counter)  # bucket: first pieces
    paces: collections.Counter = dataclasses.field(default_factory=collections.Counter)  # bucket: pauses

    def add(self, other: "Tally", *, sign: int = 1) -> None:
        """Adds another tally, or takes it off."""
        self.ended += sign * other.ended
        self.failed += sign * other.failed
        self.broken += sign * other.broken
        for mine, theirs in ((self.firsts, other.firsts), (self.paces, other.paces)):
            for bucket, count in theirs.items():
                mine[bucket] += sign * count

    def copy(self) -> "Tally":
        new = Tally()
        new.add(self)
        return new


@dataclasses.dataclass(frozen=True, order=True)
class Key:
    """Whose answers: a route's, by the new version or the former ones, and the replica's group (0 of former ones)."""

    route: str
    is_new: bool
    group: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """What one life of a proxy tells of one order."""

    service: str
    number: int  # of the order
    step: int  # of the roll-out's row, as applied
    age_s: float  # of the order, as this proxy reckons
    sent: int  # arrivals at the service since the order
    sent_new: int  # of these, at the new version
    running_old: int  # attempts under way at replicas of other versions
    tallies: dict  # Key: Tally


def pack(reports: list) -> bytes:
    rows = [
        [
            report.service,
            report.number,
            report.step,
            round(report.age_s, 3),
            report.sent,
            report.sent_new,
            report.running_old,
            [
                [key.route, int(key.is_new), key.group, tally.ended, tally.failed, tally.broken]
                + [sorted(tally.firsts.items()), sorted(tally.paces.items())]
                for key, tally in sorted(report.tallies.items())
            ],
        ]
        for report in reports
    ]
    return zlib.compress(json.dumps(rows, separators=(",", ":")).encode(), 1)


def unpack(data: bytes) -> list:
    """Raises FrameProblem where the bytes are no reports."""
    try:
        decoder = zlib.decompressobj()
        text = decoder.decompress(data, MOST_BYTES)
        return [_report(row) for row in json.loads(text)]
    except (zlib.error, ValueError, TypeError, IndexError) as failure:
        raise errors.FrameError(f"no evidence: {failure}", step="evidence") from None


def _report(row: list) -> Report:
    service, number, step, age_s, sent, sent_new, running_old, rows = row
    tallies = {}
    for route, is_new, group, ended, failed, broken, firsts, paces in rows:
        tallies[Key(route=str(route), is_new=bool(is_new), group=int(group))] = Tally(
            ended=int(ended),
            failed=int(failed),
            broken=int(broken),
            firsts=collections.Counter({int(bucket): int(count) for bucket, count in firsts}),
            paces=collections.Counter({int(bucket): int(count) for bucket, count in paces}),
        )
    return Report(
        service=str(service),
        number=int(number),
        step=int(step),
        age_s=float(age_s),
        sent=int(sent),
        sent_new=int(sent_new),
        running_old=int(running_old),
        tallies=tallies,
    )
