"""Tests the events of a stream over several segments, without sockets."""

import pytest
from hypothesis import given
from hypothesis import strategies

from ploverward.data_plane.requests import stream_resumption


def event(number: int, end: bytes = b"\n\n") -> bytes:
    return b"id: %d" % number + end[: len(end) // 2] + b"data: t%d" % number + end


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
def test_events_are_complete_for_every_chunk_size(end):
    data = event(1, end) + event(2, end)
    for size in range(1, len(data) + 1):
        stream = stream_resumption.ResumableStream(last_id=None)
        found = []
        for start in range(0, len(data), size):
            found += stream.receive_data(data[start : start + size])
        assert b"".join(found) == data and stream.last_id == b"2", size


def test_new_segment_drops_incomplete_event_and_repeated_events():
    stream = stream_resumption.ResumableStream(last_id=None)
    assert stream.receive_data(event(1) + event(2) + event(3)[:-3]) == [event(1), event(2)]
    stream.begin_segment()
    assert stream.receive_data(event(2) + event(3)) == [event(3)]


def test_non_numeric_id_is_dropped_only_if_equal_to_last_id():
    stream = stream_resumption.ResumableStream(last_id=None)
    first, second = b"id: a\n\n", b"id: b\n\n"
    assert stream.receive_data(first + first + second + first) == [first, second, first]


def test_event_without_id_makes_stream_not_resumable():
    stream = stream_resumption.ResumableStream(last_id=b"7")
    assert stream.is_resumable
    assert stream.receive_data(b"data: x\n\n") == [b"data: x\n\n"]
    assert not stream.is_resumable and stream.last_id == b"7"


def test_first_event_is_forwarded_even_with_id_sent_by_client():
    stream = stream_resumption.ResumableStream(last_id=b"7")
    assert stream.receive_data(event(7)) == [event(7)]


def test_remainder_after_last_event_is_returned_once():
    stream = stream_resumption.ResumableStream(last_id=None)
    assert stream.receive_data(event(1) + b": end") == [event(1)]
    assert (stream.take_remainder(), stream.take_remainder()) == (b": end", b"")


def events_by_repeated_search(data: bytes) -> list[bytes]:
    """Returns the complete events in the data, by a search for each terminator from the start of the rest."""
    found = []
    while True:
        ends = [data.find(end) + len(end) for end in (b"\n\n", b"\r\n\r\n", b"\r\r") if end in data]
        if not ends:
            return found
        found.append(data[: min(ends)])
        data = data[min(ends) :]


@given(strategies.lists(strategies.text(alphabet="\r\nd:", max_size=12).map(str.encode), max_size=8))
def test_events_are_those_of_a_repeated_search_however_the_data_is_split(pieces):
    stream = stream_resumption.ResumableStream(last_id=None)
    found = [event for piece in pieces for event in stream.receive_data(piece)]
    assert found == events_by_repeated_search(b"".join(pieces))
    assert b"".join(found) + stream.take_remainder() == b"".join(pieces)


def test_long_event_in_many_pieces_is_searched_once(monkeypatch):
    """Guards against a search of the whole buffer for each piece, which makes a large event quadratic."""
    searched = []

    class Terminator:
        def finditer(self, buffer, start):
            searched.append(len(buffer) - start)
            return stream_resumption.re.finditer(rb"\n\n", buffer[start:])

    monkeypatch.setattr(stream_resumption, "EVENT_TERMINATOR", Terminator())
    stream = stream_resumption.ResumableStream(last_id=None)
    for _piece in range(100):
        stream.receive_data(b"x" * 1000)
    assert sum(searched) < 100 * (1000 + 2 * stream_resumption.MAX_PARTIAL_TERMINATOR_BYTES)
