"""Counts of a replica's load and of the outcomes of attempts at it.

Reports of proxies, aggregates of digests and the totals of the relay consist of these counts.

Reports and aggregates carry absolute numbers, so a newer row replaces an older one and totals are adjusted by the
difference (docs/digest.md 2, 3).
"""

import typing


class LoadCounts(typing.NamedTuple):
    """The load on one replica, caused by one proxy or summed over several."""

    running: int = 0  # attempts in flight
    prefill_tokens: int = 0  # prompt tokens that the replica still has to process
    suspect_count: int = 0  # proxies that suspect the replica


NO_LOAD = LoadCounts()


class RegionLoad(typing.NamedTuple):
    """The load on one replica, with the index of its region."""

    region: int  # index into the sorted names of all regions; `UNKNOWN_REGION` if it is none of them
    load: LoadCounts


UNKNOWN_REGION = 255
UNKNOWN_REPLICA = RegionLoad(region=UNKNOWN_REGION, load=NO_LOAD)


class LoadTotal:
    """A sum of `LoadCounts`, adjusted in place because reports are frequent; there is one for each replica."""

    __slots__ = ("prefill_tokens", "running", "suspect_count")

    def __init__(self) -> None:
        self.running = 0
        self.prefill_tokens = 0
        self.suspect_count = 0

    def replace(self, before: LoadCounts, load: LoadCounts) -> None:
        """Replaces one of the summed loads, `before`, by `load`."""
        self.running += load.running - before.running
        self.prefill_tokens += load.prefill_tokens - before.prefill_tokens
        self.suspect_count += load.suspect_count - before.suspect_count

    @property
    def is_zero(self) -> bool:
        """True if there is no load."""
        return not (self.running or self.prefill_tokens or self.suspect_count)

    def counts(self) -> LoadCounts:
        """Returns the present sum."""
        return LoadCounts(self.running, self.prefill_tokens, self.suspect_count)


class OutcomeCounts:
    """Number of attempts at a replica that ended, and number of these that failed."""

    __slots__ = ("ended", "failed")

    def __init__(self) -> None:
        self.ended = 0
        self.failed = 0
