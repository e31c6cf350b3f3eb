"""A proxy with a CPU quota, which the scheduler pauses for the rest of each 100 ms period.

The proxy must not mistake its own pauses for faults of replicas: each request runs once, on one replica, and is
answered.
"""

from ploverward.simulation import loopback
from ploverward.simulation import request_scene

PERIOD_S, RUN_S = 0.1, 0.04
RESPONSE_DELAY_S = 0.03  # the replica's time for a request: it often ends during a pause of the proxy
REQUESTS = 30


class CpuThrottle:
    """Lets a loop run for `RUN_S`, then skips the rest of the period."""

    def __init__(self, loop):
        self._loop = loop
        self._period_ends_at = loop.now() + PERIOD_S

    def step(self):
        if self._loop.now() > self._period_ends_at - PERIOD_S + RUN_S:
            self._loop.skip(seconds=max(0.0, self._period_ends_at - self._loop.now()))
            self._period_ends_at = self._loop.now() + PERIOD_S
        self._loop.step()


def slow_replica(scene, peer_number):
    """Returns a script that answers each complete request after `RESPONSE_DELAY_S`."""

    def script(number, received):
        if request_scene.is_complete(received):
            request_id = request_scene.request_id(received)
            peer = scene.peers[peer_number]
            scene.loop.after(
                delay=RESPONSE_DELAY_S, callback=lambda: peer.callback(number, [request_scene.answer(request_id)])
            )

    return script


def test_requests_run_once_while_the_proxy_is_cpu_throttled():
    scene = request_scene.Scene(lambda *_args: None, lambda *_args: None)
    for number, peer in enumerate(scene.peers):
        peer.script = slow_replica(scene, number)
    throttle = CpuThrottle(scene.loop)
    for number in range(REQUESTS):
        route_name = ("safe", "unsafe")[number % 2]
        scene.request(route_name)
        scene.loop.after(delay=loopback.WAIT_TIMEOUT_S, callback=lambda: None)
        while len(request_scene.statuses(scene.client)) <= number:
            throttle.step()
    assert request_scene.statuses(scene.client) == [200] * REQUESTS
    assert scene.arrivals() == REQUESTS and not scene.proxy.failure_reasons
