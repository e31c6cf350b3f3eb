"""The proxy program: its parts put together, its start and its beat (design 1)."""

import random
import signal
import uuid

from ploverward.transport import event_loop
from ploverward.common import errors
from ploverward.common import event_log
from ploverward.common import settings as settings_files
from ploverward.data_plane.load_balancing import replica_chooser
from ploverward.data_plane.requests import custody_trails
from ploverward.data_plane.control_client import core_sessions
from ploverward.data_plane.requests import graceful_shutdown
from ploverward.data_plane.quotas import shared_limits
from ploverward.data_plane.load_reports import relay_client
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.rollouts import version_routing
from ploverward.data_plane.requests import route_table
from ploverward.data_plane.requests import serving
from ploverward.data_plane.quotas import tenant_admission


class Proxy(core_sessions.FollowMixin, relay_client.RelayMixin, serving.ServeMixin):
    def __init__(self, *, settings):
        self.settings = settings
        self.life = uuid.uuid4().hex[:12]
        self.loop = event_loop.Loop(on_fault=lambda fault: event_log.spill("a step failed", fault=fault))
        self.contact_s = settings.bound_s(name="contactMs")
        self.silence_s = self.contact_s / 5
        self.reach_s = self.contact_s / 16  # in about this time somebody else is found, or it comes back
        self.is_serving = False
        self.is_leaving = False
        self.leaving = graceful_shutdown.Leaving(now=self.loop.now, grace_s=settings.bound(name="graceS"))
        self.duties = {}
        self.routes = route_table.Routes()
        self.older_homes = []  # (until, homes by route name, homes by tenant)
        self.standing = tenant_admission.Standing(now=self.loop.now)
        self.trust = tenant_admission.Trust.of(settings)
        self.allowance = tenant_admission.Allowance(
            now=self.loop.now, lease_s=self.contact_s * tenant_admission.LEASE_CONTACTS
        )
        self.batches = custody_trails.Batches(most=200)
        self._set_limits({})
        self.quota = shared_limits.Quota(now=self.loop.now, settings=settings)
        self.rollouts = version_routing.Rollouts(
            now=self.loop.now, chance=random.random, running=self._running_elsewhere
        )
        self.table = replica_table.Table(loop=self.loop, settings=settings, share=self.quota.rate_share)

    def run(self) -> int:
        self.beats = 0
        self.file_watch = settings_files.FileWatch()
        self.start_relay()
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
        self._relay_tick()
        self.loop.every(gap=self.silence_s / 3, act=self._beat)
        signal.signal(signal.SIGTERM, lambda *_: self.loop.command(act=self.leave))
        signal.signal(signal.SIGHUP, lambda *_: self.loop.command(act=self._reread))
        self.loop.run()
        return 0

    def _running_elsewhere(self, service: str, target: str) -> int:
        """Attempts under way at replicas of a service that have another version than the target."""
        found = 0
        for passage in self.passages:
            replica = passage.attempt.replica if passage.attempt is not None else None
            found += replica is not None and replica.service == service and replica.edition != target
        return found

    def _beat(self) -> None:
        if self.beats % self.rollouts.pace == 0:
            self.tell_evidence()
        self.renew_entries()  # core nodes hear of this proxy by it
        self._beat_inner()
        self.table.sweep()
        self.table.try_suspects()
        self.beats += 1
        if self.beats % 4 == 0:
            self.tell_trails()
            self.tell_adapters()
            if self.file_watch.is_changed():
                self._reread()
        self._check_serving()

    def _reread(self) -> None:
        try:
            self.settings = settings_files.load()
        except errors.SettingsProblem as fault:
            event_log.spill(f"the new settings are kept out: {fault}")
            return
        self._dial_cores()
