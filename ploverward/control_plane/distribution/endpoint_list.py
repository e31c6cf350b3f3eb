"""The platform's list of replicas as it is told: whole, or as what changed since an earlier version (docs/scale.md 2).

A list is a value: `changed_by` and `change_to` make new ones. The node that reads the platform publishes what its own
change makes of the list told before, so every node that applies the same changes holds the same bytes.
"""

import dataclasses
import json
import zlib

from ploverward.common import errors

COMPRESSION = 6  # zlib's default: rows of one fleet are much alike
COLD_SLACK_MS = 400.0  # a cold time that ends so much later than was told is a change; less is the platform's lag
LARGEST_JSON = 64 * 1024 * 1024
ROW_FIELDS = frozenset(
    ("id", "service", "address", "zone", "berths", "is_clearing", "cold_ms", "left_ms", "models")
)  # of ploverward.control_plane.discovery.platform_client.read_row; others may be there
NOT_COMPARED = frozenset(("cold_ms", "left_ms"))  # they run down by themselves


def _pack(body: dict) -> bytes:
    return zlib.compress(json.dumps(body, separators=(",", ":")).encode(), COMPRESSION)


def _unpack(data: bytes, *, step: str) -> dict:
    """Raises FrameProblem where the bytes are no packed JSON object of a bounded size."""
    try:
        decoder = zlib.decompressobj()
        text = decoder.decompress(data, LARGEST_JSON)
        if not decoder.eof:
            raise errors.FrameError("cut short or too large", step=step)
        body = json.loads(text)
    except (zlib.error, ValueError) as failure:
        raise errors.FrameError(str(failure), step=step) from None
    if not isinstance(body, dict):
        raise errors.FrameError("not an object", step=step)
    return body


def _checked(rows) -> tuple:
    """Raises TypeError where these are no rows."""
    for row in rows:
        if not isinstance(row, dict) or not ROW_FIELDS <= row.keys() or not isinstance(row["id"], str):
            raise TypeError("no row of a replica")
    return tuple(rows)


@dataclasses.dataclass(frozen=True)
class Change:
    """What one list has that the one before it had not: rows added or replaced, and ids that are gone."""

    rows: tuple
    gone: tuple
    read_at: float  # seconds on the reader's clock
    is_same_clock: bool  # whether the list before it was read by the same clock

    def pack(self) -> bytes:
        return _pack({"rows": self.rows, "gone": self.gone, "at": self.read_at, "same": self.is_same_clock})


def unpack_change(data: bytes) -> Change:
    """Raises FrameProblem."""
    body = _unpack(data, step="list change")
    try:
        return Change(
            rows=_checked(body["rows"]),
            gone=tuple(str(name) for name in body["gone"]),
            read_at=float(body["at"]),
            is_same_clock=bool(body["same"]),
        )
    except (KeyError, TypeError, ValueError) as failure:
        raise errors.FrameError(f"no change: {failure}", step="list change") from None


@dataclasses.dataclass(frozen=True)
class ReplicaList:
    """Rows by replica id, as `ploverward.control_plane.discovery.platform_client.read_row` makes them."""

    rows: dict
    read_at: float

    def in_order(self) -> list:
        """The rows by id."""
        return [self.rows[name] for name in sorted(self.rows)]

    def pack(self) -> bytes:
        return _pack({"replicas": self.in_order(), "at": self.read_at})

    def change_to(self, *, rows: list, read_at: float, is_same_clock: bool) -> Change | None:
        """What must be told so that a follower of this list holds `rows`; None where nothing that matters differs."""
        elapsed_ms = (read_at - self.read_at) * 1000.0 if is_same_clock else None
        changed = []
        for row in rows:
            current = self.rows.get(row["id"])
            if current is None or _differs(current, row, elapsed_ms=elapsed_ms):
                changed.append(row)
        gone = tuple(sorted(self.rows.keys() - {row["id"] for row in rows}))
        if not changed and not gone:
            return None
        return Change(rows=tuple(changed), gone=gone, read_at=read_at, is_same_clock=is_same_clock)

    def changed_by(self, change: Change) -> "ReplicaList":
        """The list after the change. Cold times of rows that it does not name have run down meanwhile."""
        elapsed_ms = (change.read_at - self.read_at) * 1000.0 if change.is_same_clock else 0.0
        rows = {name: _aged(row, elapsed_ms) for name, row in self.rows.items()}
        for name in change.gone:
            rows.pop(name, None)
        for row in change.rows:
            rows[row["id"]] = row
        return ReplicaList(rows=rows, read_at=change.read_at)


def _differs(current: dict, row: dict, *, elapsed_ms: float | None) -> bool:
    if (current["left_ms"] is None) != (row["left_ms"] is None):
        return True
    if any(current.get(name) != row.get(name) for name in (current.keys() | row.keys()) - NOT_COMPARED):
        return True
    expected_ms = max(0.0, current["cold_ms"] - elapsed_ms) if elapsed_ms is not None else 0.0
    return row["cold_ms"] > expected_ms + COLD_SLACK_MS


def _aged(row: dict, elapsed_ms: float) -> dict:
    if not row["cold_ms"] or elapsed_ms <= 0:
        return row
    return {**row, "cold_ms": max(0.0, row["cold_ms"] - elapsed_ms)}


def of_rows(*, rows, read_at: float) -> ReplicaList:
    return ReplicaList(rows={row["id"]: row for row in rows}, read_at=read_at)


def unpack_list(data: bytes) -> ReplicaList:
    """Raises FrameProblem."""
    body = _unpack(data, step="list")
    try:
        return of_rows(rows=_checked(body["replicas"]), read_at=float(body["at"]))
    except (KeyError, TypeError, ValueError) as failure:
        raise errors.FrameError(f"no list: {failure}", step="list") from None
