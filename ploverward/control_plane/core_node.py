"""The core program: register, leases, duties, news, dispatch and directory (design 1, 4, 5, 9)."""

import logging

from ploverward.common import errors
from ploverward.control_plane import node_runtime
from ploverward.control_plane.cluster import coordinator
from ploverward.control_plane.cluster import majority_lease
from ploverward.control_plane.cluster import peer_sessions
from ploverward.control_plane.cluster import voting_set
from ploverward.control_plane.configuration import evacuations
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import consensus_node
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.distribution import publisher
from ploverward.control_plane.distribution import subscriber
from ploverward.control_plane.operator_api import dependencies
from ploverward.control_plane.operator_api import server
from ploverward.control_plane.quotas import quota_meter
from ploverward.control_plane.quotas import rate_slots
from ploverward.control_plane.quotas import share_leases
from ploverward.control_plane.quotas import token_bucket
from ploverward.control_plane.rollouts import manager

_log = logging.getLogger(__name__)

LEAVE_SHARE = 0.85  # of graceS: a leaving node ends by then, whatever is under way
RATE_WINDOW_S = 1.5  # the cold bound is stated for one second


class Core(consensus_node.VotingMixin, peer_sessions.MembersMixin):
    def __init__(self, *, settings, runtime=None):
        self.runtime = runtime if runtime is not None else node_runtime.Runtime()
        self.settings = settings
        self.own = settings.ip
        self.incarnation = self.runtime.unique_id()
        self.loop = self.runtime.loop(on_fault=lambda fault: _log.error("step_failed", exc_info=fault))
        self.contact_s = settings.bound_s(name="contactMs")
        self.receipt_s = settings.bound_s(name="receiptMs")
        self.peer_timeout_s = self.contact_s / 5
        self.lease_s = self.peer_timeout_s * 1.5
        window_s = settings.bound(name="retryWindowS", default=10)
        self.ttl_s = max(1, int(settings.bound(name="ttl_max_s", default=5) * 0.2))
        start = self.loop.now()
        withhold_s = self.peer_timeout_s * 2 if settings.first_start else self.lease_s + window_s
        # Two kinds of bound: what is spent counts for retryWindowS, a rate only for its second (and a little).
        self.slacks = share_leases.ShareTable(
            now=self.loop.now, lease_s=self.lease_s, window_s=window_s, withheld_until=start + withhold_s
        )
        rate_withhold_s = min(withhold_s, self.lease_s + RATE_WINDOW_S)
        self.rates = share_leases.ShareTable(
            now=self.loop.now, lease_s=self.lease_s, window_s=RATE_WINDOW_S, withheld_until=start + rate_withhold_s
        )
        self.slots = rate_slots.RateSlots(now=self.loop.now, reserved_s=self.lease_s + RATE_WINDOW_S)
        self.rates_from = start + rate_withhold_s
        self.publisher = publisher.Publisher()
        self.subscriber = subscriber.Subscriber(
            now=self.loop.now,
            fetch_timeout_s=self.contact_s / 12,
            on_snapshot=self._on_snapshot,
            on_delta=self._on_delta,
            delta_topics=(coordinator.LIST,),
            installed_version=self.publisher.version,
        )
        self.configuration = None
        self.evacuated_zones = set()
        self.has_tenants = False
        self._beats = 0
        self.file_watch = self.runtime.file_watch()
        self.watch = self.runtime.watch(
            loop=self.loop,
            address=settings.cloud_address,
            gap_s=max(settings.bound_s(name="drainMs") / 8, 4 / settings.cloud_per_s),
            limit_s=self.contact_s / 4,
            on_list=lambda rows, at: self.cluster_coordinator.handle_list(rows, at),
            zones=settings.zones,
        )
        self.is_draining = False
        self.wanted_voters = 2 * settings.tolerated_machines + 1
        self.core_members = ()  # the newest core set that was chosen, once there is one
        self._start_membership_objects(window_s=window_s)

    def _start_membership_objects(self, *, window_s: float) -> None:
        self.contact = majority_lease.Contact(own=self.own, now=self.loop.now, lease_s=self.lease_s)
        seeds = {host for host, _port in self.settings.seeds}
        first_part = self.part_of(seeds) if self.settings.first_start else 0.0
        # An evicted member may hand out entries until its contact ends; each counts for its life and its window.
        outlived_s = 2 * self.lease_s
        self.owned_slack_share = share_leases.OwnedShare(
            now=self.loop.now, transfer_wait_s=outlived_s + window_s, initial_share=first_part
        )
        self.owned_rate_share = share_leases.OwnedShare(
            now=self.loop.now, transfer_wait_s=outlived_s + RATE_WINDOW_S, initial_share=first_part
        )
        self.core_set_changer = voting_set.CoreSetChanger(
            change=lambda **about: self.proposer.change(**about), known_set=lambda name: self.proposer.members(name)
        )
        self.role_table = coordinator.SingletonRoleTable(change=lambda **about: self.proposer.change(**about))
        self.cluster_coordinator = coordinator.ClusterCoordinator(
            own=self.own,
            incarnation=self.incarnation,
            now=self.loop.now,
            role_table=self.role_table,
            publisher=self.publisher,
            watch=self.watch,
            takeover_after_s=self.peer_timeout_s / 4,
            stale_after_s=self.contact_s,
        )

        self.meter = quota_meter.QuotaMeter(
            now=self.loop.now,
            tolerance=token_bucket.QuotaTolerance(
                window_s=self.settings.bound(name="quotaWindowS", default=5),
                excess=self.settings.bound(name="quotaExcess"),
                slack=self.settings.bound(name="quotaSlack"),
            ),
            owned_share=self.owned_rate_share.value,
        )
        self.rollout_manager = manager.RolloutManager(
            settings=self.settings,
            now=self.loop.now,
            change=lambda **about: self.proposer.change(**about),
            listed=self.cluster_coordinator.listed,
            zones=lambda: self.settings.zones,
            evacuated_zones=lambda: self.evacuated_zones,
            proxies=self.proxy_origins,
            contact_s=self.contact_s,
            receipt_s=self.receipt_s,
        )

    def _apply(self, name: str, payload, members: tuple) -> None:
        if name == "duty":
            self.role_table.install(payload=payload)
            self.loop.command(callback=self._reconcile_roles)
        elif name == "spec":
            self.configuration = payload["body"] if payload else None
            self.has_tenants = (self.configuration or {}).get("senders") is not None
            self.meter.install(self.configuration)
        elif name == register_names.EVACUATIONS:
            self.evacuated_zones = evacuations.zones_of(payload)
        elif name == register_names.ROLLOUTS:
            self.rollout_manager.install(payload)
        elif name == register_names.ARCHIVE:
            self.interfaces.learn_archive(payload)
        elif name == "cores":
            self.core_members = members
            self._connect_to_cores()

    @property
    def singleton_roles(self) -> dict:
        """Duty: [epoch, holder, the holder's life], as far as this node knows."""
        return self.role_table.table

    def start(self) -> None:
        self.start_members()
        self._make_interfaces()
        self.start_voting()
        self._resume_parts()
        self._connect_to_cores()
        self.interfaces.listen()
        self.watch.start()
        self.loop.every(interval_s=self.peer_timeout_s / 3, callback=self._on_heartbeat_tick)
        self.runtime.on_signals(loop=self.loop, on_terminate=self._leave, on_reread=self._reread)
        _log.debug("core_started", extra={"own": self.own, "first": self.settings.first_start})

    def _make_interfaces(self) -> None:
        self.interfaces = server.OperatorApi(
            loop=self.loop,
            make_http_server=self.runtime.http_server,
            registers=dependencies.Registers(
                change=lambda **about: self.proposer.change(**about), read=lambda **about: self.proposer.read(**about)
            ),
            publisher=self.publisher,
            meter=self.meter,
            node=dependencies.NodeState(
                own=self.own,
                settings=lambda: self.settings,
                members=self.members,
                is_core_live=self.is_core_live,
                has_majority_contact=self.has_majority_contact,
                is_voting=lambda: self.acceptor.votes,
                proxies=self.proxies,
                configuration=lambda: self.configuration,
                singleton_roles=lambda: self.singleton_roles,
                core_set=self.core_set_status,
            ),
            timing=dependencies.Timing(ttl_s=self.ttl_s, contact_s=self.contact_s, receipt_s=self.receipt_s),
        )

    def _resume_parts(self) -> None:
        """A restarted node goes on with the part that it had, where its disk holds the core set as agreed.

        Nobody else can have had that part under this version; entries of the earlier life are waited for by the books.
        """
        _promised, _accepted, version, value = self.acceptor.get(register_names.CORE_SET)
        if not value or len(ballots.member_sets(value)) > 1:
            return
        members, _payload = ballots.unpack(value)
        part = self.part_of(members)
        self.owned_slack_share.resume(share=part, version=version)
        self.owned_rate_share.resume(share=part, version=version)

    def run(self) -> int:
        self.start()
        self.loop.run()
        return 0

    def _leave(self) -> None:
        """SIGTERM: no calls any more, duties are handed over, and voting stops last."""
        if self.is_draining:
            return
        self.is_draining = True
        self.interfaces.shut_down()
        self._broadcast_to_cores(("state", False, True))
        self._reconcile_roles()
        now = self.loop.now()
        latest = now + self.settings.bound(name="graceS") * LEAVE_SHARE
        self.loop.after(delay=self.receipt_s / 6, callback=lambda: self._end_when_free(latest))

    def _end_when_free(self, latest: float) -> None:
        if self.may_end() or self.loop.now() >= latest:
            self.watch.stop()
            self.loop.stop()
            return
        self.loop.after(delay=self.peer_timeout_s / 20, callback=lambda: self._end_when_free(latest))

    def _reread(self) -> None:
        try:
            self.settings = self.runtime.load_settings()
        except errors.SettingsError as fault:
            _log.error("settings_rejected", extra={"fault": str(fault)})
