"""The proxy program: its parts put together, its start and its beat (design 1)."""

import logging
import random
import signal
import uuid

from ploverward.common import errors
from ploverward.common import settings as settings_files
from ploverward.data_plane.adapter_cache import adapter_counts
from ploverward.data_plane.control_client import core_sessions
from ploverward.data_plane.load_balancing import replica_chooser
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.load_reports import relay_client
from ploverward.data_plane.quotas import credential_freshness
from ploverward.data_plane.quotas import quota_allowance
from ploverward.data_plane.quotas import shared_limits
from ploverward.data_plane.requests import custody_trails
from ploverward.data_plane.requests import graceful_shutdown
from ploverward.data_plane.requests import route_table
from ploverward.data_plane.requests import serving
from ploverward.data_plane.rollouts import version_routing
from ploverward.transport import event_loop

_log = logging.getLogger(__name__)


class Proxy(core_sessions.FollowMixin, serving.ServeMixin):
    def __init__(self, *, settings):
        self.settings = settings
        self.incarnation = uuid.uuid4().hex[:12]
        self.loop = event_loop.Loop(on_fault=lambda fault: _log.error("step_failed", exc_info=fault))
        self.contact_s = settings.bound_s(name="contactMs")
        self.peer_timeout_s = self.contact_s / 5
        self.failover_s = self.contact_s / 16  # in about this time somebody else is found, or it comes back
        self.is_serving = False
        self.is_draining = False
        self.drain_window = graceful_shutdown.DrainWindow(now=self.loop.now, grace_s=settings.bound(name="graceS"))
        self.singleton_roles = {}
        self.routes = route_table.Routes()
        self.older_homes = []  # (until, homes by route name, homes by tenant)
        self.configuration_freshness = credential_freshness.ConfigurationFreshness(now=self.loop.now)
        self.credential_freshness = credential_freshness.CredentialFreshness.of(settings)
        self.quota_allowance = quota_allowance.QuotaAllowance(
            now=self.loop.now, lease_s=self.contact_s * quota_allowance.LEASE_CONTACTS
        )
        self.batches = custody_trails.TrailBatches(most=200)
        self._set_limits({})
        self.quota = shared_limits.SharedLimits(now=self.loop.now, settings=settings)
        self.rollouts = version_routing.Rollouts(
            now=self.loop.now, chance=random.random, running=self._running_elsewhere
        )
        self.table = replica_table.Table(loop=self.loop, settings=settings, share=self.quota.rate_share)
        self.adapters = adapter_counts.Counter(
            now=self.loop.now, window_s=self.contact_s * 6, trust_s=self.contact_s / 2
        )

    def run(self) -> int:
        self.beats = 0
        self.file_watch = settings_files.FileWatch()
        self.relay_client = relay_client.RelayClient(
            loop=self.loop,
            settings=lambda: self.settings,
            incarnation=self.incarnation,
            contact_s=self.contact_s,
            peer_timeout_s=self.peer_timeout_s,
            table=self.table,
            adapters=self.adapters,
            replicas_in_use=self._replicas_in_use,
            near_core=self._near_core,
        )
        # What requests and the answers to core nodes use of it.
        self.regions = self.relay_client.regions
        self.source = self.relay_client.source
        self.chooser = replica_chooser.Chooser(
            table=self.table,
            settings=self.settings,
            regions=self.regions,
            quota=self.quota,
            now=self.loop.now,
            counted=self.source.counted,
        )
        self.start_serving()
        self.start_following()
        self._on_report_tick()
        self.loop.every(interval_s=self.peer_timeout_s / 3, callback=self._on_heartbeat_tick)
        signal.signal(signal.SIGTERM, lambda *_: self.loop.command(callback=self.leave))
        signal.signal(signal.SIGHUP, lambda *_: self.loop.command(callback=self._reread))
        self.loop.run()
        return 0

    def _on_report_tick(self) -> None:
        self.relay_client.tick()
        self.subscriber.tick()
        self.loop.after(delay=self.relay_client.report_interval_s(), callback=self._on_report_tick)

    def _replicas_in_use(self) -> list:
        """Replicas that this proxy has attempts at, gone from the list or not."""
        found = {}
        for handler in self.passages:
            if handler.attempt is not None:
                found[handler.attempt.replica.id] = handler.attempt.replica
        return list(found.values())

    def report_attempt(self, *, replica, kind: int) -> None:
        """An attempt was sent, or something became of it."""
        self.source.record(replica=replica, kind=kind)

    def report_prefill(self, *, replica, service: str, model: str, parts, salt: str = "") -> None:
        """A replica processed a prompt."""
        self.source.record_read(replica=replica, service=service, model=model, parts=parts, salt=salt)

    def _running_elsewhere(self, service: str, target: str) -> int:
        """Attempts under way at replicas of a service that have another version than the target."""
        found = 0
        for handler in self.passages:
            replica = handler.attempt.replica if handler.attempt is not None else None
            found += replica is not None and replica.service == service and replica.edition != target
        return found

    def _on_heartbeat_tick(self) -> None:
        if self.beats % self.rollouts.pace == 0:
            self.send_rollout_evidence()
        self.renew_entries()  # core nodes hear of this proxy by it
        self.relay_client.send_heartbeats()
        self.table.sweep()
        self.table.check_suspected_replicas()
        self.beats += 1
        if self.beats % 4 == 0:
            self.send_custody_trails()
            self.relay_client.send_adapter_counts()
            if self.file_watch.is_changed():
                self._reread()
        self._check_serving()

    def _reread(self) -> None:
        try:
            self.settings = settings_files.load()
        except errors.SettingsError as fault:
            _log.error("settings_rejected", extra={"fault": str(fault)})
            return
        self._connect_to_cores()
