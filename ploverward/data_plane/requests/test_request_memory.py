"""Tests that nothing of a request stays in memory after its end, by reference counts alone (review/7)."""

import collections
import gc

import pytest

from ploverward.data_plane.requests import attempts
from ploverward.data_plane.requests import http_front_end
from ploverward.data_plane.requests import request_handler
from ploverward.data_plane.upstream import upstream_connection
from ploverward.simulation import loopback
from ploverward.simulation import request_scene
from ploverward.transport import event_loop
from ploverward.transport import http_connection
from ploverward.transport import http_request

REQUESTS = 100
MAX_STEPS = 400
KEPT_BY_A_CYCLE = (
    request_handler.RequestHandler,
    http_request.Request,
    http_connection.HttpConnection,
    attempts.Attempt,
    upstream_connection.UpstreamConnection,
    event_loop.Timer,
)


def never_answer(_number, _received):
    return None


def reset(_number, received):
    return ["reset"] if request_scene.is_complete(received) else None


def reset_in_answer(_number, received):
    if not request_scene.is_complete(received):
        return None
    return [request_scene.answer(request_scene.request_id(received), b"half of it")[:-4], "reset"]


def break_stream_off(_number, received):
    """Sends the first event and breaks off; sends the rest to whoever asks for it."""
    if not request_scene.is_complete(received):
        return None
    which = request_scene.request_id(received)
    if b"ast-Event-Id" in received:
        return [request_scene.head(which) + request_scene.event(2) + request_scene.LAST_CHUNK]
    return [request_scene.head(which) + request_scene.event(1), "reset"]


def stream(_number, received):
    if not request_scene.is_complete(received):
        return None
    events = b"".join(map(request_scene.event, range(1, 6)))
    return [request_scene.head(request_scene.request_id(received)) + events + request_scene.LAST_CHUNK]


def begin_stream(_number, received):
    if not request_scene.is_complete(received):
        return None
    return [request_scene.head(request_scene.request_id(received)) + request_scene.event(1)]


def step(scene):
    if not scene.proxy.handlers:
        scene.loop.call_soon_threadsafe(callback=lambda: None)  # no wait
    scene.loop.step_or_skip()


def run_request(scene, number, *, lead, left_ms, end):
    """Sends one request on its own connection, ends it in the given way, and returns the status of its answer."""
    client = loopback.Client(loop=scene.loop, address=scene.proxy.address)
    client.send(
        b"POST /%s/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: m%d\r\nX-Model: m\r\nX-Token-Count: 30,8\r\n"
        b"X-Prompt-Lead: aa:10,b%d:20\r\nX-Time-Left-Ms: %d\r\nContent-Length: 4\r\n\r\nbody"
        % (lead.encode(), number, number, left_ms)
    )
    was_in_progress = False
    for _step in range(MAX_STEPS):
        step(scene)
        was_in_progress = was_in_progress or bool(scene.proxy.handlers)
        if end == "client leaves" and scene.arrivals() > number:
            client.leave()
        if end == "client leaves in the answer" and client.got:
            client.leave()
        if end == "shutdown" and scene.arrivals() > number:
            http_front_end.end_requests(scene.proxy.handlers)
            client.leave()
        if (was_in_progress or client.got) and not scene.proxy.handlers and (client.got or end or client.is_closed):
            break
    assert not scene.proxy.handlers
    if not client.is_closed:
        client.leave(is_reset=number % 2 == 1)
    for _step in range(5):
        step(scene)
    return client.got[9:12]


def count_objects():
    kept = collections.Counter(type(each) for each in gc.get_objects())
    return {kind.__name__: kept[kind] for kind in KEPT_BY_A_CYCLE}


@pytest.mark.parametrize(
    "lead, script, left_ms, end, status",
    [
        pytest.param("safe", request_scene.respond_ok, 3000, "", b"200", id="answered"),
        pytest.param("once", request_scene.respond_ok, 3000, "", b"200", id="answered, may run once"),
        pytest.param("none", request_scene.respond_ok, 3000, "", b"404", id="refused"),
        pytest.param("safe", never_answer, 300, "", b"504", id="timed out"),
        pytest.param("safe", never_answer, 3000, "client leaves", b"", id="left by the client"),
        pytest.param("safe", never_answer, 3000, "shutdown", b"", id="cut at the shutdown"),
        pytest.param("safe", reset, 3000, "", b"502", id="retried"),
        pytest.param("safe", request_scene.respond_with(status=b"500 Failed"), 3000, "", b"502", id="failed"),
        pytest.param("unsafe", reset_in_answer, 3000, "", b"502", id="cut by the replica"),
        pytest.param("resume", stream, 3000, "", b"200", id="streamed"),
        pytest.param("resume", break_stream_off, 3000, "", b"200", id="resumed"),
        pytest.param(
            "resume", begin_stream, 3000, "client leaves in the answer", b"200", id="left in the middle of a stream"
        ),
    ],
)
def test_nothing_of_a_request_is_left_after_its_end(lead, script, left_ms, end, status):
    """Guards against bodies that only the cyclic collector frees, so that a proxy grows by each of them (review/7)."""
    scene = request_scene.Scene(script, script)
    run_request(scene, 0, lead=lead, left_ms=left_ms, end=end)
    gc.collect()
    gc.disable()
    try:
        before = count_objects()
        statuses = []
        for number in range(1, REQUESTS):
            statuses.append(run_request(scene, number, lead=lead, left_ms=left_ms, end=end))
        after = count_objects()
    finally:
        gc.enable()
    assert {*statuses} == {status}
    assert {kind: after[kind] - before[kind] for kind in before if after[kind] > before[kind]} == {}
