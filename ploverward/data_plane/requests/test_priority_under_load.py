"""Kinds of requests beside each other: where replicas can't serve all, they serve the more urgent kind.

A replica that admits by X-Urgency can only do so if each request carries its route's, and if a request that it puts out
for a more urgent one ends as refused rather than as a failure (docs/rules.md, prices by urgency).
"""

import collections
import re

import pytest

from ploverward.data_plane.requests import route_table
from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy
from ploverward.simulation import request_scene

SLOTS, QUEUE = 1, 4
SERVICE_S = 0.05
REQUESTS = 40  # of each kind, sent in turn
INTERVAL_S = 0.025  # between two of one kind: twice what the replica can do, for both kinds together four times
BODY = {
    **loopback_proxy.CONFIGURATION,
    "routes": [
        loopback_proxy.route("urgent", "/urgent/", urgency=0, tries=2, resume=True),
        loopback_proxy.route("patient", "/patient/", urgency=4, tries=2, resume=True),
    ],
}


class PriorityReplica(loopback.Peer):
    """A replica with one slot and a short queue: the more urgent stand before others, or take their place.

    Attributes:
        served: The paths of requests that it completed.
    """

    def __init__(self, *, loop):
        super().__init__(loop=loop, script=self._receive)
        self.served = []
        self._queue = []  # (urgency, order of arrival, connection, request)
        self._arrivals = 0
        self._read_bytes = collections.Counter()  # of complete requests, by connection
        self._is_busy = False

    def _receive(self, number, heard):
        request = heard[self._read_bytes[number] :]
        if not request_scene.is_complete(request):
            return
        self._read_bytes[number] = len(heard)
        urgency = re.search(rb"(?i)X-Urgency: (\d)", request)
        self._arrivals += 1
        self._queue.append((int(urgency[1]) if urgency else 5, self._arrivals, number, request))
        self._queue.sort()
        if len(self._queue) > QUEUE:
            _urgency, _order, refused, its_request = self._queue.pop()
            which = request_scene.request_id(its_request)
            self.callback(refused, [request_scene.answer(which, status=b"503 Full", more=request_scene.NOT_RUN)])
        self._serve_next()

    def _serve_next(self):
        if self._is_busy or not self._queue:
            return
        self._is_busy = True
        _urgency, _order, number, request = self._queue.pop(0)
        self.loop.after(delay=SERVICE_S, callback=lambda: self._answer(number, request))

    def _answer(self, number, request):
        self._is_busy = False
        which = request_scene.request_id(request)
        stream = request_scene.head(which) + request_scene.event(1) + request_scene.END
        self.callback(number, [stream])
        self.served.append(re.search(rb"POST /(\w+)/", request)[1])
        self._serve_next()


class Clients:
    """Clients of two kinds that send their requests in turn, each on a connection of its own."""

    def __init__(self):
        self.loop = loopback.new_loop()
        self.replica = PriorityReplica(loop=self.loop)
        self.proxy = loopback_proxy.LoopbackProxy(loop=self.loop, peers=[(self.replica, "za")])
        self.proxy.routes = route_table.Routes(body=BODY)
        self.clients = []

    def send(self, kind, number):
        client = loopback.Client(loop=self.loop, address=self.proxy.address)
        client.send(
            b"POST /%s/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s%d\r\nX-Model: m\r\nX-Token-Count: 30,8\r\n"
            b"X-Prompt-Lead: aa:10,b%d:20\r\nX-Time-Left-Ms: 900\r\nContent-Length: 4\r\n\r\nbody"
            % (kind, kind[:1], number, number)
        )
        self.clients.append((kind, client))

    def play(self):
        for number in range(REQUESTS):
            for kind in (b"patient", b"urgent"):
                self.loop.after(
                    delay=number * INTERVAL_S, callback=lambda kind=kind, number=number: self.send(kind, number)
                )
        end = self.loop.now() + REQUESTS * INTERVAL_S
        assert loopback.until(self.loop, lambda: self.loop.now() > end and self.is_over())

    def is_over(self):
        return not self.proxy.handlers and all(client.got for _kind, client in self.clients)

    def answered(self, kind, status):
        return sum(own == kind and client.got.startswith(b"HTTP/1.1 %d" % status) for own, client in self.clients)


@pytest.fixture(name="clients", scope="module")
def played_clients():
    clients = Clients()
    clients.play()
    return clients


def test_overloaded_replica_serves_the_more_urgent_route_first(clients):
    urgent, patient = clients.answered(b"urgent", 200), clients.answered(b"patient", 200)
    assert urgent > patient + 0.05 * REQUESTS
    assert urgent + patient == len(clients.replica.served)


def test_displaced_requests_are_refused_with_503(clients):
    for kind in (b"urgent", b"patient"):
        assert clients.answered(kind, 200) + clients.answered(kind, 503) == REQUESTS
