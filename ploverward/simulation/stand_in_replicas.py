"""The stand-in platform and its model replicas: HTTP servers on the loopback range that respond like real ones.

`FakeReplicas` owns the platform's list and the servers. A replica responds to a path under /chat/ with a stream of
eight events, of which the first waits until the adapter is loaded, and to any other path with one complete response.
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
REPLICAS_PER_REGION = 2  # of each version
PLATFORM_HOST = "127.0.100.1"
PLATFORM_PORT = 50  # offset from the deployment's first port
REPLICA_PORT = 60  # offset from the first port, to which the number of the version is added
PEER_TIMEOUT_S = 10.0
SERVICE = "tutor"
FIRST_VERSION = "v1"
ADAPTERS = ("drafts", "hearings", "moves", "coach")
ADAPTER_SLOTS = 2  # adapters that a replica can hold at the same time
LOAD_S = 0.9  # to load an adapter
ANSWER_S = 0.02  # until a complete response
EVENT_S = 0.05  # between two events
EVENTS = 8  # in a stream


@dataclasses.dataclass(slots=True, kw_only=True)
class Replica:
    """A model replica and the adapters that it has loaded.

    Attributes:
        name: Its id in the platform's list.
        edition: Its version.
        started_at: Loop time in seconds at which it was started.
        row: Its row in the platform's list.
        adapters: The loop time at which each adapter is loaded, by name; the least recently used first.
    """

    name: str
    edition: str
    started_at: float
    row: dict[str, Any]
    adapters: dict[str, float] = dataclasses.field(default_factory=dict)

    def load(self, adapter: str, *, now: float) -> float:
        """Loads an adapter unless it is loaded or loading; if all slots are in use, evicts the least recently used one.

        Args:
            adapter: The adapter's name; others than `ADAPTERS` need no load.
            now: Loop time in seconds.

        Returns:
            The seconds until the adapter is loaded.
        """
        if adapter not in ADAPTERS:
            return 0.0
        at = self.adapters.pop(adapter, None)
        if at is None and len(self.adapters) >= ADAPTER_SLOTS:
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
        self._replicas: list[Replica] = []  # those that the platform lists
        self._version_count = 0  # added to the ports, so that each version has its own addresses
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
        """Starts the replicas of a version in each region."""
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
        """Stops the replicas of all versions for which `is_gone(edition)` is true: they abort all later requests."""
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
        headers = [(b"X-Attempt-Id", request.header(b"x-attempt-id")), (b"X-Postmark", uuid.uuid4().hex.encode())]
        is_bad = stand_in_versions.is_bad(
            edition=replica.edition,
            target=request.target,
            age_s=self._loop.now() - replica.started_at,
            chance=random.random(),
        )
        is_slow = is_bad and stand_in_versions.is_slow(replica.edition)
        slowdown = stand_in_versions.SLOWDOWN if is_slow else 1.0
        if replica not in self._replicas:
            request.abort()
        elif is_bad and not is_slow:
            request.reply(status=500, headers=headers)
        elif request.text(b"x-addressed-replica") != replica.name:
            request.reply(status=421, headers=[(b"X-Replica-Id", replica.name.encode())])
        elif not request.target.startswith(b"/chat/"):
            self._loop.after(
                delay=ANSWER_S * slowdown, callback=lambda: request.reply(status=200, headers=headers, body=b"done")
            )
        else:
            self._stream(replica, request, headers, event_s=EVENT_S * slowdown)

    def _stream(
        self,
        replica: Replica,
        request: http_request.Request,
        headers: list[tuple[bytes, bytes]],
        *,
        event_s: float,
    ) -> None:
        """Sends the events after the last one that the client has."""
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
