"""Routes of different priority at an overloaded replica: the replica serves the more urgent requests.

A replica that admits requests by X-Urgency can do so only if each request has the urgency of its route, and if a
request that it displaces for a more urgent one ends as rejected rather than as failed (docs/rules.md, prices by
urgency).
"""

import collections
import re

import pytest

from ploverward.data_plane.requests import route_table
from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy
from ploverward.simulation import request_scene

MAX_QUEUED = 4
SERVICE_S = 0.05
REQUESTS = 40  # to each route, sent in turn
INTERVAL_S = 0.025  # between two requests to a route: twice the replica's capacity, four times for both routes together
BODY = {
    **loopback_proxy.CONFIGURATION,
    "routes": [
        loopback_proxy.route("urgent", "/urgent/", urgency=0, tries=2, resume=True),
        loopback_proxy.route("patient", "/patient/", urgency=4, tries=2, resume=True),
    ],
}


class PriorityReplica(loopback.ScriptedServer):
    """A replica that serves one request at a time and has a short priority queue.

    When the queue is full, it rejects the least urgent request.

    Attributes:
        served: The first path segments of the requests that it completed.
    """

    def __init__(self, *, loop):
        super().__init__(loop=loop, script=self._receive)
        self.served = []
        self._queue = []  # (urgency, order of arrival, connection, request)
        self._arrivals = 0
        self._read_bytes = collections.Counter()  # of complete requests, by connection
        self._is_busy = False

    def _receive(self, number, received):
        request = received[self._read_bytes[number] :]
        if not request_scene.is_complete(request):
            return
        self._read_bytes[number] = len(received)
        urgency = re.search(rb"(?i)X-Urgency: (\d)", request)
        self._arrivals += 1
        self._queue.append((int(urgency[1]) if urgency else 5, self._arrivals, number, request))
        self._queue.sort()
        if len(self._queue) > MAX_QUEUED:
            _urgency, _arrival, refused, refused_request = self._queue.pop()
            request_id = request_scene.request_id(refused_request)
            self.callback(refused, [request_scene.answer(request_id, status=b"503 Full", more=request_scene.NOT_RUN)])
        self._serve_next()

    def _serve_next(self):
        if self._is_busy or not self._queue:
            return
        self._is_busy = True
        _urgency, _arrival, number, request = self._queue.pop(0)
        self.loop.after(delay=SERVICE_S, callback=lambda: self._answer(number, request))

    def _answer(self, number, request):
        self._is_busy = False
        request_id = request_scene.request_id(request)
        stream = request_scene.head(request_id) + request_scene.event(1) + request_scene.LAST_CHUNK
        self.callback(number, [stream])
        self.served.append(re.search(rb"POST /(\w+)/", request)[1])
        self._serve_next()


class LoadGenerator:
    """Sends requests to both routes in turn, each from a client with its own connection."""

    def __init__(self):
        self.loop = loopback.new_loop()
        self.replica = PriorityReplica(loop=self.loop)
        self.proxy = loopback_proxy.LoopbackProxy(loop=self.loop, peers=[(self.replica, "za")])
        self.proxy.routes = route_table.Routes(body=BODY)
        self.clients = []

    def send(self, route_name, number):
        client = loopback.Client(loop=self.loop, address=self.proxy.address)
        client.send(
            b"POST /%s/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s%d\r\nX-Model: m\r\nX-Token-Count: 30,8\r\n"
            b"X-Prompt-Lead: aa:10,b%d:20\r\nX-Time-Left-Ms: 900\r\nContent-Length: 4\r\n\r\nbody"
            % (route_name, route_name[:1], number, number)
        )
        self.clients.append((route_name, client))

    def run(self):
        for number in range(REQUESTS):
            for route_name in (b"patient", b"urgent"):
                self.loop.after(
                    delay=number * INTERVAL_S,
                    callback=lambda route_name=route_name, number=number: self.send(route_name, number),
                )
        end = self.loop.now() + REQUESTS * INTERVAL_S
        assert loopback.until(self.loop, lambda: self.loop.now() > end and self.has_finished())

    def has_finished(self):
        return not self.proxy.handlers and all(client.got for _route_name, client in self.clients)

    def count_responses(self, route_name, status):
        return sum(
            sent_route_name == route_name and client.got.startswith(b"HTTP/1.1 %d" % status)
            for sent_route_name, client in self.clients
        )


@pytest.fixture(name="clients", scope="module")
def finished_clients():
    clients = LoadGenerator()
    clients.run()
    return clients


def test_overloaded_replica_serves_the_more_urgent_route_first(clients):
    urgent, patient = clients.count_responses(b"urgent", 200), clients.count_responses(b"patient", 200)
    assert urgent > patient + 0.05 * REQUESTS
    assert urgent + patient == len(clients.replica.served)


def test_displaced_requests_are_refused_with_503(clients):
    for route_name in (b"urgent", b"patient"):
        assert clients.count_responses(route_name, 200) + clients.count_responses(route_name, 503) == REQUESTS
