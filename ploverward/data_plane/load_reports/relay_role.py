"""Lifetime of a region's relay and gateway on the node that owns the relay's singleton role (docs/relay.md 1).

`RelayRole` owns both. Invariant: both have the same epoch; a new epoch, or another owner, ends them before new ones are
started.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from ploverward.common import settings as settings_files
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.load_reports import digest_connection
from ploverward.data_plane.relay import gateway as gateways
from ploverward.data_plane.relay import host as hosts
from ploverward.transport import messages
from ploverward.transport import peer_connection


class RelayRole:
    """Starts and stops the relay and the gateway, and does their periodic work.

    Args:
        settings: Returns the settings in force.
        incarnation: Incarnation of this proxy; a role of an earlier incarnation does not belong to it.
        region_names: Names of all regions.
        connector_factory: Connects the gateway to the other regions' relays.
        now: The loop's clock, in seconds.
        contact_s: A lease expires after this time without contact.
        table: Replicas and services that the relay serves.
    """

    def __init__(
        self,
        *,
        settings: Callable[[], settings_files.Settings],
        incarnation: str,
        region_names: Sequence[str],
        connector_factory: digest_connection.ConnectorFactory,
        now: Callable[[], float],
        contact_s: float,
        table: replica_table.ReplicaTable,
    ) -> None:
        self.host: hosts.RelayHost | None = None
        self.gateway: gateways.Gateway | None = None
        self._settings = settings
        self._incarnation = incarnation
        self._region_names = region_names
        self._connector_factory = connector_factory
        self._now = now
        self._contact_s = contact_s
        self._table = table

    def update(self, *, epoch: int, address: str, incarnation: str) -> None:
        """Starts or stops the relay and the gateway, for the present owner and epoch of the singleton role."""
        is_owner = (address, incarnation) == (self._settings().ip, self._incarnation)
        if self.host is not None and (not is_owner or self.host.epoch != epoch):
            self._stop()
        if is_owner and self.host is None:
            self._start(epoch)

    def _start(self, epoch: int) -> None:
        region = self._settings().region
        self.host = hosts.RelayHost(region=region, epoch=epoch, now=self._now, suspicion_s=self._contact_s / 4)
        self.sync()
        self.gateway = gateways.Gateway(
            region=region,
            epoch=epoch,
            regions=self._region_names,
            connector_factory=self._connector_factory,
            now=self._now,
            trust_s=self._contact_s,
        )

    def _stop(self) -> None:
        host, self.host = self.host, None
        for connection in list(host.subscribers) if host is not None else ():
            connection.close(reason="this node no longer owns the relay under this epoch")
        gateway, self.gateway = self.gateway, None
        if gateway is not None:
            gateway.stop()

    def sync(self) -> None:
        """Gives the relay the present list of replicas and the configuration of services."""
        if self.host is None:
            return
        rows = [
            {
                "id": replica.id,
                "service": replica.service,
                "region": replica.region,
                "models": replica.models,
                "berths": replica.batch_slots,
            }
            for replica in self._table.replicas.values()
        ]
        services = {name: row for name, row in self._table.services.items() if row["cache_tokens"]}
        self.host.sync(services=services, replicas=rows)

    def follow_relays(self, relays: Mapping[str, digest_connection.RoleOwner]) -> None:
        """Gives the gateway the present owners of the regions' relays."""
        if self.gateway is not None:
            self.gateway.follow_relays(relays)

    def admit(
        self, connection: peer_connection.PeerConnection, message: messages.Subscribe | messages.JoinGateway
    ) -> bool:
        """Admits a subscriber or a digest if this node owns the relay under the epoch that it names, or a newer one.

        Returns:
            Whether it was admitted.
        """
        if self.host is None or self.gateway is None or self.host.epoch < message.epoch:
            return False
        if isinstance(message, messages.Subscribe):
            self.host.subscribe(connection, region=message.region, zone=message.zone, zone_epoch=message.zone_epoch)
        else:
            self.gateway.join(connection, message)
        return True

    def handle_aggregates(self, connection: peer_connection.PeerConnection, message: messages.Aggregates) -> None:
        """Adds a subscriber's aggregates; raises `FrameError` if they are malformed or out of order."""
        if self.host is not None:
            self.host.handle_aggregates(connection, message)

    def handle_report(self, connection: peer_connection.PeerConnection, message: messages.LoadReport) -> None:
        """Adds the report of a digest that joined the gateway; raises `FrameError` as `handle_aggregates` does."""
        if self.gateway is not None and connection in self.gateway.digest.fanout.members:
            self.gateway.digest.handle_report(connection, message)

    def remove(self, connection: peer_connection.PeerConnection) -> None:
        """Removes an ended connection from the relay and the gateway."""
        if self.gateway is not None:
            self.gateway.remove(connection)
        if self.host is not None:
            self.host.remove(connection)

    def tick(self) -> None:
        """Publishes the changes of the gateway and the relay."""
        if self.gateway is not None:
            self.gateway.digest.tick()
        if self.host is not None:
            self.host.tick()

    def send_heartbeats(self) -> None:
        """Sends heartbeats to the relay's subscribers."""
        for connection in list(self.host.subscribers) if self.host is not None else ():
            connection.keep_alive()
