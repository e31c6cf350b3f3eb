"""Sessions of a proxy with the core nodes: dispatches and acknowledges their messages (docs/design.md 5).

A `Subscriber` fetches the values that core nodes distribute and a `ConfigurationInstaller` applies them. The proxy
acknowledges each version to all core nodes, so that each of them knows the versions installed here. The serving gate
is checked after each installed value; when it opens, the proxy announces that it is ready.
"""

import logging
from collections.abc import Callable
from collections.abc import Mapping

from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.distribution import subscriber as subscribers
from ploverward.data_plane.control_client import configuration_installer
from ploverward.data_plane.control_client import core_connections
from ploverward.data_plane.control_client import core_reports
from ploverward.data_plane.control_client import serving_gate
from ploverward.data_plane.control_client import share_renewals
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.relay import mirror
from ploverward.transport import event_loop
from ploverward.transport import messages
from ploverward.transport import peer_connection

_log = logging.getLogger(__name__)

FETCHES_PER_CONTACT = 12  # per contactMs: an unresponsive core node delays a fetch by a twelfth of it


class CoreSessions:
    """Handles the messages of all core nodes.

    Attributes:
        subscriber: Fetches distributed values and tracks the versions that are installed here.
    """

    def __init__(
        self,
        *,
        loop: event_loop.Loop,
        contact_s: float,
        connections: core_connections.CoreConnections,
        gate: serving_gate.ServingGate,
        installer: configuration_installer.ConfigurationInstaller,
        renewals: share_renewals.ShareRenewals,
        rollout_reports: core_reports.RolloutReports,
        find_cache_owners: Callable[[messages.FindCacheOwners], messages.CacheOwners],
        is_draining: Callable[[], bool],
        on_endpoints_changed: Callable[[], None],
    ) -> None:
        """Creates sessions; messages arrive once `connections` are connected.

        Args:
            loop: The node's event loop.
            contact_s: The bound `contactMs`, in seconds.
            connections: Connections to the core nodes.
            gate: Decides when this proxy may serve.
            installer: Applies distributed values.
            renewals: Handles the responses to share renewals.
            rollout_reports: Handles the responses to roll-out reports.
            find_cache_owners: Computes the response to a core node's query for cache owners.
            is_draining: Returns whether this proxy is shutting down.
            on_endpoints_changed: Called after services or replicas changed.
        """
        self._loop = loop
        self._connections = connections
        self._gate = gate
        self._installer = installer
        self._find_cache_owners = find_cache_owners
        self._is_draining = is_draining
        self._on_endpoints_changed = on_endpoints_changed
        self.subscriber = subscribers.Subscriber(
            now=loop.now,
            fetch_timeout_s=contact_s / FETCHES_PER_CONTACT,
            on_snapshot=self._install_snapshot,
            is_near=connections.is_near,
            ignored_topics=(register_names.ARCHIVE,),
            on_delta=self._install_delta,
            delta_topics=(endpoint_list.TOPIC,),
        )
        self._handlers: dict[type, Callable] = {
            messages.Handshake: connections.handle_handshake,
            messages.Announcement: self._handle_announcement,
            messages.Snapshot: self._handle_snapshot,
            messages.Deltas: self._handle_deltas,
            messages.MinimumVersions: self._handle_minimum_versions,
            messages.FindCacheOwners: self._handle_find_cache_owners,
            messages.ShareLease: renewals.handle_share_lease,
            messages.QuotaStatus: renewals.handle_quota_status,
            messages.RolloutLeases: rollout_reports.handle_leases,
        }

    def handle_message(self, host: str, connection: peer_connection.PeerConnection, message: tuple) -> None:
        """Handles a message from the core node at `host`; ignores types that are not meant for proxies."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(host, connection, message)

    def handle_end(self, connection: peer_connection.PeerConnection) -> None:
        """Removes a connection that ended."""
        self.subscriber.remove_connection(connection)

    def check_serving(self) -> None:
        """Opens the serving gate if the installed versions suffice, and announces that the proxy is ready."""
        if self._gate.open_if_ready(members=self._connections.members, versions=self.subscriber.versions):
            _log.debug("serving_started", extra={"edition": self._installer.routes.edition})
            self._connections.send_state(messages.NodeState(is_ready=True, is_draining=self._is_draining()))

    def _handle_announcement(
        self, _host: str, connection: peer_connection.PeerConnection, message: messages.Announcement
    ) -> None:
        self.subscriber.handle_announcement(connection, message)

    def _handle_snapshot(
        self, _host: str, connection: peer_connection.PeerConnection, message: messages.Snapshot
    ) -> None:
        if self.subscriber.handle_snapshot(connection, message):
            self._acknowledge(message.topic)

    def _handle_deltas(self, _host: str, connection: peer_connection.PeerConnection, message: messages.Deltas) -> None:
        if self.subscriber.handle_deltas(connection, message):
            self._acknowledge(message.topic)

    def _acknowledge(self, topic: str) -> None:
        if not self._gate.is_open:
            _log.debug("topic_received", extra={"topic": topic})
        installed = messages.TopicVersion(topic=topic, version=self.subscriber.versions[topic])
        self._connections.broadcast(messages.Acknowledgement(versions=(installed,)))

    def _handle_minimum_versions(
        self, host: str, _connection: peer_connection.PeerConnection, message: messages.MinimumVersions
    ) -> None:
        self._gate.handle_minimum_versions(host, message)
        self.check_serving()

    def _handle_find_cache_owners(
        self, _host: str, connection: peer_connection.PeerConnection, message: messages.FindCacheOwners
    ) -> None:
        connection.send(self._find_cache_owners(message))

    def _install_snapshot(self, snapshot: messages.Snapshot) -> None:
        self._installer.install(snapshot)
        # Deferred, since the subscriber counts the version as installed only once this method has returned.
        self._loop.call_soon_threadsafe(callback=self.check_serving)
        if snapshot.topic in (register_names.CONFIGURATION, endpoint_list.TOPIC):
            self._on_endpoints_changed()

    def _install_delta(self, _topic: str, delta: messages.Delta) -> None:
        self._installer.install_delta(delta)
        self._on_endpoints_changed()


def find_cache_owners(
    message: messages.FindCacheOwners, *, table: replica_table.ReplicaTable, regions: Mapping[str, mirror.RegionMirror]
) -> messages.CacheOwners:
    """Returns the replicas that have any of these parts cached, according to the mirrors of all regions' relays."""
    by_key = {replica.key: replica for replica in table.replicas.values()}
    hashes = [row.full_hash for row in message.hashes]
    found: set[bytes] = set()
    for region in regions.values():
        found |= region.find_cache_owners(service=message.service, model=message.model, hashes=hashes, keys=by_key)
    owners = sorted(messages.CacheOwner(replica=by_key[key].id, zone=by_key[key].zone) for key in found)
    return messages.CacheOwners(number=message.number, owners=tuple(owners))
