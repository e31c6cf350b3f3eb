"""Periodic reports of a proxy to core nodes: evidence of roll-outs and custody trails.

Roll-out evidence is sent to the cluster coordinator, which responds with leases (docs/rollouts.md 3, 4). Custody
trails are sent to one core node of the own region, or of another region if there is none (docs/residency.md).
"""

from collections.abc import Callable

from ploverward.common import settings as settings_files
from ploverward.control_plane.cluster import singleton_roles
from ploverward.data_plane.control_client import core_connections
from ploverward.data_plane.requests import custody_trails
from ploverward.data_plane.rollouts import version_routing
from ploverward.transport import messages
from ploverward.transport import peer_connection


class RolloutReports:
    """Sends the evidence of roll-outs in progress, and installs the leases sent in response."""

    def __init__(
        self,
        *,
        connections: core_connections.CoreConnections,
        rollouts: version_routing.VersionRouter,
        singleton_roles: Callable[[], dict[str, tuple]],
    ) -> None:
        self._connections = connections
        self._rollouts = rollouts
        self._singleton_roles = singleton_roles

    def send(self) -> None:
        """Sends the counts since the last report if the coordinator is connected."""
        _epoch, owner, _incarnation = self._singleton_roles().get(singleton_roles.COORDINATOR, (0, "", ""))
        connection = self._connections.connection_to(owner)
        if connection is None:
            return
        report = self._rollouts.report()
        if report is not None:
            connection.send(report)

    def handle_leases(
        self, _host: str, _connection: peer_connection.PeerConnection, message: messages.RolloutLeases
    ) -> None:
        """Installs leases, which limit the traffic that this proxy may send to new versions."""
        self._rollouts.handle_leases(message)


class CustodyReports:
    """Sends the custody trails of requests that ended."""

    def __init__(
        self,
        *,
        connections: core_connections.CoreConnections,
        batches: custody_trails.TrailBatches,
        settings: Callable[[], settings_files.Settings],
        incarnation: str,
    ) -> None:
        self._connections = connections
        self._batches = batches
        self._settings = settings
        self._incarnation = incarnation

    def send(self, *, is_last: bool = False) -> None:
        """Sends all batches, or keeps them if no core node is connected.

        Args:
            is_last: Whether the process is about to end.
        """
        connection = self._connections.nearest_connection()
        if connection is None:
            return
        self._batches.close_batch(is_last=is_last)
        for number, is_end, rows in self._batches.drain():
            connection.send(
                messages.CustodyTrails(
                    node=self._settings().node,
                    incarnation=self._incarnation,
                    number=number,
                    is_last=is_end,
                    trails=tuple(messages.CustodyTrail(*row) for row in rows),
                )
            )
