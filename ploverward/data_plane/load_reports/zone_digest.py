"""Selection of the path of a proxy's reports: a digest that it owns or joins, or directly (docs/digest.md 4).

`ZoneDigest` owns this node's digest and its membership in another node's. A proxy that can reach no digest of its zone
reports directly: it is its own digest, with itself as the only member. Invariant: at any time the proxy's own load is
reported on one path only. While it waits for its zone's digest, after a start or a loss, it does not report.
"""

import dataclasses
import random
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from ploverward.common import settings as settings_files
from ploverward.control_plane.cluster import singleton_roles
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.load_reports import digest as digests
from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.load_reports.digest_connection import ConnectorFactory
from ploverward.data_plane.load_reports.digest_connection import DigestConnection
from ploverward.data_plane.load_reports.digest_connection import RoleOwner
from ploverward.data_plane.load_reports.digest_connection import install_publication
from ploverward.data_plane.relay import mirror
from ploverward.transport import event_loop
from ploverward.transport import frames
from ploverward.transport import messages
from ploverward.transport import peer_connection

# Fractions of the peer timeout: a proxy waits a random time in this range for its zone's digest, then reports directly.
DIGEST_WAIT_TIMEOUT_FRACTIONS = (0.25, 0.75)
DIGEST_WAIT_TIMER_FACTOR = 1.01  # above 1 so that the timer fires after the end of the wait


@dataclasses.dataclass(frozen=True, slots=True)
class _Membership:
    role: str  # the singleton role of the digest
    connection: DigestConnection


class ZoneDigest:
    """Owns this node's digest and its membership in another node's digest.

    Args:
        loop: Event loop, for its clock and timers.
        settings: Returns the settings in force.
        incarnation: Incarnation of this proxy.
        region_names: Names of all regions.
        mirrors: Mirrors by region, in which the relays' publications are installed.
        source: Makes this proxy's reports.
        connector_factory: Connects to digests and relays.
        peer_timeout_s: A connection on which nothing arrives for this time is closed.
        table: Determines the replicas whose loads this proxy needs.
        replicas_in_use: Returns the replicas with attempts of this proxy in flight.
    """

    def __init__(
        self,
        *,
        loop: event_loop.Loop,
        settings: Callable[[], settings_files.Settings],
        incarnation: str,
        region_names: tuple[str, ...],
        mirrors: Mapping[str, mirror.RegionMirror],
        source: report_source.ReportSource,
        connector_factory: ConnectorFactory,
        peer_timeout_s: float,
        table: replica_table.ReplicaTable,
        replicas_in_use: Callable[[], Iterable[replica_table.Replica]],
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._incarnation = incarnation
        self._region_names = region_names
        self._mirrors = mirrors
        self._source = source
        self._connector_factory = connector_factory
        self._peer_timeout_s = peer_timeout_s
        self._table = table
        self._replicas_in_use = replicas_in_use
        self._relays: Mapping[str, RoleOwner] = {}
        self.role = ""  # the digest's singleton role that this node owns; empty: none
        own = settings()
        self.digest = self._new_digest(digests.DigestIdentity(region=own.region, zone=own.zone))
        self.membership: _Membership | None = None
        self._followed_keys: frozenset[bytes] | None = None  # as last sent to the joined digest; None: all
        self._wait_for_digest_until_s = loop.now() + peer_timeout_s * random.uniform(*DIGEST_WAIT_TIMEOUT_FRACTIONS)
        loop.after(delay=peer_timeout_s * DIGEST_WAIT_TIMEOUT_FRACTIONS[1], callback=self._handle_digest_wait_timeout)

    @property
    def is_joined(self) -> bool:
        """True if this proxy is a member of another node's digest."""
        return self.membership is not None and self.membership.connection.is_joined

    @property
    def joined_connection(self) -> peer_connection.PeerConnection | None:
        """The connection to the digest that this proxy joined, None if it joined none."""
        return self.membership.connection.connection if self.membership is not None and self.is_joined else None

    def _new_digest(self, identity: digests.DigestIdentity) -> digests.Digest:
        return digests.Digest(
            identity=identity,
            connector_factory=self._connector_factory,
            regions=self._region_names,
            mirrors=self._mirrors,
            on_credit=self.on_credit,
            on_region_lost=lambda region: self._source.mark_lost(region=region),
        )

    # Ownership of the zone's digests.
    def update_roles(self, roles: Mapping[str, tuple[int, str, str]], *, relays: Mapping[str, RoleOwner]) -> None:
        """Applies changed owners of singleton roles: takes over, gives up or joins digests of the zone.

        Args:
            roles: Owners as (epoch, address, incarnation), by name of the role.
            relays: Known owners of the relays, by region.
        """
        self._relays = relays
        own = self._settings()
        assigned = {
            name: (epoch, owner, incarnation)
            for name, (epoch, owner, incarnation) in roles.items()
            if owner and singleton_roles.is_digest_of(name=name, zone=own.zone)
        }
        own_role = min(
            (
                name
                for name, (_epoch, owner, incarnation) in assigned.items()
                if (owner, incarnation) == (own.ip, self._incarnation)
            ),
            default="",
        )
        self._update_own_digest(own_role, assigned[own_role][0] if own_role else 0)
        other_roles = [name for name, (_epoch, owner, _incarnation) in assigned.items() if owner != own.ip]
        if own_role or not other_roles:
            self._update_membership("", None)
        else:
            name = singleton_roles.digest_for(names=other_roles, address=own.ip)
            epoch, address, _incarnation = assigned[name]
            self._update_membership(name, RoleOwner(epoch=epoch, address=address))
        self._connect_to_relays()

    def _update_own_digest(self, role: str, epoch: int) -> None:
        """Replaces the digest if its role or epoch changed; members have to join again with their complete loads."""
        if (role, epoch) == (self.role, self.digest.identity.epoch):
            return
        self.role = role
        former = self.digest
        former.stop()
        former.close_members(reason="this node no longer owns the digest under this epoch")
        own = self._settings()
        self.digest = self._new_digest(digests.DigestIdentity(region=own.region, zone=role or own.zone, epoch=epoch))

    def _update_membership(self, role: str, owner: RoleOwner | None) -> None:
        former = self.membership
        if (former.role, former.connection.owner) == (role, owner) if former is not None else owner is None:
            return
        if former is not None:
            former.connection.stop()
            self.membership = None
        if owner is None:
            return
        if not self.digest.has_relay_streams:
            self._start_digest_wait()
        connection = DigestConnection(
            connector_factory=self._connector_factory,
            owner=owner,
            join_message=messages.JoinDigest(owner.epoch, self._settings().ip),
            events=self,
        )
        self.membership = _Membership(role, connection)

    def _start_digest_wait(self) -> None:
        """Delays direct reports by a random time.

        Otherwise the many proxies that lose or find a digest at once would all connect to the relays.
        """
        delay = self._peer_timeout_s * random.uniform(*DIGEST_WAIT_TIMEOUT_FRACTIONS)
        self._wait_for_digest_until_s = self._loop.now() + delay
        self._loop.after(delay=delay * DIGEST_WAIT_TIMER_FACTOR, callback=self._handle_digest_wait_timeout)

    def _handle_digest_wait_timeout(self) -> None:
        if not self.is_joined:
            self._connect_to_relays()

    # As a member of another node's digest.
    def on_joined(self, connection: peer_connection.PeerConnection) -> None:
        """Reports to the zone's digest, which admitted this proxy, and no longer directly."""
        self.digest.stop()
        self.digest.remove_own_report()
        self._followed_keys = None
        connection.send(self._source.checkpoint(replicas=self._replicas_in_use()))
        self.send_followed_keys()

    def on_publication(self, region: str, connection: peer_connection.PeerConnection, frame: bytes) -> None:
        """Installs a frame of a region's relay that the digest forwarded."""
        if region in self._mirrors:
            install_publication(self._mirrors[region], frames.unpack(frame), connection)

    def on_credit(self, region: str, number: int) -> None:
        """Handles the credit that the region's published loads include this proxy's reports up to this number."""
        self._source.credit(region=region, number=number)

    def on_region_lost(self, region: str, _connection: peer_connection.PeerConnection) -> None:
        """Handles the loss of the digest's stream to a region's relay."""
        self._handle_region_loss(region)

    def on_left(self) -> None:
        """Handles the loss of the connection to the digest, which loses all regions."""
        for region in self._mirrors:
            self._handle_region_loss(region)
        self._start_digest_wait()

    def _handle_region_loss(self, region: str) -> None:
        if region in self._mirrors:
            self._mirrors[region].mark_broken()
        self._source.mark_lost(region=region)

    def send_followed_keys(self) -> None:
        """Sends the digest the keys of the replicas whose loads this proxy needs, if they changed.

        Until it receives some, the digest sends a new member the loads of all replicas.
        """
        keys = self._table.followed_keys()
        if not self.is_joined or keys == self._followed_keys:
            return
        self._followed_keys = keys
        connection = self.joined_connection
        if connection is not None:
            connection.send(messages.FollowReplicas(keys is None, b"".join(sorted(keys or ()))))

    # As a digest, of the zone under its singleton role or of this proxy alone.
    def _connect_to_relays(self) -> None:
        if self.is_joined:
            return
        is_owner = bool(self.role)
        is_first = not self.digest.has_relay_streams
        if not is_owner and is_first and self._loop.now() < self._wait_for_digest_until_s:
            return
        own = self._settings().region
        for region, owner in self._relays.items():
            if region == own or not is_owner:
                self.digest.follow_relay(region=region, owner=owner)
        if is_owner:
            others = [region for region in self._region_names if region != own]
            self.digest.follow_gateway(owner=self._relays.get(own), regions=others)
        if is_first and self.digest.has_relay_streams:
            self.digest.remove_own_report()
            self.digest.handle_own_report(self._source.checkpoint(replicas=self._replicas_in_use()))

    def admit(self, connection: peer_connection.PeerConnection, message: messages.JoinDigest) -> bool:
        """Admits the member if this node owns a digest under the epoch that the member names, or a newer one.

        Returns:
            Whether the member was admitted.
        """
        if not self.role or self.digest.identity.epoch < message.epoch:
            return False
        self.digest.admit(connection, address=message.address)
        return True

    # Periodic work.
    def tick(self) -> None:
        """Reports this proxy's changes and sends the digest's batches and cuts."""
        report = self._source.next_report()
        if report is not None:
            if not self.is_joined:
                self.digest.handle_own_report(report)
            elif (connection := self.joined_connection) is not None:
                connection.send(report)
        if not self.is_joined or self.digest.fanout.members:
            self.digest.tick()

    def send_heartbeats(self) -> None:
        """Sends heartbeats to members, relays and the gateway, and the followed replicas to the joined digest."""
        self.send_followed_keys()
        self.digest.send_heartbeats()

    def send_membership_heartbeat(self) -> None:
        """Sends a heartbeat to the digest that this proxy joined or is joining."""
        if self.membership is not None:
            digests.send_heartbeat(self.membership.connection.connection)
