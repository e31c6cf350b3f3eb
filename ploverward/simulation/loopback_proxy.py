"""The request path of a proxy on the loopback range, without core nodes and relays.

`LoopbackProxy` implements `handler_context.HandlerContext` with the real parts of a proxy. State that core nodes and
relays send in production is installed directly.
"""

from __future__ import annotations

import dataclasses
import json
import typing
from collections.abc import Callable

from ploverward.common import settings as settings_files
from ploverward.data_plane.adapter_cache import adapter_counts
from ploverward.data_plane.control_client import residency_history
from ploverward.data_plane.load_balancing import replica_chooser
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.quotas import credential_freshness
from ploverward.data_plane.quotas import quota_allowance
from ploverward.data_plane.quotas import shared_limits
from ploverward.data_plane.requests import custody_trails
from ploverward.data_plane.requests import graceful_shutdown
from ploverward.data_plane.requests import request_handler
from ploverward.data_plane.requests import route_table
from ploverward.data_plane.rollouts import version_routing
from ploverward.simulation import loopback
from ploverward.transport import http_request
from ploverward.transport import http_server
from ploverward.transport import messages

SETTINGS = """
node=p1
ip=127.0.0.1
zone=za
region=north
zones.za=north
zones.zb=south
innerPortRange=7720,7735
seedNodes=127.0.0.1:1
cloudApi.address=127.0.0.1:2
bounds.contactMs=4000
bounds.receiptMs=5000
bounds.drainMs=4000
bounds.graceS=8
bounds.applyMs=2500
bounds.evacuateMs=5000
bounds.retryRatio=0.2
bounds.retryWindowS=10
bounds.retrySlack=50
bounds.warmupExcess=1.5
bounds.warmupSlack=5
"""


def settings(**changed: typing.Any) -> settings_files.Settings:  # noqa: ANN401  # the type depends on the field
    """Returns the settings of a proxy, with the given fields changed."""
    return dataclasses.replace(settings_files.parse_settings(text=SETTINGS), **changed)


def route(name: str, lead: str, **more: object) -> dict[str, typing.Any]:
    """Returns a route of a configuration: streaming with one attempt, unless keys are changed.

    Args:
        name: The route's name.
        lead: The path prefix that it matches.
        **more: Keys to change or to add.
    """
    return {
        "name": name,
        "host": "h",
        "pathLead": lead,
        "kind": "streaming",
        "expiryMs": 5000,
        "targetMs": 400,
        "destination": "llm",
        "tries": 1,
        "sticky": True,
        "gapTargetMs": 300,
        **more,
    }


CONFIGURATION = {
    "edition": 3,
    "routes": [
        route("once", "/once/"),
        route("resume", "/resume/", resume=True, tries=2),
        route("home", "/home/", resume=True, tries=3, homeRegions=["south"]),
        route("safe", "/safe/", kind="retry_safe", sticky=False, tries=3),
        route("unsafe", "/unsafe/", kind="retry_unsafe", sticky=False, tries=3),
    ],
    "destinations": [{"name": "llm", "maxConns": 300, "engine": {"cacheTokens": 1000, "models": [{"name": "m"}]}}],
}


def replica_row(name: str, zone: str = "za", **more: object) -> dict[str, typing.Any]:
    """Returns a row of the endpoint list: a replica of the service `llm` that is neither draining nor warming up.

    Args:
        name: The replica's id.
        zone: The replica's zone.
        **more: Fields to change or to add.
    """
    return {
        "id": name,
        "service": "llm",
        "address": "127.0.0.1:9",
        "zone": zone,
        "berths": 8,
        "is_clearing": False,
        "cold_ms": 0,
        "left_ms": None,
        "models": ["m"],
        **more,
    }


class LoopbackProxy:
    """A proxy that request handlers run in, with scripted replicas as its endpoint list.

    Args:
        loop: The event loop.
        peers: The scripted replicas, each with its zone; their ids are i0, i1, ...
        share: This proxy's share of the limits that all proxies share.
        limits: Returns the HTTP limits for requests of clients.

    Attributes:
        failure_reasons: The reasons of all failed attempts, in order.
        started_tenants: The tenant of each request that a replica started to run, in order.
        rows: The endpoint list.
        configuration_age: Seconds since the configuration was last known to be the newest.
        address: The address that clients connect to.
    """

    def __init__(
        self,
        *,
        loop: loopback.SkippingLoop,
        peers: list[tuple[loopback.ScriptedServer, str]],
        share: float = 1.0,
        limits: Callable[[], http_request.Limits] = loopback.limits,
    ) -> None:
        self.loop = loop
        self.settings = settings()
        self.incarnation = "l1"
        self.failover_s = 1.0
        self.is_serving = True
        self.is_draining = False
        self.drain_window = graceful_shutdown.DrainWindow(now=loop.now, grace_s=self.settings.bound(name="graceS"))
        self.routes = route_table.Routes(body=CONFIGURATION)
        self.quota = shared_limits.SharedLimits(now=loop.now, settings=self.settings)
        self.quota.handle_share_lease(
            "core",
            messages.ShareLease(
                slack_share=share, rate_share=share, duration_s=1000.0, core_share=1.0, slot=0, slot_count=8, number=1
            ),
        )
        self.rollouts = version_routing.VersionRouter(
            now=loop.now, chance=lambda: 0.5, running=lambda service, target: 0
        )
        self.table = replica_table.ReplicaTable(loop=loop, settings=self.settings, share=self.quota.rate_share)
        self.table.install_services(route_table.services(body=CONFIGURATION))
        self.chooser = replica_chooser.ReplicaChooser(
            table=self.table, settings=self.settings, regions={}, quota=self.quota, now=loop.now
        )
        self.handlers: set[request_handler.RequestHandler] = set()
        self.batches = custody_trails.TrailBatches(max_trails=1000)
        self.adapters = adapter_counts.AdapterCounter(now=loop.now, window_s=24.0, trust_s=4.0)
        self.number = 0
        self.failure_reasons: list[str] = []
        self.started_tenants: list[str] = []
        self.residency = residency_history.ResidencyHistory(
            now=loop.now, applies_for_s=lambda: self.settings.bound_s(name="applyMs")
        )
        self.permitted = self.residency.permitted
        self.credential_freshness = credential_freshness.CredentialFreshness.from_settings(self.settings)
        self.configuration_age = 0.0
        self.quota_allowance = quota_allowance.QuotaAllowance(now=loop.now, lease_s=1.0)
        self.rows: list[dict[str, typing.Any]] = [
            replica_row(f"i{number}", zone=zone, address=f"{peer.address[0]}:{peer.address[1]}")
            for number, (peer, zone) in enumerate(peers)
        ]
        self.table.install_list(self.rows)
        self.server = http_server.HttpServer(
            loop=loop,
            address=(loopback.own_address(), 0),
            on_request=self.handle,
            limits=limits,
            peer_timeout_s=5.0,
        )
        self.address = self.server.address

    def handle(self, request: http_request.Request) -> None:
        """Handles a request of a client."""
        handler = request_handler.RequestHandler(context=self, request=request)
        self.handlers.add(handler)
        handler.begin()

    def configure(self, body: dict[str, typing.Any]) -> None:
        """Installs a newer configuration; the home regions of the previous one stay binding for `bounds.applyMs`."""
        self.residency.add_replaced(self.routes)
        self.routes = route_table.Routes(body=body)

    def configuration_age_s(self) -> float:
        """Returns `configuration_age`."""
        return self.configuration_age

    def list_rows(self, *, clearing: typing.Container[str] = ()) -> list[dict[str, typing.Any]]:
        """Returns the endpoint list, with the replicas in `clearing` marked as draining."""
        return [{**row, "is_clearing": row["id"] in clearing} for row in self.rows]

    def next_attempt_number(self) -> int:
        """Returns a number that is unique among all attempts."""
        self.number += 1
        return self.number

    def report_attempt(self, **about: object) -> None:
        """Does nothing; in production, this reports an attempt to the relay."""

    def report_prefill(self, **about: object) -> None:
        """Does nothing; in production, this reports a prefill to the relay."""

    def note_attempt_failure(self, *, replica: replica_table.Replica, reason: str, was_up: bool) -> None:
        """Records a failed attempt; marks the replica as suspected if its connection was never established."""
        self.failure_reasons.append(reason)
        if not was_up:
            self.table.mark_suspected(replica)

    def note_request_started(self, tenant: str) -> None:
        """Records the tenant of a request that a replica started to run."""
        self.started_tenants.append(tenant)

    def note_wrong_replica(self, replica: replica_table.Replica) -> None:
        """Backs off from a replica for 2 s after it responded 421."""
        replica.backoff_until = self.loop.now() + 2.0

    def note_replica_full(self, replica: replica_table.Replica) -> None:
        """Backs off from a replica for 50 ms after it rejected a request because it is full."""
        replica.backoff_until = self.loop.now() + 0.05

    def trails(self) -> list[dict[str, typing.Any]]:
        """Returns the custody trails that were recorded since the last call."""
        self.batches.close_batch()
        return [json.loads(data) for _number, _last, rows in self.batches.drain() for _id, data in rows]
