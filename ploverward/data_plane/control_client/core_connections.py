"""The connections from a proxy to all core nodes (docs/design.md 5).

The state is one connector for each core node: the members of the core set and the seeds of the settings, since a
member may be unknown here and a seed may return. Connectors reconnect by themselves. Each new connection begins
with the handshake and the state of this proxy. Core nodes of the same region are known by their handshake; they are
preferred where one core node is enough.
"""

import functools
from collections.abc import Callable
from collections.abc import Iterator

from ploverward.common import settings as settings_files
from ploverward.transport import event_loop
from ploverward.transport import interfaces
from ploverward.transport import messages
from ploverward.transport import peer_connection


class CoreConnections:
    """Connects to the core nodes and sends to them.

    Attributes:
        members: addresses of the core set as far as it is known here; the seeds at first.
    """

    def __init__(
        self,
        *,
        loop: event_loop.Loop,
        settings: Callable[[], settings_files.Settings],
        incarnation: str,
        peer_timeout_s: float,
        node_state: Callable[[], messages.NodeState],
        on_message: Callable[[str, peer_connection.PeerConnection, tuple], None],
        on_end: Callable[[str, peer_connection.PeerConnection], None],
        role: str = "proxy",
        on_up: Callable[[peer_connection.PeerConnection], object] = lambda _connection: None,
    ) -> None:
        """Creates no connection yet; `connect` does.

        Args:
            loop: the node's event loop.
            settings: the settings in force; they may be read again while the node runs.
            incarnation: of this proxy.
            peer_timeout_s: a connection on which nothing arrives for so long is closed, in seconds.
            node_state: returns the present state of this proxy.
            on_message: (address, connection, message) from a core node.
            on_end: (address, connection) that ended.
            role: that the handshake names.
            on_up: called with a new connection once the handshake and the state were sent.
        """
        self._loop = loop
        self._settings = settings
        self._incarnation = incarnation
        self._peer_timeout_s = peer_timeout_s
        self._node_state = node_state
        self._on_message = on_message
        self._on_end = on_end
        self._role = role
        self._on_up = on_up
        self.members: tuple[str, ...] = tuple(sorted(self._seeds()))
        self._connectors: dict[str, peer_connection.Connector] = {}
        self._near_hosts: set[str] = set()
        self._near_connections: set[peer_connection.PeerConnection] = set()

    def _seeds(self) -> set[str]:
        return {host for host, _port in self._settings().seeds}

    def connect(self) -> None:
        """Connects to members and seeds that have no connector, and stops those that are neither any longer."""
        wanted = set(self.members) | self._seeds()
        for host in wanted - self._connectors.keys():
            self._connectors[host] = peer_connection.Connector(
                loop=self._loop,
                address=(host, self._settings().core_port),
                on_up=self._send_handshake,
                on_message=functools.partial(self._on_message, host),
                on_end=functools.partial(self._handle_end, host),
                peer_timeout_s=self._peer_timeout_s,
            )
        for host in self._connectors.keys() - wanted:
            self._connectors.pop(host).stop()

    def stop(self) -> None:
        """Ends all connections."""
        for connector in self._connectors.values():
            connector.stop()
        self._connectors.clear()

    def install_members(self, members: tuple[str, ...]) -> None:
        """A newer core set was agreed."""
        self.members = members
        self.connect()

    def _send_handshake(self, connection: peer_connection.PeerConnection) -> None:
        settings = self._settings()
        connection.send(
            messages.Handshake(
                role=self._role,
                address=settings.ip,
                zone=settings.zone,
                region=settings.region,
                incarnation=self._incarnation,
                public_address=_public_address(settings),
            )
        )
        connection.send(self._node_state())
        self._on_up(connection)

    def _handle_end(self, host: str, connection: peer_connection.PeerConnection, _reason: str) -> None:
        self._near_connections.discard(connection)
        self._on_end(host, connection)

    def handle_handshake(
        self, host: str, connection: peer_connection.PeerConnection, message: messages.Handshake
    ) -> None:
        """Records whether the core node is in the region of this proxy."""
        if message.region == self._settings().region:
            self._near_hosts.add(host)
            self._near_connections.add(connection)

    def is_near(self, connection: interfaces.Connection) -> bool:
        """Whether it leads to a core node of the own region."""
        return connection in self._near_connections

    def established_connections(self) -> Iterator[tuple[str, peer_connection.PeerConnection]]:
        """The core nodes that can be sent to now: address and connection."""
        for host, connector in self._connectors.items():
            if connector.link is not None and connector.link.is_up:
                yield host, connector.link

    def connection_to(self, host: str) -> peer_connection.PeerConnection | None:
        """The connection to one core node; None where it can't be sent to now."""
        return dict(self.established_connections()).get(host)

    def nearest_connection(self) -> peer_connection.PeerConnection | None:
        """The connection to a core node of the own region, or else to another; None where there is none."""
        found = None
        for host, connection in sorted(self.established_connections()):
            if found is None or host in self._near_hosts:
                found = connection
        return found

    def keep_alive(self) -> None:
        """Shows the core nodes that this process runs; to be called at each heartbeat interval."""
        for _host, connection in self.established_connections():
            connection.keep_alive()

    def send_state(self, state: messages.NodeState) -> None:
        """Notifies all core nodes of a new state of this proxy.

        On a connection that is still being established the state of its begin waits behind the handshake: without the
        new one its core node would go on with the old one for as long as the connection lasts.
        """
        for connector in self._connectors.values():
            if connector.link is not None:
                connector.link.send(state)

    def broadcast(self, message: tuple) -> None:
        """Sends to all core nodes that can be sent to now."""
        for _host, connection in self.established_connections():
            connection.send(message)


def _public_address(settings: settings_files.Settings) -> str:
    """Where clients connect; empty for a node that they don't reach."""
    return "{}:{}".format(*settings.bindings["counter"]) if "counter" in settings.bindings else ""
