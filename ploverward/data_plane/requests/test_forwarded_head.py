"""What a replica is told of a request, and for how long: prompt, time left, and clients that leave while they wait."""

import re

import pytest

from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy
from ploverward.simulation import request_scene


def header(heard: bytes, name: bytes, nth: int = -1) -> bytes:
    """The value of a header in the bytes that a replica got."""
    return re.findall(rb"(?im)^%s: ([^\r]*)\r$" % name, heard)[nth]


def all_heard(scene) -> list[bytes]:
    """What each replica got that got anything."""
    return [b"".join(peer.heard) for peer in scene.peers if any(peer.heard)]


def test_replica_receives_model_token_counts_and_prompt_parts_unchanged():
    scene = request_scene.Scene(request_scene.replying)
    scene.request("safe")
    assert scene.until(b"\r\n\r\nok")
    (heard,) = all_heard(scene)
    assert header(heard, b"X-Model") == b"m"
    assert header(heard, b"X-Token-Count") == b"30,8"
    assert header(heard, b"X-Prompt-Lead") == b"aa:10,b1:20"
    assert heard.startswith(b"POST /safe/x HTTP/1.1\r\n") and heard.endswith(b"\r\n\r\nbody")
    assert header(heard, b"X-Attempt-Id") == b"a1"


ROUTE_MS = {row["name"]: row["expiryMs"] for row in loopback_proxy.CONFIGURATION["routes"]}


@pytest.mark.parametrize("left_ms", [400, 3000, 10**9])
def test_forwarded_time_left_is_within_client_and_route_limits(left_ms):
    scene = request_scene.Scene(request_scene.replying)
    scene.request("safe", left_ms=left_ms)
    assert scene.until(b"\r\n\r\nok")
    (heard,) = all_heard(scene)
    assert 0 < int(header(heard, b"X-Time-Left-Ms")) <= min(left_ms, ROUTE_MS["safe"])


def test_second_attempt_receives_only_the_remaining_time():
    """The first replica keeps the request for 0.6 s and then ends its connection."""
    scene = request_scene.Scene(lambda _number, _heard: None, lambda _number, _heard: None)
    scene.request("safe", left_ms=2000)
    assert loopback.until(scene.loop, lambda: len(all_heard(scene)) == 1)
    first = next(peer for peer in scene.peers if any(peer.heard))
    assert loopback.until(scene.loop, lambda: request_scene.is_complete(first.heard[-1]))
    scene.loop.skip(seconds=0.6)
    first.end(len(first.heard) - 1)
    assert loopback.until(scene.loop, lambda: len(all_heard(scene)) == 2)
    second = next(peer for peer in scene.peers if peer is not first)
    given = [int(header(peer.heard[-1], b"X-Time-Left-Ms")) for peer in (first, second)]
    assert given[0] <= 2000 and given[1] <= given[0] - 600


def test_waiting_request_is_not_sent_after_its_client_disconnects():
    scene = request_scene.Scene(request_scene.replying)
    scene.proxy.table.install_list(scene.proxy.list_rows(clearing={"i0"}))
    scene.request("safe")
    assert loopback.until(scene.loop, lambda: scene.proxy.handlers)
    scene.client.leave()
    assert loopback.until(scene.loop, lambda: not scene.proxy.handlers)
    scene.proxy.table.install_list(scene.proxy.rows)
    other = loopback.Client(loop=scene.loop, address=scene.proxy.address)
    other.send(b"POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: other\r\nContent-Length: 4\r\n\r\nbody")
    assert loopback.until(scene.loop, lambda: b"ok" in other.got)
    assert [header(heard, b"X-Attempt-Id") for heard in all_heard(scene)] == [b"other"]


def test_request_without_time_left_header_times_out_at_the_route_limit():
    scene = request_scene.Scene(lambda _number, _heard: None)
    scene.client.send(b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nContent-Length: 4\r\n\r\nbody")
    begun_at = scene.loop.now()
    while not scene.client.got:
        scene.loop.step_or_skip()
    assert scene.client.got.startswith(b"HTTP/1.1 504")
    assert 0.0 <= scene.loop.now() - begun_at - ROUTE_MS["unsafe"] / 1000 <= 0.5


@pytest.mark.parametrize("route_name, urgency", [("once", b"0"), ("unsafe", None)])
def test_client_urgency_header_is_replaced_on_sticky_routes_and_removed_elsewhere(route_name, urgency):
    scene = request_scene.Scene(request_scene.replying)
    scene.request(route_name, more=b"X-Urgency: 9\r\n")
    assert scene.until(b"ok") or scene.until(b"200")
    (heard,) = all_heard(scene)
    assert re.findall(rb"(?im)^X-Urgency: ([^\r]*)\r$", heard) == ([] if urgency is None else [urgency])
