"""How a proxy's reports reach the relays: by a digest it owns, by one it joins, or directly (docs/digest.md 4).

`ZoneDigest` owns this node's digest and its membership in another's. A proxy that can reach no digest of its zone is
its own digest, with itself as the only member. Invariant: at any time the proxy's own load is reported on one path
only. While it waits for its zone's digest, after a start or a loss, it does not report.
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

DIGEST_WAIT_TIMEOUT_FRACTIONS = (
    0.25,
    0.75,
)  # of the peer time-out: how long a proxy waits for its zone's digest before it reports directly
DIGEST_WAIT_TIMER_FACTOR = 1.01  # the timer fires after the time until which the proxy waits


@dataclasses.dataclass(frozen=True, slots=True)
class _Membership:
    role: str  # the singleton role of the digest
    connection: DigestConnection


class ZoneDigest:
    """This node's digest, and this node as a member of another's.

    Args:
        loop: for its clock and timers.
        settings: the settings in force.
        incarnation: of this proxy.
        region_names: of all regions.
        mirrors: by region; what relays publish is installed there.
        source: makes this proxy's reports.
        connector_factory: connects to digests and relays.
        peer_timeout_s: a connection on which nothing arrives for so long ends.
        table: determines which replicas' loads this proxy needs.
        replicas_in_use: gives the replicas with attempts of this proxy in flight.
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
        self.role = ""  # the singleton role that this node owns
        own = settings()
        self.digest = self._new_digest(digests.DigestIdentity(region=own.region, zone=own.zone))
        self.membership: _Membership | None = None
        self._followed_keys: frozenset[bytes] | None = None  # as the digest knows them; None: all
        self._wait_for_digest_until_s = loop.now() + peer_timeout_s * random.uniform(*DIGEST_WAIT_TIMEOUT_FRACTIONS)
        loop.after(delay=peer_timeout_s * DIGEST_WAIT_TIMEOUT_FRACTIONS[1], callback=self._handle_digest_wait_timeout)

    @property
    def is_joined(self) -> bool:
        """Whether this proxy is a member of another node's digest."""
        return self.membership is not None and self.membership.connection.is_joined

    @property
    def joined_connection(self) -> peer_connection.PeerConnection | None:
        """The connection to the digest that this proxy joined."""
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

    # Which of the zone's digests this node owns, or which one serves it.
    def update_roles(self, roles: Mapping[str, tuple[int, str, str]], *, relays: Mapping[str, RoleOwner]) -> None:
        """The owners of singleton roles changed.

        Args:
            roles: (epoch, address, incarnation) of the owner, by the role's name.
            relays: the owners of the relays that are known, by region.
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
        """Replaces the digest, for another role or epoch or none: members join again with their complete loads."""
        if (role, epoch) == (self.role, self.digest.identity.epoch):
            return
        self.role = role
        former = self.digest
        former.stop()
        former.close_members(reason="the digest is another's")
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
        """Many proxies that lose or find a digest at once must not all connect to the relays."""
        delay = self._peer_timeout_s * random.uniform(*DIGEST_WAIT_TIMEOUT_FRACTIONS)
        self._wait_for_digest_until_s = self._loop.now() + delay
        self._loop.after(delay=delay * DIGEST_WAIT_TIMER_FACTOR, callback=self._handle_digest_wait_timeout)

    def _handle_digest_wait_timeout(self) -> None:
        if not self.is_joined:
            self._connect_to_relays()

    # As a member of another node's digest.
    def on_joined(self, connection: peer_connection.PeerConnection) -> None:
        """The zone's digest admitted this proxy."""
        self.digest.stop()
        self.digest.remove_own_report()
        self._followed_keys = None
        connection.send(self._source.checkpoint(replicas=self._replicas_in_use()))
        self.send_followed_keys()

    def on_publication(self, region: str, connection: peer_connection.PeerConnection, frame: bytes) -> None:
        """The digest forwarded a frame of a region's relay."""
        if region in self._mirrors:
            install_publication(self._mirrors[region], frames.unpack(frame), connection)

    def on_credit(self, region: str, number: int) -> None:
        """The loads that the region's relay publishes contain our reports up to this number."""
        self._source.credit(region=region, number=number)

    def on_region_lost(self, region: str, _connection: peer_connection.PeerConnection) -> None:
        """The digest lost the stream of a region's relay."""
        self._handle_region_loss(region)

    def on_left(self) -> None:
        """The digest disconnected."""
        for region in self._mirrors:
            self._handle_region_loss(region)
        self._start_digest_wait()

    def _handle_region_loss(self, region: str) -> None:
        if region in self._mirrors:
            self._mirrors[region].fail()
        self._source.mark_lost(region=region)

    def send_followed_keys(self) -> None:
        """Sends the digest the replicas whose loads this proxy needs, where these are not all."""
        keys = self._table.followed_keys()
        if not self.is_joined or keys == self._followed_keys:
            return
        self._followed_keys = keys
        connection = self.joined_connection
        if connection is not None:
            connection.send(messages.FollowReplicas(keys is None, b"".join(sorted(keys or ()))))

    # As a digest: of the zone under its singleton role, or of this proxy alone.
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
        """Whether this node owns a digest under the epoch that the member names, or a newer one."""
        if not self.role or self.digest.identity.epoch < message.epoch:
            return False
        self.digest.admit(connection, address=message.address)
        return True

    # Periodic work.
    def tick(self) -> None:
        """Reports what changed, and forwards what members reported."""
        report = self._source.next_report()
        if report is not None:
            if not self.is_joined:
                self.digest.handle_own_report(report)
            elif (connection := self.joined_connection) is not None:
                connection.send(report)
        if not self.is_joined or self.digest.fanout.members:
            self.digest.tick()

    def send_heartbeats(self) -> None:
        """Shows members, relays and digests that this node is running; sends them the replicas it follows now."""
        self.send_followed_keys()
        self.digest.send_heartbeats()

    def send_membership_heartbeat(self) -> None:
        """Shows the digest that this proxy joined, or is about to join, that it is running."""
        if self.membership is not None:
            digests.send_heartbeat(self.membership.connection.connection)
