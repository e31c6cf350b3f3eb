"""Tests the response to a client, with a request that records the calls in place of a connection."""

import types

import pytest

from ploverward.data_plane.requests import response_writer
from ploverward.transport import http_connection


class RecordingRequest:
    """Stands in for `http_request.Request`."""

    def __init__(self, *, last_event_id=b"", queued=0):
        self.calls = []
        self.last_event_id = last_event_id
        self.http_connection = types.SimpleNamespace(queued=lambda: queued)

    def header(self, name, default=b""):
        return self.last_event_id if name == b"last-event-id" else default

    def start(self, *, status, headers):
        self.calls.append(("start", status, list(headers)))

    def data(self, data):
        self.calls.append(("data", data))

    def end(self):
        self.calls.append(("end",))

    def reply(self, *, status, headers=(), body=b""):
        self.calls.append(("reply", status, list(headers), body))

    def abort(self):
        self.calls.append(("abort",))


def make_writer(**options):
    request = RecordingRequest(**options)
    heads = []
    writer = response_writer.ResponseWriter(request=request, on_head=lambda: heads.append(len(request.calls)))
    return writer, request, heads


LENGTH = (b"content-length", b"2")
OTHER = (b"x-postmark", b"p")


def test_short_body_is_buffered_until_complete_and_drops_replica_length():
    writer, request, heads = make_writer()
    writer.begin_body([LENGTH, OTHER])
    writer.write_body(b"o", status=200)
    writer.write_body(b"k", status=200)
    assert not writer.has_head and not request.calls
    writer.end_body(status=200)
    assert request.calls == [("reply", 200, [OTHER], b"ok")] and not heads


def test_body_over_buffer_limit_is_forwarded_once_with_replica_length():
    writer, request, heads = make_writer()
    writer.begin_body([LENGTH])
    long = bytes(response_writer.BUFFER_LIMIT_BYTES + 1)
    writer.write_body(long, status=200)
    writer.write_body(b"more", status=200)
    writer.end_body(status=200)
    assert heads == [0] and writer.has_head
    assert request.calls == [("start", 200, [LENGTH]), ("data", long), ("data", b"more"), ("data", b""), ("end",)]


def test_buffered_body_of_failed_attempt_is_discarded():
    writer, request, _heads = make_writer()
    writer.begin_body([OTHER])
    writer.write_body(b"failure", status=500)
    writer.begin_next_attempt()
    writer.write_body(b"late", status=500)
    writer.begin_body([])
    writer.write_body(b"ok", status=200)
    writer.end_body(status=200)
    assert request.calls == [("reply", 200, [], b"ok")]


def test_resumed_stream_has_one_head_without_length():
    writer, request, heads = make_writer()
    for event in (b"id: 1\n\n", b"id: 2\n\n"):
        writer.begin_stream([LENGTH, OTHER])
        for complete in writer.stream.receive_data(event):
            writer.write_event(complete, status=200)
        writer.begin_next_attempt()
    head = ("start", 200, [OTHER, (b"Transfer-Encoding", b"chunked")])
    assert request.calls == [head, ("data", b"id: 1\n\n"), ("data", b"id: 2\n\n")] and heads == [0]


@pytest.mark.parametrize("client_last_id, expected", [(b"", None), (b"7", b"7")])
def test_last_event_id_comes_from_client_then_from_forwarded_events(client_last_id, expected):
    writer, _request, _heads = make_writer(last_event_id=client_last_id)
    assert writer.last_event_id == expected
    writer.begin_stream([])
    assert writer.last_event_id == expected
    writer.stream.receive_data(b"id: 9\n\n")
    assert writer.last_event_id == b"9"


@pytest.mark.parametrize("excess, is_slow", [(0, False), (1, True)])
def test_write_event_returns_true_above_send_watermark(excess, is_slow):
    writer, _request, _heads = make_writer(queued=http_connection.SEND_HIGH_WATERMARK_BYTES + excess)
    writer.begin_stream([])
    assert writer.write_event(b"id: 1\n\n", status=200) is is_slow
