"""Golden frames: what goes from node to node stays the same to the byte, whatever the code's own names are.

`golden/frames.json` holds frames of every kind as the code packed them at commit 0abe51d: the kind's name and number, its
fields in order, and the frame as hex. It is never made anew from the present code: nodes of two versions run side by
side, so a frame that has to change needs a new kind, and entries of the fixture beside those that are here.
"""

import json
import pathlib
import struct

import pytest

from ploverward.common import errors
from ploverward.transport import frames as frames_module

GOLDEN = pathlib.Path(__file__).parent / "golden"
HEAD = struct.Struct(">IB")  # size of the fields, number of the kind


class Representation:
    """How the code holds a message. The one place here that knows it, and the code's names."""

    @staticmethod
    def numbers() -> dict:
        """Name of each kind today: its number."""
        return {name: number for name, (number, _fields) in frames_module.KINDS.items()}

    @staticmethod
    def encode(*, kind: str, fields: list) -> bytes:
        """The frame of a message of this kind, with these fields in the order of the wire."""
        return frames_module.pack((kind, *fields))

    @staticmethod
    def decode(*, frame: bytes) -> tuple:
        """(kind, its fields in the order of the wire)"""
        kind, *fields = frames_module.unpack(frame)
        return kind, fields

    @staticmethod
    def split(*, data: bytes) -> list:
        """The whole frames that stand one behind the other."""
        return frames_module.split(bytearray(data))


def _from_json(value):
    """A field as the fixture writes it: a blob is {"hex": ...}, rows are lists."""
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
    "entry", ENTRIES, ids=[f"{place}-{entry['kind']}" for place, entry in enumerate(ENTRIES)]
)


@each_entry
def test_a_golden_frame_is_decoded_to_its_fields_in_order(entry):
    kind, fields = Representation.decode(frame=bytes.fromhex(entry["frame"]))
    assert kind == entry["kind"]
    # Compared as JSON text: there 1, 1.0 and true differ.
    assert json.dumps([_to_json(field) for field in fields]) == json.dumps(entry["fields"])


@each_entry
def test_the_fields_are_encoded_to_the_golden_frame(entry):
    frame = Representation.encode(kind=entry["kind"], fields=[_from_json(field) for field in entry["fields"]])
    assert frame.hex() == entry["frame"]


@each_entry
def test_a_golden_frame_starts_with_its_size_and_number(entry):
    frame = bytes.fromhex(entry["frame"])
    assert HEAD.unpack_from(frame) == (len(frame) - HEAD.size, entry["number"])


@each_entry
def test_a_golden_frame_with_a_byte_more_or_less_in_its_fields_is_no_frame(entry):
    size, number = HEAD.unpack_from(bytes.fromhex(entry["frame"]))
    body = bytes.fromhex(entry["frame"])[HEAD.size :]
    for other in (body + b"\0", body[:-1]):
        with pytest.raises(errors.FrameError):
            Representation.decode(frame=HEAD.pack(len(other), number) + other)


def test_the_kinds_of_the_code_are_those_of_the_fixture():
    numbers = Representation.numbers()
    assert numbers == {entry["kind"]: entry["number"] for entry in ENTRIES}
    assert len(set(numbers.values())) == len(numbers)


def test_golden_frames_one_behind_the_other_are_split_into_the_same_frames():
    frames = [bytes.fromhex(entry["frame"]) for entry in ENTRIES]
    assert Representation.split(data=b"".join(frames)) == frames
