"""Membership of this node in a remote digest: its zone's, or the gateway of its region (docs/digest.md 4).

A `DigestConnection` owns the connection to one owner of the digest's singleton role. It is connecting, then connected
(the join message is sent at once), then joined (the digest confirmed it). Invariant: nothing that arrives before the
digest's `DigestJoined`, or on an older connection, is passed to `MemberEvents`.
"""

import dataclasses
import logging
import typing
from collections.abc import Callable

from ploverward.common import errors
from ploverward.data_plane.relay import mirror
from ploverward.transport import event_loop
from ploverward.transport import messages
from ploverward.transport import peer_connection

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class RoleOwner:
    """Owner of the singleton role of a relay or a digest."""

    epoch: int
    address: str


class ConnectorFactory:
    """Connects to other proxies, all at the same port."""

    def __init__(self, *, loop: event_loop.Loop, port: int, peer_timeout_s: float) -> None:
        self._loop = loop
        self._port = port
        self._peer_timeout_s = peer_timeout_s

    def connect(
        self, address: str, *, on_up: Callable, on_message: Callable, on_end: Callable
    ) -> peer_connection.Connector:
        """Returns a connector that keeps a connection to this address until it is stopped."""
        return peer_connection.Connector(
            loop=self._loop,
            address=(address, self._port),
            on_up=on_up,
            on_message=on_message,
            on_end=on_end,
            peer_timeout_s=self._peer_timeout_s,
        )


class MemberEvents(typing.Protocol):
    """Callbacks of a member for the messages of its digest."""

    def on_joined(self, connection: peer_connection.PeerConnection) -> None:
        """Called when the digest admitted this member; it has no state of the member yet."""

    def on_publication(self, region: str, connection: peer_connection.PeerConnection, frame: bytes) -> None:
        """Called with a frame that this region's relay published."""

    def on_credit(self, region: str, number: int) -> None:
        """Called when the loads that the region's relay publishes include this member's reports up to this number."""

    def on_region_lost(self, region: str, connection: peer_connection.PeerConnection) -> None:
        """Called when the digest lost its stream to this region's relay."""

    def on_left(self) -> None:
        """Called when a connection that had joined ended."""


class DigestConnection:
    """A membership in the digest of one owner of the singleton role.

    Args:
        connector_factory: Connects to the owner.
        owner: Owner of the digest.
        join_message: First message on each connection.
        events: Receives the messages of the digest.
    """

    def __init__(
        self,
        *,
        connector_factory: ConnectorFactory,
        owner: RoleOwner,
        join_message: messages.JoinDigest | messages.JoinGateway,
        events: MemberEvents,
    ) -> None:
        self.owner = owner
        self.is_joined = False
        self._events = events
        self._handlers: dict[type, Callable] = {
            messages.RelayedFrame: self._handle_relayed_frame,
            messages.ReportCredited: self._handle_report_credited,
            messages.RegionLost: self._handle_region_lost,
        }
        self.connector = connector_factory.connect(
            owner.address,
            on_up=lambda connection: connection.send(join_message),
            on_message=self._handle_message,
            on_end=self._handle_end,
        )

    @property
    def connection(self) -> peer_connection.PeerConnection | None:
        """The present connection, None while there is none."""
        return self.connector.link

    def stop(self) -> None:
        """Ends the connection; `on_left` is called if it had joined."""
        self.connector.stop()

    def _handle_message(self, connection: peer_connection.PeerConnection, message: tuple) -> None:
        if self.connector.link is not connection:
            return
        if isinstance(message, messages.DigestJoined):
            self.is_joined = True
            self._events.on_joined(connection)
            return
        handler = self._handlers.get(type(message))
        if handler is not None and self.is_joined:
            handler(connection, message)

    def _handle_relayed_frame(self, connection: peer_connection.PeerConnection, message: messages.RelayedFrame) -> None:
        self._events.on_publication(message.region, connection, message.frame)

    def _handle_report_credited(
        self, _connection: peer_connection.PeerConnection, message: messages.ReportCredited
    ) -> None:
        self._events.on_credit(message.region, message.number)

    def _handle_region_lost(self, connection: peer_connection.PeerConnection, message: messages.RegionLost) -> None:
        self._events.on_region_lost(message.region, connection)

    def _handle_end(self, _connection: peer_connection.PeerConnection, _reason: str) -> None:
        if self.is_joined:
            self.is_joined = False
            self._events.on_left()


def install_publication(
    region: mirror.RegionMirror, message: tuple, connection: peer_connection.PeerConnection
) -> bool:
    """Installs a relay's publication in the region's mirror.

    Returns:
        Whether it continued the mirror's state. If not, the connection is closed, so that the stream starts again with
        complete state.
    """
    try:
        region.handle_publication(message)
    except errors.FrameError as error:
        _log.debug("relay_stream_broken", extra={"fault": str(error)})
        connection.close(reason=str(error))
        return False
    return True
