"""Encodes messages between nodes as frames, and decodes them (docs/design.md 2, 4, 5).

A frame is a header (size of the body and kind, five bytes) and a body whose fields `construct` encodes in the order of
the message type. `_FRAME_KINDS` assigns each type of `ploverward.transport.messages` and
`ploverward.transport.batch_messages` its number and the encoding of its fields. The peer may run another version of the
program, so numbers, order and encodings never change (test_golden_frames.py).

A ballot or a version inside a message is encoded as two consecutive fields.
"""

import functools
import io
import json
import struct
import sys
import typing
from collections.abc import Iterable
from typing import Any

import construct

from ploverward.common import errors
from ploverward.common import identifiers
from ploverward.transport import batch_messages
from ploverward.transport import messages

FRAMES_BEFORE_COMPILING = 20  # frames of one kind that are parsed before its parser is compiled
MAX_FRAME_BYTES = 24 * 1024 * 1024  # limits the memory that a peer can make this process use for one message
_COMPILED_ERRORS = (construct.ConstructError, UnicodeDecodeError, struct.error, IndexError, ValueError)
TEXT = construct.PascalString(construct.VarInt, "utf8")
BLOB = construct.Prefixed(construct.VarInt, construct.GreedyBytes)
NUMBER = construct.VarInt
REAL = construct.Float64b
FLAG = construct.Flag


class Inline(typing.NamedTuple):
    """A field that is a named tuple; its own fields are encoded one after the other, without a prefix."""

    type: type
    fields: tuple


class Rows(typing.NamedTuple):
    """A field that is a tuple of named tuples of one type; encoded as their count and the fields of each."""

    type: type
    fields: tuple


class JsonRows(typing.NamedTuple):
    """A field that is a tuple of named tuples of strings and integers; encoded as a blob with a JSON list of lists.

    For fields with thousands of rows: it takes a tenth of the time that `Rows` take.
    """

    type: type
    field_types: tuple  # types of the fields of each row, each `str` or `int`

    def pack(self, rows: Iterable[tuple]) -> bytes:
        """Returns the rows as a blob."""
        return json.dumps([*rows], separators=(",", ":"), ensure_ascii=False).encode()

    def unpack(self, blob: bytes) -> tuple:
        """Returns the rows of a blob.

        Raises:
            FrameError: The blob is not a JSON list of such rows.
        """
        try:
            rows = json.loads(blob)
        except (ValueError, RecursionError) as error:
            raise errors.FrameError(f"{self.type.__name__}: {error}", step="frame") from None
        if type(rows) is not list or not all(self._is_row(row) for row in rows):
            raise errors.FrameError(
                f"{self.type.__name__}: not a JSON list of rows with fields of its types", step="frame"
            )
        return tuple(self.type(*row) for row in rows)

    def _is_row(self, row: object) -> bool:
        return type(row) is list and tuple(map(type, row)) == self.field_types


BALLOT = Inline(identifiers.Ballot, (NUMBER, TEXT))
VERSION = Inline(identifiers.Version, (NUMBER, NUMBER))
TALLY_LOG = Inline(messages.TallyLogName, (TEXT, TEXT))
TALLY_ADDS = JsonRows(messages.TallyAdd, (str, str, int))


def _rows(row_type: type, *fields: Any) -> Rows:  # noqa: ANN401  # encodings of `construct`
    return Rows(row_type, fields)


_FRAME_KINDS: dict[type, tuple] = {
    messages.Handshake: (1, TEXT, TEXT, TEXT, TEXT, TEXT, TEXT),
    messages.KeepAlive: (2, NUMBER),
    messages.Prepare: (10, NUMBER, TEXT, BALLOT, BALLOT),
    messages.Promise: (11, NUMBER, TEXT, FLAG, TEXT, BALLOT, BALLOT, NUMBER, BLOB),
    messages.Accept: (12, NUMBER, TEXT, BALLOT, TEXT, NUMBER, BLOB),
    messages.Accepted: (13, NUMBER, TEXT, FLAG, BALLOT),
    messages.Chosen: (14, TEXT, BALLOT, NUMBER),
    messages.CatchUpRequest: (15, NUMBER, _rows(messages.CatchUpFence, TEXT, BALLOT, BALLOT)),
    messages.CatchUpReply: (16, NUMBER, FLAG, _rows(messages.RegisterRow, TEXT, BALLOT, BALLOT, NUMBER, BLOB)),
    messages.QuorumRead: (17, NUMBER, TEXT, BALLOT),
    messages.QuorumReadReply: (18, NUMBER, TEXT, FLAG, BALLOT, BALLOT, NUMBER, BLOB),
    messages.Announcement: (20, _rows(messages.TopicVersion, TEXT, VERSION)),
    messages.MinimumVersions: (21, _rows(messages.RegisterRevision, TEXT, NUMBER)),
    messages.Fetch: (22, TEXT, VERSION),
    messages.Snapshot: (23, TEXT, VERSION, BLOB),
    messages.Acknowledgement: (24, _rows(messages.TopicVersion, TEXT, VERSION)),
    messages.Deltas: (25, TEXT, VERSION, _rows(messages.Delta, VERSION, BLOB)),
    messages.NodeState: (30, FLAG, FLAG),
    messages.ShareLease: (31, REAL, REAL, REAL, REAL, NUMBER, NUMBER, NUMBER),
    messages.RenewShares: (32, NUMBER, BLOB),
    messages.Heartbeat: (33, NUMBER, NUMBER),
    messages.HeartbeatReply: (34, NUMBER, NUMBER, NUMBER),
    messages.RolloutEvidence: (35, NUMBER, BLOB),
    messages.RolloutLeases: (36, NUMBER, REAL, NUMBER, BLOB),
    messages.QuotaStatus: (37, NUMBER, NUMBER, REAL, NUMBER, BLOB),
    messages.JoinDigest: (40, NUMBER, TEXT),
    messages.DigestJoined: (41, NUMBER),
    messages.LoadReport: (42, NUMBER, BLOB, BLOB),
    messages.ReportCredited: (43, TEXT, NUMBER),
    messages.RelayedFrame: (44, TEXT, BLOB),
    messages.RegionLost: (45, TEXT),
    messages.AdapterCounts: (46, _rows(messages.AdapterCount, TEXT, TEXT, TEXT, TEXT, NUMBER, NUMBER, BLOB)),
    messages.FollowReplicas: (47, FLAG, BLOB),
    messages.JoinGateway: (48, NUMBER, TEXT, NUMBER),
    messages.Subscribe: (50, NUMBER, TEXT, TEXT, NUMBER),
    messages.Catalogue: (51, NUMBER, _rows(messages.Pool, TEXT, TEXT, TEXT, NUMBER, BLOB)),
    messages.PoolCut: (52, TEXT, NUMBER, NUMBER, NUMBER, BLOB),
    messages.PoolDelta: (53, TEXT, NUMBER, BLOB),
    messages.PoolWithdrawn: (54, TEXT, NUMBER),
    messages.ReplicaLoads: (55, NUMBER, FLAG, BLOB),
    messages.Aggregates: (56, NUMBER, BLOB, BLOB),
    messages.AggregatesCounted: (57, NUMBER),
    messages.UsageCounts: (58, REAL, _rows(messages.UsageCount, NUMBER, TEXT, NUMBER)),
    messages.CustodyTrails: (60, TEXT, TEXT, NUMBER, FLAG, _rows(messages.CustodyTrail, TEXT, BLOB)),
    messages.FindCacheOwners: (61, NUMBER, TEXT, TEXT, _rows(messages.PromptHash, BLOB)),
    messages.CacheOwners: (62, NUMBER, _rows(messages.CacheOwner, TEXT, TEXT)),
    messages.WitnessRequest: (38, TEXT),
    messages.WitnessReply: (39, TEXT, FLAG),
    messages.TallyPositionsRequest: (70, NUMBER),
    messages.TallyPositions: (71, FLAG, _rows(messages.TallyPosition, TALLY_LOG, NUMBER)),
    messages.TallyAdds: (72, TALLY_LOG, NUMBER, TALLY_ADDS),
    messages.TallySnapshot: (
        73,
        _rows(messages.TallyPosition, TALLY_LOG, NUMBER),
        JsonRows(messages.TallyTotal, (str, int)),
        TALLY_ADDS,
    ),
    batch_messages.SubmitJob: (80, NUMBER, TEXT, TEXT, TEXT, NUMBER, NUMBER, NUMBER, BLOB),
    batch_messages.JobReply: (81, NUMBER, NUMBER),
    batch_messages.PullItems: (82, NUMBER, NUMBER),
    batch_messages.PulledItems: (
        83,
        NUMBER,
        _rows(batch_messages.PulledItem, TEXT, TEXT, TEXT, TEXT, TEXT, BLOB, BLOB, NUMBER),
    ),
    batch_messages.LeasedItems: (
        102,
        NUMBER,
        _rows(batch_messages.LeasedItem, TEXT, TEXT, TEXT, TEXT, TEXT, NUMBER, TEXT, BLOB, BLOB, NUMBER),
    ),
    batch_messages.FinishItem: (84, NUMBER, TEXT, TEXT, TEXT, NUMBER, BLOB),
    batch_messages.ReadJob: (85, NUMBER, TEXT, TEXT, NUMBER),
    batch_messages.JobPage: (86, NUMBER, NUMBER, NUMBER, _rows(batch_messages.ItemResult, TEXT, NUMBER, BLOB)),
    batch_messages.ReadItem: (87, NUMBER, TEXT, TEXT, TEXT),
    batch_messages.ItemBody: (88, NUMBER, NUMBER, BLOB),
    batch_messages.EndJob: (89, NUMBER, TEXT, TEXT),
    batch_messages.ReplicateEntries: (90, NUMBER, NUMBER, NUMBER, _rows(batch_messages.LogEntry, BLOB)),
    batch_messages.EntriesStored: (91, NUMBER, NUMBER, NUMBER),
    batch_messages.StoreIdentity: (92, TEXT, TEXT, TEXT),
    batch_messages.CopyReport: (
        93,
        NUMBER,
        NUMBER,
        _rows(batch_messages.CaughtUpCopy, TEXT, TEXT),
        _rows(batch_messages.LostCopy, TEXT),
    ),
    batch_messages.RenewPrimaryLeases: (94, NUMBER, _rows(batch_messages.PartitionEpoch, NUMBER, NUMBER)),
    batch_messages.PrimaryLeasesGranted: (95, NUMBER, _rows(batch_messages.PartitionEpoch, NUMBER, NUMBER)),
    batch_messages.RequestLogState: (96, NUMBER, NUMBER),
    batch_messages.LogState: (
        97,
        NUMBER,
        NUMBER,
        TEXT,
        NUMBER,
        NUMBER,
        _rows(batch_messages.EpochRun, NUMBER, NUMBER),
    ),
    batch_messages.AppendEntries: (
        98,
        NUMBER,
        NUMBER,
        NUMBER,
        NUMBER,
        FLAG,
        NUMBER,
        _rows(batch_messages.EpochEntry, NUMBER, BLOB),
    ),
    batch_messages.EntriesDurable: (99, NUMBER, NUMBER, NUMBER),
    batch_messages.RenewItems: (100, NUMBER, _rows(batch_messages.RunningItem, TEXT, TEXT, TEXT)),
    batch_messages.ItemsRenewed: (101, NUMBER, _rows(batch_messages.RunningItem, TEXT, TEXT, TEXT)),
}
_HEADER = struct.Struct(">IB")  # size of the body in bytes, kind
HEADER_BYTES = _HEADER.size


def _encodings(fields: tuple) -> list[Any]:
    """Returns the `construct` encodings of fields; an inline field is replaced by the encodings of its own fields."""
    flat: list[Any] = []
    for field in fields:
        if isinstance(field, Inline):
            flat += field.fields
        elif isinstance(field, Rows):
            flat.append(construct.PrefixedArray(construct.VarInt, construct.Sequence(*_encodings(field.fields))))
        elif isinstance(field, JsonRows):
            flat.append(BLOB)
        else:
            flat.append(field)
    return flat


def _flatten(fields: tuple, values: tuple) -> list[Any]:
    """Returns the values of a message in the form that its encoding expects."""
    flat: list[Any] = []
    for field, value in zip(fields, values, strict=True):
        if isinstance(field, Inline):
            flat += value
        elif isinstance(field, Rows):
            flat.append([_flatten(field.fields, row) for row in value])
        elif isinstance(field, JsonRows):
            flat.append(field.pack(value))
        else:
            flat.append(value)
    return flat


def _assemble(message_type: type, fields: tuple, flat: Iterable[Any]) -> tuple:
    """Returns the message, or the row of one, that has these values; the inverse of `_flatten`."""
    remaining = iter(flat)
    values: list[Any] = []
    for field in fields:
        if isinstance(field, Inline):
            values.append(field.type(*(next(remaining) for _field in field.fields)))
        elif isinstance(field, Rows):
            values.append(tuple(_assemble(field.type, field.fields, row) for row in next(remaining)))
        elif isinstance(field, JsonRows):
            values.append(field.unpack(next(remaining)))
        else:
            values.append(next(remaining))
    return message_type(*values)


class _ExactStream(io.BytesIO):
    """Body of a frame that raises an error on a read beyond its end: compiled parsers do not check for short reads."""

    def read(self, size: int | None = -1, /) -> bytes:
        """Returns the next bytes.

        Raises:
            StreamError: Fewer than `size` bytes are left.
        """
        data = super().read(size)
        if size is not None and len(data) < size:
            raise construct.StreamError(f"{size} bytes needed, but only {len(data)} are left in the body")
        return data


class _FrameKind:
    """A kind of frame: the encoding of one message type."""

    def __init__(self, message_type: type, number: int, fields: tuple) -> None:
        self.message_type = message_type
        self.number = number
        self.fields = fields
        self.is_flat = not any(isinstance(field, Inline | Rows | JsonRows) for field in fields)
        self._parsed = 0  # frames of this kind that were parsed

    @functools.cached_property
    def encodings(self) -> list[Any]:
        """Encodings of all fields; created with the first frame, as a process uses only a third of all kinds."""
        return _encodings(self.fields)

    @functools.cached_property
    def parser(self) -> construct.Construct:
        """Interpreted parser of a body; decides whether the body is malformed."""
        return construct.Sequence(*self.encodings, construct.Terminated)

    @functools.cached_property
    def compiled_parser(self) -> construct.Construct:
        """Compiled parser: takes a third to half of the time of `parser`; compiling it takes 1 to 3 ms once."""
        return construct.Sequence(*self.encodings).compile()

    def parse(self, body: bytes) -> list[Any]:
        """Returns the values of a body, using the compiled parser after `FRAMES_BEFORE_COMPILING` frames of this kind.

        A body that the compiled parser rejects is parsed again by `parser`: compiled parsers raise other errors.

        Raises:
            ConstructError: The body is malformed.
            UnicodeDecodeError: A string in it is not valid UTF-8.
        """
        self._parsed += 1
        if self._parsed > FRAMES_BEFORE_COMPILING:
            stream = _ExactStream(body)
            try:
                values = self.compiled_parser.parse_stream(stream)
            except _COMPILED_ERRORS:
                return self.parser.parse(body)[:-1]
            if stream.tell() == len(body):
                return values
        return self.parser.parse(body)[:-1]  # without the value of `Terminated`

    @functools.cached_property
    def builder(self) -> construct.Construct:
        """Compiled encoder: takes a third of the time of an interpreted one; compiled with the first message sent."""
        return construct.Sequence(*self.encodings).compile()


_KINDS_BY_TYPE = {
    message_type: _FrameKind(message_type, number, tuple(fields))
    for message_type, (number, *fields) in _FRAME_KINDS.items()
}
_KINDS_BY_NUMBER = {kind.number: kind for kind in _KINDS_BY_TYPE.values()}


def pack(message: tuple) -> bytes:
    """Returns the frame of a message.

    Args:
        message: Instance of a type in `ploverward.transport.messages` or `ploverward.transport.batch_messages`.
    """
    kind = _KINDS_BY_TYPE[type(message)]
    body = kind.builder.build(message if kind.is_flat else _flatten(kind.fields, message))
    return _HEADER.pack(len(body), kind.number) + body


def split(buffer: bytearray, *, limit: int = sys.maxsize) -> list[bytes]:
    """Removes complete frames from the front of the buffer and returns them.

    Args:
        buffer: Received bytes.
        limit: Largest number of frames to return.

    Raises:
        FrameError: A frame is of an unknown kind or larger than `MAX_FRAME_BYTES`.
    """
    frames: list[bytes] = []
    while len(buffer) >= HEADER_BYTES and len(frames) < limit:
        size, number = _HEADER.unpack_from(buffer, 0)
        if size > MAX_FRAME_BYTES or number not in _KINDS_BY_NUMBER:
            raise errors.FrameError(
                f"kind {number}, {size} bytes: unknown kind, or more than {MAX_FRAME_BYTES} bytes", step="frame"
            )
        if len(buffer) < HEADER_BYTES + size:
            break
        frames.append(bytes(buffer[: HEADER_BYTES + size]))
        del buffer[: HEADER_BYTES + size]
    return frames


def list_frame_sizes(data: bytes) -> list[tuple[str, int]]:
    """Returns the name of the message type and the size in bytes of each frame.

    Args:
        data: Complete frames of known kinds, one after the other.
    """
    found = []
    offset = 0
    while offset < len(data):
        body_bytes, number = _HEADER.unpack_from(data, offset)
        found.append((_KINDS_BY_NUMBER[number].message_type.__name__, HEADER_BYTES + body_bytes))
        offset += HEADER_BYTES + body_bytes
    return found


def unpack(frame: bytes) -> tuple:
    """Returns the message of one complete frame.

    Raises:
        FrameError: The bytes are not one complete and well-formed frame of a known kind.
    """
    kind = _KINDS_BY_NUMBER.get(frame[4]) if len(frame) >= HEADER_BYTES else None
    if kind is None or _HEADER.unpack_from(frame, 0)[0] != len(frame) - HEADER_BYTES:
        raise errors.FrameError(f"{len(frame)} bytes are not one complete frame of a known kind", step="frame")
    try:
        values = kind.parse(frame[HEADER_BYTES:])
    except (construct.ConstructError, UnicodeDecodeError) as error:
        raise errors.FrameError(f"{kind.message_type.__name__}: {error}", step="frame") from None
    return kind.message_type(*values) if kind.is_flat else _assemble(kind.message_type, kind.fields, values)


def unpack_from(buffer: bytearray) -> list[tuple]:
    """Removes all complete frames from the front of the buffer and returns their messages.

    Raises:
        FrameError: In the cases of `split` and `unpack`.
    """
    return [unpack(frame) for frame in split(buffer)]
