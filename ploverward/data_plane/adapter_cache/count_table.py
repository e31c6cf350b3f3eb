"""The codec of the adapter counts of one window (docs/pins.md 3).

The format is JSON: `{"rows": [[key fields..., counts...], ...], "over": number}`. Proxies write it, core nodes validate
and store it, and the operators' tools read its rows.
"""

import collections.abc
import json
import typing

ROWS_KEY = "rows"
OVERFLOW_KEY = "over"  # number of arrivals without a row, because the table was full

Table: typing.TypeAlias = dict[str, typing.Any]


class CountKey(typing.NamedTuple):
    """The key of a row of counts.

    A new incarnation of a replica has its own rows, because it starts without loaded adapters.
    """

    service: str
    model: str
    adapter: str  # "" if the request named no known adapter
    replica: str
    route: str


class ArrivalCounts(typing.NamedTuple):
    """Counts of the attempts that ran at a replica."""

    warm: int = 0  # the adapter was loaded when the request was sent
    cold: int = 0  # the adapter was not loaded when the request was sent
    unknown: int = 0  # it was not known whether the adapter was loaded
    loads: int = 0  # loads of the adapter; arrivals that waited for the same one count once
    waits: int = 0  # arrivals that found the adapter not loaded
    wait_ms: int = 0  # sum of the times until the first event of those arrivals
    most_wait_ms: int = 0  # longest of these times
    late: int = 0  # waits that exceeded the latency target

    @property
    def arrivals(self) -> int:
        """Number of all attempts that ran."""
        return self.warm + self.cold + self.unknown

    def plus(self, other: "ArrivalCounts") -> "ArrivalCounts":
        """Returns the sums of two counts, with the longer of the longest waits."""
        sums = ArrivalCounts(*map(sum, zip(self, other, strict=True)))
        return sums._replace(most_wait_ms=max(self.most_wait_ms, other.most_wait_ms))


FIELDS = ArrivalCounts._fields
_KEY_LENGTH = len(CountKey._fields)


def pack(*, counts: collections.abc.Mapping[CountKey, collections.abc.Mapping[str, int]], overflow: int) -> bytes:
    """Encodes a table.

    Args:
        counts: The rows by key; each has all `FIELDS`.
        overflow: Number of arrivals without a row.
    """
    rows = [[*key, *(row[field] for field in FIELDS)] for key, row in sorted(counts.items())]
    return json.dumps({ROWS_KEY: rows, OVERFLOW_KEY: overflow}, separators=(",", ":")).encode()


def read(*, data: bytes) -> Table | None:
    """Decodes a table; returns None if the bytes are not a valid one."""
    try:
        body = json.loads(data)
        rows = [list(row) for row in body[ROWS_KEY]]
        overflow = int(body[OVERFLOW_KEY])
    except (ValueError, KeyError, TypeError):
        return None
    return {ROWS_KEY: rows, OVERFLOW_KEY: overflow} if all(_is_row(row) for row in rows) else None


def _is_row(row: list[typing.Any]) -> bool:
    key, counts = row[:_KEY_LENGTH], row[_KEY_LENGTH:]
    return (
        len(row) == _KEY_LENGTH + len(FIELDS)
        and all(isinstance(text, str) for text in key)
        and all(isinstance(count, int) and count >= 0 for count in counts)
    )


def parse_rows(window: collections.abc.Mapping[str, typing.Any]) -> list[tuple[CountKey, ArrivalCounts]]:
    """Returns the rows of a table, or of a window that contains the rows of one.

    Counts that a later version of the format added are omitted.
    """
    end = _KEY_LENGTH + len(FIELDS)
    return [(CountKey(*row[:_KEY_LENGTH]), ArrivalCounts(*row[_KEY_LENGTH:end])) for row in window[ROWS_KEY]]
