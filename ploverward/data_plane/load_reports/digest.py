"""A digest, which sums its members' load reports for the relays and forwards the relays' publications to its members.

The same code runs in three places (docs/scale.md 3): in a proxy that is its own digest, in the owner of a zone's
digest, and in the gateway of a region, whose members are digests and which keeps the streams to the other regions'
relays.

A `Digest` owns the streams to the relays, the members and their aggregates. It reaches each region through a stream of
its own or through the gateway. Invariant: a stream starts with a checkpoint, so a relay never adds a batch to the state
of another digest.
"""

import dataclasses
import enum
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from ploverward.data_plane.load_reports import aggregates
from ploverward.data_plane.load_reports import fanout
from ploverward.data_plane.load_reports.digest_connection import ConnectorFactory
from ploverward.data_plane.load_reports.digest_connection import DigestConnection
from ploverward.data_plane.load_reports.digest_connection import RoleOwner
from ploverward.data_plane.load_reports.digest_connection import install_publication
from ploverward.data_plane.relay import mirror
from ploverward.transport import frames
from ploverward.transport import messages
from ploverward.transport import peer_connection


class OwnNode(enum.Enum):
    """Type of the key under which a proxy is a member of its own digest; other members are keyed by connection."""

    OWN = "own"


OWN = OwnNode.OWN


@dataclasses.dataclass(frozen=True, slots=True)
class DigestIdentity:
    """Identity that a digest sends to relays and gateways."""

    region: str
    zone: str  # name of the digest's zone, or of its singleton role
    epoch: int = 0  # of the singleton role; 0 if the digest serves this proxy alone


@dataclasses.dataclass(frozen=True, slots=True)
class _RelayStream:
    owner: RoleOwner
    connector: peer_connection.Connector


class Digest:
    """Connects members with the relays: reports go up in batches, publications come down.

    Args:
        identity: Identity under which the digest subscribes.
        connector_factory: Connects to relays and gateways.
        regions: Names of all regions.
        mirrors: Mirrors by region, in which the digest installs what the relays publish.
        on_credit: Called with (region, number) when a relay counted this proxy's own reports up to that number.
        on_region_lost: Called with the region whose stream broke.
    """

    def __init__(
        self,
        *,
        identity: DigestIdentity,
        connector_factory: ConnectorFactory,
        regions: Iterable[str],
        mirrors: Mapping[str, mirror.RegionMirror],
        on_credit: Callable[[str, int], None],
        on_region_lost: Callable[[str], None],
    ) -> None:
        self.identity = identity
        self.aggregates: aggregates.LoadAggregates[peer_connection.PeerConnection | OwnNode] = (
            aggregates.LoadAggregates(regions=regions)
        )
        self.fanout = fanout.Fanout()
        self.cuts = fanout.CutQueue(members=self.fanout.members, mirrors=mirrors)
        self.mirrors = mirrors
        self._connector_factory = connector_factory
        self._on_own_credit = on_credit
        self._on_region_lost = on_region_lost
        self._streams: dict[str, _RelayStream] = {}  # by region
        self._gateway: DigestConnection | None = None
        self._gateway_regions: tuple[str, ...] = ()  # regions whose relays are reached through the gateway

    # Streams to relays.
    @property
    def has_relay_streams(self) -> bool:
        """True if this digest keeps streams of its own to relays, connected or being connected."""
        return bool(self._streams)

    def relay_connectors(self) -> dict[str, peer_connection.Connector]:
        """Returns the connectors to relays by region."""
        return {region: stream.connector for region, stream in self._streams.items()}

    def follow_relay(self, *, region: str, owner: RoleOwner) -> None:
        """Keeps a stream to this region's relay; a stream to another owner of its role is replaced."""
        stream = self._streams.get(region)
        if stream is not None and stream.owner == owner:
            return
        if stream is not None:
            self._stop_stream(region)
        self.mirrors[region].mark_broken()
        connector = self._connector_factory.connect(
            owner.address,
            on_up=lambda connection: self._subscribe(region, connection, owner.epoch),
            on_message=lambda connection, message: self._handle_relay_message(region, connection, message),
            on_end=lambda _connection, _reason: self._handle_stream_end(region, owner),
        )
        self._streams[region] = _RelayStream(owner, connector)

    def _stop_stream(self, region: str) -> None:
        self._streams.pop(region).connector.stop()

    def stop(self) -> None:
        """Ends all streams to relays and the gateway, but keeps the members."""
        for region in list(self._streams):
            self._stop_stream(region)
        self.follow_gateway(owner=None, regions=())

    def _subscribe(self, region: str, connection: peer_connection.PeerConnection, epoch: int) -> None:
        connection.send(
            messages.Subscribe(epoch, self.identity.region, self.identity.zone, zone_epoch=self.identity.epoch)
        )
        connection.send(self.aggregates.checkpoint(region=region))

    def _handle_relay_message(self, region: str, connection: peer_connection.PeerConnection, message: tuple) -> None:
        stream = self._streams.get(region)
        if stream is None or stream.connector.link is not connection:
            return
        if isinstance(message, messages.AggregatesCounted):
            self._credit(region, message.number)
        else:
            self._handle_publication(region, connection, message, connection.frame)

    def _handle_stream_end(self, region: str, owner: RoleOwner) -> None:
        stream = self._streams.get(region)
        if stream is not None and stream.owner == owner:  # otherwise this node stopped the stream itself
            self._handle_region_loss(region)

    # The gateway of this region, which keeps the streams to the other regions' relays.
    def follow_gateway(self, *, owner: RoleOwner | None, regions: Iterable[str]) -> None:
        """Joins this owner's gateway for these regions, or leaves the present gateway if there is no owner."""
        gateway = self._gateway
        if (gateway.owner if gateway is not None else None) == owner:
            return
        if gateway is not None:
            self._gateway = None
            gateway.stop()
        self._gateway_regions = tuple(regions)
        for region in self._gateway_regions:
            self.mirrors[region].mark_broken()
        if owner is not None:
            self._gateway = DigestConnection(
                connector_factory=self._connector_factory,
                owner=owner,
                join_message=messages.JoinGateway(owner.epoch, self.identity.zone, self.identity.epoch),
                events=self,
            )

    def on_joined(self, connection: peer_connection.PeerConnection) -> None:
        """Sends checkpoints to the gateway that admitted this digest."""
        for region in self._gateway_regions:
            self._send_checkpoint(region, connection)

    def _send_checkpoint(self, region: str, connection: peer_connection.PeerConnection) -> None:
        connection.send(messages.LoadReport(*self.aggregates.checkpoint(region=region)))

    def on_publication(self, region: str, connection: peer_connection.PeerConnection, frame: bytes) -> None:
        """Handles a frame of another region's relay that the gateway forwarded."""
        if region in self._gateway_regions:
            self._handle_publication(region, connection, frames.unpack(frame), frame)

    def on_credit(self, region: str, number: int) -> None:
        """Credits the members for what another region's relay counted of this digest's reports to the gateway."""
        if region in self._gateway_regions:
            self._credit(region, number)

    def _credit(self, region: str, number: int) -> None:
        """Credits each member with its newest report in the batches that the region's relay counted."""
        for member, report_number in self.aggregates.acknowledge(region=region, number=number).items():
            if member is OWN:
                self._on_own_credit(region, report_number)
            else:
                member.send(messages.ReportCredited(region, report_number))

    def on_region_lost(self, region: str, connection: peer_connection.PeerConnection) -> None:
        """Handles the loss of the gateway's stream to another region's relay."""
        if region in self._gateway_regions:
            self._handle_region_loss(region)
            # The region's next relay starts without state, so it needs all members' loads, also the unchanged ones.
            self._send_checkpoint(region, connection)

    def on_left(self) -> None:
        """Handles the end of the connection to the gateway."""
        if self._gateway is not None:  # otherwise this node left the gateway itself
            for region in self._gateway_regions:
                self._handle_region_loss(region)

    # Publications of relays.
    def _handle_publication(
        self, region: str, connection: peer_connection.PeerConnection, message: tuple, frame: bytes
    ) -> None:
        """Installs what a relay published and forwards it to the members; cuts are queued."""
        if not install_publication(self.mirrors[region], message, connection):
            return
        if isinstance(message, messages.PoolCut):
            self.cuts.add_for_all(region, message.pool)
        else:
            self.fanout.forward_publication(region=region, frame=frame, message=message)

    def _handle_region_loss(self, region: str) -> None:
        self._on_region_lost(region)
        self.mirrors[region].mark_broken()
        self.fanout.broadcast(frames.pack(messages.RegionLost(region)))

    # Members.
    def admit(self, connection: peer_connection.PeerConnection, *, address: str) -> None:
        """Admits a member and sends it the complete state of this digest; cuts of pools are queued."""
        self.fanout.admit(connection, address=address)
        connection.send(messages.DigestJoined(self.identity.epoch))
        for region, region_mirror in self.mirrors.items():
            if region_mirror.broken_at is not None:
                connection.send(messages.RegionLost(region))
                continue
            for message in (region_mirror.catalogue(), region_mirror.load_snapshot()):
                connection.send(messages.RelayedFrame(region, frames.pack(message)))
            for pool in region_mirror.pools:
                self.cuts.add(connection, region, pool)

    def follow(self, connection: peer_connection.PeerConnection, *, keys: frozenset[bytes] | None) -> None:
        """Sets the replicas whose loads the member is sent (None: all), and sends it their present loads."""
        self.fanout.follow(connection, keys=keys)
        for region, region_mirror in self.mirrors.items():
            if region_mirror.broken_at is None:
                self.fanout.send_load(connection, region=region, message=region_mirror.load_snapshot())

    def handle_report(self, connection: peer_connection.PeerConnection, message: messages.LoadReport) -> None:
        """Adds a member's report; raises `FrameError` if it is malformed or not newer than the last one."""
        self.aggregates.handle_report(connection, message)

    def handle_own_report(self, report: messages.LoadReport) -> None:
        """Adds a report of this proxy itself."""
        self.aggregates.handle_report(OWN, report)

    def remove_own_report(self) -> None:
        """Withdraws this proxy's own loads, because it reports elsewhere now."""
        self.aggregates.remove(OWN)

    def remove(self, connection: peer_connection.PeerConnection) -> None:
        """Handles the end of a connection; if it was a member's, the member's loads are withdrawn."""
        if self.fanout.remove(connection):
            self.aggregates.remove(connection)

    def close_members(self, *, reason: str) -> None:
        """Closes all members' connections."""
        for connection in list(self.fanout.members):
            connection.close(reason=reason)

    # Periodic work.
    def tick(self) -> None:
        """Sends the changes; reads and outcomes for an unreachable relay are dropped."""
        for region in self.mirrors:
            self._send_batch(region)
        self.cuts.send()

    def _send_batch(self, region: str) -> None:
        stream = self._streams.get(region)
        connection = None
        if stream is not None:
            connection = stream.connector.link
        elif region in self._gateway_regions and self._gateway is not None and self._gateway.is_joined:
            connection = self._gateway.connection
        if connection is None or not connection.is_up:
            self.aggregates.discard_reads_and_outcomes(region=region)
            return
        batch = self.aggregates.next_batch(region=region)
        if batch is not None:
            connection.send(batch if stream is not None else messages.LoadReport(*batch))

    def send_heartbeats(self) -> None:
        """Sends heartbeats to the relays, the gateway and the members."""
        connectors = [stream.connector for stream in self._streams.values()]
        if self._gateway is not None:
            connectors.append(self._gateway.connector)
        for connector in connectors:
            send_heartbeat(connector.link)
        for connection in list(self.fanout.members):
            connection.keep_alive()


def send_heartbeat(connection: peer_connection.PeerConnection | None) -> None:
    """Sends a heartbeat if there is a connection and it is up."""
    if connection is not None and connection.is_up:
        connection.keep_alive()
