"""The stand-in platform and its model replicas: HTTP servers on the loopback range that answer as real ones would.

`FakeReplicas` owns the platform's list and the servers. A replica serves a path under /chat/ with a stream of eight
events, the first after its adapter is loaded, and any other with one answer.
"""

from __future__ import annotations

import dataclasses
import functools
import json
import random
import uuid
from collections.abc import Callable
from typing import Any

from ploverward.simulation import loopback
from ploverward.simulation import stand_in_versions
from ploverward.transport import event_loop
from ploverward.transport import http_request
from ploverward.transport import http_server

REGIONS = ("north", "south", "west")
REPLICAS_PER_REGION = 2  # of a version
PLATFORM_HOST = "127.0.100.1"
PLATFORM_PORT = 50  # these ports are added to the deployment's first one
REPLICA_PORT = 60  # and the number of the version
PEER_TIMEOUT_S = 10.0
SERVICE = "tutor"
FIRST_VERSION = "v1"
ADAPTERS = ("drafts", "hearings", "moves", "coach")
SLOTS = 2  # adapters that a replica holds
LOAD_S = 0.9  # an adapter's load
ANSWER_S = 0.02  # until a complete answer
EVENT_S = 0.05  # between two events
EVENTS = 8  # of a stream


@dataclasses.dataclass(slots=True, kw_only=True)
class Replica:
    """One model replica.

    Attributes:
        name: Its id in the platform's list.
        edition: Its version.
        started_at: When it was started, by the loop's clock in seconds.
        row: Its row of the platform's list.
        adapters: By name, when each is loaded; the least lately used first.
    """

    name: str
    edition: str
    started_at: float
    row: dict[str, Any]
    adapters: dict[str, float] = dataclasses.field(default_factory=dict)

    def load(self, adapter: str, *, now: float) -> float:
        """Returns how long an adapter's first event waits for its load, in seconds; drops the least lately used one."""
        if adapter not in ADAPTERS:
            return 0.0
        at = self.adapters.pop(adapter, None)
        if at is None and len(self.adapters) >= SLOTS:
            del self.adapters[next(iter(self.adapters))]
        self.adapters[adapter] = at if at is not None else now + LOAD_S
        return max(0.0, self.adapters[adapter] - now)


class FakeReplicas:
    """The replicas of all versions, and the platform that lists them.

    Attributes:
        platform: ADDRESS:PORT of the platform.
    """

    def __init__(self, *, loop: event_loop.Loop, base_port: int) -> None:
        """Starts the platform and the first version; `base_port` is the deployment's first port."""
        self.platform = f"{PLATFORM_HOST}:{base_port + PLATFORM_PORT}"
        self._loop = loop
        self._base_port = base_port
        self._replicas: list[Replica] = []  # that are listed
        self._version_count = 0  # each version has addresses of its own
        self._listen((PLATFORM_HOST, base_port + PLATFORM_PORT), self._handle_list)
        self.start_version(FIRST_VERSION)

    def _listen(self, address: tuple[str, int], on_request: Callable[[http_request.Request], None]) -> None:
        http_server.HttpServer(
            loop=self._loop,
            address=address,
            on_request=on_request,
            limits=lambda: loopback.limits(head_bytes=65536, body_bytes=10**6),
            peer_timeout_s=PEER_TIMEOUT_S,
        )

    def start_version(self, edition: str) -> None:
        """Starts replicas of a version in each region."""
        self._version_count += 1
        for index, region in enumerate(REGIONS):
            for number in range(1, REPLICAS_PER_REGION + 1):
                host = f"127.0.{index + 1}.{100 + number}"
                self._start_replica(
                    (host, self._base_port + REPLICA_PORT + self._version_count), region, number, edition
                )

    def _start_replica(self, address: tuple[str, int], region: str, number: int, edition: str) -> None:
        host, port = address
        name = f"i-{region}-{number}-{uuid.uuid4().hex[:4]}"
        row = {
            "id": name,
            "destination": SERVICE,
            "address": f"{host}:{port}",
            "zone": f"z{region}",
            "edition": edition,
            "berths": 16,
            "condition": "accepting",
            "warmupLeftMs": 0,
            "leg": "both",
            "models": [{"name": "m", "edition": 1, "adapters": []}],
        }
        replica = Replica(name=name, edition=edition, started_at=self._loop.now(), row=row)
        self._replicas.append(replica)
        self._listen(address, functools.partial(self._serve, replica))

    def drain_version(self, edition: str) -> None:
        """Lists the replicas of a version as draining."""
        for replica in self._replicas:
            if replica.edition == edition:
                replica.row["condition"] = "clearing"

    def stop_versions(self, is_gone: Callable[[str], bool]) -> None:
        """Ends the replicas of the versions for which `is_gone(edition)`: they answer nothing any more."""
        self._replicas = [replica for replica in self._replicas if not is_gone(replica.edition)]

    def _handle_list(self, request: http_request.Request) -> None:
        now = self._loop.now()
        for replica in self._replicas:
            loaded = [name for name, at in replica.adapters.items() if at <= now]
            replica.row["models"][0]["adapters"] = loaded
        rows = [replica.row for replica in self._replicas]
        request.reply(
            status=200,
            headers=[(b"Content-Type", b"application/json")],
            body=json.dumps({"replicas": rows, "nextPage": None}).encode(),
        )

    def _serve(self, replica: Replica, request: http_request.Request) -> None:
        known = [(b"X-Attempt-Id", request.header(b"x-attempt-id")), (b"X-Postmark", uuid.uuid4().hex.encode())]
        is_bad = stand_in_versions.is_bad(
            edition=replica.edition,
            target=request.target,
            age_s=self._loop.now() - replica.started_at,
            chance=random.random(),
        )
        is_slow = is_bad and stand_in_versions.is_slow(replica.edition)
        times = stand_in_versions.SLOW_TIMES if is_slow else 1.0
        if replica not in self._replicas:
            request.abort()
        elif is_bad and not is_slow:
            request.reply(status=500, headers=known)
        elif request.text(b"x-addressed-replica") != replica.name:
            request.reply(status=421, headers=[(b"X-Replica-Id", replica.name.encode())])
        elif not request.target.startswith(b"/chat/"):
            self._loop.after(
                delay=ANSWER_S * times, callback=lambda: request.reply(status=200, headers=known, body=b"done")
            )
        else:
            self._stream(replica, request, known, event_s=EVENT_S * times)

    def _stream(
        self,
        replica: Replica,
        request: http_request.Request,
        headers: list[tuple[bytes, bytes]],
        *,
        event_s: float,
    ) -> None:
        """Sends the events after the one that the client had last."""
        request.start(
            status=200,
            headers=[*headers, (b"Content-Type", b"text/event-stream"), (b"Transfer-Encoding", b"chunked")],
        )
        number = int(request.text(b"last-event-id", "0") or 0) + 1
        wait_s = replica.load(request.text(b"x-model"), now=self._loop.now())
        self._loop.after(delay=wait_s, callback=lambda: self._send_event(request, number, event_s))

    def _send_event(self, request: http_request.Request, number: int, event_s: float) -> None:
        if not request.http_connection.is_answering(request):
            return
        if number > EVENTS:
            request.end()
            return
        request.data(b"id: %d\ndata: token\n\n" % number)
        self._loop.after(delay=event_s, callback=lambda: self._send_event(request, number + 1, event_s))
