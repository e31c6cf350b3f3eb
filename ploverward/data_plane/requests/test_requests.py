"""Who gets which answer, and what is sent twice: each cell of the table in docs/requests.md, with scripted peers."""

import re
import socket

import pytest

from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.requests import serving
from ploverward.data_plane.requests import stream_resumption
from ploverward.data_plane.requests import test_request_path
from ploverward.data_plane.upstream import upstream_connection
from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy
from ploverward.transport import http_connection

END = test_request_path.END
NOT_RUN = b"X-Not-Run: 1\r\n"


def answering(body=b"ok", **about):
    def script(number, heard):
        return (
            [test_request_path.answer(test_request_path.request_id(heard), body, **about)]
            if test_request_path.is_complete(heard)
            else None
        )

    return script


def statuses(client) -> list:
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d+)", client.got)]


def settled(scene) -> bool:
    return loopback.until(scene.loop, lambda: scene.client.got and not scene.entry.passages)


# What a replica may do with a request: script, and whether it promises that the request was not run.
def _on_complete_request(make):
    return lambda number, heard: (
        make(test_request_path.request_id(heard)) if test_request_path.is_complete(heard) else None
    )


BEHAVIOURS = {
    "closes when it has the request": _on_complete_request(lambda which: ["close"]),
    "resets when it has the request": _on_complete_request(lambda which: ["reset"]),
    "closes in the middle of the request": lambda number, heard: ["close"],
    "resets in the middle of the request": lambda number, heard: ["reset"],
    "closes in the middle of the head": _on_complete_request(
        lambda which: [test_request_path.answer(which)[:30], "close"]
    ),
    "closes in the middle of the body": _on_complete_request(
        lambda which: [test_request_path.answer(which, b"long body")[:-4], "close"]
    ),
    "resets in the middle of the body": _on_complete_request(
        lambda which: [test_request_path.answer(which, b"long body")[:-4], "reset"]
    ),
    "answers for another request": _on_complete_request(lambda which: [test_request_path.answer(b"other")]),
    "answers for others again and again": _on_complete_request(lambda which: [test_request_path.answer(b"other") * 4]),
    "promises for another request": _on_complete_request(
        lambda which: [test_request_path.answer(b"other", status=b"503 Full", more=NOT_RUN), "close"]
    ),
    "answers without an id": _on_complete_request(
        lambda which: [b"HTTP/1.1 200 OK\r\nX-Postmark: p\r\nContent-Length: 2\r\n\r\nok"]
    ),
    "answers nothing that is HTTP": _on_complete_request(lambda which: [b"\x00\x01\x02 what\r\n\r\n"]),
    "answers without its stamp": _on_complete_request(lambda which: [test_request_path.answer(which, more=b"")]),
    "answers an encoded body": _on_complete_request(
        lambda which: [test_request_path.answer(which, more=b"X-Postmark: p\r\nContent-Encoding: gzip\r\n")]
    ),
    "answers without a length": _on_complete_request(
        lambda which: [b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: p\r\n\r\nok" % which, "close"]
    ),
    "answers two lengths": _on_complete_request(
        lambda which: [test_request_path.answer(which, more=b"X-Postmark: p\r\nContent-Length: 1\r\n")]
    ),
    "answers a length and chunks": _on_complete_request(
        lambda which: [
            test_request_path.answer(
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
        lambda which: [test_request_path.answer(which, status=b"503 Full", more=b"")]
    ),
    "says 429 without a promise": _on_complete_request(
        lambda which: [test_request_path.answer(which, status=b"429 Slow", more=b"")]
    ),
    "says 408 without a promise": _on_complete_request(
        lambda which: [test_request_path.answer(which, status=b"408 Late", more=b"")]
    ),
    "promises and breaks off": _on_complete_request(
        lambda which: [test_request_path.answer(which, b"long", status=b"503 Full", more=NOT_RUN)[:-2], "close"]
    ),
    "says success and not run": _on_complete_request(
        lambda which: [test_request_path.answer(which, more=b"X-Postmark: p\r\n" + NOT_RUN)]
    ),
    "says elsewhere and not run": _on_complete_request(
        lambda which: [test_request_path.answer(which, status=b"307 There", more=NOT_RUN)]
    ),
    "is silent": lambda number, heard: None,
}


@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("lead", ["unsafe", "once"])
@pytest.mark.parametrize("name", BEHAVIOURS)
def test_what_may_not_be_repeated_is_sent_once_and_gets_no_promise(name, lead, is_reused):
    before = 1 if is_reused else 0

    def script(number, heard):
        if len(re.findall(rb"X-Attempt-Id", heard, re.I)) <= before:
            return answering()(number, heard)
        return BEHAVIOURS[name](number, heard)

    scene = test_request_path.Scene(script, test_request_path.replying)
    scene.entry.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0  # there, but the last to be chosen
    if is_reused:
        scene.request("unsafe")
        assert scene.until(b"\r\n\r\nok")
        scene.client.got = b""
    scene.request(lead, left_ms=300)
    assert settled(scene)
    assert scene.arrivals() == 1 + before
    assert scene.client.got[:13] in (b"HTTP/1.1 502 ", b"HTTP/1.1 504 "), scene.client.got
    assert len(statuses(scene.client)) == 1 and b"ostmark" not in scene.client.got
    if is_reused:
        assert len([heard for heard in scene.peers[0].heard if heard]) == 1  # it was the same connection


# After an answer too many the one that is due is waited for: silent, both, until the deadline or a suspicion.
SILENT = ("is silent", "answers for another request")


@pytest.mark.parametrize("name", [name for name in BEHAVIOURS if name not in SILENT])
def test_what_may_be_repeated_is_answered_by_another_replica_once(name):
    scene = test_request_path.Scene(BEHAVIOURS[name], answering(b"second"))
    scene.entry.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("safe", left_ms=1000)
    assert settled(scene)
    if name.startswith(("says 429", "says 408", "says elsewhere")):
        return  # a failure of a replica that may be passed on, or stands for one
    assert statuses(scene.client) == [200] and scene.client.got.endswith(b"second")
    assert scene.arrivals() == 2


@pytest.mark.parametrize("status", [b"503 Full", b"429 Slow", b"408 Late", b"421 Another", b"400 No"])
@pytest.mark.parametrize("lead", ["once", "unsafe"])
def test_a_promise_of_the_replica_is_passed_on_as_one(status, lead):
    scene = test_request_path.Scene(answering(b"", status=status, more=NOT_RUN))
    scene.request(lead, left_ms=300)
    assert settled(scene)
    assert statuses(scene.client) == [503] and scene.arrivals() == 1


def test_a_failure_of_a_resumed_run_leaves_no_byte_in_the_stream():
    def cutting(number, heard):
        return [test_request_path.head(test_request_path.request_id(heard)) + test_request_path.event(1), "close"]

    failing = answering(b"a failure's own text", status=b"500 Broken")
    scene = test_request_path.Scene(cutting, failing)
    scene.entry.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("resume")
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert b"data: t1" in scene.client.got and b"own text" not in scene.client.got
    assert not scene.client.got.endswith(END)


def test_a_resumed_run_that_fails_leaves_the_stream_to_a_third_replica():
    def cutting(number, heard):
        return [test_request_path.head(test_request_path.request_id(heard)) + test_request_path.event(1), "close"]

    def going_on(number, heard):
        assert b"Last-Event-Id: 1" in heard
        return [test_request_path.head(test_request_path.request_id(heard)) + test_request_path.event(2) + END]

    scene = test_request_path.Scene(cutting, answering(b"text", status=b"500 Broken"), going_on, zones=["zb"] * 3)
    table = scene.entry.table.replicas
    table["i1"].running, table["i2"].running = 4, 8
    scene.request("home")  # three tries
    assert scene.until(END)
    assert re.findall(rb"data: t(\d)", scene.client.got) == [b"1", b"2"] and b"text\r\n" not in scene.client.got
    assert scene.arrivals() == 3


def test_a_replica_that_wakes_after_its_stream_was_moved_is_not_heard():
    def waking(number, heard):
        return [test_request_path.head(test_request_path.request_id(heard)) + test_request_path.event(1)]

    def going_on(number, heard):
        return [test_request_path.head(test_request_path.request_id(heard)) + test_request_path.event(2)]

    scene = test_request_path.Scene(waking, going_on)
    table = scene.entry.table.replicas
    table["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("resume", left_ms=5000)
    assert scene.until(b"data: t1")
    table["i0"].is_suspected = table["i0"].is_probe_failed = True
    assert scene.until(b"data: t2")  # silence moved it
    scene.peers[0].callback(0, [test_request_path.event(2) + test_request_path.event(3) + END])
    scene.peers[1].callback(0, [test_request_path.event(3) + END])
    assert scene.until(END)
    assert re.findall(rb"data: t(\d)", scene.client.got) == [b"1", b"2", b"3"]


def silent_in_a_stream(*, zones):
    """A stream whose replica falls silent after its first event, with its connection up."""

    def pausing(number, heard):
        return [test_request_path.head(test_request_path.request_id(heard)) + test_request_path.event(1)]

    scene = test_request_path.Scene(pausing, pausing, zones=zones)
    scene.entry.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("resume", left_ms=5000)
    assert scene.until(b"data: t1")
    return scene, scene.entry.table.replicas["i0"]


def test_a_replica_timeout_ends_nothing_where_no_other_replica_can_resume():
    scene, replica = silent_in_a_stream(zones=["za", "za"])
    scene.entry.table.replicas["i1"].is_suspected = True
    replica.is_suspected = replica.is_probe_failed = True
    looked = []
    probe = scene.entry.table.probe
    scene.entry.table.probe = lambda *, replica: looked.append(replica.id)
    assert loopback.until(scene.loop, lambda: len(looked) >= 4)  # looked at again and again, and not left
    scene.entry.table.probe = probe
    scene.peers[0].callback(0, [test_request_path.event(2) + END])
    assert scene.until(END)
    assert re.findall(rb"data: t(\d)", scene.client.got) == [b"1", b"2"] and scene.arrivals() == 1


def test_a_silent_replica_suspected_for_its_zone_alone_is_checked_first():
    scene, replica = silent_in_a_stream(zones=["za", "za"])
    replica.is_suspected = True  # others of its zone did not come up; this one does
    assert loopback.until(scene.loop, lambda: not replica.is_suspected)
    scene.peers[0].callback(0, [test_request_path.event(2) + END])
    assert scene.until(END)
    assert re.findall(rb"data: t(\d)", scene.client.got) == [b"1", b"2"] and scene.arrivals() == 1


@pytest.mark.parametrize("change", [{"kind": "retry_unsafe"}, {"tries": 1}])
def test_a_configuration_that_forbids_a_retry_binds_a_request_in_progress(change):
    def script(number, heard):
        body = dict(loopback_proxy.CONFIGURATION, edition=4)
        body["routes"] = [
            dict(row, **(change if row["name"] == "safe" else {})) for row in loopback_proxy.CONFIGURATION["routes"]
        ]
        scene.entry.configure(body)
        return ["close"]

    scene = test_request_path.Scene(script, test_request_path.replying)
    scene.entry.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("safe")
    assert settled(scene)
    assert scene.arrivals() == 1 and statuses(scene.client) == [502]


def test_an_id_that_comes_again_is_not_paired_with_the_answer_of_its_former_request():
    """The former answer comes twice, late; the id can't tell it from the answer that is due."""

    def script(number, heard):
        ids = re.findall(rb"X-Attempt-Id: (\w+)", heard, re.I)
        if len(ids) == 2:
            return [test_request_path.answer(ids[0], b"first") + test_request_path.answer(ids[1], b"second")]
        return [test_request_path.answer(ids[0], b"first" if number == 0 else b"second")]

    scene = test_request_path.Scene(script)
    scene.request("unsafe")
    assert scene.until(b"first")
    scene.client.got = b""
    scene.number -= 1
    scene.request("unsafe")
    assert settled(scene)
    assert scene.client.got.endswith(b"second")


@pytest.mark.parametrize("end", [False, True])
def test_an_idle_connection_that_ended_unseen_is_not_used(end):
    """Both the end of the connection and the next request wait when the loop looks."""
    scene = test_request_path.Scene(test_request_path.replying)
    scene.request("unsafe")
    assert scene.until(b"\r\n\r\nok")
    scene.client.got = b""
    connection = scene.entry.table.replicas["i0"].idle[0]
    scene.loop.unwatch(sock=connection.sock)  # its event stands behind the request's in the same step
    scene.loop.skip(seconds=2.0)
    scene.peers[0].end(0, is_reset=end)
    scene.request("unsafe")
    assert settled(scene)
    assert statuses(scene.client) == [200] and scene.arrivals() == 2


def test_after_a_freeze_no_idle_connection_is_used_and_no_late_request_is_sent():
    scene = test_request_path.Scene(test_request_path.replying)
    scene.request("unsafe")
    assert scene.until(b"\r\n\r\nok")
    scene.client.got = b""
    scene.client.send(b"POST /once/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: late\r\nX-Time-Left-Ms: 900\r\n")
    assert loopback.until(
        scene.loop,
        lambda: any(each.state is http_connection.State.READING_HEAD for each in scene.entry.server.connections),
    )
    scene.loop.skip(seconds=4.0)
    scene.client.send(b"Content-Length: 4\r\n\r\nbody")
    assert loopback.until(scene.loop, lambda: scene.client.got)
    assert statuses(scene.client) == [503] and scene.arrivals() == 1
    scene.loop.skip(seconds=16.0)
    scene.client = loopback.Client(loop=scene.loop, address=scene.entry.address)
    scene.request("unsafe")
    assert settled(scene)
    assert statuses(scene.client) == [200]
    assert len(scene.peers[0].heard) == 2 and scene.peers[0].heard[1]  # by a new connection


def test_connections_that_a_replica_forgets_without_a_word_cost_one_request_not_many():
    def script(number, heard):
        is_rested = heard.lower().count(b"x-attempt-id") > 1
        return ["reset"] if is_rested else answering()(number, heard)

    scene = test_request_path.Scene(script)
    told = []
    for _ in range(5):
        scene.client.got = b""
        scene.request("unsafe")
        assert settled(scene)
        told += statuses(scene.client)
        scene.loop.skip(seconds=0.7)
    assert told == [200, 502, 200, 200, 200]
    scene.loop.skip(seconds=4.0)  # contactMs later it is tried again
    assert scene.entry.table._trusted_s(service="llm", now=scene.loop.now()) is None


def test_an_answer_that_came_during_a_freeze_past_its_deadline_is_no_promise():
    scene = test_request_path.Scene(lambda number, heard: None)
    scene.request("once", left_ms=500)
    assert loopback.until(scene.loop, lambda: scene.arrivals() == 1)
    scene.loop.skip(seconds=20.0)
    assert settled(scene)
    assert statuses(scene.client) == [504] and scene.arrivals() == 1


def test_an_answer_after_the_deadline_reaches_nobody():
    scene = test_request_path.Scene(lambda number, heard: None)
    scene.request("once", left_ms=300)
    assert settled(scene)
    scene.peers[0].callback(0, [test_request_path.answer(b"a1", b"late")])
    scene.peers[0].script = answering(b"own")
    scene.request("unsafe")
    assert scene.until(b"own")
    assert statuses(scene.client) == [504, 200] and b"late" not in scene.client.got
    assert len(scene.peers[0].heard) == 2  # the connection of the first one ended with it


@pytest.mark.parametrize("others", [0, 1])
def test_a_connection_that_does_not_come_up_carried_nothing(others):
    scene = test_request_path.Scene(test_request_path.replying, *[test_request_path.replying] * others)
    for index in range(others):
        scene.entry.table.replicas[f"i{index + 1}"].backoff_until = scene.loop.now() + 1000.0
    scene.loop.unwatch(sock=scene.peers[0].sock)
    scene.peers[0].sock.close()
    scene.request("unsafe")
    assert settled(scene)
    assert statuses(scene.client) == [200 if others else 503] and scene.arrivals() == others


@pytest.mark.parametrize("where", ["first event", "end"])
def test_a_fault_of_our_own_after_a_send_is_no_promise(where, monkeypatch):
    """A step that raises is noted and the process goes on: the request then ends at its deadline, without a promise."""

    def broken(*_args, **_about):
        raise RuntimeError("planted")

    faults = []
    scene = test_request_path.Scene(
        lambda number, heard: [
            test_request_path.head(test_request_path.request_id(heard)) + test_request_path.event(1)
        ],
        faults=faults,
    )
    if where == "first event":
        monkeypatch.setattr(scene.entry.chooser, "note_read", broken)
    else:
        monkeypatch.setattr(upstream_connection.UpstreamConnection, "_on_response_end", broken)
        scene.peers[0].script = answering()
    scene.request("once", left_ms=300)
    assert settled(scene)
    assert faults and statuses(scene.client)[0] in (502, 504) and scene.arrivals() == 1


def test_a_fault_of_our_own_between_two_attempts_is_no_promise():
    faults = []
    scene = test_request_path.Scene(lambda number, heard: ["close"], faults=faults)

    def broken(**_about):
        raise RuntimeError("planted")

    scene.entry.note_fault = broken
    scene.request("once", left_ms=300)
    assert settled(scene)
    assert faults and statuses(scene.client) == [504]


def test_a_fault_of_our_own_when_an_attempt_ends_is_no_promise():
    faults = []
    scene = test_request_path.Scene(lambda number, heard: ["close"], faults=faults)

    def broken(*, kind, **_about):
        if kind != report_source.SENT:
            raise RuntimeError("planted")

    scene.entry.report_attempt = broken
    scene.request("once", left_ms=300)
    assert settled(scene)
    assert faults and statuses(scene.client)[0] in (502, 504) and scene.arrivals() == 1


def test_a_fault_of_our_own_in_the_middle_of_a_stream_leaves_no_gap(monkeypatch):
    """What the broken step held is lost, so nothing may follow it."""
    faults = []
    scene = test_request_path.Scene(
        lambda number, heard: [
            test_request_path.head(test_request_path.request_id(heard)) + test_request_path.event(1)
        ],
        faults=faults,
    )
    scene.request("once")
    assert scene.until(b"data: t1")
    take = stream_resumption.ResumableStream.receive_data

    def broken_once(self, data):
        monkeypatch.setattr(stream_resumption.ResumableStream, "receive_data", take)
        raise RuntimeError("planted")

    monkeypatch.setattr(stream_resumption.ResumableStream, "receive_data", broken_once)
    scene.peers[0].callback(0, [test_request_path.event(2)])
    assert loopback.until(scene.loop, lambda: faults)
    scene.peers[0].callback(0, [test_request_path.event(3) + END])
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert b"data: t3" not in scene.client.got and not scene.client.got.endswith(END)


def test_a_fault_of_our_own_before_a_send_ends_the_connection():
    faults = []
    scene = test_request_path.Scene(test_request_path.replying, faults=faults)

    def broken(**_about):
        raise RuntimeError("planted")

    scene.entry.chooser.choose = broken
    scene.request("once")
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert faults and not scene.client.got and not scene.entry.passages and scene.arrivals() == 0


def test_a_repeatable_answer_in_events_is_not_resumed_where_the_route_does_not_resume():
    """It may run again, but a new run need not go on where the first one ended."""

    def cutting(number, heard):
        return [test_request_path.head(test_request_path.request_id(heard)) + test_request_path.event(1), "close"]

    def anew(number, heard):
        return [
            test_request_path.head(test_request_path.request_id(heard))
            + test_request_path.event(1)
            + test_request_path.event(2)
            + END
        ]

    scene = test_request_path.Scene(cutting, anew)
    scene.entry.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("safe")
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert scene.arrivals() == 1 and not scene.client.got.endswith(END)


def test_a_stream_is_not_resumed_behind_an_event_that_has_no_id():
    def cutting(number, heard):
        text = b"data: nameless\n\n"
        nameless = b"%x\r\n%s\r\n" % (len(text), text)
        return [
            test_request_path.head(test_request_path.request_id(heard)) + test_request_path.event(1) + nameless,
            "close",
        ]

    scene = test_request_path.Scene(cutting, test_request_path.replying)
    scene.entry.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    scene.request("resume")
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert scene.arrivals() == 1 and not scene.client.got.endswith(END)


def test_a_length_beside_chunks_never_makes_a_partial_answer_look_complete():
    body = b"x" * 700000

    def script(number, heard):
        return [
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: p\r\nContent-Length: 600000\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
            % (test_request_path.request_id(heard), len(body), body)
        ]

    scene = test_request_path.Scene(script)
    scene.request("unsafe")
    assert settled(scene)
    assert statuses(scene.client) == [502]


def test_each_request_leaves_one_trail_though_the_client_leaves_at_its_end():
    scene = test_request_path.Scene(lambda number, heard: None)
    scene.request("once")
    assert loopback.until(scene.loop, lambda: scene.arrivals() == 1)
    handler = next(iter(scene.entry.passages))
    handler.request.http_connection._write = lambda data: handler.request.http_connection._gone()
    scene.peers[0].callback(0, [test_request_path.head(test_request_path.request_id(scene.peers[0].heard[0])) + END])
    assert loopback.until(scene.loop, lambda: not scene.entry.passages)
    scene.loop.step()
    assert len(scene.entry.trails()) == 1


# The client's side.
def test_requests_sent_ahead_are_answered_in_order_each_with_its_own():
    def script(number, heard):
        ids = re.findall(rb"X-Attempt-Id: (\w+)", heard, re.I)
        return (
            [test_request_path.answer(ids[-1], b"body of " + ids[-1])] if test_request_path.is_complete(heard) else None
        )

    scene = test_request_path.Scene(script)
    for lead in ("unsafe", "safe", "once", "unsafe"):
        scene.request(lead)
    assert scene.until(b"body of a4") or scene.until(b"a4")
    assert re.findall(rb"X-Attempt-Id: (\w+)", scene.client.got, re.I) == [b"a1", b"a2", b"a3", b"a4"]


def test_what_is_sent_ahead_is_bounded():
    scene = test_request_path.Scene(lambda number, heard: None)
    scene.request("once", left_ms=4000)
    assert loopback.until(scene.loop, lambda: scene.arrivals() == 1)
    for _ in range(40):
        try:
            scene.client.send(b"x" * 1000)
        except OSError:
            break
        for _ in range(3):
            scene.loop.command(callback=lambda: None)
            scene.loop.step()
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert not scene.entry.passages and not scene.client.got  # long before the deadline


def test_a_request_that_is_over_cannot_touch_the_next_one_on_its_connection():
    scene = test_request_path.Scene(test_request_path.replying)
    scene.request("safe")
    assert loopback.until(scene.loop, lambda: scene.entry.passages)
    first = next(iter(scene.entry.passages)).request
    assert scene.until(b"\r\n\r\nok")
    scene.peers[0].script = lambda number, heard: None
    scene.request("once", left_ms=400)
    assert loopback.until(scene.loop, lambda: scene.arrivals() == 2)
    scene.client.got = b""
    first.data(b"stray")
    first.end()
    first.abort()
    assert settled(scene)
    assert statuses(scene.client) == [504] and b"stray" not in scene.client.got and not scene.client.is_closed


def test_expect_100_continue_is_answered_here_and_not_passed_on():
    scene = test_request_path.Scene(test_request_path.replying)
    scene.client.send(
        b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"
    )
    assert scene.until(b"HTTP/1.1 100")
    assert scene.arrivals() == 0
    scene.client.send(b"body")
    assert scene.until(b"\r\n\r\nok")
    assert b"xpect" not in scene.peers[0].heard[0] and statuses(scene.client) == [100, 200]


def test_informational_answers_of_a_replica_are_not_taken_for_the_answer():
    def script(number, heard):
        return [
            b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 3
            + test_request_path.answer(test_request_path.request_id(heard))
        ]

    scene = test_request_path.Scene(script)
    scene.request("unsafe")
    assert settled(scene)
    assert statuses(scene.client) == [200]


class SlowSocket:
    """Lets so many bytes out, then none."""

    def __init__(self, sock, *, most):
        self.sock = sock
        self.left = most

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def send(self, data):
        if not self.left:
            raise BlockingIOError
        count = self.sock.send(data[: self.left])
        self.left -= count
        return count


def in_part(scene, monkeypatch, *, most):
    """Connections to replicas take only so many bytes of a request."""
    open_ = replica_table.Table._open

    def opened(table, replica):
        connection = open_(table, replica)
        connection.sock = SlowSocket(connection.sock, most=most)
        return connection

    monkeypatch.setattr(replica_table.Table, "_open", opened)


@pytest.mark.parametrize("lead", ["unsafe", "once"])
@pytest.mark.parametrize("end", ["close", "reset"])
def test_one_byte_that_left_is_a_request_that_may_have_run(lead, end, monkeypatch):
    scene = test_request_path.Scene(lambda number, heard: [end], test_request_path.replying)
    scene.entry.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    in_part(scene, monkeypatch, most=1)
    scene.request(lead)
    assert settled(scene)
    assert statuses(scene.client) == [502]
    assert [len(heard) for peer in scene.peers for heard in peer.heard] == [1]


def test_no_byte_that_left_is_a_request_that_has_not_run(monkeypatch):
    scene = test_request_path.Scene(test_request_path.replying)
    in_part(scene, monkeypatch, most=0)
    scene.request("once", left_ms=200)
    assert settled(scene)
    assert statuses(scene.client) == [503] and scene.peers[0].heard == [b""]


@pytest.mark.parametrize(
    "early, told",
    [
        (test_request_path.answer(b"a1", b"early"), [200]),
        (test_request_path.answer(b"a1", status=b"503 Full", more=NOT_RUN), [503]),
    ],
)
def test_an_early_answer_stands_and_its_connection_ends(early, told, monkeypatch):
    """The replica answers when it has a part; the rest of the request never leaves."""
    scene = test_request_path.Scene(lambda number, heard: [early])
    in_part(scene, monkeypatch, most=100)
    scene.request("once" if told == [503] else "unsafe")
    assert settled(scene)
    assert statuses(scene.client) == told and len(scene.peers[0].heard[0]) == 100
    assert loopback.until(scene.loop, lambda: not scene.peers[0].socks)


def test_an_answer_before_its_request_is_nobodys(monkeypatch):
    scene = test_request_path.Scene(test_request_path.replying)
    in_part(scene, monkeypatch, most=0)
    scene.request("once", left_ms=1000)
    assert loopback.until(scene.loop, lambda: scene.peers[0].socks)
    scene.peers[0].callback(0, [test_request_path.answer(b"a1", b"early")])
    assert settled(scene)
    assert statuses(scene.client) == [503]


@pytest.mark.parametrize("is_reset", [False, True])
def test_a_client_that_leaves_takes_its_attempt_along_and_comes_back_as_another(is_reset):
    scene = test_request_path.Scene(lambda number, heard: None)
    scene.request("once", left_ms=4000)
    assert loopback.until(scene.loop, lambda: scene.arrivals() == 1)
    scene.client.leave(is_reset=is_reset)
    assert loopback.until(scene.loop, lambda: not scene.entry.passages and not scene.peers[0].socks)
    scene.client = loopback.Client(loop=scene.loop, address=scene.entry.address)
    scene.peers[0].script = test_request_path.replying
    scene.request("once")
    assert scene.until(b"0\r\n\r\n")
    assert statuses(scene.client) == [200]


def test_a_client_that_closes_its_half_is_taken_to_have_left():
    """The protocol's clients keep both halves open; one that closes its own can't be told from one that is gone."""
    scene = test_request_path.Scene(lambda number, heard: None)
    scene.request("once", left_ms=4000)
    assert loopback.until(scene.loop, lambda: scene.arrivals() == 1)
    scene.client.sock.shutdown(socket.SHUT_WR)
    assert loopback.until(scene.loop, lambda: scene.client.is_closed and not scene.peers[0].socks)
    assert not scene.client.got and not scene.entry.passages


@pytest.mark.parametrize("more", [b"Connection: upgrade\r\nUpgrade: other\r\n", b"Expect: something\r\n"])
def test_an_upgrade_is_not_passed_on_and_the_answer_is_a_plain_one(more):
    scene = test_request_path.Scene(test_request_path.replying)
    scene.request("unsafe", more=more)
    assert scene.until(b"\r\n\r\nok")
    assert b"pgrade" not in scene.peers[0].heard[0]
    scene.request("unsafe")
    assert loopback.until(scene.loop, lambda: statuses(scene.client) == [200, 200])


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        b"Content-Length: 4\r\nContent-Length: 5\r\n",
        b"Content-Length: 4, 5\r\n",
        b"Content-Length: +4\r\n",
        b"Transfer-Encoding: identity\r\n",
        b"Transfer-Encoding: chunked, chunked\r\n",
        b"Transfer-Encoding : chunked\r\n",
        b"X: a\rTransfer-Encoding: chunked\r\n",
    ],
)
def test_no_request_is_smuggled_inside_another(head):
    """A doubtful length ends the connection: what stands behind it is never read as a request."""
    scene = test_request_path.Scene(test_request_path.replying)
    inner = b"POST /unsafe/inner HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: inner\r\nContent-Length: 0\r\n\r\n"
    scene.client.send(
        b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: outer\r\n%s\r\n4\r\nbody\r\n0\r\n\r\n%s" % (head, inner)
    )
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert scene.arrivals() == 0 and len(statuses(scene.client)) == 1


def test_a_body_that_looks_like_a_request_stays_a_body():
    inner = b"POST /unsafe/inner HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: inner\r\nContent-Length: 0\r\n\r\n"
    scene = test_request_path.Scene(
        lambda number, heard: [test_request_path.answer(b"outer")] if heard.endswith(inner) else None
    )
    scene.client.send(
        b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: outer\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"%x\r\n%s\r\n0\r\nX-Attempt-Id: trailer\r\n\r\n" % (len(inner), inner)
    )
    assert settled(scene)
    heard = scene.peers[0].heard[0]
    assert heard.count(b"HTTP/1.1") == 2 and b"trailer" not in heard
    assert b"content-length: %d\r\n" % len(inner) in heard.lower()


def test_a_broken_stream_does_not_look_complete_to_a_client_that_knows_no_chunks():
    def cutting(number, heard):
        return [test_request_path.head(test_request_path.request_id(heard)) + test_request_path.event(1), "close"]

    scene = test_request_path.Scene(cutting)
    scene.client.send(b"GET /once/x HTTP/1.0\r\nHost: h\r\nX-Attempt-Id: a1\r\n\r\n")
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert scene.client.is_reset


@pytest.mark.parametrize("by", ["leaving", "idle time"])
def test_a_request_that_waits_on_a_rested_connection_is_not_thrown_away_with_it(by):
    scene = test_request_path.Scene(test_request_path.replying)
    scene.request("safe")
    assert scene.until(b"\r\n\r\nok")
    scene.client.got = b""
    scene.request("unsafe")
    connection = next(iter(scene.entry.server.connections))
    if by == "leaving":
        scene.entry.server.leave()
        scene.entry.server.close_idle()
    else:
        connection._on_timeout()
    assert settled(scene)
    assert statuses(scene.client) == [200]


def test_rested_connections_are_closed_when_leaving():
    scene = test_request_path.Scene(test_request_path.replying)
    scene.request("safe")
    assert scene.until(b"\r\n\r\nok")
    scene.entry.server.leave()
    scene.entry.server.close_idle()
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)


def test_at_the_end_of_draining_who_waits_is_answered_that_it_has_not_run_and_who_was_sent_is_not():
    scene = test_request_path.Scene(lambda number, heard: None)
    scene.request("once")
    assert loopback.until(scene.loop, lambda: scene.arrivals() == 1)
    waiting = loopback.Client(loop=scene.loop, address=scene.entry.address)
    scene.entry.table.replicas["i0"].is_suspected = True
    waiting.send(b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: w\r\nX-Time-Left-Ms: 4000\r\n\r\n")
    assert loopback.until(scene.loop, lambda: len(scene.entry.passages) == 2)
    serving.end_requests(scene.entry.passages)
    assert loopback.until(scene.loop, lambda: waiting.got)
    assert statuses(waiting) == [503] and not statuses(scene.client)


def test_a_request_that_comes_once_the_end_of_leaving_began_is_refused():
    scene = test_request_path.Scene(test_request_path.replying)
    scene.entry.has_ended = True
    scene.entry.server._on_request = lambda request: serving.ServeMixin._on_request(scene.entry, request)
    scene.request("unsafe")
    assert settled(scene)
    assert statuses(scene.client) == [503] and scene.arrivals() == 0


def leave(scene, *, since_s):
    """SIGTERM came so many seconds ago."""
    scene.entry.server.leave()
    scene.entry.drain_window.begin()
    scene.loop.skip(seconds=since_s)


@pytest.mark.parametrize("since_s, is_taken", [(1.0, True), (2.5, True), (3.1, False), (5.1, False), (7.0, False)])
def test_long_after_sigterm_no_stream_is_begun_that_the_end_of_the_process_may_interrupt(since_s, is_taken):
    """graceS is 8, the stream's time 5 s. One that was begun 5.1 s after SIGTERM was cut at 7.5 s by a bbs-ploverward day."""
    scene = test_request_path.Scene(test_request_path.replying)
    leave(scene, since_s=since_s)
    scene.request("once", left_ms=5000)
    assert settled(scene)
    if is_taken:
        assert scene.arrivals() == 1
        return
    assert statuses(scene.client) == [503] and scene.arrivals() == 0
    head = scene.client.got.lower()
    assert b"retry-after: 0.0" in head and b"connection: close" in head


def test_long_after_sigterm_what_ends_in_time_is_still_taken():
    scene = test_request_path.Scene(test_request_path.replying)
    leave(scene, since_s=4.0)
    scene.request("safe", left_ms=3000)
    assert scene.until(b"\r\n\r\nok")
    assert statuses(scene.client) == [200]


def test_a_second_sigterm_gives_no_more_time():
    scene = test_request_path.Scene(test_request_path.replying)
    leave(scene, since_s=4.0)
    scene.entry.drain_window.begin()
    scene.request("once", left_ms=5000)
    assert settled(scene)
    assert statuses(scene.client) == [503]
