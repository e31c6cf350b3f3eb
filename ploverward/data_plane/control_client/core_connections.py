"""The connections from a proxy to all core nodes (docs/design.md 5).

There is one connector for each member of the core set and for each seed in the settings, because a member may still
be unknown here and a seed may return to the core set. Connectors reconnect automatically. On each new connection the
handshake and the state of this proxy are sent first. The handshake of a core node states its region; core nodes of
the proxy's own region are preferred for messages that go to only one core node.
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
    """Maintains connections to the core nodes and sends messages on them.

    Attributes:
        members: Addresses of the newest core set known here; the seeds until one is installed.
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
        """Creates the object without connections; `connect` opens them.

        Args:
            loop: The node's event loop.
            settings: Returns the current settings, which may be reloaded while the node runs.
            incarnation: Incarnation of this proxy.
            peer_timeout_s: Seconds after which a connection without incoming data is closed.
            node_state: Returns the current state of this proxy.
            on_message: Called with (address, connection, message) for each message of a core node.
            on_end: Called with (address, connection) when a connection has ended.
            role: Role that the handshake states.
            on_up: Called with a new connection once the handshake and the state were sent.
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
        """Connects to members and seeds without a connector; stops connectors of hosts that are no longer either."""
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
        """Installs the members of a newer core set and connects to them."""
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
        """Returns whether a connection leads to a core node of the own region."""
        return connection in self._near_connections

    def established_connections(self) -> Iterator[tuple[str, peer_connection.PeerConnection]]:
        """Yields the address and the connection of each core node whose connection is established."""
        for host, connector in self._connectors.items():
            if connector.link is not None and connector.link.is_up:
                yield host, connector.link

    def connection_to(self, host: str) -> peer_connection.PeerConnection | None:
        """Returns the connection to one core node; None if it is not established."""
        return dict(self.established_connections()).get(host)

    def nearest_connection(self) -> peer_connection.PeerConnection | None:
        """Returns a connection to a core node, in the own region if possible; None if none is established."""
        found = None
        for host, connection in sorted(self.established_connections()):
            if found is None or host in self._near_hosts:
                found = connection
        return found

    def keep_alive(self) -> None:
        """Sends a keep-alive to all core nodes; to be called at each heartbeat interval."""
        for _host, connection in self.established_connections():
            connection.keep_alive()

    def send_state(self, state: messages.NodeState) -> None:
        """Notifies all core nodes of a new state of this proxy.

        Pending connections are included: they have already queued the handshake and the former state, and a core node
        that did not receive the new state would use the former one for as long as the connection lasts.
        """
        for connector in self._connectors.values():
            if connector.link is not None:
                connector.link.send(state)

    def broadcast(self, message: tuple) -> None:
        """Sends a message to all core nodes whose connection is established."""
        for _host, connection in self.established_connections():
            connection.send(message)


def _public_address(settings: settings_files.Settings) -> str:
    """Returns the address at which clients connect; empty for a node without a client listener."""
    return "{}:{}".format(*settings.bindings["counter"]) if "counter" in settings.bindings else ""
