"""The gateway of a region, on the relay's node: one stream each way between two regions (docs/scale.md 3).

A `Gateway` owns a digest whose members are the region's digests, and mirrors of the other regions. Its epoch is that
of the region's relay. Invariant: of each digest's singleton role only the newest epoch that ever joined is admitted.
"""

import types
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from ploverward.control_plane.cluster import singleton_roles
from ploverward.data_plane.load_reports import digest
from ploverward.data_plane.load_reports import digest_connection
from ploverward.data_plane.relay import mirror
from ploverward.transport import messages
from ploverward.transport import peer_connection


class Gateway:
    """Serves the region's digests with the relays of all other regions.

    Args:
        region: its own.
        epoch: of the region's relay.
        regions: names of all regions.
        connector_factory: connects to the other regions' relays.
        now: the loop's clock, in seconds.
        trust_s: how long a broken mirror is used.
    """

    def __init__(
        self,
        *,
        region: str,
        epoch: int,
        regions: Iterable[str],
        connector_factory: digest_connection.ConnectorFactory,
        now: Callable[[], float],
        trust_s: float,
    ) -> None:
        self.epoch = epoch
        names = tuple(regions)
        self.other_regions = tuple(name for name in names if name != region)
        self._relays: Mapping[str, digest_connection.RoleOwner] = types.MappingProxyType({})
        self._newest_epochs: dict[str, int] = {}  # by the singleton role of a digest
        self.digest = digest.Digest(
            identity=digest.DigestIdentity(region=region, zone=singleton_roles.relay_name(region=region), epoch=epoch),
            connector_factory=connector_factory,
            regions=names,
            mirrors={name: mirror.RegionMirror(now=now, trust_s=trust_s) for name in self.other_regions},
            on_credit=lambda _region, _number: None,
            on_region_lost=lambda _region: None,
        )

    def follow_relays(self, relays: Mapping[str, digest_connection.RoleOwner]) -> None:
        """Keeps a stream to each known relay of another region; without members, to none.

        Args:
            relays: the owners that are known, by region.
        """
        self._relays = relays
        if not self.digest.fanout.members:
            self.digest.stop()
            return
        for region in self.other_regions:
            if region in relays:
                self.digest.follow_relay(region=region, owner=relays[region])

    def join(self, connection: peer_connection.PeerConnection, message: messages.JoinGateway) -> None:
        """A digest of this region joins. One of an older epoch of the same singleton role is refused."""
        if message.digest_epoch < self._newest_epochs.get(message.digest, 0):
            connection.close(reason=f"digest of {message.digest} under epoch {message.digest_epoch}")
            return
        self._newest_epochs[message.digest] = message.digest_epoch
        self.digest.admit(connection, address=message.digest)
        self.follow_relays(self._relays)

    def remove(self, connection: peer_connection.PeerConnection) -> None:
        """A connection ended. Without members no stream is kept."""
        self.digest.remove(connection)
        if not self.digest.fanout.members:
            self.digest.stop()

    def stop(self) -> None:
        """Another node owns the gateway now."""
        self.digest.stop()
        self.digest.close_members(reason="the gateway is another's")
