"""Shared helpers for tests of the batch tier: a proxy, three stores and scripted replicas on the loopback range."""

from __future__ import annotations

import base64
import dataclasses
import json
import pathlib
import re
import socket
import typing

from ploverward.common import batch_partitions
from ploverward.control_plane.cluster import partition_placement
from ploverward.data_plane.batch import batch_tier
from ploverward.data_plane.requests import request_handler
from ploverward.data_plane.requests import route_table
from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy
from ploverward.simulation import request_scene
from ploverward.store import partition_log
from ploverward.store import store_node
from ploverward.transport import batch_messages
from ploverward.transport import http_request

STORE_HOSTS = (11, 12, 13)  # last bytes of the addresses of the stores
TENANTS = [{"name": "clerks", "apiKeys": ["key-1", "key-2"]}, {"name": "players", "apiKeys": ["key-3"]}]
KEY = "key-1"
MAX_BODY_BYTES = 1_000_000
COORDINATION_S = 0.1  # between two runs of the coordinator
JOB_TRIES = 2
JOB_ROUTE = {
    "kind": "batch",
    "tries": JOB_TRIES,
    "deadlineMs": 15000,
    "maxWaitS": 40,
    "maxQueuedTokens": 1000,
    "sticky": True,
}
SAFE_ROUTE = loopback_proxy.route("safe", "/safe/", kind="retry_safe", sticky=False, tries=3)
BODY = {
    **loopback_proxy.CONFIGURATION,
    "routes": [
        loopback_proxy.route("jobs", "/lots/", **JOB_ROUTE),
        SAFE_ROUTE,
    ],
    "senders": TENANTS,
}


class BatchProxy(loopback_proxy.LoopbackProxy):
    """A loopback proxy with a batch tier.

    Attributes:
        is_draining_batch: Whether the batch tier pulls no items.
    """

    is_draining_batch = False

    def begin_batch(self, port: int, *, number: int = 0, proxy_count: int = 1) -> None:
        """Starts the batch tier, which handles job calls from now on.

        Args:
            port: The port that the stores listen at.
            number: Distinguishes this proxy from the others.
            proxy_count: The number of proxies that share the replicas.
        """
        self.incarnation = f"proxy-{number}"
        self.routes = route_table.Routes(body=BODY)
        self.quota_allowance.install(BODY)
        self.quota_allowance.record(core="k", sent_at=self.loop.now() + 600.0, proxy_count=1, credits=[])
        self.settings = dataclasses.replace(self.settings, inner_ports=(port - 1, port + 8))
        self.batch = batch_tier.BatchTier(
            node=self, peer_timeout_s=1.0, proxy_count=lambda: proxy_count, is_draining=lambda: self.is_draining_batch
        )
        self.batch.start()

    def install_routes(self, routes: list[dict[str, typing.Any]], *, edition: int) -> None:
        """Installs a configuration with these routes."""
        self.routes = route_table.Routes(body={**BODY, "routes": routes, "edition": edition})

    def handle(self, request: http_request.Request) -> None:
        """Handles a request of a client: a job call by the batch tier, any other by a request handler."""
        if self.batch.handle(request):
            return
        handler = request_handler.RequestHandler(context=self, request=request)
        self.handlers.add(handler)
        handler.begin()


class Answer(typing.NamedTuple):
    """A response that a client received."""

    status: int
    body: bytes

    @property
    def json(self) -> typing.Any:  # noqa: ANN401  # any JSON value
        """The body, parsed as JSON."""
        return json.loads(self.body)


def item(name: str, *, body: bytes = b"body", tokens: int = 10, **more: object) -> dict[str, typing.Any]:
    """Returns an item of a job.

    Args:
        name: The item's id.
        body: The body of the item's request.
        tokens: The item's token count.
        **more: Fields to change or to add.
    """
    return {
        "id": name,
        "path": f"/lots/3/{name}",
        "envelope": {"X-Model": "m", "X-Token-Count": "9,1", "X-Prompt-Lead": f"aa:5,{name}:4"},
        "parcel": base64.b64encode(body).decode(),
        "tokens": tokens,
        **more,
    }


class BatchScene:
    """Three stores, proxies with a batch tier, and scripted replicas.

    Args:
        folder: The folder that holds the stores' disks.
        scripts: One script for each replica.
        proxies: The number of proxies.

    Attributes:
        proxies: The proxies.
        proxy: The first of them, which calls go to by default.
    """

    def __init__(self, folder: pathlib.Path, *scripts: loopback.Script, proxies: int = 1) -> None:
        self.folder = folder
        self.loop = loopback.new_loop()
        self.port = _free_port()
        self.peers = [loopback.ScriptedServer(loop=self.loop, script=script) for script in scripts]
        self.stores: dict[str, store_node.StoreNode] = {}
        for host in STORE_HOSTS:
            self.start_store(loopback.own_address(host=host))
        self.proxies = [
            BatchProxy(
                loop=self.loop,
                peers=[(peer, "za") for peer in self.peers],
                limits=lambda: loopback.limits(body_bytes=MAX_BODY_BYTES),
            )
            for _number in range(proxies)
        ]
        self.proxy = self.proxies[0]
        for number, proxy in enumerate(self.proxies):
            proxy.begin_batch(self.port, number=number, proxy_count=proxies)
        self.roles: dict[str, tuple] = {}
        self._reports: dict[int, batch_messages.CopyReport] = {}
        self._lost_at: dict[str, float] = {}
        self.is_coordinating = True
        self._coordinate(may_place=True)
        assert self.until(self.is_serving)
        self.loop.every(interval_s=COORDINATION_S, callback=self._coordinate)

    def start_store(self, address: str) -> None:
        """Starts a store, with the contents of its disk if it ran before."""
        settings = loopback_proxy.settings(
            node=f"store-{address}",
            ip=address,
            inner_ports=(self.port - 1, self.port + 8),
            data_dir=str(self.folder / address),
            seeds=((loopback.own_address(host=99), 1),),
        )
        store = store_node.StoreNode(
            settings=settings, loop=self.loop, send_report=lambda report: self._record_report(store, report)
        )
        store.start()
        self.stores[address] = store

    def _record_report(self, store: store_node.StoreNode, report: batch_messages.CopyReport) -> None:
        if store in self.stores.values():  # the timers of a stopped store keep running
            self._reports[report.partition] = report

    def stop_store(self, address: str) -> None:
        """Stops a store's process and keeps its disk."""
        self.stores.pop(address).stop()
        self._lost_at[address] = self.loop.now()

    def restart_store(self, address: str) -> None:
        """Stops a store's process and starts it again on the same disk."""
        self.stop_store(address)
        self.start_store(address)
        self.stores[address].install_roles(self.roles)

    # The coordinator.
    def _coordinate(self, *, may_place: bool = False) -> None:
        """Applies the coordinator's decisions directly, without its register and its connections."""
        if not self.is_coordinating:
            return
        rows = partition_placement.arrangement_changes(self._view(may_place=may_place))
        for name, row in rows.items():
            self.roles[name] = (row.epoch + 1, row.address, row.incarnation)
        if rows:
            for store in self.stores.values():
                store.install_roles(self.roles)
            for proxy in self.proxies:
                proxy.batch.stores.update_roles(self.roles)

    def _view(self, *, may_place: bool) -> partition_placement.PlacementView:
        now = self.loop.now()
        states = {
            address: partition_placement.StoreState(
                address=address,
                zone=f"zone-{address}",
                disk=store.disk.identity,
                process=store.incarnation,
                is_connected=store.disk.is_ready or may_place,
                disconnected_for_s=0.0,
                is_retiring=False,
            )
            for address, store in self.stores.items()
        }
        for address, lost_at in self._lost_at.items():
            lost = partition_placement.StoreState(
                address,
                f"zone-{address}",
                "",
                "",
                is_connected=False,
                disconnected_for_s=now - lost_at,
                is_retiring=False,
            )
            states.setdefault(address, lost)
        arrangements = {
            number: batch_partitions.owners_of(partition=number, roles=self.roles)
            for number in range(batch_partitions.PARTITIONS)
        }
        reports = {
            number: report for number, report in self._reports.items() if report.epoch == arrangements[number].epoch
        }
        return partition_placement.PlacementView(
            stores=states,
            arrangements=arrangements,
            reports=reports,
            copies=len(STORE_HOSTS),
            may_place=may_place,
            timeouts=partition_placement.PlacementTimeouts(failover_s=0.3, replacement_s=2.0),
            never_connected_for_s=0.0,
        )

    def owners(self, tenant: str = "clerks") -> batch_partitions.PartitionOwners:
        """Returns the owners of a tenant's partition."""
        return batch_partitions.owners_of(partition=batch_partitions.partition_of(tenant), roles=self.roles)

    def log_of(self, address: str, tenant: str = "clerks") -> partition_log.PartitionLog:
        """Returns a store's log of a tenant's partition."""
        return self.stores[address].copies.member(batch_partitions.partition_of(tenant)).log

    def is_serving(self) -> bool:
        """Returns whether each partition is served with its full set of members and the proxy reaches all primaries."""
        serving = [
            number
            for store in self.stores.values()
            for number, owned in store.primary.owned.items()
            if owned.is_serving and len(owned.replication.owners.members) == min(len(STORE_HOSTS), len(self.stores))
        ]
        reachable = [
            proxy.batch.stores.is_reachable(address)
            for proxy in self.proxies
            for address in proxy.batch.stores.primaries()
        ]
        return len(serving) == batch_partitions.PARTITIONS and all(reachable)

    def until(self, condition: typing.Callable[[], object]) -> bool:
        """Steps the loop until `condition()` is true; returns False on a timeout."""
        return loopback.until(self.loop, condition)

    def wait(self, seconds: float) -> None:
        """Steps the loop for this many seconds."""
        end = self.loop.now() + seconds
        assert self.until(lambda: self.loop.now() >= end)

    def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        key: str = KEY,
        more: str = "",
        proxy: BatchProxy | None = None,
    ) -> Answer:
        """Sends one request on a new connection and returns the response.

        Args:
            method: The HTTP method.
            path: The request target.
            body: The body.
            key: The API key of the tenant.
            more: Further header lines, each with its CRLF.
            proxy: The proxy; the first one by default.
        """
        client = loopback.Client(loop=self.loop, address=(proxy or self.proxy).address)
        head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n{more}"
        client.send(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        assert self.until(lambda: _is_complete(client.got)), client.got
        head_bytes, _blank, got = client.got.partition(b"\r\n\r\n")
        return Answer(int(head_bytes.split()[1]), got)

    def submit(self, job: str, items: list[dict[str, typing.Any]], *, key: str = KEY) -> Answer:
        """Submits a job."""
        body = json.dumps({"requests": items}).encode()
        return self.call("POST", "/lots/x", body=body, key=key, more=f"X-Attempt-Id: {job}\r\n")

    def results(self, job: str, *, after: int = 0, wait_ms: int = 0, key: str = KEY) -> Answer:
        """Reads results of a job.

        Args:
            job: The job's id.
            after: The revision after which results are returned.
            wait_ms: How long the proxy may wait for new results; 0 sends no X-Wait-Ms header.
            key: The API key of the tenant.
        """
        more = f"X-Wait-Ms: {wait_ms}\r\n" if wait_ms else ""
        return self.call("GET", f"/ploverward/lots/{job}?afterRevision={after}", key=key, more=more)

    def all_results(self, job: str) -> list[dict[str, typing.Any]]:
        """Waits until a job is finished, then returns all of its results.

        Raises:
            AssertionError: The job did not finish in time.
        """
        answers: list[Answer] = []

        def is_listed() -> bool:
            answers.append(self.results(job))
            return len(answers[-1].json["results"]) == answers[-1].json["total"]

        for _attempt in range(200):
            if is_listed():
                return answers[-1].json["results"]
            self.wait(0.05)
        raise AssertionError(answers[-1].body)

    def arrivals(self) -> list[bytes]:
        """Returns the ids of all requests that replicas received, in no particular order."""
        received = (received for peer in self.peers for received in peer.received)
        return [which for each in received for which in re.findall(rb"(?i)X-Attempt-Id: (\S+)", each)]


def _free_port() -> int:
    """Returns a port that is meant to be free, with the next one, on the addresses of all stores.

    Only the address of the first store is tried; no other process uses these addresses.
    """
    with socket.socket() as sock:
        sock.bind((loopback.own_address(host=STORE_HOSTS[0]), 0))
        return sock.getsockname()[1]


def _is_complete(got: bytes) -> bool:
    head, blank, body = got.partition(b"\r\n\r\n")
    length = re.search(rb"(?i)Content-Length: (\d+)", head)
    return bool(blank) and length is not None and len(body) >= int(length[1])


def streaming(*texts: bytes) -> loopback.Script:
    """Returns a script that responds with a stream of one event for each text."""

    def script(_number: int, received: bytes) -> list[loopback.Action] | None:
        if not request_scene.is_complete(received):
            return None
        which = request_scene.request_id(received)
        events = b"".join(_chunk(b"id: %d\ndata: %s\n\n" % (number, text)) for number, text in enumerate(texts, 1))
        return [request_scene.head(which) + events + request_scene.LAST_CHUNK]

    return script


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)
