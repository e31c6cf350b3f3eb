"""Graceful shutdown: what a draining proxy accepts, and how it ends waiting requests (docs/requests.md, SIGTERM)."""

import types

import pytest

from ploverward.data_plane.requests import graceful_shutdown
from ploverward.data_plane.requests import http_front_end
from ploverward.data_plane.requests import request_handler
from ploverward.simulation import loopback
from ploverward.simulation import request_scene


def test_idle_connections_are_closed_during_drain():
    scene = request_scene.Scene(request_scene.respond_ok)
    scene.request("safe")
    assert scene.until(b"\r\n\r\nok")
    scene.proxy.server.leave()
    scene.proxy.server.close_idle()
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)


def test_end_of_drain_answers_503_only_to_requests_not_sent_to_a_replica():
    scene = request_scene.Scene(lambda number, received: None)
    scene.request("once")
    assert loopback.until(scene.loop, lambda: scene.arrivals() == 1)
    waiting = loopback.Client(loop=scene.loop, address=scene.proxy.address)
    scene.proxy.table.replicas["i0"].is_suspected = True
    waiting.send(b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: w\r\nX-Time-Left-Ms: 4000\r\n\r\n")
    assert loopback.until(scene.loop, lambda: len(scene.proxy.handlers) == 2)
    http_front_end.end_requests(scene.proxy.handlers)
    assert loopback.until(scene.loop, lambda: waiting.got)
    assert request_scene.statuses(waiting) == [503] and not request_scene.statuses(scene.client)


def test_request_after_the_end_of_drain_is_refused():
    scene = request_scene.Scene(request_scene.respond_ok)
    front_end = http_front_end.HttpFrontEnd(
        loop=scene.loop,
        settings=scene.proxy.settings,
        contact_s=4.0,
        limits=loopback.limits,
        is_serving=lambda: True,
        is_draining=lambda: True,
        make_handler=lambda request: request_handler.RequestHandler(context=scene.proxy, request=request),
    )
    front_end.has_ended = True
    scene.proxy.server._on_request = front_end.handle_request
    scene.request("unsafe")
    assert request_scene.wait_until_idle(scene)
    assert request_scene.statuses(scene.client) == [503] and scene.arrivals() == 0


@pytest.mark.parametrize("since_s, is_accepted", [(1.0, True), (2.5, True), (3.1, False), (5.1, False), (7.0, False)])
def test_late_in_drain_a_stream_that_may_be_aborted_is_refused(since_s, is_accepted):
    """Guards against streams that the exit of the process aborts.

    In a simulation run with a graceS of 8 and streams of 5 s, a stream that began 5.1 s after SIGTERM was aborted at
    7.5 s.
    """
    scene = request_scene.Scene(request_scene.respond_ok)
    request_scene.leave(scene, since_s=since_s)
    scene.request("once", left_ms=5000)
    assert request_scene.wait_until_idle(scene)
    if is_accepted:
        assert scene.arrivals() == 1
        return
    assert request_scene.statuses(scene.client) == [503] and scene.arrivals() == 0
    head = scene.client.got.lower()
    assert b"retry-after: 0.0" in head and b"connection: close" in head


def test_late_in_drain_a_request_with_an_early_deadline_is_accepted():
    scene = request_scene.Scene(request_scene.respond_ok)
    request_scene.leave(scene, since_s=4.0)
    scene.request("safe", left_ms=3000)
    assert scene.until(b"\r\n\r\nok")
    assert request_scene.statuses(scene.client) == [200]


def test_second_sigterm_does_not_restart_the_drain_window():
    scene = request_scene.Scene(request_scene.respond_ok)
    request_scene.leave(scene, since_s=4.0)
    scene.proxy.drain_window.begin()
    scene.request("once", left_ms=5000)
    assert request_scene.wait_until_idle(scene)
    assert request_scene.statuses(scene.client) == [503]


@pytest.mark.parametrize("has_reports", [False, True])
def test_process_waits_for_unconfirmed_reports_until_the_end_of_its_time(has_reports):
    """Guards against answers of replicas to items that are lost with a proxy that is stopped in order (review/8)."""
    loop = loopback.new_loop()
    ends = []
    shutdown = graceful_shutdown.ProxyShutdown(
        loop=loop,
        settings=lambda: types.SimpleNamespace(bound=lambda *, name: 10.0),
        front_end=types.SimpleNamespace(
            drain=lambda: None, close_idle=lambda: True, end=lambda: ends.append(loop.now())
        ),
        announce=lambda: None,
        send_last_reports=lambda: None,
        has_unconfirmed_reports=lambda: has_reports,
    )
    begun_at = loop.now()
    shutdown.begin()
    assert loopback.until(loop, lambda: ends)
    share = graceful_shutdown.END_SHARE if has_reports else graceful_shutdown.IDLE_FROM_SHARE
    assert ends[0] - begun_at == pytest.approx(10.0 * share, abs=0.5)
