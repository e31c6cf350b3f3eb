"""The gateway of a region, beside its relay: one stream each way between two regions (docs/scale.md 3)."""

from ploverward.control_plane.cluster import singleton_roles
from ploverward.data_plane.load_reports import digest
from ploverward.data_plane.relay import mirror


class Gateway:
    """A digest whose members are the region's digests, with mirrors of its own of the other regions.

    It lives under the epoch of the region's relay.
    """

    def __init__(self, *, loop, region: str, epoch: int, port: int, peer_timeout_s: float, regions, trust_s: float):
        self.epoch = epoch
        self.far = tuple(name for name in regions if name != region)
        self._relays = {}
        self._zone_epochs = {}  # duty: the newest epoch of it that enrolled
        self.digest = digest.Digest(
            loop=loop,
            identity=digest.DigestIdentity(region=region, zone=singleton_roles.relay_name(region=region), epoch=epoch),
            port=port,
            peer_timeout_s=peer_timeout_s,
            regions=regions,
            mirrors={name: mirror.Region(now=loop.now, trust_s=trust_s) for name in self.far},
            on_credit=lambda region, number: None,
            on_broke=lambda region: None,
        )

    def follow(self, *, relays: dict) -> None:
        """`relays`: region: digests.Holder, of those that are known. Without members no stream is kept."""
        self._relays = relays
        if not self.digest.fanout.members:
            self.digest.stop()
            return
        for region in self.far:
            if region in relays:
                self.digest.follow_relay(region=region, owner=relays[region])

    def enroll(self, link, *, zone: str, zone_epoch: int) -> None:
        """A digest of this region. One of an older epoch of the same duty is refused."""
        if zone_epoch < self._zone_epochs.get(zone, 0):
            link.close(reason=f"digest of {zone} under epoch {zone_epoch}")
            return
        self._zone_epochs[zone] = zone_epoch
        self.digest.admit(link, address=zone)
        self.follow(relays=self._relays)

    def end(self, link) -> None:
        self.digest.end(link)
        if not self.digest.fanout.members:
            self.digest.stop()

    def stop(self) -> None:
        self.digest.stop()
        self.digest.close_members(reason="the gateway is another's")
