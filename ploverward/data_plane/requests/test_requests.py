"""Tests responses and retries for each cell of the table in docs/requests.md 3, with scripted replicas."""

import re

import pytest

from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.requests import stream_resumption
from ploverward.data_plane.upstream import upstream_connection
from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy
from ploverward.simulation import request_scene


def _on_complete_request(make):
    """Returns a script that reacts once the request is complete; `make` returns the acts for its id."""
    return lambda number, received: (
        make(request_scene.request_id(received)) if request_scene.is_complete(received) else None
    )


# Scripts of replicas, by what they do with a request.
BEHAVIOURS = {
    "closes after the request": _on_complete_request(lambda id_: ["close"]),
    "resets after the request": _on_complete_request(lambda id_: ["reset"]),
    "closes within the request": lambda number, received: ["close"],
    "resets within the request": lambda number, received: ["reset"],
    "closes within the response head": _on_complete_request(lambda id_: [request_scene.answer(id_)[:30], "close"]),
    "closes within the response body": _on_complete_request(
        lambda id_: [request_scene.answer(id_, b"long body")[:-4], "close"]
    ),
    "resets within the response body": _on_complete_request(
        lambda id_: [request_scene.answer(id_, b"long body")[:-4], "reset"]
    ),
    "responds with another request id": _on_complete_request(lambda id_: [request_scene.answer(b"other")]),
    "responds repeatedly with another request id": _on_complete_request(
        lambda id_: [request_scene.answer(b"other") * 4]
    ),
    "responds not run with another request id": _on_complete_request(
        lambda id_: [request_scene.answer(b"other", status=b"503 Full", more=request_scene.NOT_RUN), "close"]
    ),
    "responds without a request id": _on_complete_request(
        lambda id_: [b"HTTP/1.1 200 OK\r\nX-Postmark: p\r\nContent-Length: 2\r\n\r\nok"]
    ),
    "responds with invalid HTTP": _on_complete_request(lambda id_: [b"\x00\x01\x02 what\r\n\r\n"]),
    "responds without X-Postmark": _on_complete_request(lambda id_: [request_scene.answer(id_, more=b"")]),
    "responds with an encoded body": _on_complete_request(
        lambda id_: [request_scene.answer(id_, more=b"X-Postmark: p\r\nContent-Encoding: gzip\r\n")]
    ),
    "responds without a length": _on_complete_request(
        lambda id_: [b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: p\r\n\r\nok" % id_, "close"]
    ),
    "responds with two lengths": _on_complete_request(
        lambda id_: [request_scene.answer(id_, more=b"X-Postmark: p\r\nContent-Length: 1\r\n")]
    ),
    "responds with a length and chunks": _on_complete_request(
        lambda id_: [
            request_scene.answer(id_, b"2\r\nok\r\n0\r\n\r\n", more=b"X-Postmark: p\r\nTransfer-Encoding: chunked\r\n")
        ]
    ),
    "responds with an invalid chunk": _on_complete_request(
        lambda id_: [
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: p\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok" % id_
        ]
    ),
    "responds 503 without X-Not-Run": _on_complete_request(
        lambda id_: [request_scene.answer(id_, status=b"503 Full", more=b"")]
    ),
    "responds 429 without X-Not-Run": _on_complete_request(
        lambda id_: [request_scene.answer(id_, status=b"429 Slow", more=b"")]
    ),
    "responds 408 without X-Not-Run": _on_complete_request(
        lambda id_: [request_scene.answer(id_, status=b"408 Late", more=b"")]
    ),
    "closes within a not-run response": _on_complete_request(
        lambda id_: [
            request_scene.answer(id_, b"long", status=b"503 Full", more=request_scene.NOT_RUN)[:-2],
            "close",
        ]
    ),
    "responds success with X-Not-Run": _on_complete_request(
        lambda id_: [request_scene.answer(id_, more=b"X-Postmark: p\r\n" + request_scene.NOT_RUN)]
    ),
    "responds redirect with X-Not-Run": _on_complete_request(
        lambda id_: [request_scene.answer(id_, status=b"307 There", more=request_scene.NOT_RUN)]
    ),
    "does not respond": lambda number, received: None,
}


@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("lead", ["unsafe", "once"])
@pytest.mark.parametrize("name", BEHAVIOURS)
def test_non_idempotent_request_is_sent_once_and_never_answered_as_not_run(name, lead, is_reused):
    earlier_requests = 1 if is_reused else 0

    def script(number, received):
        if len(re.findall(rb"X-Attempt-Id", received, re.I)) <= earlier_requests:
            return request_scene.respond_with()(number, received)
        return BEHAVIOURS[name](number, received)

    scene = request_scene.Scene(script, request_scene.respond_ok)
    scene.proxy.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0  # available, but chosen last
    if is_reused:
        scene.request("unsafe")
        assert scene.until(b"\r\n\r\nok")
        scene.client.got = b""
    scene.request(lead, left_ms=300)
    assert request_scene.wait_until_idle(scene)
    assert scene.arrivals() == 1 + earlier_requests
    assert scene.client.got[:13] in (b"HTTP/1.1 502 ", b"HTTP/1.1 504 "), scene.client.got
    assert len(request_scene.statuses(scene.client)) == 1 and b"ostmark" not in scene.client.got
    if is_reused:
        assert (
            len([received for received in scene.peers[0].received if received]) == 1
        )  # both requests used the same connection


# The proxy skips a surplus response and waits for the proper one, so in both cases the replica counts as silent until
# the deadline or a suspicion.
SILENT = ("does not respond", "responds with another request id")


@pytest.mark.parametrize("name", [name for name in BEHAVIOURS if name not in SILENT])
def test_idempotent_request_is_answered_once_by_another_replica(name):
    scene = request_scene.Scene(BEHAVIOURS[name], request_scene.respond_with(b"second"))
    scene.proxy.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("safe", left_ms=1000)
    assert request_scene.wait_until_idle(scene)
    if name.startswith(("responds 429", "responds 408", "responds redirect")):
        return  # 429 and 408 without X-Not-Run become a 502 without a retry; the outcome of a redirect is not checked
    assert request_scene.statuses(scene.client) == [200] and scene.client.got.endswith(b"second")
    assert scene.arrivals() == 2


@pytest.mark.parametrize("status", [b"503 Full", b"429 Slow", b"408 Late", b"421 Another", b"400 No"])
@pytest.mark.parametrize("lead", ["once", "unsafe"])
def test_not_run_response_of_replica_is_answered_503(status, lead):
    scene = request_scene.Scene(request_scene.respond_with(b"", status=status, more=request_scene.NOT_RUN))
    scene.request(lead, left_ms=300)
    assert request_scene.wait_until_idle(scene)
    assert request_scene.statuses(scene.client) == [503] and scene.arrivals() == 1


def test_error_body_of_resuming_replica_is_not_written_into_stream():
    def interrupting(number, received):
        return [request_scene.head(request_scene.request_id(received)) + request_scene.event(1), "close"]

    failing = request_scene.respond_with(b"error text", status=b"500 Broken")
    scene = request_scene.Scene(interrupting, failing)
    scene.proxy.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("resume")
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert b"data: t1" in scene.client.got and b"error text" not in scene.client.got
    assert not scene.client.got.endswith(request_scene.LAST_CHUNK)


def test_stream_resumes_at_third_replica_after_second_one_fails():
    def interrupting(number, received):
        return [request_scene.head(request_scene.request_id(received)) + request_scene.event(1), "close"]

    def continuing(number, received):
        assert b"Last-Event-Id: 1" in received
        return [
            request_scene.head(request_scene.request_id(received)) + request_scene.event(2) + request_scene.LAST_CHUNK
        ]

    scene = request_scene.Scene(
        interrupting, request_scene.respond_with(b"text", status=b"500 Broken"), continuing, zones=["zb"] * 3
    )
    table = scene.proxy.table.replicas
    table["i1"].running, table["i2"].running = 4, 8
    scene.request("home")  # this route allows three attempts
    assert scene.until(request_scene.LAST_CHUNK)
    assert re.findall(rb"data: t(\d)", scene.client.got) == [b"1", b"2"] and b"text\r\n" not in scene.client.got
    assert scene.arrivals() == 3


def test_late_data_of_replaced_replica_is_ignored():
    def pausing_after_event(number, received):
        return [request_scene.head(request_scene.request_id(received)) + request_scene.event(1)]

    def continuing(number, received):
        return [request_scene.head(request_scene.request_id(received)) + request_scene.event(2)]

    scene = request_scene.Scene(pausing_after_event, continuing)
    table = scene.proxy.table.replicas
    table["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("resume", left_ms=5000)
    assert scene.until(b"data: t1")
    table["i0"].is_suspected = table["i0"].is_probe_failed = True
    assert scene.until(b"data: t2")  # the timeout of i0 moved the stream to i1
    scene.peers[0].callback(0, [request_scene.event(2) + request_scene.event(3) + request_scene.LAST_CHUNK])
    scene.peers[1].callback(0, [request_scene.event(3) + request_scene.LAST_CHUNK])
    assert scene.until(request_scene.LAST_CHUNK)
    assert re.findall(rb"data: t(\d)", scene.client.got) == [b"1", b"2", b"3"]


def scene_with_silent_replica(*, zones):
    """Returns a scene with a stream whose replica sends nothing after its first event, and that replica.

    Its connection stays established.
    """

    def pausing(number, received):
        return [request_scene.head(request_scene.request_id(received)) + request_scene.event(1)]

    scene = request_scene.Scene(pausing, pausing, zones=zones)
    scene.proxy.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("resume", left_ms=5000)
    assert scene.until(b"data: t1")
    return scene, scene.proxy.table.replicas["i0"]


def test_replica_timeout_keeps_attempt_if_no_other_replica_can_resume():
    scene, replica = scene_with_silent_replica(zones=["za", "za"])
    scene.proxy.table.replicas["i1"].is_suspected = True
    replica.is_suspected = replica.is_probe_failed = True
    probed = []
    probe = scene.proxy.table.probe
    scene.proxy.table.probe = lambda *, replica: probed.append(replica.id)
    assert loopback.until(scene.loop, lambda: len(probed) >= 4)  # probed repeatedly, and the attempt continues
    scene.proxy.table.probe = probe
    scene.peers[0].callback(0, [request_scene.event(2) + request_scene.LAST_CHUNK])
    assert scene.until(request_scene.LAST_CHUNK)
    assert re.findall(rb"data: t(\d)", scene.client.got) == [b"1", b"2"] and scene.arrivals() == 1


def test_silent_replica_suspected_by_zone_is_probed_before_attempt_is_dropped():
    scene, replica = scene_with_silent_replica(zones=["za", "za"])
    replica.is_suspected = True  # because other replicas of its zone are unreachable; this one is reachable
    assert loopback.until(scene.loop, lambda: not replica.is_suspected)
    scene.peers[0].callback(0, [request_scene.event(2) + request_scene.LAST_CHUNK])
    assert scene.until(request_scene.LAST_CHUNK)
    assert re.findall(rb"data: t(\d)", scene.client.got) == [b"1", b"2"] and scene.arrivals() == 1


@pytest.mark.parametrize("change", [{"kind": "retry_unsafe"}, {"tries": 1}])
def test_newer_configuration_that_forbids_retry_applies_to_request_in_progress(change):
    def script(number, received):
        body = dict(loopback_proxy.CONFIGURATION, edition=4)
        body["routes"] = [
            dict(row, **(change if row["name"] == "safe" else {})) for row in loopback_proxy.CONFIGURATION["routes"]
        ]
        scene.proxy.configure(body)
        return ["close"]

    scene = request_scene.Scene(script, request_scene.respond_ok)
    scene.proxy.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("safe")
    assert request_scene.wait_until_idle(scene)
    assert scene.arrivals() == 1 and request_scene.statuses(scene.client) == [502]


def test_request_frozen_past_its_deadline_is_answered_504():
    scene = request_scene.Scene(lambda number, received: None)
    scene.request("once", left_ms=500)
    assert loopback.until(scene.loop, lambda: scene.arrivals() == 1)
    scene.loop.skip(seconds=20.0)
    assert request_scene.wait_until_idle(scene)
    assert request_scene.statuses(scene.client) == [504] and scene.arrivals() == 1


def test_response_after_deadline_is_not_forwarded_to_any_request():
    scene = request_scene.Scene(lambda number, received: None)
    scene.request("once", left_ms=300)
    assert request_scene.wait_until_idle(scene)
    scene.peers[0].callback(0, [request_scene.answer(b"a1", b"late")])
    scene.peers[0].script = request_scene.respond_with(b"own")
    scene.request("unsafe")
    assert scene.until(b"own")
    assert request_scene.statuses(scene.client) == [504, 200] and b"late" not in scene.client.got
    assert len(scene.peers[0].received) == 2  # the connection of the first request was closed at its end


@pytest.mark.parametrize("step", ["first event", "end"])
def test_internal_error_after_send_is_not_answered_as_not_run(step, monkeypatch):
    """The process continues after a step that raises: the request ends at its deadline, not answered as not run."""

    def raise_error(*_args, **_arguments):
        raise RuntimeError("injected")

    errors = []
    scene = request_scene.Scene(
        lambda number, received: [request_scene.head(request_scene.request_id(received)) + request_scene.event(1)],
        errors=errors,
    )
    if step == "first event":
        monkeypatch.setattr(scene.proxy.chooser, "note_prefill", raise_error)
    else:
        monkeypatch.setattr(upstream_connection.UpstreamConnection, "_on_response_end", raise_error)
        scene.peers[0].script = request_scene.respond_with()
    scene.request("once", left_ms=300)
    assert request_scene.wait_until_idle(scene)
    assert errors and request_scene.statuses(scene.client)[0] in (502, 504) and scene.arrivals() == 1


def test_internal_error_between_attempts_is_answered_504():
    errors = []
    scene = request_scene.Scene(lambda number, received: ["close"], errors=errors)

    def raise_error(**_arguments):
        raise RuntimeError("injected")

    scene.proxy.note_attempt_failure = raise_error
    scene.request("once", left_ms=300)
    assert request_scene.wait_until_idle(scene)
    assert errors and request_scene.statuses(scene.client) == [504]


def test_internal_error_at_attempt_end_is_not_answered_as_not_run():
    errors = []
    scene = request_scene.Scene(lambda number, received: ["close"], errors=errors)

    def raise_error(*, kind, **_arguments):
        if kind != report_source.SENT:
            raise RuntimeError("injected")

    scene.proxy.report_attempt = raise_error
    scene.request("once", left_ms=300)
    assert request_scene.wait_until_idle(scene)
    assert errors and request_scene.statuses(scene.client)[0] in (502, 504) and scene.arrivals() == 1


def test_internal_error_within_stream_ends_stream_without_gap(monkeypatch):
    """The data of the failed step is lost, so no later data may be forwarded."""
    errors = []
    scene = request_scene.Scene(
        lambda number, received: [request_scene.head(request_scene.request_id(received)) + request_scene.event(1)],
        errors=errors,
    )
    scene.request("once")
    assert scene.until(b"data: t1")
    receive_data = stream_resumption.ResumableStream.receive_data

    def raise_once(self, data):
        monkeypatch.setattr(stream_resumption.ResumableStream, "receive_data", receive_data)
        raise RuntimeError("injected")

    monkeypatch.setattr(stream_resumption.ResumableStream, "receive_data", raise_once)
    scene.peers[0].callback(0, [request_scene.event(2)])
    assert loopback.until(scene.loop, lambda: errors)
    scene.peers[0].callback(0, [request_scene.event(3) + request_scene.LAST_CHUNK])
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert b"data: t3" not in scene.client.got and not scene.client.got.endswith(request_scene.LAST_CHUNK)


def test_internal_error_before_send_closes_client_connection():
    errors = []
    scene = request_scene.Scene(request_scene.respond_ok, errors=errors)

    def raise_error(**_arguments):
        raise RuntimeError("injected")

    scene.proxy.chooser.choose = raise_error
    scene.request("once")
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert errors and not scene.client.got and not scene.proxy.handlers and scene.arrivals() == 0


def test_idempotent_stream_is_not_resumed_if_route_is_not_resumable():
    """The request may run again, but a second run need not continue where the first one ended."""

    def interrupting(number, received):
        return [request_scene.head(request_scene.request_id(received)) + request_scene.event(1), "close"]

    def restarting(number, received):
        return [
            request_scene.head(request_scene.request_id(received))
            + request_scene.event(1)
            + request_scene.event(2)
            + request_scene.LAST_CHUNK
        ]

    scene = request_scene.Scene(interrupting, restarting)
    scene.proxy.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("safe")
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert scene.arrivals() == 1 and not scene.client.got.endswith(request_scene.LAST_CHUNK)


def test_stream_is_not_resumed_after_event_without_id():
    def interrupting(number, received):
        text = b"data: without id\n\n"
        event_without_id = b"%x\r\n%s\r\n" % (len(text), text)
        return [
            request_scene.head(request_scene.request_id(received)) + request_scene.event(1) + event_without_id,
            "close",
        ]

    scene = request_scene.Scene(interrupting, request_scene.respond_ok)
    scene.proxy.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("resume")
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert scene.arrivals() == 1 and not scene.client.got.endswith(request_scene.LAST_CHUNK)


def test_response_with_length_and_chunks_is_answered_502():
    body = b"x" * 700000

    def script(number, received):
        return [
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: p\r\nContent-Length: 600000\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
            % (request_scene.request_id(received), len(body), body)
        ]

    scene = request_scene.Scene(script)
    scene.request("unsafe")
    assert request_scene.wait_until_idle(scene)
    assert request_scene.statuses(scene.client) == [502]


def test_client_disconnect_during_last_write_produces_one_custody_trail():
    scene = request_scene.Scene(lambda number, received: None)
    scene.request("once")
    assert loopback.until(scene.loop, lambda: scene.arrivals() == 1)
    handler = next(iter(scene.proxy.handlers))
    handler.request.http_connection._write = lambda data: handler.request.http_connection._handle_disconnect()
    scene.peers[0].callback(
        0, [request_scene.head(request_scene.request_id(scene.peers[0].received[0])) + request_scene.LAST_CHUNK]
    )
    assert loopback.until(scene.loop, lambda: not scene.proxy.handlers)
    scene.loop.step()
    assert len(scene.proxy.trails()) == 1
