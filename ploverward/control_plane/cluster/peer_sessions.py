"""Sessions with other nodes: connections to and from them, and the peers that are connected (design 4).

Owns the listener for other nodes, one connector for each other core node, and a `Peer` for each connection whose other
side has sent its handshake. Invariant: at most one peer has a given address, because a newer connection of the same
node closes the older one.
"""

import dataclasses
import enum
import logging
from collections.abc import Callable

from ploverward.common import reloadable_settings
from ploverward.control_plane import node_runtime
from ploverward.control_plane import node_status
from ploverward.transport import event_loop
from ploverward.transport import interfaces
from ploverward.transport import messages
from ploverward.transport import peer_connection

_log = logging.getLogger(__name__)


class NodeRole(enum.Enum):
    """Kind of node that a peer is. The values are those of the handshake."""

    CORE = "core"
    PROXY = "proxy"
    STORE = "store"
    UNKNOWN = ""  # not known to this version; such a peer stays connected but receives only keep-alives

    @classmethod
    def _missing_(cls, _value: object) -> "NodeRole":
        return cls.UNKNOWN


@dataclasses.dataclass(slots=True, eq=False)
class Peer:
    """State of one connected node, from its handshake until its connection ends.

    Attributes:
        connection: The connection.
        role: Kind of node.
        address: IP address of the node.
        zone: Zone of the node.
        region: Region of the node.
        incarnation: Identifies one start of the node's process.
        public_address: ADDRESS:PORT at which clients reach a proxy; empty for core nodes.
        is_ready: Whether a proxy reported that it may serve.
        is_draining: Whether the node reported that it is shutting down.
    """

    connection: interfaces.Connection
    role: NodeRole
    address: str
    zone: str
    region: str
    incarnation: str
    public_address: str
    is_ready: bool = False
    is_draining: bool = False


class PeerSessions:
    """Manages the connections to and from other nodes.

    Args:
        runtime: Creates the listener and the connectors.
        loop: The event loop.
        settings: The settings in force; seeds, zone and region are read at each use.
        status: Status of this node, which shows whether it is draining.
        incarnation: Identifies this start of this process.
        peer_timeout_s: Time after which a connection on which nothing arrives is closed, in seconds.
        members: Returns the agreed core set.
        on_message: Called with each message and its connection.
        on_joined: Called with each peer after its handshake arrived.
        on_dialed: Called whenever a connection to a core node is being opened; messages sent on it are queued.
        on_ended: Called with a connection that ended and its peer, or None if no handshake had arrived on it.

    Attributes:
        proxy_count: How many proxies are connected, ready or not.
    """

    def __init__(
        self,
        *,
        runtime: node_runtime.NodeRuntime,
        loop: event_loop.Loop,
        settings: reloadable_settings.ReloadableSettings,
        status: node_status.NodeStatus,
        incarnation: str,
        peer_timeout_s: float,
        members: Callable[[], tuple[str, ...]],
        on_message: Callable[[interfaces.Connection, tuple], None],
        on_joined: Callable[[Peer], None],
        on_dialed: Callable[[], None],
        on_ended: Callable[[interfaces.Connection, Peer | None], None],
    ) -> None:
        self._runtime = runtime
        self._loop = loop
        self._settings = settings
        self._status = status
        self._incarnation = incarnation
        self._peer_timeout_s = peer_timeout_s
        self._members = members
        self._on_message = on_message
        self._on_joined = on_joined
        self._on_dialed = on_dialed
        self._on_ended = on_ended
        self._own = settings.current.ip
        self._peers: dict[interfaces.Connection, Peer] = {}
        self._connectors: dict[str, peer_connection.Connector] = {}  # by address of a core node
        self.proxy_count = 0
        self._listener = runtime.peer_listener(
            loop=loop,
            address=(self._own, settings.current.core_port),
            on_connection=lambda _connection: None,
            on_message=on_message,
            on_end=self._handle_end,
            peer_timeout_s=peer_timeout_s,
        )

    def connect_to_cores(self) -> None:
        """Starts connectors to members, seeds and connected core nodes, and stops those to all other addresses."""
        settings = self._settings.current
        wanted = set(self._members()) | {host for host, _port in settings.seeds} | self.core_addresses()
        wanted.discard(self._own)
        for host in wanted - self._connectors.keys():
            self._connectors[host] = self._runtime.connector(
                loop=self._loop,
                address=(host, settings.core_port),
                on_up=self._handle_dialed,
                on_message=self._on_message,
                on_end=self._handle_end,
                peer_timeout_s=self._peer_timeout_s,
            )
        for host in self._connectors.keys() - wanted:
            self._connectors.pop(host).stop()

    def _handle_dialed(self, connection: interfaces.Connection) -> None:
        self.send_handshake(connection)
        self._on_dialed()

    def send_handshake(self, connection: interfaces.Connection) -> None:
        """Sends the identity of this node to the other side, and its state if it is draining."""
        settings = self._settings.current
        connection.send(
            messages.Handshake(
                role=NodeRole.CORE.value,
                address=self._own,
                zone=settings.zone,
                region=settings.region,
                incarnation=self._incarnation,
                public_address="",
            )
        )
        if self._status.is_draining:
            connection.send(messages.NodeState(is_ready=False, is_draining=True))

    def handle_handshake(self, connection: interfaces.Connection, message: messages.Handshake) -> None:
        """Registers the peer on a connection, and closes older connections of the same node."""
        for older, peer in list(self._peers.items()):
            if peer.address == message.address and older is not connection:
                older.close(reason="replaced by a newer connection of the same node")
        previous = self._peers.get(connection)
        peer = Peer(
            connection=connection,
            role=NodeRole(message.role),
            address=message.address,
            zone=message.zone,
            region=message.region,
            incarnation=message.incarnation,
            public_address=message.public_address,
        )
        self._peers[connection] = peer
        self.proxy_count += _is_proxy(peer) - _is_proxy(previous)
        if peer.role is NodeRole.CORE and peer.address not in self._connectors:
            self.connect_to_cores()
        self._on_joined(peer)

    def handle_state(self, connection: interfaces.Connection, message: messages.NodeState) -> None:
        """Records whether a peer is ready and whether it is draining."""
        peer = self._peers.get(connection)
        if peer is not None:
            peer.is_ready, peer.is_draining = message.is_ready, message.is_draining

    def _handle_end(self, connection: interfaces.Connection, reason: str) -> None:
        peer = self._peers.pop(connection, None)
        if peer is not None and peer.role is NodeRole.PROXY:
            self.proxy_count -= 1
            _log.debug("proxy_disconnected", extra={"peer": peer.address, "reason": reason})
        self._on_ended(connection, peer)

    def send_to_core(self, address: str, message: tuple) -> None:
        """Sends a message to one core node; without a connection it is dropped, since consensus rounds are retried."""
        connector = self._connectors.get(address)
        if connector is not None and connector.link is not None:
            connector.link.send(message)

    def broadcast_to_cores(self, message: tuple) -> None:
        """Sends a message to all connected core nodes."""
        for connector in self._connectors.values():
            if connector.link is not None and connector.link.is_up:
                connector.link.send(message)

    def peers(self) -> list[Peer]:
        """Returns all peers, in the order in which they connected."""
        return list(self._peers.values())

    def proxies(self, *, serving_only: bool = True) -> list[Peer]:
        """Returns the connected proxies, by default only those that may serve.

        Args:
            serving_only: Whether to return only proxies that may serve: ready and not draining.
        """
        return [
            peer
            for peer in self._peers.values()
            if peer.role is NodeRole.PROXY and (not serving_only or (peer.is_ready and not peer.is_draining))
        ]

    def cores(self) -> list[Peer]:
        """Returns the other connected core nodes, members or not."""
        return [peer for peer in self._peers.values() if peer.role is NodeRole.CORE]

    def stores(self) -> list[Peer]:
        """Returns the connected stores."""
        return [peer for peer in self._peers.values() if peer.role is NodeRole.STORE]

    def core_addresses(self) -> set[str]:
        """Returns the addresses of the other connected core nodes."""
        return {peer.address for peer in self._peers.values() if peer.role is NodeRole.CORE}

    def draining_core_addresses(self) -> set[str]:
        """Returns the addresses of the other connected core nodes that are shutting down."""
        return {peer.address for peer in self.cores() if peer.is_draining}

    def connector_addresses(self) -> list[str]:
        """Returns the addresses of the core nodes that this node has a connector to, connected or not."""
        return list(self._connectors)

    def core_connection(self, address: str) -> interfaces.Connection | None:
        """Returns the connection that this node dialed to a core node, possibly still connecting, or None."""
        connector = self._connectors.get(address)
        return connector.link if connector is not None else None

    def proxy_of(self, connection: interfaces.Connection) -> Peer | None:
        """Returns the proxy on this connection, or None if the peer is no proxy."""
        peer = self._peers.get(connection)
        return peer if peer is not None and peer.role is NodeRole.PROXY else None

    def core_address_of(self, connection: interfaces.Connection) -> str:
        """Returns the address of the core node on this connection; empty if the peer is no core node.

        For a connection that this node dialed and whose other side has sent no handshake yet, this is the dialed
        address.
        """
        peer = self._peers.get(connection)
        if peer is not None:
            return peer.address if peer.role is NodeRole.CORE else ""
        return next((host for host, connector in self._connectors.items() if connector.link is connection), "")

    def is_core_live(self, address: str) -> bool:
        """Returns whether this core node is connected and has sent something; always true for this node itself.

        A frozen machine accepts connections but sends nothing, so a connection counts only once something was received
        on it (docs/incidents/frozen-holder.md;
        `test_core_node_that_accepts_connections_but_sends_nothing_is_not_live`).
        """
        if address == self._own:
            return True
        connector = self._connectors.get(address)
        connection = connector.link if connector is not None else None
        return connection is not None and connection.is_up and connection.has_received


def _is_proxy(peer: Peer | None) -> bool:
    return peer is not None and peer.role is NodeRole.PROXY
