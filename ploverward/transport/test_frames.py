"""Tests of packing, splitting and unpacking frames, including malformed ones."""

import pathlib
import random
import re

import pytest

from ploverward.common import errors
from ploverward.common.identifiers import Ballot
from ploverward.common.identifiers import Version
from ploverward.transport import batch_messages
from ploverward.transport import frames
from ploverward.transport import messages

MESSAGE_TYPES = {
    value
    for module in (messages, batch_messages)
    for value in vars(module).values()
    if isinstance(value, type) and issubclass(value, tuple) and value.__module__ == module.__name__
}


def test_packed_frames_received_in_pieces_unpack_to_the_sent_messages():
    sent = [
        messages.Announcement(
            (messages.TopicVersion("spec", Version(0, 3)), messages.TopicVersion("list", Version(2, 9)))
        ),
        messages.KeepAlive(0),
        messages.Snapshot("list", Version(2, 9), b"x" * 3000),
        messages.ShareLease(0.25, 0.5, 2.5, 0.2, 3, 16, 7),
        messages.Promise(3, "spec", True, "abc", Ballot(1, "a"), Ballot(2, "b"), 7, b"v"),
    ]
    data = b"".join(frames.pack(message) for message in sent)
    buffer = bytearray()
    received = []
    for start in range(0, len(data), 7):
        buffer += data[start : start + 7]
        received += frames.unpack_from(buffer)
    assert received == sent and not buffer
    assert [type(message) for message in received] == [type(message) for message in sent]


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff\x01",
        b"\x00\x00\x00\x01\xee\x00",
        frames.pack(messages.Fetch("spec", Version(0, 0)))[:5] + b"\x7fabcd\x00\x00",
        b"\x00\x00\x00\x06\x16\x04spec\x00",
    ],
)
def test_unpack_from_malformed_bytes_raises_frame_error(data):
    with pytest.raises(errors.FrameError):
        frames.unpack_from(bytearray(data))


@pytest.mark.parametrize("seed", range(40))
def test_flipped_bit_gives_known_messages_or_frame_error(seed):
    chance = random.Random(seed)
    data = bytearray(frames.pack(messages.Announcement((messages.TopicVersion("spec", Version(0, 3)),))))
    data[chance.randrange(4, len(data))] ^= 1 << chance.randrange(8)
    try:
        received = frames.unpack_from(data)
    except errors.FrameError:
        return
    assert all(type(message) in MESSAGE_TYPES for message in received)


def test_frame_kinds_are_exactly_the_message_types_that_are_not_rows():
    """A message type without a frame kind fails only when packed: because of one, proxies failed at every heartbeat."""
    row_types = {field.type for fields in frames._FRAME_KINDS.values() for field in fields if hasattr(field, "type")}
    assert set(frames._FRAME_KINDS) == MESSAGE_TYPES - row_types
    assert messages.KeepAlive in frames._FRAME_KINDS and messages.TopicVersion in row_types


def test_every_message_created_in_the_sources_has_a_frame_kind_or_is_a_row():
    """A message type without a frame kind fails only when packed: because of one, proxies failed at every heartbeat."""
    folder = pathlib.Path(frames.__file__).parent.parent
    sources = [
        path for path in folder.rglob("*.py") if "simulation" not in path.parts and not path.name.startswith("test_")
    ]
    untyped, created = set(), set()
    for path in sources:
        text = path.read_text(encoding="utf-8")
        untyped |= set(re.findall(r"(?:send|_send_to_cores|broadcast_to_cores|pack)\(\s*\(\s*\"(\w+)\"", text))
        created |= set(re.findall(r"\bmessages\.([A-Z]\w+)\(", text))
    assert not untyped
    packed = {message_type.__name__ for message_type in frames._KINDS_BY_TYPE}
    rows = {
        field.type.__name__
        for kind in frames._KINDS_BY_TYPE.values()
        for field in kind.fields
        if isinstance(field, frames.Rows | frames.JsonRows)
    }
    assert created <= packed | rows
    assert {"RenewShares", "ShareLease", "Heartbeat", "Acknowledgement", "KeepAlive"} <= created


@pytest.mark.parametrize(
    "blob",
    [
        b"",
        b"{",
        b"{}",
        b"1",
        b'[["t"]]',
        b'[["t","x",1,2]]',
        b'[["t","x","1"]]',
        b'[["t","x",1.0]]',
        b'[["t","x",true]]',
        b'[["t","x",NaN]]',
        b'[[1,"x",1]]',
        b"[" * 100_000,
        b"\xff",
    ],
)
def test_json_rows_unpack_of_malformed_blob_raises_frame_error(blob):
    with pytest.raises(errors.FrameError):
        frames.TALLY_ADDS.unpack(blob)
