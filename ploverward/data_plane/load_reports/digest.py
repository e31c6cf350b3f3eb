"""A digest: reports of its members on their way to the relays of the regions, and what these publish on its way back.

The same code serves three places (docs/scale.md 3): a proxy that is its own digest, the holder of a zone's digest, and the
gateway of a region, whose members are digests and which keeps the streams to the relays of the other regions for them.
"""

import collections
import dataclasses
import logging

from ploverward.common import errors
from ploverward.data_plane.load_reports import aggregates
from ploverward.data_plane.load_reports import fanout
from ploverward.transport import frames
from ploverward.transport import legacy_messages
from ploverward.transport import peer_connection

_log = logging.getLogger(__name__)

OWN = "own"  # the proxy itself, as a member of its own sums
MAX_CUT_BYTES_PER_TICK = (
    16 * 1024
)  # of pools' cuts to members: many at once would hold up the clients' answers on this link


@dataclasses.dataclass(frozen=True)
class DigestIdentity:
    """How a digest makes itself known to relays."""

    region: str
    zone: str  # or what else names the duty
    epoch: int = 0  # of the duty; 0: it serves this proxy alone


@dataclasses.dataclass(frozen=True)
class RoleOwner:
    """A relay that a digest keeps a stream to."""

    epoch: int
    address: str


class Digest:
    """Sums, members and streams. `on_credit` (region, number) and `on_broke` (region) concern the proxy itself."""

    def __init__(
        self,
        *,
        loop,
        identity: DigestIdentity,
        port: int,
        peer_timeout_s: float,
        regions,
        mirrors: dict,
        on_credit,
        on_broke,
    ):
        self.identity = identity
        self.aggregates = aggregates.Aggregates(regions=regions)
        self.fanout = fanout.Fanout()
        self._loop = loop
        self._port = port
        self._peer_timeout_s = peer_timeout_s
        self._mirrors = mirrors  # region: mirror.Region
        self._on_credit = on_credit
        self._on_broke = on_broke
        self._streams = {}  # region: (Holder, dialer to its relay)
        self._gateway = None  # (Holder, dialer)
        self._is_enrolled = False
        self._cuts = collections.deque()  # (link, region, pool) whose cut is still to be sent
        self._cut_budget_bytes = 0  # bytes of cuts that may be sent now; below 0 after a large one
        self._by_gateway = ()  # regions whose relays are reached by way of the gateway

    # Streams to relays.
    @property
    def is_dialled(self) -> bool:
        return bool(self._streams)

    def streams(self) -> dict:
        """Region: the dialer to its relay."""
        return {region: connector for region, (_owner, connector) in self._streams.items()}

    def follow_relay(self, *, region: str, owner: RoleOwner) -> None:
        known = self._streams.get(region)
        if known is not None and known[0] == owner:
            return
        if known is not None:
            self._stop_stream(region)
        self._mirrors[region].fail()
        connector = self._dial(
            owner.address,
            on_up=lambda link: self._subscribe(region, link, owner.epoch),
            on_message=lambda link, message: self._handle_relay_message(region, link, message),
            on_end=lambda _link, _reason: self._stream_broke(region, owner),
        )
        self._streams[region] = (owner, connector)

    def _dial(self, address: str, *, on_up, on_message, on_end):
        return peer_connection.Connector(
            loop=self._loop,
            address=(address, self._port),
            on_up=on_up,
            on_message=on_message,
            on_end=on_end,
            peer_timeout_s=self._peer_timeout_s,
        )

    def _stop_stream(self, region: str) -> None:
        _owner, connector = self._streams.pop(region)
        connector.stop()

    def stop(self) -> None:
        for region in list(self._streams):
            self._stop_stream(region)
        self.follow_gateway(owner=None, regions=())

    def _subscribe(self, region: str, link, epoch: int) -> None:
        link.send(("subscribe", epoch, self.identity.region, self.identity.zone, self.identity.epoch))
        link.send(("sums", *self.aggregates.checkpoint(region=region)))

    def _is_current(self, region: str, link) -> bool:
        known = self._streams.get(region)
        return known is not None and known[1].link is link

    def _handle_relay_message(self, region: str, link, message: tuple) -> None:
        if not self._is_current(region, link):
            return
        if message[0] == "counted":
            self._credit(region, message[1])
        else:
            self._publish(region, link, message, link.frame)

    def _stream_broke(self, region: str, owner: RoleOwner) -> None:
        known = self._streams.get(region)
        if known is not None and known[0] == owner:  # else it was stopped by this node
            self._broke(region)

    # The gateway of this region: streams to the other regions' relays.
    def follow_gateway(self, *, owner: RoleOwner | None, regions) -> None:
        known = self._gateway[0] if self._gateway is not None else None
        if known == owner:
            return
        if self._gateway is not None:
            connector = self._gateway[1]
            self._gateway = None
            connector.stop()
        self._is_enrolled = False
        self._by_gateway = tuple(regions)
        for region in self._by_gateway:
            self._mirrors[region].fail()
        if owner is not None:
            connector = self._dial(
                owner.address,
                on_up=lambda link: link.send(("enroll_digest", owner.epoch, self.identity.zone, self.identity.epoch)),
                on_message=self._handle_gateway_message,
                on_end=lambda _link, _reason: self._gateway_broke(owner),
            )
            self._gateway = (owner, connector)

    def _handle_gateway_message(self, link, message: tuple) -> None:
        if self._gateway is None or self._gateway[1].link is not link:
            return
        kind = message[0]
        if kind == "enrolled":
            self._is_enrolled = True
            for region in self._by_gateway:
                link.send(("report", *self.aggregates.checkpoint(region=region)))
        elif not self._is_enrolled or message[1] not in self._by_gateway:
            return
        elif kind == "relayed":
            self._publish(message[1], link, legacy_messages.unpack(message[2]), message[2])
        elif kind == "credited":
            self._credit(message[1], message[2])
        elif kind == "broke":
            self._broke(message[1])
            # The region's next relay counts for all members anew, also for those with nothing new to tell.
            link.send(("report", *self.aggregates.checkpoint(region=message[1])))

    def _gateway_broke(self, owner: RoleOwner) -> None:
        if self._gateway is None or self._gateway[0] != owner or not self._is_enrolled:
            return
        self._is_enrolled = False
        for region in self._by_gateway:
            self._broke(region)

    # What comes back.
    def _credit(self, region: str, number: int) -> None:
        """The region's relay holds our cuts up to this number."""
        for member, report in self.aggregates.counted(region=region, number=number).items():
            if member is OWN:
                self._on_credit(region, report)
            else:
                member.send(("credited", region, report))

    def _publish(self, region: str, link, message: tuple, frame: bytes) -> None:
        """A frame of a region's relay: taken here, and passed on to the members."""
        try:
            self._mirrors[region].take(message)
        except errors.FrameError as failure:
            _log.debug("relay_stream_broken", extra={"fault": str(failure)})
            link.close(reason=str(failure))
            return
        if message[0] == "cut":
            for member in self.fanout.members:
                self._queue_cut(member, region, message[1])
        else:
            self.fanout.forward_publication(region=region, frame=frame, message=message)

    def _queue_cut(self, link, region: str, pool: str) -> None:
        member = self.fanout.members[link]
        if (region, pool) not in member.waits_for:
            member.waits_for.add((region, pool))
            self._cuts.append((link, region, pool))

    def _send_cuts(self) -> None:
        """Cuts that wait, as the mirrors stand now, inside the bytes of this tick."""
        self._cut_budget_bytes = min(MAX_CUT_BYTES_PER_TICK, self._cut_budget_bytes + MAX_CUT_BYTES_PER_TICK)
        while self._cuts and self._cut_budget_bytes > 0:
            link, region, pool = self._cuts.popleft()
            member = self.fanout.members.get(link)
            if member is None:
                continue
            member.waits_for.discard((region, pool))
            mirror = self._mirrors[region].mirrors.get(pool)
            if mirror is not None and mirror.buckets is not None:
                frame = frames.pack(("relayed", region, frames.pack(mirror.frame())))
                link.send_bytes(frame)
                self._cut_budget_bytes -= len(frame)

    def _broke(self, region: str) -> None:
        self._on_broke(region)
        self._mirrors[region].fail()
        self.fanout.broadcast(frames.pack(("broke", region)))

    # Members.
    def admit(self, link, *, address: str) -> None:
        """A member, with a cut of its own of all that this digest knows."""
        self.fanout.admit(link, address=address)
        link.send(("enrolled", self.identity.epoch))
        for region, mirror in self._mirrors.items():
            if mirror.broken_at is not None:
                link.send(("broke", region))
                continue
            for frame in (mirror.catalogue(), mirror.load_frame()):
                link.send(("relayed", region, frames.pack(frame)))
            for pool in mirror.mirrors:
                self._queue_cut(link, region, pool)

    def follow(self, link, *, keys: frozenset | None) -> None:
        """A member wishes loads of these replicas alone, or of all; it is told how they stand."""
        self.fanout.follow(link, keys=keys)
        for region, mirror in self._mirrors.items():
            if mirror.broken_at is None:
                self.fanout.send_load(link, region=region, message=mirror.load_frame())

    def handle_report(self, link, message: tuple) -> None:
        self.aggregates.take(link, *message[1:])

    def handle_own_report(self, report: tuple) -> None:
        """A report of this proxy itself."""
        self.aggregates.take(OWN, *report)

    def remove_own_report(self) -> None:
        self.aggregates.end(OWN)

    def end(self, link) -> None:
        if self.fanout.end(link):
            self.aggregates.end(link)

    def close_members(self, *, reason: str) -> None:
        for link in list(self.fanout.members):
            link.close(reason=reason)

    # By the clock.
    def tick(self) -> None:
        """Sends on what changed. What no relay takes now is dropped, but for the loads."""
        for region in self._mirrors:
            stream = self._streams.get(region)
            if stream is not None:
                self._send_batch(region, stream[1].link, "sums")
            elif region in self._by_gateway and self._gateway is not None and self._is_enrolled:
                self._send_batch(region, self._gateway[1].link, "report")
            else:
                self.aggregates.discard(region=region)
        self._send_cuts()

    def _send_batch(self, region: str, link, kind: str) -> None:
        if link is None or not link.is_up:
            self.aggregates.discard(region=region)
            return
        take_batch = self.aggregates.take_batch(region=region)
        if take_batch is not None:
            link.send((kind, *take_batch))

    def send_heartbeats(self) -> None:
        connectors = [connector for _owner, connector in self._streams.values()]
        if self._gateway is not None:
            connectors.append(self._gateway[1])
        for connector in connectors:
            if connector.link is not None and connector.link.is_up:
                connector.link.send(("beat", 0))
        for link in list(self.fanout.members):
            link.send(("beat", 0))
