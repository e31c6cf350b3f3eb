"""The request head that a replica receives: prompt headers, time left and urgency; and requests that are never sent."""

import re

import pytest

from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy
from ploverward.simulation import request_scene


def header(received: bytes, name: bytes, nth: int = -1) -> bytes:
    """Returns the value of a header in the bytes that a replica received; of the last one unless `nth` is given."""
    return re.findall(rb"(?im)^%s: ([^\r]*)\r$" % name, received)[nth]


def received_by_replicas(scene) -> list[bytes]:
    """Returns the bytes that each replica received, without replicas that received nothing."""
    return [b"".join(peer.received) for peer in scene.peers if any(peer.received)]


def test_replica_receives_model_token_counts_and_prompt_parts_unchanged():
    scene = request_scene.Scene(request_scene.respond_ok)
    scene.request("safe")
    assert scene.until(b"\r\n\r\nok")
    (received,) = received_by_replicas(scene)
    assert header(received, b"X-Model") == b"m"
    assert header(received, b"X-Token-Count") == b"30,8"
    assert header(received, b"X-Prompt-Lead") == b"aa:10,b1:20"
    assert received.startswith(b"POST /safe/x HTTP/1.1\r\n") and received.endswith(b"\r\n\r\nbody")
    assert header(received, b"X-Attempt-Id") == b"a1"


ROUTE_MS = {row["name"]: row["expiryMs"] for row in loopback_proxy.CONFIGURATION["routes"]}


@pytest.mark.parametrize("left_ms", [400, 3000, 10**9])
def test_forwarded_time_left_is_within_client_and_route_limits(left_ms):
    scene = request_scene.Scene(request_scene.respond_ok)
    scene.request("safe", left_ms=left_ms)
    assert scene.until(b"\r\n\r\nok")
    (received,) = received_by_replicas(scene)
    assert 0 < int(header(received, b"X-Time-Left-Ms")) <= min(left_ms, ROUTE_MS["safe"])


def test_second_attempt_receives_only_the_remaining_time():
    """The first replica holds the request for 0.6 s and then closes its connection."""
    scene = request_scene.Scene(lambda _number, _received: None, lambda _number, _received: None)
    scene.request("safe", left_ms=2000)
    assert loopback.until(scene.loop, lambda: len(received_by_replicas(scene)) == 1)
    first_replica = next(peer for peer in scene.peers if any(peer.received))
    assert loopback.until(scene.loop, lambda: request_scene.is_complete(first_replica.received[-1]))
    scene.loop.skip(seconds=0.6)
    first_replica.end(len(first_replica.received) - 1)
    assert loopback.until(scene.loop, lambda: len(received_by_replicas(scene)) == 2)
    second_replica = next(peer for peer in scene.peers if peer is not first_replica)
    time_left_ms = [int(header(peer.received[-1], b"X-Time-Left-Ms")) for peer in (first_replica, second_replica)]
    assert time_left_ms[0] <= 2000 and time_left_ms[1] <= time_left_ms[0] - 600


def test_waiting_request_is_not_sent_after_its_client_disconnects():
    scene = request_scene.Scene(request_scene.respond_ok)
    scene.proxy.table.install_list(scene.proxy.list_rows(clearing={"i0"}))
    scene.request("safe")
    assert loopback.until(scene.loop, lambda: scene.proxy.handlers)
    scene.client.leave()
    assert loopback.until(scene.loop, lambda: not scene.proxy.handlers)
    scene.proxy.table.install_list(scene.proxy.rows)
    other = loopback.Client(loop=scene.loop, address=scene.proxy.address)
    other.send(b"POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: other\r\nContent-Length: 4\r\n\r\nbody")
    assert loopback.until(scene.loop, lambda: b"ok" in other.got)
    assert [header(received, b"X-Attempt-Id") for received in received_by_replicas(scene)] == [b"other"]


def test_request_without_time_left_header_times_out_at_the_route_limit():
    scene = request_scene.Scene(lambda _number, _received: None)
    scene.client.send(b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nContent-Length: 4\r\n\r\nbody")
    begun_at = scene.loop.now()
    while not scene.client.got:
        scene.loop.step_or_skip()
    assert scene.client.got.startswith(b"HTTP/1.1 504")
    assert 0.0 <= scene.loop.now() - begun_at - ROUTE_MS["unsafe"] / 1000 <= 0.5


@pytest.mark.parametrize("route_name, urgency", [("once", b"0"), ("unsafe", None)])
def test_client_urgency_header_is_replaced_on_sticky_routes_and_removed_elsewhere(route_name, urgency):
    scene = request_scene.Scene(request_scene.respond_ok)
    scene.request(route_name, more=b"X-Urgency: 9\r\n")
    assert scene.until(b"ok") or scene.until(b"200")
    (received,) = received_by_replicas(scene)
    assert re.findall(rb"(?im)^X-Urgency: ([^\r]*)\r$", received) == ([] if urgency is None else [urgency])
