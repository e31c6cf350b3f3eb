"""The proxy program: its components, their wiring and its heartbeat (docs/design.md 1, 5, 7).

`ProxyNode` owns only the current settings and the count of heartbeats; each component owns its own state. Everything
runs in one thread, on one event loop.
"""

from __future__ import annotations

import functools
import logging
import random
import signal
import time
import typing
import uuid
from collections.abc import Mapping

from ploverward.common import reloadable_settings
from ploverward.common import settings as settings_files
from ploverward.data_plane import connection_watch
from ploverward.data_plane.adapter_cache import adapter_counts
from ploverward.data_plane.control_client import configuration_installer
from ploverward.data_plane.control_client import core_connections
from ploverward.data_plane.control_client import core_reports
from ploverward.data_plane.control_client import core_sessions
from ploverward.data_plane.control_client import residency_history
from ploverward.data_plane.control_client import serving_gate
from ploverward.data_plane.control_client import share_renewals
from ploverward.data_plane.load_balancing import replica_chooser
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.load_reports import relay_client
from ploverward.data_plane.load_reports import report_ticker
from ploverward.data_plane.quotas import credential_freshness
from ploverward.data_plane.quotas import quota_allowance
from ploverward.data_plane.quotas import shared_limits
from ploverward.data_plane.requests import custody_trails
from ploverward.data_plane.requests import graceful_shutdown
from ploverward.data_plane.requests import http_front_end
from ploverward.data_plane.requests import replica_feedback
from ploverward.data_plane.requests import request_handler
from ploverward.data_plane.requests import route_table
from ploverward.data_plane.rollouts import version_routing
from ploverward.data_plane.usage import usage_counter
from ploverward.transport import event_loop
from ploverward.transport import messages
from ploverward.transport import peer_connection

if typing.TYPE_CHECKING:
    from ploverward.data_plane.batch import batch_tier

_log = logging.getLogger(__name__)

PEER_TIMEOUTS_PER_CONTACT = 5
FAILOVERS_PER_CONTACT = 16
HEARTBEATS_PER_PEER_TIMEOUT = 3  # two consecutive ones may be lost
HEARTBEATS_PER_USAGE_REPORT = 3
HEARTBEATS_PER_SLOW_TASKS = 4  # for custody trails, the connection watch, adapter counts and the settings file
MAX_TRAILS_PER_BATCH = 200
ADAPTER_WINDOW_CONTACTS = 6  # window of adapter counts, as a multiple of contactMs
ADAPTER_TRUST_CONTACTS = 1 / 2  # share of contactMs: an adapter counts as loaded this long after a request ran with it


class ProxyNode:
    """A proxy process. It is the `HandlerContext` of the request handlers.

    Attributes:
        incarnation: Identifier of this start of the process.
        contact_s: The bound `contactMs` in seconds, from which most timeouts are derived.
        peer_timeout_s: Seconds after which a connection to another node is closed if no data arrives on it.
        failover_s: Seconds in which another node typically takes over, or the one that failed returns.
    """

    def __init__(self, *, settings: settings_files.Settings) -> None:
        """Creates all components.

        Other proxies may connect as soon as the object exists; clients are accepted, and core nodes connected to,
        only in `run`.
        """
        self._reloadable = reloadable_settings.ReloadableSettings(
            initial=settings, file_watch=settings_files.FileWatch()
        )
        self.incarnation = uuid.uuid4().hex[:12]
        self.loop = event_loop.Loop(on_error=lambda fault: _log.error("step_failed", exc_info=fault))
        self.contact_s = settings.bound_s(name="contactMs")
        self.peer_timeout_s = self.contact_s / PEER_TIMEOUTS_PER_CONTACT
        self.failover_s = self.contact_s / FAILOVERS_PER_CONTACT
        self._heartbeats = 0
        self._make_limits()
        self._make_connections()
        self._make_front_end()
        self._make_load_balancing()
        self._make_control_client()
        self._make_batch()
        self._connection_watch = connection_watch.ConnectionWatch(
            max_handles=settings.handles,
            clients=lambda: len(self._front_end.server.connections),
            upstream=lambda: sum(len(replica.connections) for replica in self.table.replicas.values()),
            stale_regions=lambda: [name for name, region in self._relay_client.regions.items() if not region.is_fresh],
        )

    def _make_limits(self) -> None:
        """Creates quotas, roll-outs, the replica table and adapter counts."""
        now = self.loop.now
        self.quota = shared_limits.SharedLimits(now=now, settings=self.settings)
        self.credential_freshness = credential_freshness.CredentialFreshness.from_settings(self.settings)
        self.quota_allowance = quota_allowance.QuotaAllowance(
            now=now, lease_s=self.contact_s * quota_allowance.LEASE_CONTACTS
        )
        self.rollouts = version_routing.VersionRouter(
            now=now, chance=random.random, running=self._running_other_versions
        )
        self.table = replica_table.ReplicaTable(loop=self.loop, settings=self.settings, share=self.quota.rate_share)
        self.adapters = adapter_counts.AdapterCounter(
            now=now,
            window_s=self.contact_s * ADAPTER_WINDOW_CONTACTS,
            trust_s=self.contact_s * ADAPTER_TRUST_CONTACTS,
        )
        feedback = replica_feedback.ReplicaFeedback(now=now, table=self.table, contact_s=self.contact_s)
        self.note_attempt_failure = feedback.note_attempt_failure
        self.note_wrong_replica = feedback.note_wrong_replica
        self.note_replica_full = feedback.note_replica_full

    def _make_connections(self) -> None:
        """Creates the connections to core nodes and the periodic reports sent on them."""
        self.batches = custody_trails.TrailBatches(max_trails=MAX_TRAILS_PER_BATCH)
        self._connections = core_connections.CoreConnections(
            loop=self.loop,
            settings=lambda: self.settings,
            incarnation=self.incarnation,
            peer_timeout_s=self.peer_timeout_s,
            node_state=self._node_state,
            on_message=self._handle_core_message,
            on_end=self._handle_core_end,
        )
        self._renewals = share_renewals.ShareRenewals(
            now=self.loop.now,
            connections=self._connections,
            quota=self.quota,
            quota_allowance=self.quota_allowance,
            configuration_freshness=credential_freshness.ConfigurationFreshness(now=self.loop.now),
        )
        self._rollout_reports = core_reports.RolloutReports(
            connections=self._connections,
            rollouts=self.rollouts,
            singleton_roles=lambda: self._installer.singleton_roles,
        )
        self._usage_reports = self._make_usage_reports()
        self._custody_reports = core_reports.CustodyReports(
            connections=self._connections,
            batches=self.batches,
            settings=lambda: self.settings,
            incarnation=self.incarnation,
        )

    def _make_usage_reports(self) -> usage_counter.UsageReports | None:
        """Creates usage reports; returns None in deployments whose platform does not require them."""
        if settings_files.USAGE_DUTY not in self.settings.platform_duties:
            return None
        self._usage_counter = usage_counter.UsageCounter(wall_time=time.time, window_s=self.settings.usage_window_s)
        return usage_counter.UsageReports(
            connections=self._connections,
            counter=self._usage_counter,
            roles=lambda: self._installer.singleton_roles,
            wall_time=time.time,
        )

    def note_request_started(self, tenant: str) -> None:
        """Counts a request of a tenant that started at a replica, if usage is reported."""
        if self._usage_reports is not None:
            self._usage_counter.note_request_started(tenant)

    def _make_front_end(self) -> None:
        """Creates the listener for clients and the graceful shutdown."""
        self._gate = serving_gate.ServingGate()
        self._front_end = http_front_end.HttpFrontEnd(
            loop=self.loop,
            settings=self.settings,
            contact_s=self.contact_s,
            limits=lambda: self._installer.limits,
            is_serving=lambda: self._gate.is_open,
            is_draining=lambda: self._shutdown.is_draining,
            make_handler=lambda request: request_handler.RequestHandler(context=self, request=request),
            handle_batch_call=lambda request: self._batch is not None and self._batch.handle(request),
        )
        self.next_attempt_number = self._front_end.next_attempt_number
        self.handlers = self._front_end.requests
        self._shutdown = graceful_shutdown.ProxyShutdown(
            loop=self.loop,
            settings=lambda: self.settings,
            front_end=self._front_end,
            announce=lambda: self._connections.send_state(messages.NodeState(is_ready=False, is_draining=True)),
            send_last_reports=self._send_last_reports,
            has_unconfirmed_reports=lambda: self._batch is not None and self._batch.has_unconfirmed_reports,
        )
        self.drain_window = self._shutdown.drain_window

    def _make_load_balancing(self) -> None:
        """Creates the exchange of load reports with relays, and the choice of a replica."""
        self._relay_client = relay_client.RelayClient(
            loop=self.loop,
            settings=lambda: self.settings,
            incarnation=self.incarnation,
            contact_s=self.contact_s,
            peer_timeout_s=self.peer_timeout_s,
            table=self.table,
            adapters=self.adapters,
            replicas_in_use=self._replicas_in_use,
            nearest_core=self._connections.nearest_connection,
        )
        self._report_ticker = report_ticker.ReportTicker(
            loop=self.loop,
            on_tick=self._on_report_tick,
            interval_s=self._relay_client.report_interval_s,
            idle_interval_s=self.peer_timeout_s / HEARTBEATS_PER_PEER_TIMEOUT,
            is_idle=lambda: self._relay_client.is_idle and not self._sessions.subscriber.is_behind,
        )
        self._relay_client.source.on_change = self._report_ticker.wake
        self.report_attempt = self._relay_client.source.record_attempt
        self.report_prefill = self._relay_client.source.record_prefill
        self.chooser = replica_chooser.ReplicaChooser(
            table=self.table,
            settings=self.settings,
            regions=self._relay_client.regions,
            quota=self.quota,
            now=self.loop.now,
            counted=self._relay_client.source.counted,
        )

    def _make_control_client(self) -> None:
        """Creates the objects that fetch and install the values distributed by core nodes."""
        residency = residency_history.ResidencyHistory(
            now=self.loop.now, applies_for_s=lambda: self.settings.bound_s(name="applyMs")
        )
        self.permitted = residency.permitted
        self._installer = configuration_installer.ConfigurationInstaller(
            table=self.table,
            rollouts=self.rollouts,
            quota_allowance=self.quota_allowance,
            residency=residency,
            on_core_set=self._connections.install_members,
            on_singleton_roles=self._update_roles,
        )
        self._sessions = core_sessions.CoreSessions(
            loop=self.loop,
            contact_s=self.contact_s,
            connections=self._connections,
            gate=self._gate,
            installer=self._installer,
            renewals=self._renewals,
            rollout_reports=self._rollout_reports,
            find_cache_owners=functools.partial(
                core_sessions.find_cache_owners, table=self.table, regions=self._relay_client.regions
            ),
            is_draining=lambda: self._shutdown.is_draining,
            on_endpoints_changed=self._relay_client.sync_relay,
        )

    def _make_batch(self) -> None:
        """Creates the batch tier, in deployments that have stores."""
        self._batch: batch_tier.BatchTier | None = None
        if self.settings.deployment == settings_files.BATCH_DEPLOYMENT:
            # Imported only here, to keep the start of other deployments fast.
            from ploverward.data_plane.batch import batch_tier

            self._batch = batch_tier.BatchTier(
                node=self,
                peer_timeout_s=self.peer_timeout_s,
                proxy_count=self.quota_allowance.proxy_count,
                is_draining=lambda: self._shutdown.is_draining,
            )

    def _update_roles(self, roles: Mapping[str, tuple[int, str, str]]) -> None:
        self._relay_client.update_roles(roles)
        if self._batch is not None:
            self._batch.stores.update_roles(roles)

    @property
    def settings(self) -> settings_files.Settings:
        """The current settings, reloaded at SIGHUP and when the file changes."""
        return self._reloadable.current

    @property
    def is_serving(self) -> bool:
        """Whether requests are served; False until the installed configuration is known to be recent enough."""
        return self._gate.is_open

    @property
    def routes(self) -> route_table.Routes:
        """The routes of the current configuration."""
        return self._installer.routes

    def configuration_age_s(self) -> float:
        """Returns the seconds since the current configuration was last known to be the newest acknowledged one."""
        return self._renewals.configuration_age_s(self._sessions.subscriber)

    def run(self) -> int:
        """Serves until the graceful shutdown after SIGTERM is complete. Returns the exit status of the process."""
        self._front_end.start()
        self._connections.connect()
        self._report_ticker.start()
        self.loop.every(interval_s=self.peer_timeout_s / HEARTBEATS_PER_PEER_TIMEOUT, callback=self._on_heartbeat_tick)
        if self._batch is not None:
            self._batch.start()
        # A signal may arrive between any two instructions, so its handler only schedules a callback on the loop.
        signal.signal(signal.SIGTERM, lambda *_: self.loop.call_soon_threadsafe(callback=self._shutdown.begin))
        signal.signal(signal.SIGHUP, lambda *_: self.loop.call_soon_threadsafe(callback=self._reload_settings))
        self.loop.run()
        return 0

    def _on_report_tick(self) -> None:
        self._relay_client.tick()
        self._sessions.subscriber.tick()

    def _on_heartbeat_tick(self) -> None:
        if self._heartbeats % self.rollouts.report_interval == 0:
            self._rollout_reports.send()
        if self._usage_reports is not None and self._heartbeats % HEARTBEATS_PER_USAGE_REPORT == 0:
            self._usage_reports.send()
        self._renewals.renew()  # also serves as the heartbeat to core nodes
        self._relay_client.send_heartbeats()
        if self._batch is not None:
            self._batch.stores.send_heartbeats()
        self.table.sweep()
        self.table.check_suspected_replicas()
        self._heartbeats += 1
        if self._heartbeats % HEARTBEATS_PER_SLOW_TASKS == 0:
            self._custody_reports.send()
            self._connection_watch.check()
            self._relay_client.send_adapter_counts()
            if self._reloadable.reload_if_changed():
                self._connections.connect()
        self._sessions.check_serving()

    def _reload_settings(self) -> None:
        self._reloadable.reload()
        self._connections.connect()

    def _send_last_reports(self) -> None:
        self._custody_reports.send(is_last=True)
        if self._usage_reports is not None:
            self._usage_reports.send()
        self._relay_client.send_adapter_counts()

    def _node_state(self) -> messages.NodeState:
        is_draining = self._shutdown.is_draining
        return messages.NodeState(is_ready=self.is_serving and not is_draining, is_draining=is_draining)

    def _handle_core_message(self, host: str, connection: peer_connection.PeerConnection, message: tuple) -> None:
        self._sessions.handle_message(host, connection, message)

    def _handle_core_end(self, host: str, connection: peer_connection.PeerConnection) -> None:
        self._renewals.handle_end(host)
        self._sessions.handle_end(connection)

    def _replicas_in_use(self) -> list[replica_table.Replica]:
        """Returns the replicas with attempts of this proxy in progress, including those no longer listed."""
        attempts = (handler.attempt for handler in self.handlers if handler.attempt is not None)
        return list({attempt.replica.id: attempt.replica for attempt in attempts}.values())

    def _running_other_versions(self, service: str, target: str) -> int:
        """Returns the number of attempts in progress at replicas of a service with another version than the target."""
        replicas = (handler.attempt.replica for handler in self.handlers if handler.attempt is not None)
        return sum(replica.service == service and replica.edition != target for replica in replicas)
