"""A digest: sums its members' load reports for the relays, and forwards to the members what the relays publish.

The same code runs in three places (docs/scale.md 3): in a proxy that is its own digest, in the owner of a zone's
digest, and in the gateway of a region, whose members are digests and which keeps the streams to the other regions'
relays.

A `Digest` owns the streams to the relays, the members and their aggregates. It reaches each region by a stream of its
own or through the gateway. Invariant: a stream starts with a checkpoint, so a relay never adds a batch to another
digest's.
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
    """The proxy itself, as a member of its own digest."""

    OWN = "own"


OWN = OwnNode.OWN


@dataclasses.dataclass(frozen=True, slots=True)
class DigestIdentity:
    """How a digest identifies itself to relays and gateways."""

    region: str
    zone: str  # its zone, or the name of its singleton role
    epoch: int = 0  # of the singleton role; 0: it serves this proxy alone


@dataclasses.dataclass(frozen=True, slots=True)
class _RelayStream:
    owner: RoleOwner
    connector: peer_connection.Connector


class Digest:
    """Aggregates, members and streams.

    Args:
        identity: under which it subscribes.
        connector_factory: connects to relays and gateways.
        mirrors: by region; the digest installs what the relays publish.
        on_credit: called with (region, number) when a relay counted this proxy's own reports up to that number.
        on_region_lost: called with the region whose stream broke.
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
        """Whether it keeps streams to relays."""
        return bool(self._streams)

    def relay_connectors(self) -> dict[str, peer_connection.Connector]:
        """Region: the connector to its relay."""
        return {region: stream.connector for region, stream in self._streams.items()}

    def follow_relay(self, *, region: str, owner: RoleOwner) -> None:
        """Keeps a stream to this region's relay."""
        stream = self._streams.get(region)
        if stream is not None and stream.owner == owner:
            return
        if stream is not None:
            self._stop_stream(region)
        self.mirrors[region].fail()
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
        """Ends all streams, but keeps the members."""
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
        if stream is not None and stream.owner == owner:  # else it was stopped by this node
            self._handle_region_loss(region)

    # The gateway of this region: streams to the other regions' relays.
    def follow_gateway(self, *, owner: RoleOwner | None, regions: Iterable[str]) -> None:
        """Reaches these regions through this gateway, or through none."""
        gateway = self._gateway
        if (gateway.owner if gateway is not None else None) == owner:
            return
        if gateway is not None:
            self._gateway = None
            gateway.stop()
        self._gateway_regions = tuple(regions)
        for region in self._gateway_regions:
            self.mirrors[region].fail()
        if owner is not None:
            self._gateway = DigestConnection(
                connector_factory=self._connector_factory,
                owner=owner,
                join_message=messages.JoinGateway(owner.epoch, self.identity.zone, self.identity.epoch),
                events=self,
            )

    def on_joined(self, connection: peer_connection.PeerConnection) -> None:
        """The gateway admitted this digest."""
        for region in self._gateway_regions:
            self._send_checkpoint(region, connection)

    def _send_checkpoint(self, region: str, connection: peer_connection.PeerConnection) -> None:
        connection.send(messages.LoadReport(*self.aggregates.checkpoint(region=region)))

    def on_publication(self, region: str, connection: peer_connection.PeerConnection, frame: bytes) -> None:
        """The gateway forwarded a frame of another region's relay."""
        if region in self._gateway_regions:
            self._handle_publication(region, connection, frames.unpack(frame), frame)

    def on_credit(self, region: str, number: int) -> None:
        """The relay of another region counted our reports to the gateway up to this number."""
        if region in self._gateway_regions:
            self._credit(region, number)

    def _credit(self, region: str, number: int) -> None:
        """Credits each member with those of its reports that are in the batches that the region's relay counted."""
        for member, report_number in self.aggregates.acknowledge(region=region, number=number).items():
            if member is OWN:
                self._on_own_credit(region, report_number)
            else:
                member.send(messages.ReportCredited(region, report_number))

    def on_region_lost(self, region: str, connection: peer_connection.PeerConnection) -> None:
        """The gateway lost its stream of another region's relay."""
        if region in self._gateway_regions:
            self._handle_region_loss(region)
            # The region's next relay counts all members again, also those for which nothing changes.
            self._send_checkpoint(region, connection)

    def on_left(self) -> None:
        """The connection to the gateway ended."""
        if self._gateway is not None:  # else it was stopped by this node
            for region in self._gateway_regions:
                self._handle_region_loss(region)

    # What relays publish.
    def _handle_publication(
        self, region: str, connection: peer_connection.PeerConnection, message: tuple, frame: bytes
    ) -> None:
        """Installs what a relay published, and forwards it to the members."""
        if not install_publication(self.mirrors[region], message, connection):
            return
        if isinstance(message, messages.PoolCut):
            self.cuts.add_for_all(region, message.pool)
        else:
            self.fanout.forward_publication(region=region, frame=frame, message=message)

    def _handle_region_loss(self, region: str) -> None:
        self._on_region_lost(region)
        self.mirrors[region].fail()
        self.fanout.broadcast(frames.pack(messages.RegionLost(region)))

    # Members.
    def admit(self, connection: peer_connection.PeerConnection, *, address: str) -> None:
        """A member joins: it is sent the complete state of this digest."""
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
        """A member requests the loads of these replicas only, or of all; it is sent the present ones."""
        self.fanout.follow(connection, keys=keys)
        for region, region_mirror in self.mirrors.items():
            if region_mirror.broken_at is None:
                self.fanout.send_load(connection, region=region, message=region_mirror.load_snapshot())

    def handle_report(self, connection: peer_connection.PeerConnection, message: messages.LoadReport) -> None:
        """A member's report. Raises `FrameError` where it is malformed or not newer than the last one."""
        self.aggregates.handle_report(connection, message)

    def handle_own_report(self, report: messages.LoadReport) -> None:
        """A report of this proxy itself."""
        self.aggregates.handle_report(OWN, report)

    def remove_own_report(self) -> None:
        """This proxy reports elsewhere now."""
        self.aggregates.remove(OWN)

    def remove(self, connection: peer_connection.PeerConnection) -> None:
        """A connection ended; where it was a member's, its loads are withdrawn."""
        if self.fanout.remove(connection):
            self.aggregates.remove(connection)

    def close_members(self, *, reason: str) -> None:
        """Ends all members' connections."""
        for connection in list(self.fanout.members):
            connection.close(reason=reason)

    # Periodic work.
    def tick(self) -> None:
        """Sends what changed. Reads and outcomes that no relay can be sent now are dropped."""
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
        """Shows the relays, the gateway and the members that this node is running."""
        connectors = [stream.connector for stream in self._streams.values()]
        if self._gateway is not None:
            connectors.append(self._gateway.connector)
        for connector in connectors:
            send_heartbeat(connector.link)
        for connection in list(self.fanout.members):
            connection.keep_alive()


def send_heartbeat(connection: peer_connection.PeerConnection | None) -> None:
    """Shows that this node is running where there is a connection that is up."""
    if connection is not None and connection.is_up:
        connection.keep_alive()
