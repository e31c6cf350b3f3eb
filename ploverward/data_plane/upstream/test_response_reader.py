"""Tests of matching responses to requests and of connection reuse, without a socket."""

import h11
import pytest

from ploverward.data_plane.upstream import response_reader
from ploverward.data_plane.upstream import upstream_errors
from ploverward.data_plane.upstream.response_reader import Signal

REQUEST = h11.Request(method="POST", target="/x", headers=[("Host", "h"), ("Content-Length", "4")])


def reader_after_request(reader=None, *, request_id=b"mine"):
    reader = reader or response_reader.ResponseReader()
    assert reader.send_request(request_id=request_id, head=REQUEST, body=b"body").endswith(b"\r\n\r\nbody")
    return reader


def response(attempt_id, body=b"ok", *, status=b"200 OK", more=b""):
    id_header = b"X-Attempt-Id: %s\r\n" % attempt_id if attempt_id else b""
    return b"HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s" % (status, id_header, more, len(body), body)


def events(reader, data=b"", *, is_unsent=False):
    """Returns the events in the data: the statuses of heads, bytes of bodies, and the end."""
    reader.receive_data(data)
    found = []
    while (event := reader.next_event(is_unsent=is_unsent)) is not Signal.NEED_DATA:
        if event is Signal.SKIPPED:
            continue
        found.append(event.status if isinstance(event, response_reader.ResponseHead) else event)
        if event is Signal.RESPONSE_END:
            break
    return found


def test_response_is_returned_in_chunks_and_connection_is_reusable():
    reader = reader_after_request()
    data = response(b"mine")
    assert events(reader, data[:-1]) == [200, b"o"]
    assert events(reader, data[-1:]) == [b"k", Signal.RESPONSE_END]
    assert reader.served == 1 and reader.start_next_cycle()
    assert events(reader_after_request(reader, request_id=b"next"), response(b"next")) == [
        200,
        b"ok",
        Signal.RESPONSE_END,
    ]


@pytest.mark.parametrize("extra_count", [1, 2])
def test_responses_to_other_requests_are_skipped_and_connection_is_not_reused(extra_count):
    reader = reader_after_request()
    assert events(reader, response(b"other", b"theirs") * extra_count + response(b"mine")) == [
        200,
        b"ok",
        Signal.RESPONSE_END,
    ]
    assert not reader.start_next_cycle()


def test_more_than_max_skipped_responses_raise_error():
    with pytest.raises(upstream_errors.RemoteProtocolError):
        events(reader_after_request(), response(b"other") * (response_reader.MAX_SKIPPED_RESPONSES + 1))


def test_response_before_any_request_byte_was_sent_raises_error():
    with pytest.raises(upstream_errors.RemoteProtocolError):
        events(reader_after_request(), response(b"mine"), is_unsent=True)


def test_response_without_id_is_accepted_only_as_error_on_unused_connection():
    assert events(reader_after_request(), response(b"", status=b"500 No")) == [500, b"ok", Signal.RESPONSE_END]
    with pytest.raises(upstream_errors.RemoteProtocolError):
        events(reader_after_request(), response(b""))
    reader = reader_after_request()
    events(reader, response(b"mine"))
    assert reader.start_next_cycle()
    with pytest.raises(upstream_errors.RemoteProtocolError):
        events(reader_after_request(reader, request_id=b"next"), response(b"", status=b"500 No"))


@pytest.mark.parametrize(
    "data",
    [
        response(b"mine") + b"HTTP/1.1 200 OK\r\n",
        response(b"mine", more=b"Connection: close\r\n"),
        response(b"mine").replace(b"HTTP/1.1", b"HTTP/1.0"),
    ],
)
def test_connection_is_not_reused_after_trailing_bytes_close_header_or_http_1_0(data):
    reader = reader_after_request()
    assert events(reader, data)[-1] is Signal.RESPONSE_END and not reader.start_next_cycle()


@pytest.mark.parametrize(
    "more, is_framed", [(b"", True), (b"Transfer-Encoding: chunked\r\n", False), (b"X-Other: 1\r\n", True)]
)
def test_response_with_content_length_and_chunks_is_not_framed(more, is_framed):
    reader = reader_after_request()
    reader.receive_data(response(b"mine", b"2\r\nok\r\n0\r\n\r\n", more=more))
    assert reader.next_event(is_unsent=False).is_framed is is_framed


def test_informational_responses_are_ignored_and_invalid_http_raises_error():
    assert events(reader_after_request(), b"HTTP/1.1 100 Continue\r\n\r\n" + response(b"mine"))[0] == 200
    with pytest.raises(h11.RemoteProtocolError):
        events(reader_after_request(), b"\x00 what\r\n\r\n")


def test_connection_end_before_or_within_response_raises_error():
    with pytest.raises((upstream_errors.ConnectionEndedError, h11.RemoteProtocolError)):
        events(reader_after_request())
    reader = reader_after_request()
    assert events(reader, response(b"mine", b"long")[:-1]) == [200, b"lon"]
    with pytest.raises(h11.RemoteProtocolError):
        events(reader)


@pytest.mark.parametrize(
    "value, expected", [(b"timeout=7", 7.0), (b"max=3, Timeout=4", 4.0), (b"timeout=soon", None), (b"", None)]
)
def test_keep_alive_timeout_is_parsed(value, expected):
    assert response_reader.keep_alive_timeout_s(value) == expected
