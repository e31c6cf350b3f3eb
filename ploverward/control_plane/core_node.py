"""Assembles a core node from its components (design 1, 4, 5, 9; docs/control.md).

`CoreNode` holds no protocol state of its own. Its constructor creates each component with its dependencies. Its other
methods call the components in an order that matters: at the start, at each heartbeat interval, when a peer joins, and
when a register value was chosen. Some components depend on each other: consensus sends over sessions, and sessions
connect to the core set that consensus agreed on. One of the two then receives a method of this class, which looks up
the other component when it is called.
"""

import logging
from collections.abc import Callable

from ploverward.common import reloadable_settings
from ploverward.common import settings as node_settings
from ploverward.common.identifiers import Version
from ploverward.control_plane import core_timing
from ploverward.control_plane import installed_state
from ploverward.control_plane import node_runtime
from ploverward.control_plane import node_status
from ploverward.control_plane.audit import custody_service
from ploverward.control_plane.cluster import consensus_channel
from ploverward.control_plane.cluster import coordinator
from ploverward.control_plane.cluster import core_liveness
from ploverward.control_plane.cluster import core_membership
from ploverward.control_plane.cluster import core_set_reconciler
from ploverward.control_plane.cluster import core_set_status
from ploverward.control_plane.cluster import endpoint_list_publisher
from ploverward.control_plane.cluster import heartbeats
from ploverward.control_plane.cluster import majority_lease
from ploverward.control_plane.cluster import message_router
from ploverward.control_plane.cluster import node_shutdown
from ploverward.control_plane.cluster import owner_witnesses
from ploverward.control_plane.cluster import peer_sessions
from ploverward.control_plane.cluster import role_reconciler
from ploverward.control_plane.cluster import rollout_lease_granter
from ploverward.control_plane.cluster import share_lease_granter
from ploverward.control_plane.cluster import singleton_role_table
from ploverward.control_plane.cluster import store_directory
from ploverward.control_plane.cluster import topic_exchange
from ploverward.control_plane.cluster import voting_set
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import consensus_node
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.distribution import publisher
from ploverward.control_plane.operator_api import dependencies
from ploverward.control_plane.operator_api import server
from ploverward.control_plane.quotas import quota_meter
from ploverward.control_plane.quotas import token_bucket
from ploverward.control_plane.rollouts import manager
from ploverward.control_plane.tallies import tally_service
from ploverward.control_plane.usage import usage_reporter
from ploverward.transport import interfaces
from ploverward.transport import messages

_log = logging.getLogger(__name__)

# Epoch of the topics that carry registers. It is constant: a register's revisions rise without a coordinator.
REGISTER_EPOCH = 0
DISK_SHARE = 1 / 16  # share of the disk that the registers' file may use; a longer file is rewritten
MIN_DISK_MB = 8.0  # disk size from which limits are computed if the settings give less
BYTES_PER_MB = 1024 * 1024
INTERVALS_PER_SETTINGS_CHECK = 4  # heartbeat intervals between two checks of the settings file


class CoreNode:
    """One core node of a running system.

    Args:
        settings: The settings with which the process was started.
        runtime: Access to the machine (loop, connections, disk, clock, randomness); the real one by default.

    Attributes:
        own: Address of this node.
        incarnation: Identifies this start of the process.
        publisher: Holds the newest version of each topic.
        consensus: Acceptor, proposer and storage of the registers.
        membership: The core set as this node knows it.
        tallies: Counters that work without a majority.
        custody: Stores the trails of requests for the audit.
        role_table: The owner of each singleton role.
        operator_api: The HTTP interface for operators and clients.
    """

    def __init__(self, *, settings: node_settings.Settings, runtime: node_runtime.NodeRuntime | None = None) -> None:
        self.runtime = runtime if runtime is not None else node_runtime.NodeRuntime()
        self.settings = reloadable_settings.ReloadableSettings(
            initial=settings, load=self.runtime.load_settings, file_watch=self.runtime.file_watch()
        )
        self.own = settings.ip
        self.incarnation = self.runtime.unique_id()
        self.loop = self.runtime.loop(on_error=lambda error: _log.error("step_failed", exc_info=error))
        self.started_at = self.loop.now()
        self.timing = core_timing.CoreTiming.from_settings(settings)
        self.status = node_status.NodeStatus()
        self.state = installed_state.InstalledState()
        self.publisher = publisher.Publisher()
        self.wanted_voters = 2 * settings.tolerated_machines + 1
        self._heartbeat_interval_count = 0
        self._make_cluster(settings)
        self._make_coordinator(settings)
        self._make_lease_granters(settings)
        self._make_services(settings)
        self._add_handlers()

    def _make_cluster(self, settings: node_settings.Settings) -> None:
        """Creates sessions, consensus, and the components that track the core set."""
        self.router = message_router.MessageRouter()
        self.sessions = peer_sessions.PeerSessions(
            runtime=self.runtime,
            loop=self.loop,
            settings=self.settings,
            status=self.status,
            incarnation=self.incarnation,
            peer_timeout_s=self.timing.peer_timeout_s,
            members=self._members,
            on_message=self.router.handle,
            on_joined=self._on_peer_joined,
            on_dialed=self._on_core_dialed,
            on_ended=self._on_connection_ended,
        )
        disk_bytes = max(settings.disk_mb, MIN_DISK_MB) * BYTES_PER_MB
        self.consensus = consensus_node.ConsensusNode(
            loop=self.loop,
            own=self.own,
            store=acceptor_storage.AcceptorStorage(
                disk=self.runtime.disk(folder=settings.data_dir), limit_bytes=int(disk_bytes * DISK_SHARE)
            ),
            seeds=tuple(host for host, _port in settings.seeds),
            is_first_start=settings.first_start,
            chance=self.runtime.chance,
            unique_id=self.runtime.unique_id,
            receipt_s=self.timing.receipt_s,
            contact_s=self.timing.contact_s,
            send=self.sessions.send_to_core,
            broadcast_to_cores=self.sessions.broadcast_to_cores,
            members=self._members,
            publish=self._publish_chosen,
            on_value=self._install_chosen,
            version=self._chosen_version,
            on_founded=self._on_core_set_founded,
        )
        self.lease = majority_lease.MajorityLease(own=self.own, now=self.loop.now, lease_s=self.timing.lease_s)
        self.membership = core_membership.CoreMembership(
            now=self.loop.now, consensus=self.consensus, publisher=self.publisher, lease=self.lease
        )
        self.tallies = tally_service.TallyService(
            own=self.own,
            incarnation=self.incarnation,
            loop=self.loop,
            disk=self.runtime.disk(folder=settings.data_dir),
            sessions=self.sessions,
            members=self._members,
            limits=tally_service.TallyLimits.from_settings(settings, peer_timeout_s=self.timing.peer_timeout_s),
        )
        self.custody = custody_service.CustodyService(
            loop=self.loop,
            disk=self.runtime.disk(folder=settings.data_dir),
            wall_time=self.runtime.wall_time,
            limits=custody_service.CustodyLimits.from_settings(settings, contact_s=self.timing.contact_s),
        )
        self.heartbeats = heartbeats.HeartbeatExchange(
            sessions=self.sessions, membership=self.membership, lease=self.lease, consensus=self.consensus
        )
        self.liveness = core_liveness.CoreLiveness(
            own=self.own,
            now=self.loop.now,
            lease=self.lease,
            is_live=self.sessions.is_core_live,
            peer_timeout_s=self.timing.peer_timeout_s,
        )

    def _make_coordinator(self, settings: node_settings.Settings) -> None:
        """Creates the components that act while this node is the cluster coordinator."""
        self.list_poller = self.runtime.platform_poller(
            loop=self.loop,
            address=settings.cloud_address,
            poll_interval_s=self.timing.platform_poll_interval_s,
            timeout_s=self.timing.platform_timeout_s,
            on_list=self._on_endpoint_list,
            zones=settings.zones,
        )
        self.role_table = singleton_role_table.SingletonRoleTable(change=self.consensus.proposer.change)
        self.coordinator = coordinator.ClusterCoordinator(
            own=self.own,
            incarnation=self.incarnation,
            now=self.loop.now,
            role_table=self.role_table,
            publisher=self.publisher,
            list_poller=self.list_poller,
            takeover_after_s=self.timing.takeover_after_s,
        )
        self.endpoint_lists = endpoint_list_publisher.EndpointListPublisher(
            now=self.loop.now,
            coordinator=self.coordinator,
            publisher=self.publisher,
            list_poller=self.list_poller,
            stale_after_s=self.timing.contact_s,
        )
        self.rollout_manager = manager.RolloutManager(
            settings=settings,
            now=self.loop.now,
            change=self.consensus.proposer.change,
            listed=self.endpoint_lists.rows,
            zones=lambda: self.settings.current.zones,
            evacuated_zones=lambda: self.state.evacuated_zones,
            proxies=self._proxy_origins,
            contact_s=self.timing.contact_s,
            receipt_s=self.timing.receipt_s,
        )
        self.core_set_changer = voting_set.CoreSetChanger(
            change=self.consensus.proposer.change, known_set=self.consensus.proposer.members
        )
        self.core_set = core_set_reconciler.CoreSetReconciler(
            now=self.loop.now,
            sessions=self.sessions,
            membership=self.membership,
            lease=self.lease,
            liveness=self.liveness,
            changer=self.core_set_changer,
            wanted_voters=self.wanted_voters,
            peer_timeout_s=self.timing.peer_timeout_s,
        )
        self.witnesses = owner_witnesses.OwnerWitnesses(
            own=self.own,
            now=self.loop.now,
            sessions=self.sessions,
            reply_ttl_s=2 * self.timing.heartbeat_interval_s,
            reply_timeout_s=self.timing.peer_timeout_s,
        )
        self.stores = store_directory.StoreDirectory(
            now=self.loop.now,
            sessions=self.sessions,
            roles=lambda: self.role_table.table,
            on_change=lambda: self.loop.call_soon_threadsafe(callback=self.roles.reconcile),
        )
        self.usage = self._make_usage(settings)
        self.roles = role_reconciler.RoleReconciler(
            status=self.status,
            sessions=self.sessions,
            membership=self.membership,
            liveness=self.liveness,
            consensus=self.consensus,
            coordinator=self.coordinator,
            witnesses=self.witnesses,
            rollout_manager=self.rollout_manager,
            core_set=self.core_set,
            stores=self.stores,
            usage=self.usage,
            now=self.loop.now,
            contact_s=self.timing.contact_s,
            heartbeat_interval_s=self.timing.heartbeat_interval_s,
            copies=settings.tolerated_machines + 1,
        )

    def _make_usage(self, settings: node_settings.Settings) -> usage_reporter.UsageReporter | None:
        """Creates the usage reporter in deployments whose platform requires the usage duty; otherwise returns None."""
        if node_settings.USAGE_DUTY not in settings.platform_duties:
            return None
        return usage_reporter.UsageReporter(
            now=self.loop.now,
            wall_time=self.runtime.wall_time,
            ownership=self._coordinator_ownership,
            incarnations=lambda: [proxy.incarnation for proxy in self.sessions.proxies(serving_only=False)],
            roles=lambda: self.role_table.table,
            change=self.consensus.proposer.change,
            post=self.runtime.platform_calls(loop=self.loop, address=settings.cloud_address),
            timing=usage_reporter.Timing(
                window_s=settings.usage_window_s,
                report_due_s=settings.usage_late_s,
                takeover_pause_s=self.timing.lease_s + usage_reporter.CALL_TIMEOUT_S,
            ),
        )

    def _coordinator_ownership(self) -> usage_reporter.Ownership | None:
        """Returns the right to make duty calls, which the coordinator has while it holds the majority lease."""
        since = self.roles.acting_since
        if since is None or not self.coordinator.is_owner or not self.membership.has_majority_lease():
            return None
        return usage_reporter.Ownership(self.settings.current.node, self.coordinator.epoch, since)

    def _handle_usage(self, connection: interfaces.Connection, message: messages.UsageCounts) -> None:
        proxy = self.sessions.proxy_of(connection)
        if proxy is not None and self.usage is not None:
            self.usage.table.record(proxy.incarnation, message)

    def _make_lease_granters(self, settings: node_settings.Settings) -> None:
        """Creates the components that grant leases to proxies."""
        self.owned_shares = share_lease_granter.OwnedShares(own=self.own, now=self.loop.now, timing=self.timing)
        self.meter = quota_meter.QuotaMeter(
            now=self.loop.now,
            tolerance=token_bucket.QuotaTolerance(
                window_s=settings.bound(name="quotaWindowS", default=5),
                excess=settings.bound(name="quotaExcess"),
                slack=settings.bound(name="quotaSlack"),
            ),
            owned_share=self.owned_shares.rate.value,
        )
        self.share_granter = share_lease_granter.ShareLeaseGranter(
            now=self.loop.now,
            timing=self.timing,
            started_at=self.started_at,
            owned=self.owned_shares,
            membership=self.membership,
            sessions=self.sessions,
            meter=self.meter,
            has_tenants=lambda: self.state.has_tenants,
        )
        self.rollout_granter = rollout_lease_granter.RolloutLeaseGranter(
            sessions=self.sessions, membership=self.membership, rollout_manager=self.rollout_manager
        )

    def _make_services(self, settings: node_settings.Settings) -> None:
        """Creates the operator API, the topic exchange with other nodes, and the shutdown."""
        self.core_set_status = core_set_status.CoreSetStatus(
            own=self.own,
            node_name=lambda: self.settings.current.node,
            sessions=self.sessions,
            membership=self.membership,
            lease=self.lease,
            consensus=self.consensus,
            reconciler=self.core_set,
            changer=self.core_set_changer,
            coordinator_address=lambda: self.coordinator.address,
            wanted_voters=self.wanted_voters,
            reply_span_s=self.timing.lease_s,
        )
        self.operator_api = server.OperatorApi(
            loop=self.loop,
            make_http_server=self.runtime.http_server,
            registers=dependencies.Registers(change=self.consensus.proposer.change, read=self.consensus.proposer.read),
            publisher=self.publisher,
            meter=self.meter,
            tallies=self.tallies,
            custody=self.custody,
            node=dependencies.NodeState(
                own=self.own,
                settings=lambda: self.settings.current,
                members=self.membership.members,
                is_core_live=self.sessions.is_core_live,
                has_majority_contact=self.membership.has_majority_lease,
                is_voting=self._is_voting,
                proxies=self.sessions.proxies,
                configuration=lambda: self.state.configuration,
                singleton_roles=lambda: self.role_table.table,
                core_set=self.core_set_status.report,
            ),
            timing=dependencies.Timing(
                ttl_s=self.timing.ttl_s, contact_s=self.timing.contact_s, receipt_s=self.timing.receipt_s
            ),
            stores=self.stores if settings.deployment == node_settings.BATCH_DEPLOYMENT else None,
        )
        self.topics = topic_exchange.TopicExchange(
            now=self.loop.now,
            fetch_timeout_s=self.timing.fetch_timeout_s,
            publisher=self.publisher,
            consensus=self.consensus,
            coordinator=self.coordinator,
            endpoint_lists=self.endpoint_lists,
            check_applied=self.operator_api.check_applied,
        )
        self.shutdown = node_shutdown.NodeShutdown(
            own=self.own,
            loop=self.loop,
            timing=self.timing,
            settings=self.settings,
            status=self.status,
            sessions=self.sessions,
            membership=self.membership,
            consensus=self.consensus,
            coordinator=self.coordinator,
            core_set=self.core_set,
            wanted_voters=self.wanted_voters,
            stop_serving=self._stop_serving,
            reconcile_roles=self.roles.reconcile,
            has_handed_over=self.tallies.has_handed_over,
            end=self._end,
        )

    def _add_handlers(self) -> None:
        self.router.add(
            {
                messages.Handshake: self.sessions.handle_handshake,
                messages.NodeState: self.sessions.handle_state,
                messages.Heartbeat: self.heartbeats.handle_heartbeat,
                messages.HeartbeatReply: self.heartbeats.handle_reply,
                messages.RenewShares: self.share_granter.handle_renewal,
                messages.RolloutEvidence: self.rollout_granter.handle_evidence,
                messages.UsageCounts: self._handle_usage,
            }
        )
        self.router.add(self.topics.handlers())
        self.router.add(self.tallies.handlers())
        self.router.add(self.witnesses.handlers())
        self.router.add(self.stores.handlers())
        self.router.add(
            {
                messages.CustodyTrails: lambda _connection, message: self.custody.record(message),
                messages.CacheOwners: lambda _connection, message: self.operator_api.handle_cache_owners(message),
                messages.AdapterCounts: lambda _connection, message: self.operator_api.handle_adapter_counts(message),
            }
        )
        self.router.add(consensus_channel.ConsensusChannel(sessions=self.sessions, consensus=self.consensus).handlers())
        self._installers: dict[str, Callable[[dict | None, tuple[str, ...]], None]] = {
            register_names.SINGLETON_ROLES: self._install_roles,
            register_names.CONFIGURATION: self._install_configuration,
            register_names.EVACUATIONS: lambda payload, _members: self.state.install_evacuations(payload),
            register_names.ROLLOUTS: lambda payload, _members: self.rollout_manager.install(payload),
            register_names.ARCHIVE: lambda payload, _members: self.operator_api.learn_archive(payload),
            register_names.CORE_SET: self._install_core_set,
        }

    def start(self) -> None:
        """Restores the state on disk, connects to the other core nodes, and starts to listen and to poll."""
        self._resume_shares()
        self.sessions.connect_to_cores()
        self.tallies.start()
        self.custody.start()
        self.operator_api.listen()
        self.list_poller.start()
        self.loop.every(interval_s=self.timing.heartbeat_interval_s, callback=self._on_heartbeat_interval)
        self.runtime.on_signals(loop=self.loop, on_terminate=self.shutdown.start, on_reload=self.settings.reload)
        _log.debug("core_started", extra={"own": self.own, "first": self.settings.current.first_start})

    def run(self) -> int:
        """Runs until the node is shut down and returns the exit code of the process."""
        self.start()
        self.loop.run()
        return 0

    def _resume_shares(self) -> None:
        """Resumes the shares that the previous incarnation owned, unless a change of the core set was in progress."""
        state = self.consensus.acceptor.get(register_names.CORE_SET)
        if not state.value or ballots.is_moving(state.value):
            return
        members, _payload = ballots.unpack(state.value)
        self.owned_shares.resume(core_membership.AgreedCoreSet(members=members, version=state.revision))

    def _on_core_set_founded(self, first_set: tuple[str, ...]) -> None:
        self.owned_shares.begin_first_start(first_set)
        self.share_granter.begin_first_start()

    def _stop_serving(self) -> None:
        self.operator_api.shut_down()
        self.custody.flush()

    def _end(self) -> None:
        self.list_poller.stop()
        self.loop.stop()

    def _on_heartbeat_interval(self) -> None:
        for peer in self.sessions.peers():
            peer.connection.keep_alive()
            if peer.role is peer_sessions.NodeRole.PROXY and not peer.is_ready:
                self.topics.send_minimum_versions(peer.connection)
        self.heartbeats.send()
        self._heartbeat_interval_count += 1
        if self._heartbeat_interval_count % INTERVALS_PER_SETTINGS_CHECK == 0:
            self.settings.reload_if_changed()
        self.sessions.connect_to_cores()
        self.topics.tick()
        self.consensus.run_anti_entropy()
        self.tallies.tick()
        self.roles.reconcile()

    def _on_peer_joined(self, peer: peer_sessions.Peer) -> None:
        """Exchanges the first messages with a peer that identified itself.

        If the peer is a core node, registers whose value is unknown are read: the peer may know values that were chosen
        while this node was disconnected.
        """
        if peer.role is peer_sessions.NodeRole.CORE and self._is_voting():
            self.consensus.read_unknown_registers()
        if peer.role is not peer_sessions.NodeRole.UNKNOWN:
            self.topics.handle_joined(peer)
        if peer.role is peer_sessions.NodeRole.PROXY:
            self.sessions.send_handshake(peer.connection)
            self.topics.send_minimum_versions(peer.connection)

    def _on_core_dialed(self) -> None:
        self.tallies.handle_dialed()

    def _on_connection_ended(self, connection: interfaces.Connection, peer: peer_sessions.Peer | None) -> None:
        self.topics.handle_ended(connection, peer)
        self.stores.handle_ended(connection)

    def _on_endpoint_list(self, rows: list[dict], at: float) -> None:
        self.endpoint_lists.handle_list(rows, at)

    def _members(self) -> tuple[str, ...]:
        return self.membership.members()

    def _chosen_version(self, register: str) -> int:
        return self.membership.chosen_version(register)

    def _publish_chosen(self, name: str, revision: int, value: bytes) -> bool:
        return self.publisher.publish(topic=name, version=Version(REGISTER_EPOCH, revision), data=value)

    def _install_chosen(self, name: str, payload: dict | None, members: tuple[str, ...]) -> None:
        """Passes a register's chosen value to the component that acts on it."""
        self._installers[name](payload, members)

    def _install_roles(self, payload: dict | None, _members: tuple[str, ...]) -> None:
        self.role_table.install(payload=payload)
        self.loop.call_soon_threadsafe(callback=self.roles.reconcile)

    def _install_configuration(self, payload: dict | None, _members: tuple[str, ...]) -> None:
        self.state.install_configuration(payload)
        self.meter.install(self.state.configuration)

    def _install_core_set(self, _payload: object, members: tuple[str, ...]) -> None:
        self.membership.install(members)
        self.sessions.connect_to_cores()

    def _proxy_origins(self) -> list:
        return [rollout_lease_granter.origin_of(proxy) for proxy in self.sessions.proxies(serving_only=False)]

    def _is_voting(self) -> bool:
        return self.consensus.acceptor.votes
