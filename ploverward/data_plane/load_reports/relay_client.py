"""Composition of a proxy's components for load reports and relays (docs/digest.md, docs/relay.md, docs/scale.md 3).

`RelayClient` owns the mirrors of all regions and the listener that other proxies connect to. `ReportSource`,
`ZoneDigest`, `RelayRole` and `AdapterReports` own the remaining state. Invariant: a connection that requests a
singleton role which this node does not own yet is kept until it does; if that never happens, the peer closes the
connection after its own timeout.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from ploverward.common import settings as settings_files
from ploverward.control_plane.cluster import singleton_roles
from ploverward.data_plane.adapter_cache import adapter_counts
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.load_reports import adapter_reports
from ploverward.data_plane.load_reports import relay_role
from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.load_reports import zone_digest
from ploverward.data_plane.load_reports.digest_connection import ConnectorFactory
from ploverward.data_plane.load_reports.digest_connection import RoleOwner
from ploverward.data_plane.relay import mirror
from ploverward.transport import event_loop
from ploverward.transport import messages
from ploverward.transport import peer_connection
from ploverward.transport import row_codec

LARGE_ZONE_INTERVAL_FACTOR = 2  # factor of the report interval in a zone with several digests
TICKS_PER_CONTACT = 80  # reports per contactMs in a zone with at most one digest

JoinMessage = messages.Subscribe | messages.JoinDigest | messages.JoinGateway


class RelayClient:
    """Reports one proxy's load, mirrors what relays publish, and serves other proxies under singleton roles.

    Args:
        loop: Event loop.
        settings: Returns the settings in force, which change when they are read again.
        incarnation: Incarnation of this proxy.
        contact_s: The setting contactMs, in seconds.
        peer_timeout_s: A connection on which nothing arrives for this time is closed.
        table: Replicas and services.
        adapters: Counts the use of adapters at this proxy.
        replicas_in_use: Returns the replicas with attempts of this proxy in flight, including unlisted ones.
        nearest_core: Returns the connection to a core node, preferably of this region, or None.

    Attributes:
        regions: Mirrors of the regions' relays, by region.
    """

    def __init__(
        self,
        *,
        loop: event_loop.Loop,
        settings: Callable[[], settings_files.Settings],
        incarnation: str,
        contact_s: float,
        peer_timeout_s: float,
        table: replica_table.ReplicaTable,
        adapters: adapter_counts.AdapterCounter,
        replicas_in_use: Callable[[], Iterable[replica_table.Replica]],
        nearest_core: Callable[[], peer_connection.PeerConnection | None],
    ) -> None:
        own = settings()
        names = tuple(sorted(set(own.zones.values()) | {own.region}))
        self._settings = settings
        self._contact_s = contact_s
        self._table = table
        self._near_core = nearest_core
        self._region_names = names
        self._roles: Mapping[str, tuple[int, str, str]] = {}
        self.regions = {name: mirror.RegionMirror(now=loop.now, trust_s=contact_s) for name in names}
        self.source = report_source.ReportSource(now=loop.now, regions=names, suspicion_s=contact_s / 4)
        connector_factory = ConnectorFactory(loop=loop, port=own.proxy_port, peer_timeout_s=peer_timeout_s)
        self.relay_role = relay_role.RelayRole(
            settings=settings,
            incarnation=incarnation,
            region_names=names,
            connector_factory=connector_factory,
            now=loop.now,
            contact_s=contact_s,
            table=table,
        )
        self.zone_digest = zone_digest.ZoneDigest(
            loop=loop,
            settings=settings,
            incarnation=incarnation,
            region_names=names,
            mirrors=self.regions,
            source=self.source,
            connector_factory=connector_factory,
            peer_timeout_s=peer_timeout_s,
            table=table,
            replicas_in_use=replicas_in_use,
        )
        self._adapter_reports = adapter_reports.AdapterReports(
            counter=adapters, settings=settings, incarnation=incarnation
        )
        # Connections that are not admitted yet, because this node does not own the role that they request.
        self._waiting: dict[peer_connection.PeerConnection, JoinMessage] = {}
        self._handlers: dict[type, Callable] = {
            messages.Subscribe: self._handle_join,
            messages.JoinDigest: self._handle_join,
            messages.JoinGateway: self._handle_join,
            messages.Aggregates: self.relay_role.handle_aggregates,
            messages.LoadReport: self._handle_report,
            messages.AdapterCounts: self._handle_adapter_counts,
            messages.FollowReplicas: self._handle_follow_replicas,
        }
        self.listener = peer_connection.PeerListener(
            loop=loop,
            address=(own.ip, own.proxy_port),
            on_connection=lambda connection: None,
            on_message=self._handle_message,
            on_end=self._handle_end,
            peer_timeout_s=peer_timeout_s,
        )

    # Singleton roles.
    def update_roles(self, roles: Mapping[str, tuple[int, str, str]]) -> None:
        """Applies changed owners of singleton roles, and admits the connections that waited for them.

        Args:
            roles: Owners as (epoch, address, incarnation), by name of the role.
        """
        self._roles = roles
        relay = roles.get(singleton_roles.relay_name(region=self._settings().region))
        if relay is not None:
            epoch, address, incarnation = relay
            self.relay_role.update(epoch=epoch, address=address, incarnation=incarnation)
        relays = self._relays()
        self.relay_role.follow_relays(relays)
        self.zone_digest.update_roles(roles, relays=relays)
        for connection, message in list(self._waiting.items()):
            self._admit(connection, message)

    def _relays(self) -> dict[str, RoleOwner]:
        """Returns the owners of relays by region; regions whose relay has no owner are omitted."""
        found = {}
        for region in self._region_names:
            epoch, address, _incarnation = self._roles.get(singleton_roles.relay_name(region=region), (0, "", ""))
            if address:
                found[region] = RoleOwner(epoch=epoch, address=address)
        return found

    def sync_relay(self) -> None:
        """Gives the relay, if this node owns it, the present list of replicas and the configuration."""
        self.relay_role.sync()

    # Connections that other proxies opened: subscribers of the relay, members of the digest or of the gateway.
    def _handle_message(self, connection: peer_connection.PeerConnection, message: tuple) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(connection, message)

    def _handle_join(self, connection: peer_connection.PeerConnection, message: JoinMessage) -> None:
        self._waiting[connection] = message
        self._admit(connection, message)

    def _admit(self, connection: peer_connection.PeerConnection, message: JoinMessage) -> None:
        if isinstance(message, messages.JoinDigest):
            is_admitted = self.zone_digest.admit(connection, message)
        else:
            is_admitted = self.relay_role.admit(connection, message)
        if is_admitted:
            self._waiting.pop(connection, None)  # already removed if the admission closed the connection

    def _handle_report(self, connection: peer_connection.PeerConnection, message: messages.LoadReport) -> None:
        if self._is_member(connection):
            self.zone_digest.digest.handle_report(connection, message)
        else:
            self.relay_role.handle_report(connection, message)

    def _handle_adapter_counts(
        self, connection: peer_connection.PeerConnection, message: messages.AdapterCounts
    ) -> None:
        if self._is_member(connection):
            self._adapter_reports.collect(message)

    def _handle_follow_replicas(
        self, connection: peer_connection.PeerConnection, message: messages.FollowReplicas
    ) -> None:
        if self._is_member(connection):
            keys = None if message.follows_all else frozenset(row_codec.keys(data=message.key_rows))
            self.zone_digest.digest.follow(connection, keys=keys)

    def _is_member(self, connection: peer_connection.PeerConnection) -> bool:
        return connection in self.zone_digest.digest.fanout.members

    def _handle_end(self, connection: peer_connection.PeerConnection, _reason: str) -> None:
        self._waiting.pop(connection, None)
        self.zone_digest.digest.remove(connection)
        self.relay_role.remove(connection)

    # Periodic work.
    def report_interval_s(self) -> float:
        """Returns the seconds between two calls of `tick`, which are doubled in a zone with several digests."""
        second = singleton_roles.digest_name(zone=self._settings().zone, number=1)
        _epoch, address, _incarnation = self._roles.get(second, (0, "", ""))
        return self._contact_s / TICKS_PER_CONTACT * (LARGE_ZONE_INTERVAL_FACTOR if address else 1)

    @property
    def is_idle(self) -> bool:
        """True if the next tick has nothing to report and this proxy owns no role that forwards others' reports."""
        owns_role = bool(self.zone_digest.role) or self.relay_role.host is not None
        return not owns_role and self.relay_role.gateway is None and not self.source.has_changes

    def tick(self) -> None:
        """Reports this proxy's changes and publishes those of its roles."""
        self.zone_digest.tick()
        self.relay_role.tick()

    def send_heartbeats(self) -> None:
        """Sends heartbeats to all connected nodes."""
        self._table.refresh_fleet_size()
        self.zone_digest.send_heartbeats()
        if self.relay_role.gateway is not None:
            self.relay_role.gateway.digest.send_heartbeats()
        self.zone_digest.send_membership_heartbeat()
        self.relay_role.send_heartbeats()

    def send_adapter_counts(self) -> None:
        """Sends counts of adapters to the joined digest, else to a core node; without a connection they are dropped."""
        message = self._adapter_reports.drain()
        if message is None:
            return
        connection = self.zone_digest.joined_connection if self.zone_digest.is_joined else self._near_core()
        if connection is not None:
            connection.send(message)
