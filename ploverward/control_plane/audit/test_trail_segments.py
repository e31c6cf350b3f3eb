"""Tests of blocks and segments of custody trails: written blocks are read back, also after failed or damaged writes."""

import json
import struct

import pytest
from hypothesis import given
from hypothesis import strategies

from ploverward.control_plane.audit import trail_block
from ploverward.control_plane.audit import trail_segments
from ploverward.control_plane.consensus import checksummed_records

ROW = trail_block.BatchRow("p1", "l1", 0, False, 1)


def trail(name):
    return name, json.dumps({"id": name, "goes": []}, separators=(",", ":")).encode()


def block(number, *names, first_offset=None):
    return trail_block.pack(
        number=number,
        first_offset=number * 100 if first_offset is None else first_offset,
        written_at=float(number),
        batches=[ROW._replace(number=number, trails=len(names))],
        trails=[trail(name) for name in names],
    )


class Disk:
    """Files in memory. A failing append leaves half of its data in the file."""

    def __init__(self):
        self.files = {}
        self.fails_writes = False

    def read(self, *, name):
        return self.files.get(name)

    def append(self, *, name, data, size_before):
        if self.fails_writes:
            self.files[name] = self.files[name][:size_before] + data[: len(data) // 2]
            raise OSError("simulated write failure")
        self.files[name] = self.files[name][:size_before] + data

    def replace(self, *, name, new_name, data):
        if self.fails_writes:
            raise OSError("simulated write failure")
        self.files[name] = data


def make(disk, *, limit_bytes=100_000):
    return trail_segments.TrailSegments(disk=disk, limit_bytes=limit_bytes)


def read_names(segments, blocks):
    return [[row["id"] for row in segments.read(stored)] for stored in blocks]


@given(
    strategies.lists(strategies.text(max_size=12), max_size=20),
    strategies.floats(min_value=0, max_value=1e10),
    strategies.integers(min_value=1, max_value=2**62),
)
def test_a_packed_block_is_unpacked_unchanged(names, written_at, first_offset):
    rows = [trail_block.BatchRow("p", "l", 3, True, len(names))]
    body = trail_block.pack(
        number=7, first_offset=first_offset, written_at=written_at, batches=rows, trails=[trail(name) for name in names]
    )
    header = trail_block.unpack_header(body)
    assert header[:4] == (7, first_offset, written_at, tuple(rows))
    assert header.end_offset == first_offset + len(names)
    assert [row["id"] for row in trail_block.unpack_trails(body)] == names
    assert all(index in header.find_candidates(name) for index, name in enumerate(names))


@given(strategies.binary(max_size=200))
def test_unpack_header_raises_value_error_for_malformed_data(data):
    with pytest.raises(ValueError):
        trail_block.unpack_header(data[:8] + struct.pack(">I", 0xFFFFFFF0) + data)


def test_id_bytes_that_straddle_two_ids_equal_neither_of_them():
    header = trail_block.unpack_header(block(1, "a", "b"))
    shifted = header.ids[2:6]
    assert shifted in header.ids
    copy = header._replace(ids=header.ids)
    assert all(copy.ids[index * 4 : index * 4 + 4] != shifted for index in range(2))


def test_load_returns_blocks_of_an_earlier_process_and_write_appends_to_them():
    disk = Disk()
    first = make(disk)
    first.write(block(1, "a", "b"))
    first.write(block(2, "c"))
    second = make(disk)
    blocks = second.load()
    assert read_names(second, blocks) == [["a", "b"], ["c"]]
    blocks.append(second.write(block(3, "d")))
    assert read_names(make(disk), make(disk).load()) == [["a", "b"], ["c"], ["d"]]
    assert len(disk.files) == 1


def test_a_write_beyond_the_size_limit_overwrites_the_oldest_segment():
    disk = Disk()
    record = len(checksummed_records.pack(block(1, "name-1")))
    segments = make(disk, limit_bytes=trail_segments.SEGMENT_COUNT * (2 * record + 10))
    for number in range(1, 31):
        segments.write(block(number, f"name-{number}"))
    found = make(disk).load()
    numbers = [stored.header.number for stored in found]
    assert numbers == list(range(15, 31))
    assert sum(map(len, disk.files.values())) <= trail_segments.SEGMENT_COUNT * (2 * record + 10)


def test_reading_an_overwritten_block_returns_no_trails():
    disk = Disk()
    record = len(checksummed_records.pack(block(1, "name-1")))
    segments = make(disk, limit_bytes=trail_segments.SEGMENT_COUNT * (record + 1))
    first = segments.write(block(1, "name-1"))
    for number in range(2, trail_segments.SEGMENT_COUNT + 2):
        segments.write(block(number, f"name-{number}"))
    assert segments.read(first) == []


@pytest.mark.parametrize("missing", [1, 5, 30])
def test_a_truncated_segment_loses_only_its_last_block(missing):
    disk = Disk()
    segments = make(disk)
    segments.write(block(1, "a"))
    segments.write(block(2, "b"))
    (name,) = disk.files
    disk.files[name] = disk.files[name][:-missing]
    second = make(disk)
    blocks = second.load()
    assert read_names(second, blocks) == [["a"]]
    second.write(block(2, "c"))
    third = make(disk)
    assert read_names(third, third.load()) == [["a"], ["c"]]


def test_corruption_within_a_segment_keeps_the_blocks_before_it():
    disk = Disk()
    segments = make(disk)
    blocks = [segments.write(block(number, f"n{number}")) for number in (1, 2, 3)]
    (name,) = disk.files
    data = bytearray(disk.files[name])
    data[blocks[1].begin + 12] ^= 0xFF
    disk.files[name] = bytes(data)
    second = make(disk)
    assert read_names(second, second.load()) == [["n1"]]
    second.write(block(4, "n4"))
    assert read_names(make(disk), make(disk).load()) == [["n1"], ["n4"]]


def test_the_write_after_a_failed_write_goes_to_the_next_segment():
    disk = Disk()
    segments = make(disk)
    segments.write(block(1, "a"))
    disk.fails_writes = True
    with pytest.raises(OSError):
        segments.write(block(2, "b"))
    disk.fails_writes = False
    segments.write(block(2, "b"))
    third = make(disk)
    assert read_names(third, third.load()) == [["a"], ["b"]]
    assert len(disk.files) == 2
