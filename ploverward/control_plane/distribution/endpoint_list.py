"""The list of the platform's replicas as a distributed value: complete, or as a delta (docs/scale.md 2).

An `EndpointList` is immutable: `delta_to` returns its difference from another list, `apply` the list after a delta. The
core node that reads the platform's list does not publish it directly, but the result of applying its own delta to the
list published before. Invariant: all nodes that apply the same deltas have the same bytes.
"""

import dataclasses
import json
import typing
import zlib
from collections.abc import Iterable
from collections.abc import Sequence

from ploverward.common import errors

TOPIC = "list"  # its name on the wire
COMPRESSION_LEVEL = 6  # zlib's default; the rows of one fleet are much alike and compress well
WARM_UP_TOLERANCE_MS = 400.0  # a warm-up ending later by more than this is a change; less is the platform's lag
MAX_JSON_BYTES = 64 * 1024 * 1024  # of a list or delta after decompression
ROW_FIELDS = frozenset(
    ("id", "service", "address", "zone", "berths", "is_clearing", "cold_ms", "left_ms", "models")
)  # required in rows of ploverward.control_plane.discovery.platform_replicas.read_row; further fields are allowed
COUNTDOWN_FIELDS = frozenset(("cold_ms", "left_ms"))  # not compared for equality: they decrease as time passes

Row = dict[str, typing.Any]  # as platform_replicas.read_row returns them


def _pack(body: dict) -> bytes:
    return zlib.compress(json.dumps(body, separators=(",", ":")).encode(), COMPRESSION_LEVEL)


def _unpack(data: bytes, *, step: str) -> dict:
    """Returns the JSON object in the bytes.

    Raises:
        FrameError: The bytes are not a compressed JSON object of at most `MAX_JSON_BYTES`.
    """
    try:
        decoder = zlib.decompressobj()
        text = decoder.decompress(data, MAX_JSON_BYTES)
        body = json.loads(text) if decoder.eof else None
    except (zlib.error, ValueError) as error:
        raise errors.FrameError(str(error), step=step) from None
    if not decoder.eof:
        raise errors.FrameError(f"compressed JSON is truncated or exceeds {MAX_JSON_BYTES} bytes", step=step)
    if not isinstance(body, dict):
        raise errors.FrameError("not a JSON object", step=step)
    return body


def _checked(rows: Iterable[Row]) -> tuple[Row, ...]:
    """Returns the rows unchanged.

    Raises:
        TypeError: One of them is not the row of a replica.
    """
    checked = tuple(rows)
    for row in checked:
        if not isinstance(row, dict) or not row.keys() >= ROW_FIELDS or not isinstance(row["id"], str):
            raise TypeError("an item is not the row of a replica")
    return checked


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointListDelta:
    """The difference between a list and the next one."""

    rows: tuple[Row, ...]  # added or replaced
    removed: tuple[str, ...]  # ids of replicas that are no longer listed
    read_at: float  # seconds on the reader's clock
    is_same_clock: bool  # whether the previous list was read by the same clock

    def pack(self) -> bytes:
        """Returns the bytes that are distributed."""
        return _pack({"rows": self.rows, "gone": self.removed, "at": self.read_at, "same": self.is_same_clock})


def unpack_delta(data: bytes) -> EndpointListDelta:
    """Returns the delta in the bytes.

    Raises:
        FrameError: The bytes are not a delta of a list.
    """
    body = _unpack(data, step="list change")
    try:
        return EndpointListDelta(
            rows=_checked(body["rows"]),
            removed=tuple(str(name) for name in body["gone"]),
            read_at=float(body["at"]),
            is_same_clock=bool(body["same"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise errors.FrameError(f"not a delta of the replica list: {error}", step="list change") from None


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointList:
    """The complete list of replicas that the platform returned."""

    rows: dict[str, Row]  # by the replica's id
    read_at: float  # seconds on the reader's clock

    def sorted_rows(self) -> list[Row]:
        """Returns the rows ordered by id."""
        return [self.rows[name] for name in sorted(self.rows)]

    def pack(self) -> bytes:
        """Returns the bytes that are distributed."""
        return _pack({"replicas": self.sorted_rows(), "at": self.read_at})

    def delta_to(self, *, rows: Sequence[Row], read_at: float, is_same_clock: bool) -> EndpointListDelta | None:
        """Returns the delta that brings a subscriber with this list to `rows`.

        Args:
            rows: The platform's list as read now.
            read_at: When it was read, in seconds on the reader's clock.
            is_same_clock: Whether this list was read by the same clock; otherwise warm-up times can't be compared.

        Returns:
            The delta; None if no row was added, removed or changed (see `_differs`).
        """
        elapsed_ms = (read_at - self.read_at) * 1000.0 if is_same_clock else None
        changed = tuple(
            row
            for row in rows
            if row["id"] not in self.rows or _differs(self.rows[row["id"]], row, elapsed_ms=elapsed_ms)
        )
        removed = tuple(sorted(self.rows.keys() - {row["id"] for row in rows}))
        if not changed and not removed:
            return None
        return EndpointListDelta(rows=changed, removed=removed, read_at=read_at, is_same_clock=is_same_clock)

    def apply(self, delta: EndpointListDelta) -> "EndpointList":
        """Returns the list after the delta. Warm-up times of rows outside the delta are reduced by the elapsed time."""
        elapsed_ms = (delta.read_at - self.read_at) * 1000.0 if delta.is_same_clock else 0.0
        rows = {name: _aged(row, elapsed_ms) for name, row in self.rows.items()}
        for name in delta.removed:
            rows.pop(name, None)
        for row in delta.rows:
            rows[row["id"]] = row
        return EndpointList(rows=rows, read_at=delta.read_at)


def _differs(current: Row, row: Row, *, elapsed_ms: float | None) -> bool:
    """Returns whether the row differs by more than the passing of `elapsed_ms` since the current one was read.

    A warm-up that ends earlier than expected is no difference. Without `elapsed_ms` (another clock), any warm-up longer
    than `WARM_UP_TOLERANCE_MS` is one.
    """
    if (current["left_ms"] is None) != (row["left_ms"] is None):
        return True
    if any(current.get(name) != row.get(name) for name in (current.keys() | row.keys()) - COUNTDOWN_FIELDS):
        return True
    expected_ms = max(0.0, current["cold_ms"] - elapsed_ms) if elapsed_ms is not None else 0.0
    return row["cold_ms"] > expected_ms + WARM_UP_TOLERANCE_MS


def _aged(row: Row, elapsed_ms: float) -> Row:
    if not row["cold_ms"] or elapsed_ms <= 0:
        return row
    return {**row, "cold_ms": max(0.0, row["cold_ms"] - elapsed_ms)}


def from_rows(*, rows: Iterable[Row], read_at: float) -> EndpointList:
    """Returns the list of these rows, read at `read_at` (seconds on the reader's clock)."""
    return EndpointList(rows={row["id"]: row for row in rows}, read_at=read_at)


def unpack_list(data: bytes) -> EndpointList:
    """Returns the list in the bytes.

    Raises:
        FrameError: The bytes are not a list of replicas.
    """
    body = _unpack(data, step="list")
    try:
        return from_rows(rows=_checked(body["replicas"]), read_at=float(body["at"]))
    except (KeyError, TypeError, ValueError) as error:
        raise errors.FrameError(f"not a replica list: {error}", step="list") from None
