"""Golden frames: checks that the bytes sent between nodes do not change, independent of names in the code.

`golden/frames.json` holds frames of every kind as the code packed them at commit 0abe51d: the name and number of the
kind, its fields in order, and the frame as hex. Never regenerate it from the current code: nodes of different versions
run side by side, so a changed frame needs a new kind, with entries that are added to the existing ones.
"""

import json
import pathlib
import struct
import typing

import construct
import pytest

from ploverward.common import errors
from ploverward.common import identifiers
from ploverward.transport import batch_messages
from ploverward.transport import frames
from ploverward.transport import messages

GOLDEN = pathlib.Path(__file__).parent / "golden"
HEADER = struct.Struct(">IB")  # size of the body in bytes, number of the kind

MESSAGE_TYPES = {  # by the name of the kind in the fixture, which may differ from the name in the code
    "hello": messages.Handshake,
    "beat": messages.KeepAlive,
    "prepare": messages.Prepare,
    "promise": messages.Promise,
    "accept": messages.Accept,
    "accepted": messages.Accepted,
    "chosen": messages.Chosen,
    "refill": messages.CatchUpRequest,
    "refilled": messages.CatchUpReply,
    "peek": messages.QuorumRead,
    "peeked": messages.QuorumReadReply,
    "offer": messages.Announcement,
    "floor": messages.MinimumVersions,
    "want": messages.Fetch,
    "image": messages.Snapshot,
    "have": messages.Acknowledgement,
    "changes": messages.Deltas,
    "state": messages.NodeState,
    "entry": messages.ShareLease,
    "renew": messages.RenewShares,
    "heartbeat": messages.Heartbeat,
    "heartbeat_answer": messages.HeartbeatReply,
    "evidence": messages.RolloutEvidence,
    "leases": messages.RolloutLeases,
    "standing": messages.QuotaStatus,
    "enroll": messages.JoinDigest,
    "enrolled": messages.DigestJoined,
    "report": messages.LoadReport,
    "credited": messages.ReportCredited,
    "relayed": messages.RelayedFrame,
    "broke": messages.RegionLost,
    "adapters": messages.AdapterCounts,
    "follow": messages.FollowReplicas,
    "enroll_digest": messages.JoinGateway,
    "subscribe": messages.Subscribe,
    "catalogue": messages.Catalogue,
    "cut": messages.PoolCut,
    "delta": messages.PoolDelta,
    "withdrawn": messages.PoolWithdrawn,
    "load": messages.ReplicaLoads,
    "sums": messages.Aggregates,
    "counted": messages.AggregatesCounted,
    "trails": messages.CustodyTrails,
    "keeps": messages.FindCacheOwners,
    "kept": messages.CacheOwners,
    "witness_request": messages.WitnessRequest,
    "witness_reply": messages.WitnessReply,
    "tally_positions_request": messages.TallyPositionsRequest,
    "tally_positions": messages.TallyPositions,
    "tally_adds": messages.TallyAdds,
    "tally_snapshot": messages.TallySnapshot,
    "usage_counts": messages.UsageCounts,
    "submit_job": batch_messages.SubmitJob,
    "job_reply": batch_messages.JobReply,
    "pull_items": batch_messages.PullItems,
    "pulled_items": batch_messages.PulledItems,
    "leased_items": batch_messages.LeasedItems,
    "finish_item": batch_messages.FinishItem,
    "read_job": batch_messages.ReadJob,
    "job_page": batch_messages.JobPage,
    "read_item": batch_messages.ReadItem,
    "item_body": batch_messages.ItemBody,
    "end_job": batch_messages.EndJob,
    "replicate_entries": batch_messages.ReplicateEntries,
    "entries_stored": batch_messages.EntriesStored,
    "store_identity": batch_messages.StoreIdentity,
    "copy_report": batch_messages.CopyReport,
    "renew_primary_leases": batch_messages.RenewPrimaryLeases,
    "primary_leases_granted": batch_messages.PrimaryLeasesGranted,
    "request_log_state": batch_messages.RequestLogState,
    "log_state": batch_messages.LogState,
    "append_entries": batch_messages.AppendEntries,
    "entries_durable": batch_messages.EntriesDurable,
    "renew_items": batch_messages.RenewItems,
    "items_renewed": batch_messages.ItemsRenewed,
}
KIND_NAMES = {message_type: name for name, message_type in MESSAGE_TYPES.items()}
INLINE = (
    identifiers.Ballot,
    identifiers.Version,
    messages.TallyLogName,
)  # types whose fields are encoded one after the other, without a prefix


class Representation:
    """Converts between golden frames and the message types; only this class and the tables above use the code's names."""

    @staticmethod
    def numbers() -> dict:
        """Returns the number of each kind, by its name in the fixture."""
        return {KIND_NAMES[message_type]: row[0] for message_type, row in frames._FRAME_KINDS.items()}

    @staticmethod
    def encode(*, kind: str, fields: list) -> bytes:
        """Returns the frame of a message of this kind, with these fields in their order on the wire."""
        return frames.pack(_build(MESSAGE_TYPES[kind], fields))

    @staticmethod
    def decode(*, frame: bytes) -> tuple:
        """Returns the kind of a frame, and its fields in their order on the wire."""
        message = frames.unpack(frame)
        return KIND_NAMES[type(message)], _flat(message)

    @staticmethod
    def split(*, data: bytes) -> list:
        """Splits concatenated frames."""
        return frames.split(bytearray(data))


def _build(row_type, flat):
    """Returns the message, or the row of one, with these values, by the type hints of its fields."""
    remaining = iter(flat)
    values = []
    for hint in typing.get_type_hints(row_type).values():
        if hint in INLINE:
            values.append(hint(next(remaining), next(remaining)))
        elif typing.get_origin(hint) is tuple:
            values.append(tuple(_build(typing.get_args(hint)[0], row) for row in next(remaining)))
        else:
            values.append(next(remaining))
    assert not list(remaining)
    return row_type(*values)


def _flat(row) -> list:
    flat = []
    for value in row:
        if isinstance(value, INLINE):
            flat += value
        else:
            flat.append([_flat(part) for part in value] if isinstance(value, tuple) else value)
    return flat


def _from_json(value):
    """Returns a field from its form in the fixture: a blob is {"hex": ...}, rows are lists."""
    if isinstance(value, dict):
        return bytes.fromhex(value["hex"])
    if isinstance(value, list):
        return tuple(_from_json(item) for item in value)
    return value


def _to_json(value):
    if isinstance(value, (bytes, bytearray)):
        return {"hex": bytes(value).hex()}
    if isinstance(value, (list, tuple)):
        return [_to_json(item) for item in value]
    return value


ENTRIES = json.loads((GOLDEN / "frames.json").read_text(encoding="utf-8"))
each_entry = pytest.mark.parametrize(
    "entry", ENTRIES, ids=[f"{index}-{entry['kind']}" for index, entry in enumerate(ENTRIES)]
)


@each_entry
def test_a_golden_frame_is_decoded_to_its_fields_in_order(entry):
    kind, fields = Representation.decode(frame=bytes.fromhex(entry["frame"]))
    assert kind == entry["kind"]
    # Compared as JSON text, in which 1, 1.0 and true differ.
    assert json.dumps([_to_json(field) for field in fields]) == json.dumps(entry["fields"])


@each_entry
def test_the_fields_are_encoded_to_the_golden_frame(entry):
    frame = Representation.encode(kind=entry["kind"], fields=[_from_json(field) for field in entry["fields"]])
    assert frame.hex() == entry["frame"]


@each_entry
def test_a_golden_frame_starts_with_its_size_and_number(entry):
    frame = bytes.fromhex(entry["frame"])
    assert HEADER.unpack_from(frame) == (len(frame) - HEADER.size, entry["number"])


@each_entry
def test_golden_frame_with_a_byte_added_or_removed_raises_frame_error(entry):
    size, number = HEADER.unpack_from(bytes.fromhex(entry["frame"]))
    body = bytes.fromhex(entry["frame"])[HEADER.size :]
    for other in (body + b"\0", body[:-1]):
        with pytest.raises(errors.FrameError):
            Representation.decode(frame=HEADER.pack(len(other), number) + other)


def test_frame_kinds_and_numbers_equal_those_of_the_fixture():
    numbers = Representation.numbers()
    assert numbers == {entry["kind"]: entry["number"] for entry in ENTRIES}
    assert len(set(numbers.values())) == len(numbers)


def test_concatenated_golden_frames_are_split_into_the_same_frames():
    frames = [bytes.fromhex(entry["frame"]) for entry in ENTRIES]
    assert Representation.split(data=b"".join(frames)) == frames


def _result(parse, body):
    """Returns the parsed values, or the type of the error."""
    try:
        return list(parse(body))
    except (construct.ConstructError, UnicodeDecodeError) as error:
        return type(error)


@each_entry
def test_compiled_parser_gives_the_results_and_errors_of_the_interpreted_parser(entry, monkeypatch):
    monkeypatch.setattr(frames, "FRAMES_BEFORE_COMPILING", 0)
    frame = bytes.fromhex(entry["frame"])
    kind = frames._KINDS_BY_NUMBER[frame[4]]
    body = frame[HEADER.size :]
    changed = [body[:at] + bytes([body[at] ^ 0xFF]) + body[at + 1 :] for at in range(min(len(body), 40))]
    for data in (body, body + b"x", *(body[:size] for size in range(min(len(body), 40))), *changed):
        assert _result(kind.parse, data) == _result(lambda data: kind.parser.parse(data)[:-1], data)
