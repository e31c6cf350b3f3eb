"""A proxy whose share of a core is a quota: it stands still for the rest of each tenth of a second.

Its pauses may not look like faults of replicas: each request runs once, on one replica, and is answered.
"""

from ploverward.simulation import loopback
from ploverward.simulation import request_scene

PERIOD_S, RUNS_S = 0.1, 0.04
ANSWERS_AFTER_S = 0.03  # the replica's time for a request: often over in a pause of the proxy
REQUESTS = 30


class Quota:
    """Lets a loop run for `RUNS_S`, then skips the rest of the period."""

    def __init__(self, loop):
        self._loop = loop
        self._period_ends_at = loop.now() + PERIOD_S

    def step(self):
        if self._loop.now() > self._period_ends_at - PERIOD_S + RUNS_S:
            self._loop.skip(seconds=max(0.0, self._period_ends_at - self._loop.now()))
            self._period_ends_at = self._loop.now() + PERIOD_S
        self._loop.step()


def slow_replica(scene, peer_number):
    """A script: answers each complete request after a while."""

    def script(number, heard):
        if request_scene.is_complete(heard):
            which = request_scene.request_id(heard)
            peer = scene.peers[peer_number]
            scene.loop.after(
                delay=ANSWERS_AFTER_S, callback=lambda: peer.callback(number, [request_scene.answer(which)])
            )

    return script


def test_requests_run_once_while_the_proxy_is_cpu_throttled():
    scene = request_scene.Scene(lambda *_about: None, lambda *_about: None)
    for number, peer in enumerate(scene.peers):
        peer.script = slow_replica(scene, number)
    quota = Quota(scene.loop)
    for number in range(REQUESTS):
        lead = ("safe", "unsafe")[number % 2]
        scene.request(lead)
        scene.loop.after(delay=loopback.WAIT_TIMEOUT_S, callback=lambda: None)
        while len(request_scene.statuses(scene.client)) <= number:
            quota.step()
    assert request_scene.statuses(scene.client) == [200] * REQUESTS
    assert scene.arrivals() == REQUESTS and not scene.proxy.faults
