"""The gateway of a region: a single stream in each direction between two regions (docs/scale.md 3).

The gateway runs on the node of the region's relay. A `Gateway` owns a digest whose members are the region's digests,
and mirrors of the other regions. Its epoch is that of the region's relay. Invariant: of each digest's singleton role
only the newest epoch that ever joined is admitted.
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
    """Connects the digests of its region with the relays of all other regions.

    Args:
        region: Name of its own region.
        epoch: Epoch of the region's relay.
        regions: Names of all regions.
        connector_factory: Connects to the other regions' relays.
        now: Clock of the event loop, in seconds.
        trust_s: Seconds for which a broken mirror is still used.
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
        self._newest_epochs: dict[str, int] = {}  # by the name of a digest's singleton role
        self.digest = digest.Digest(
            identity=digest.DigestIdentity(region=region, zone=singleton_roles.relay_name(region=region), epoch=epoch),
            connector_factory=connector_factory,
            regions=names,
            mirrors={name: mirror.RegionMirror(now=now, trust_s=trust_s) for name in self.other_regions},
            on_credit=lambda _region, _number: None,
            on_region_lost=lambda _region: None,
        )

    def follow_relays(self, relays: Mapping[str, digest_connection.RoleOwner]) -> None:
        """Keeps a stream to each known relay of another region, or to none while the gateway has no members.

        Args:
            relays: Known owners of the relays' singleton roles, by region.
        """
        self._relays = relays
        if not self.digest.fanout.members:
            self.digest.stop()
            return
        for region in self.other_regions:
            if region in relays:
                self.digest.follow_relay(region=region, owner=relays[region])

    def join(self, connection: peer_connection.PeerConnection, message: messages.JoinGateway) -> None:
        """Admits a digest of this region, or closes its connection if a newer epoch of the same role joined before."""
        if message.digest_epoch < self._newest_epochs.get(message.digest, 0):
            connection.close(
                reason=f"digest of {message.digest}: epoch {message.digest_epoch} is older than the newest one"
            )
            return
        self._newest_epochs[message.digest] = message.digest_epoch
        self.digest.admit(connection, address=message.digest)
        self.follow_relays(self._relays)

    def remove(self, connection: peer_connection.PeerConnection) -> None:
        """Removes a member whose connection ended; with the last member the streams to other regions end too."""
        self.digest.remove(connection)
        if not self.digest.fanout.members:
            self.digest.stop()

    def stop(self) -> None:
        """Ends all streams and closes the members' connections; called when another node owns the gateway."""
        self.digest.stop()
        self.digest.close_members(reason="another node owns the gateway")
