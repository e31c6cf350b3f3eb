"""A proxy's way of a request on the loopback, with its control side stood in for."""

import dataclasses

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


def settings(**changed):
    return dataclasses.replace(settings_files.check(text=SETTINGS), **changed)


def route(name, lead, **more):
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


class LoopbackProxy:
    """What a passage needs of the proxy."""

    def __init__(self, *, loop, peers, share=1.0):
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
        self.table = replica_table.Table(loop=loop, settings=self.settings, share=self.quota.rate_share)
        self.table.install_services(route_table.services(body=CONFIGURATION))
        self.chooser = replica_chooser.Chooser(
            table=self.table, settings=self.settings, regions={}, quota=self.quota, now=loop.now
        )
        self.passages = set()
        self.batches = custody_trails.TrailBatches(most=1000)
        self.adapters = adapter_counts.AdapterCounter(now=loop.now, window_s=24.0, trust_s=4.0)
        self.number = 0
        self.faults = []
        self.residency = residency_history.ResidencyHistory(
            now=loop.now, binds_for_s=lambda: self.settings.bound_s(name="applyMs")
        )
        self.permitted = self.residency.permitted
        self.credential_freshness = credential_freshness.CredentialFreshness.of(self.settings)
        self.configuration_age = 0.0
        self.quota_allowance = quota_allowance.QuotaAllowance(now=loop.now, lease_s=1.0)
        self.rows = [
            {
                "id": f"i{number}",
                "service": "llm",
                "address": "%s:%d" % peer.address,
                "zone": zone,
                "berths": 8,
                "is_clearing": False,
                "cold_ms": 0,
                "left_ms": None,
                "models": ["m"],
            }
            for number, (peer, zone) in enumerate(peers)
        ]
        self.table.install_list(self.rows)
        self.server = http_server.HttpServer(
            loop=loop,
            address=(loopback.own_address(), 0),
            on_request=self.handle,
            limits=lambda: loopback.limits(),
            peer_timeout_s=5.0,
        )
        self.address = self.server.address

    def handle(self, request):
        handler = request_handler.RequestHandler(context=self, request=request)
        self.passages.add(handler)
        handler.begin()

    def configure(self, body):
        self.residency.retire(self.routes)
        self.routes = route_table.Routes(body=body)

    def configuration_age_s(self):
        return self.configuration_age

    def list_rows(self, *, clearing=()):
        return [{**row, "is_clearing": row["id"] in clearing} for row in self.rows]

    def next_number(self):
        self.number += 1
        return self.number

    def report_attempt(self, **about):
        pass

    def report_prefill(self, **about):
        pass

    def mark_suspected(self, replica):
        self.table.mark_suspected(replica)

    def note_fault(self, *, replica, reason, was_up):
        self.faults.append(reason)
        if not was_up:
            self.table.mark_suspected(replica)

    def note_wrong_replica(self, replica):
        replica.backoff_until = self.loop.now() + 2.0

    def full(self, replica):
        replica.backoff_until = self.loop.now() + 0.05

    def trails(self):
        import json

        self.batches.close_batch()
        return [json.loads(data) for _number, _last, rows in self.batches.drain() for _id, data in rows]
