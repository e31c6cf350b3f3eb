"""Who gets which answer, and what is sent twice: each cell of the table in docs/requests.md 3, with scripted peers."""

import re

import pytest

from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.requests import stream_resumption
from ploverward.data_plane.upstream import upstream_connection
from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy
from ploverward.simulation import request_scene


# What a replica may do with a request: script, and whether it promises that the request was not run.
def _on_complete_request(make):
    return lambda number, heard: make(request_scene.request_id(heard)) if request_scene.is_complete(heard) else None


BEHAVIOURS = {
    "closes when it has the request": _on_complete_request(lambda which: ["close"]),
    "resets when it has the request": _on_complete_request(lambda which: ["reset"]),
    "closes in the middle of the request": lambda number, heard: ["close"],
    "resets in the middle of the request": lambda number, heard: ["reset"],
    "closes in the middle of the head": _on_complete_request(lambda which: [request_scene.answer(which)[:30], "close"]),
    "closes in the middle of the body": _on_complete_request(
        lambda which: [request_scene.answer(which, b"long body")[:-4], "close"]
    ),
    "resets in the middle of the body": _on_complete_request(
        lambda which: [request_scene.answer(which, b"long body")[:-4], "reset"]
    ),
    "answers for another request": _on_complete_request(lambda which: [request_scene.answer(b"other")]),
    "answers for others again and again": _on_complete_request(lambda which: [request_scene.answer(b"other") * 4]),
    "promises for another request": _on_complete_request(
        lambda which: [request_scene.answer(b"other", status=b"503 Full", more=request_scene.NOT_RUN), "close"]
    ),
    "answers without an id": _on_complete_request(
        lambda which: [b"HTTP/1.1 200 OK\r\nX-Postmark: p\r\nContent-Length: 2\r\n\r\nok"]
    ),
    "answers nothing that is HTTP": _on_complete_request(lambda which: [b"\x00\x01\x02 what\r\n\r\n"]),
    "answers without its stamp": _on_complete_request(lambda which: [request_scene.answer(which, more=b"")]),
    "answers an encoded body": _on_complete_request(
        lambda which: [request_scene.answer(which, more=b"X-Postmark: p\r\nContent-Encoding: gzip\r\n")]
    ),
    "answers without a length": _on_complete_request(
        lambda which: [b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: p\r\n\r\nok" % which, "close"]
    ),
    "answers two lengths": _on_complete_request(
        lambda which: [request_scene.answer(which, more=b"X-Postmark: p\r\nContent-Length: 1\r\n")]
    ),
    "answers a length and chunks": _on_complete_request(
        lambda which: [
            request_scene.answer(
                which, b"2\r\nok\r\n0\r\n\r\n", more=b"X-Postmark: p\r\nTransfer-Encoding: chunked\r\n"
            )
        ]
    ),
    "answers a bad chunk": _on_complete_request(
        lambda which: [
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: p\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok"
            % which
        ]
    ),
    "says 503 without a promise": _on_complete_request(
        lambda which: [request_scene.answer(which, status=b"503 Full", more=b"")]
    ),
    "says 429 without a promise": _on_complete_request(
        lambda which: [request_scene.answer(which, status=b"429 Slow", more=b"")]
    ),
    "says 408 without a promise": _on_complete_request(
        lambda which: [request_scene.answer(which, status=b"408 Late", more=b"")]
    ),
    "promises and breaks off": _on_complete_request(
        lambda which: [
            request_scene.answer(which, b"long", status=b"503 Full", more=request_scene.NOT_RUN)[:-2],
            "close",
        ]
    ),
    "says success and not run": _on_complete_request(
        lambda which: [request_scene.answer(which, more=b"X-Postmark: p\r\n" + request_scene.NOT_RUN)]
    ),
    "says elsewhere and not run": _on_complete_request(
        lambda which: [request_scene.answer(which, status=b"307 There", more=request_scene.NOT_RUN)]
    ),
    "is silent": lambda number, heard: None,
}


@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("lead", ["unsafe", "once"])
@pytest.mark.parametrize("name", BEHAVIOURS)
def test_non_idempotent_request_is_sent_once_and_never_answered_as_not_run(name, lead, is_reused):
    before = 1 if is_reused else 0

    def script(number, heard):
        if len(re.findall(rb"X-Attempt-Id", heard, re.I)) <= before:
            return request_scene.answering()(number, heard)
        return BEHAVIOURS[name](number, heard)

    scene = request_scene.Scene(script, request_scene.replying)
    scene.proxy.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0  # there, but the last to be chosen
    if is_reused:
        scene.request("unsafe")
        assert scene.until(b"\r\n\r\nok")
        scene.client.got = b""
    scene.request(lead, left_ms=300)
    assert request_scene.settled(scene)
    assert scene.arrivals() == 1 + before
    assert scene.client.got[:13] in (b"HTTP/1.1 502 ", b"HTTP/1.1 504 "), scene.client.got
    assert len(request_scene.statuses(scene.client)) == 1 and b"ostmark" not in scene.client.got
    if is_reused:
        assert len([heard for heard in scene.peers[0].heard if heard]) == 1  # it was the same connection


# After an answer too many the one that is due is waited for: silent, both, until the deadline or a suspicion.
SILENT = ("is silent", "answers for another request")


@pytest.mark.parametrize("name", [name for name in BEHAVIOURS if name not in SILENT])
def test_idempotent_request_is_answered_once_by_another_replica(name):
    scene = request_scene.Scene(BEHAVIOURS[name], request_scene.answering(b"second"))
    scene.proxy.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("safe", left_ms=1000)
    assert request_scene.settled(scene)
    if name.startswith(("says 429", "says 408", "says elsewhere")):
        return  # a failure of a replica that may be passed on, or stands for one
    assert request_scene.statuses(scene.client) == [200] and scene.client.got.endswith(b"second")
    assert scene.arrivals() == 2


@pytest.mark.parametrize("status", [b"503 Full", b"429 Slow", b"408 Late", b"421 Another", b"400 No"])
@pytest.mark.parametrize("lead", ["once", "unsafe"])
def test_not_run_response_of_replica_is_answered_503(status, lead):
    scene = request_scene.Scene(request_scene.answering(b"", status=status, more=request_scene.NOT_RUN))
    scene.request(lead, left_ms=300)
    assert request_scene.settled(scene)
    assert request_scene.statuses(scene.client) == [503] and scene.arrivals() == 1


def test_error_body_of_resuming_replica_is_not_written_into_stream():
    def cutting(number, heard):
        return [request_scene.head(request_scene.request_id(heard)) + request_scene.event(1), "close"]

    failing = request_scene.answering(b"a failure's own text", status=b"500 Broken")
    scene = request_scene.Scene(cutting, failing)
    scene.proxy.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("resume")
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert b"data: t1" in scene.client.got and b"own text" not in scene.client.got
    assert not scene.client.got.endswith(request_scene.END)


def test_stream_resumes_at_third_replica_after_second_one_fails():
    def cutting(number, heard):
        return [request_scene.head(request_scene.request_id(heard)) + request_scene.event(1), "close"]

    def going_on(number, heard):
        assert b"Last-Event-Id: 1" in heard
        return [request_scene.head(request_scene.request_id(heard)) + request_scene.event(2) + request_scene.END]

    scene = request_scene.Scene(
        cutting, request_scene.answering(b"text", status=b"500 Broken"), going_on, zones=["zb"] * 3
    )
    table = scene.proxy.table.replicas
    table["i1"].running, table["i2"].running = 4, 8
    scene.request("home")  # three tries
    assert scene.until(request_scene.END)
    assert re.findall(rb"data: t(\d)", scene.client.got) == [b"1", b"2"] and b"text\r\n" not in scene.client.got
    assert scene.arrivals() == 3


def test_late_data_of_replaced_replica_is_ignored():
    def waking(number, heard):
        return [request_scene.head(request_scene.request_id(heard)) + request_scene.event(1)]

    def going_on(number, heard):
        return [request_scene.head(request_scene.request_id(heard)) + request_scene.event(2)]

    scene = request_scene.Scene(waking, going_on)
    table = scene.proxy.table.replicas
    table["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("resume", left_ms=5000)
    assert scene.until(b"data: t1")
    table["i0"].is_suspected = table["i0"].is_probe_failed = True
    assert scene.until(b"data: t2")  # silence moved it
    scene.peers[0].callback(0, [request_scene.event(2) + request_scene.event(3) + request_scene.END])
    scene.peers[1].callback(0, [request_scene.event(3) + request_scene.END])
    assert scene.until(request_scene.END)
    assert re.findall(rb"data: t(\d)", scene.client.got) == [b"1", b"2", b"3"]


def silent_in_a_stream(*, zones):
    """A stream whose replica falls silent after its first event, with its connection up."""

    def pausing(number, heard):
        return [request_scene.head(request_scene.request_id(heard)) + request_scene.event(1)]

    scene = request_scene.Scene(pausing, pausing, zones=zones)
    scene.proxy.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("resume", left_ms=5000)
    assert scene.until(b"data: t1")
    return scene, scene.proxy.table.replicas["i0"]


def test_replica_timeout_keeps_attempt_if_no_other_replica_can_resume():
    scene, replica = silent_in_a_stream(zones=["za", "za"])
    scene.proxy.table.replicas["i1"].is_suspected = True
    replica.is_suspected = replica.is_probe_failed = True
    looked = []
    probe = scene.proxy.table.probe
    scene.proxy.table.probe = lambda *, replica: looked.append(replica.id)
    assert loopback.until(scene.loop, lambda: len(looked) >= 4)  # looked at again and again, and not left
    scene.proxy.table.probe = probe
    scene.peers[0].callback(0, [request_scene.event(2) + request_scene.END])
    assert scene.until(request_scene.END)
    assert re.findall(rb"data: t(\d)", scene.client.got) == [b"1", b"2"] and scene.arrivals() == 1


def test_silent_replica_suspected_by_zone_is_probed_before_attempt_is_dropped():
    scene, replica = silent_in_a_stream(zones=["za", "za"])
    replica.is_suspected = True  # others of its zone did not come up; this one does
    assert loopback.until(scene.loop, lambda: not replica.is_suspected)
    scene.peers[0].callback(0, [request_scene.event(2) + request_scene.END])
    assert scene.until(request_scene.END)
    assert re.findall(rb"data: t(\d)", scene.client.got) == [b"1", b"2"] and scene.arrivals() == 1


@pytest.mark.parametrize("change", [{"kind": "retry_unsafe"}, {"tries": 1}])
def test_newer_configuration_that_forbids_retry_applies_to_request_in_progress(change):
    def script(number, heard):
        body = dict(loopback_proxy.CONFIGURATION, edition=4)
        body["routes"] = [
            dict(row, **(change if row["name"] == "safe" else {})) for row in loopback_proxy.CONFIGURATION["routes"]
        ]
        scene.proxy.configure(body)
        return ["close"]

    scene = request_scene.Scene(script, request_scene.replying)
    scene.proxy.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("safe")
    assert request_scene.settled(scene)
    assert scene.arrivals() == 1 and request_scene.statuses(scene.client) == [502]


def test_request_frozen_past_its_deadline_is_answered_504():
    scene = request_scene.Scene(lambda number, heard: None)
    scene.request("once", left_ms=500)
    assert loopback.until(scene.loop, lambda: scene.arrivals() == 1)
    scene.loop.skip(seconds=20.0)
    assert request_scene.settled(scene)
    assert request_scene.statuses(scene.client) == [504] and scene.arrivals() == 1


def test_response_after_deadline_is_not_forwarded_to_any_request():
    scene = request_scene.Scene(lambda number, heard: None)
    scene.request("once", left_ms=300)
    assert request_scene.settled(scene)
    scene.peers[0].callback(0, [request_scene.answer(b"a1", b"late")])
    scene.peers[0].script = request_scene.answering(b"own")
    scene.request("unsafe")
    assert scene.until(b"own")
    assert request_scene.statuses(scene.client) == [504, 200] and b"late" not in scene.client.got
    assert len(scene.peers[0].heard) == 2  # the connection of the first one ended with it


@pytest.mark.parametrize("where", ["first event", "end"])
def test_internal_error_after_send_is_not_answered_as_not_run(where, monkeypatch):
    """A step that raises is noted and the process goes on: the request then ends at its deadline, without a promise."""

    def broken(*_args, **_about):
        raise RuntimeError("planted")

    faults = []
    scene = request_scene.Scene(
        lambda number, heard: [request_scene.head(request_scene.request_id(heard)) + request_scene.event(1)],
        faults=faults,
    )
    if where == "first event":
        monkeypatch.setattr(scene.proxy.chooser, "note_read", broken)
    else:
        monkeypatch.setattr(upstream_connection.UpstreamConnection, "_on_response_end", broken)
        scene.peers[0].script = request_scene.answering()
    scene.request("once", left_ms=300)
    assert request_scene.settled(scene)
    assert faults and request_scene.statuses(scene.client)[0] in (502, 504) and scene.arrivals() == 1


def test_internal_error_between_attempts_is_answered_504():
    faults = []
    scene = request_scene.Scene(lambda number, heard: ["close"], faults=faults)

    def broken(**_about):
        raise RuntimeError("planted")

    scene.proxy.note_attempt_failure = broken
    scene.request("once", left_ms=300)
    assert request_scene.settled(scene)
    assert faults and request_scene.statuses(scene.client) == [504]


def test_internal_error_at_attempt_end_is_not_answered_as_not_run():
    faults = []
    scene = request_scene.Scene(lambda number, heard: ["close"], faults=faults)

    def broken(*, kind, **_about):
        if kind != report_source.SENT:
            raise RuntimeError("planted")

    scene.proxy.report_attempt = broken
    scene.request("once", left_ms=300)
    assert request_scene.settled(scene)
    assert faults and request_scene.statuses(scene.client)[0] in (502, 504) and scene.arrivals() == 1


def test_internal_error_within_stream_ends_stream_without_gap(monkeypatch):
    """What the broken step held is lost, so nothing may follow it."""
    faults = []
    scene = request_scene.Scene(
        lambda number, heard: [request_scene.head(request_scene.request_id(heard)) + request_scene.event(1)],
        faults=faults,
    )
    scene.request("once")
    assert scene.until(b"data: t1")
    take = stream_resumption.ResumableStream.receive_data

    def broken_once(self, data):
        monkeypatch.setattr(stream_resumption.ResumableStream, "receive_data", take)
        raise RuntimeError("planted")

    monkeypatch.setattr(stream_resumption.ResumableStream, "receive_data", broken_once)
    scene.peers[0].callback(0, [request_scene.event(2)])
    assert loopback.until(scene.loop, lambda: faults)
    scene.peers[0].callback(0, [request_scene.event(3) + request_scene.END])
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert b"data: t3" not in scene.client.got and not scene.client.got.endswith(request_scene.END)


def test_internal_error_before_send_closes_client_connection():
    faults = []
    scene = request_scene.Scene(request_scene.replying, faults=faults)

    def broken(**_about):
        raise RuntimeError("planted")

    scene.proxy.chooser.choose = broken
    scene.request("once")
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert faults and not scene.client.got and not scene.proxy.handlers and scene.arrivals() == 0


def test_idempotent_stream_is_not_resumed_if_route_is_not_resumable():
    """It may run again, but a new run need not go on where the first one ended."""

    def cutting(number, heard):
        return [request_scene.head(request_scene.request_id(heard)) + request_scene.event(1), "close"]

    def anew(number, heard):
        return [
            request_scene.head(request_scene.request_id(heard))
            + request_scene.event(1)
            + request_scene.event(2)
            + request_scene.END
        ]

    scene = request_scene.Scene(cutting, anew)
    scene.proxy.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("safe")
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert scene.arrivals() == 1 and not scene.client.got.endswith(request_scene.END)


def test_stream_is_not_resumed_after_event_without_id():
    def cutting(number, heard):
        text = b"data: nameless\n\n"
        nameless = b"%x\r\n%s\r\n" % (len(text), text)
        return [
            request_scene.head(request_scene.request_id(heard)) + request_scene.event(1) + nameless,
            "close",
        ]

    scene = request_scene.Scene(cutting, request_scene.replying)
    scene.proxy.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("resume")
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert scene.arrivals() == 1 and not scene.client.got.endswith(request_scene.END)


def test_response_with_length_and_chunks_is_answered_502():
    body = b"x" * 700000

    def script(number, heard):
        return [
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: p\r\nContent-Length: 600000\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
            % (request_scene.request_id(heard), len(body), body)
        ]

    scene = request_scene.Scene(script)
    scene.request("unsafe")
    assert request_scene.settled(scene)
    assert request_scene.statuses(scene.client) == [502]


def test_client_disconnect_during_last_write_produces_one_custody_trail():
    scene = request_scene.Scene(lambda number, heard: None)
    scene.request("once")
    assert loopback.until(scene.loop, lambda: scene.arrivals() == 1)
    handler = next(iter(scene.proxy.handlers))
    handler.request.http_connection._write = lambda data: handler.request.http_connection._gone()
    scene.peers[0].callback(
        0, [request_scene.head(request_scene.request_id(scene.peers[0].heard[0])) + request_scene.END]
    )
    assert loopback.until(scene.loop, lambda: not scene.proxy.handlers)
    scene.loop.step()
    assert len(scene.proxy.trails()) == 1
