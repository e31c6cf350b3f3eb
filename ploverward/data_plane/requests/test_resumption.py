"""Tests requests under faults of replicas and networks.

The faults are failing replicas that claim to be healthy, false health checks, flapping, one-directional network paths,
traffic spikes, and idle connections closed without notice.
"""

import collections
import random
import re
import selectors
import socket

import pytest

from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.relay import outcomes
from ploverward.simulation import loopback
from ploverward.simulation import request_scene
from ploverward.transport import messages
from ploverward.transport import peer_connection

KEY = b"replica1"


def reported_kinds(scene):
    """Records the kinds that the proxy reports for attempts, as {replica: [kinds]}."""
    kinds = collections.defaultdict(list)
    scene.proxy.report_attempt = lambda *, replica, kind: kinds[replica.id].append(kind)
    return kinds


def failing(number, received):
    return (
        [request_scene.answer(request_scene.request_id(received), b"no", status=b"500 Broken")]
        if request_scene.is_complete(received)
        else None
    )


@pytest.mark.parametrize("status", [b"500 Broken", b"502 Broken", b"200 OK"])
def test_replica_with_failing_attempts_is_reported_and_avoided(status):
    def script(number, received):
        more = b"" if status.startswith(b"200") else b"X-Postmark: p\r\n"  # a success without X-Postmark is invalid
        return (
            [request_scene.answer(request_scene.request_id(received), b"no", status=status, more=more)]
            if request_scene.is_complete(received)
            else None
        )

    scene = request_scene.Scene(script, request_scene.respond_ok)
    kinds = reported_kinds(scene)
    for _ in range(12):
        scene.client.got = b""
        scene.request("safe")
        assert scene.until(b"\r\n\r\nok")  # always answered by the other replica
    failed = [kind for kind in kinds["i0"] if kind in (report_source.FAILED, report_source.BROKEN)]
    assert 0 < len(failed) < 6  # avoided after a few failures
    assert report_source.FAILED not in kinds["i1"] and report_source.BROKEN not in kinds["i1"]


def test_proxy_sends_no_health_requests_to_replicas():
    """A false health response can therefore not influence the choice of replicas."""
    scene = request_scene.Scene(request_scene.respond_ok, request_scene.respond_ok)
    for _ in range(8):
        scene.client.got = b""
        scene.request("safe")
        assert scene.until(b"\r\n\r\nok")
    scene.proxy.table.check_suspected_replicas()
    scene.proxy.table.sweep()
    received = b"".join(received for peer in scene.peers for received in peer.received)
    assert b"GET " not in received and b"/health" not in received


def test_flapping_replica_is_excluded_for_longer_each_time():
    clock = [0.0]
    judge = outcomes.OutlierDetector(now=lambda: clock[0], suspicion_s=1.0)
    changes = []
    while clock[0] < 60.0:
        clock[0] += 0.1
        is_down = clock[0] % 2.0 < 1.0
        if KEY not in judge.failing:
            judge.record(key=KEY, ended=2, failed=2 if is_down else 0)
        for _key in judge.update():
            changes.append((clock[0], KEY in judge.failing))
    exclusions_s = [
        end - start for (start, is_failing), (end, _) in zip(changes, changes[1:], strict=False) if is_failing
    ]
    assert len(exclusions_s) >= 3 and exclusions_s[0] < exclusions_s[1] < exclusions_s[2] and max(exclusions_s) < 17.0
    assert outcomes.OutlierDetector(now=lambda: 0.0, suspicion_s=1.0).failing == set()


def test_replica_is_chosen_even_if_all_replicas_fail():
    scene = request_scene.Scene(failing, failing)
    for _ in range(6):
        scene.client.got = b""
        scene.request("safe")
        assert scene.until(b" 50")
    replica, _tokens, is_any = scene.proxy.chooser.choose(
        service="llm", permitted=None, model="", chain=(), prompt_tokens=0, avoid=set()
    )
    assert replica is not None and is_any


def test_connection_without_incoming_data_times_out():
    """The peer accepts data but never replies: the connection times out although heartbeats are sent."""
    loop = loopback.new_loop()
    server = socket.socket()
    server.bind((loopback.own_address(), 0))
    server.listen(5)
    server.setblocking(False)
    received = []

    def accept(_mask):
        sock, _address = server.accept()
        received.append(sock)  # stays open and accepts all data, but never sends any

    loop.watch(sock=server, mask=selectors.EVENT_READ, callback=accept)
    ended = []
    connector = peer_connection.Connector(
        loop=loop,
        address=server.getsockname(),
        on_up=lambda link: None,
        on_message=lambda link, message: None,
        on_end=lambda link, reason: ended.append(reason),
        peer_timeout_s=1.0,
    )
    heartbeats = [0]

    def send_heartbeats():
        if connector.link is not None and connector.link.is_up:
            connector.link.send(messages.KeepAlive(0))
            heartbeats[0] += 1

    loop.every(interval_s=0.1, callback=send_heartbeats)
    assert loopback.until(loop, lambda: ended)
    assert ended[0] == "silent" and heartbeats[0] >= 2
    connector.stop()
    for sock in [server, *received]:
        sock.close()


def test_traffic_spike_is_spread_over_replicas_before_load_reports():
    scene = request_scene.Scene(*[request_scene.respond_ok] * 4)
    chance = random.Random(3)
    chosen = collections.Counter()
    for number in range(64):
        replica, tokens, _is_any = scene.proxy.chooser.choose(
            service="llm", permitted=None, model="m", chain=(), prompt_tokens=chance.randint(100, 200), avoid=set()
        )
        replica.running += 1
        replica.prefill_tokens[number] = tokens
        chosen[replica.id] += 1
    assert min(chosen.values()) >= 8 and len(chosen) == 4


@pytest.mark.parametrize("lead, is_answered", [("safe", True), ("once", False)])
def test_reset_of_stale_idle_connection_is_not_counted_as_replica_failure(lead, is_answered):
    def script(number, received):
        if not request_scene.is_complete(received):
            return None
        return (
            ["reset"]
            if len(re.findall(rb"x-attempt-id", received, re.I)) > 1
            else [request_scene.answer(request_scene.request_id(received))]
        )

    scene = request_scene.Scene(script, request_scene.respond_ok)
    kinds = reported_kinds(scene)
    replica = scene.proxy.table.replicas["i0"]
    scene.proxy.table.replicas["i1"].is_draining = True
    scene.request("safe")
    assert scene.until(b"\r\n\r\nok")
    scene.proxy.table.replicas["i1"].is_draining = False
    scene.proxy.table.replicas["i1"].running = 50  # so that the idle connection to i0 is used again
    scene.client.got = b""
    arrivals = scene.arrivals()
    scene.request(lead)
    assert scene.until(b"\r\n\r\nok" if is_answered else b" 502 ")
    assert scene.arrivals() - arrivals == (2 if is_answered else 1)  # a request that may have run is not sent again
    assert report_source.FAILED not in kinds["i0"] and replica.recent_failures(now=scene.loop.now()) == 0


@pytest.mark.parametrize("mask", [selectors.EVENT_READ, selectors.EVENT_WRITE])
def test_socket_event_after_close_in_same_step_is_ignored(mask):
    loop = loopback.new_loop()
    server = socket.socket()
    server.bind((loopback.own_address(), 0))
    server.listen(1)
    near = socket.create_connection(server.getsockname())
    ended = []
    link = peer_connection.PeerConnection(
        loop=loop,
        sock=near,
        on_message=lambda link, message: None,
        on_end=lambda link, reason: ended.append(reason),
        peer_timeout_s=5.0,
        is_connecting=True,
    )
    link.close(reason="another event")
    link._ready(mask)
    assert ended == ["another event"]
    server.close()
