"""Connections from a primary to the stores that keep copies of its partitions, one connector per store."""

from __future__ import annotations

import functools
from collections.abc import Callable

from ploverward.transport import event_loop
from ploverward.transport import peer_connection


class StoreLinks:
    """Opens connections to other stores and sends messages over them.

    Args:
        loop: The event loop.
        port: Port on which all stores listen.
        peer_timeout_s: Seconds without incoming data after which a connection is closed.
        on_up: Called with the address of a store for each new connection, while it is still connecting; `send` drops
            messages until it is established.
        on_message: Called with the address of a store and a message from it.
        on_end: Called with the address of a store when its connection has closed.
    """

    def __init__(
        self,
        *,
        loop: event_loop.Loop,
        port: int,
        peer_timeout_s: float,
        on_up: Callable[[str], object],
        on_message: Callable[[str, tuple], object],
        on_end: Callable[[str], object],
    ) -> None:
        self._loop = loop
        self._port = port
        self._peer_timeout_s = peer_timeout_s
        self._on_up = on_up
        self._on_message = on_message
        self._on_end = on_end
        self._connectors: dict[str, peer_connection.Connector] = {}

    def update(self, addresses: set[str]) -> None:
        """Connects to these stores and closes the connections to all others."""
        for address in addresses - self._connectors.keys():
            self._connectors[address] = peer_connection.Connector(
                loop=self._loop,
                address=(address, self._port),
                on_up=functools.partial(self._handle_up, address),
                on_message=functools.partial(self._handle_message, address),
                on_end=functools.partial(self._handle_end, address),
                peer_timeout_s=self._peer_timeout_s,
            )
        for address in self._connectors.keys() - addresses:
            self._connectors.pop(address).stop()

    def _handle_up(self, address: str, _connection: peer_connection.PeerConnection) -> None:
        self._on_up(address)

    def _handle_message(self, address: str, _connection: peer_connection.PeerConnection, message: tuple) -> None:
        self._on_message(address, message)

    def _handle_end(self, address: str, _connection: peer_connection.PeerConnection, _reason: str) -> None:
        self._on_end(address)

    def send(self, address: str, message: tuple) -> None:
        """Sends a message to a store; without a connection the message is dropped.

        A dropped message is not sent again: on a new connection the primary first requests the state of the logs.
        """
        connector = self._connectors.get(address)
        if connector is not None and connector.link is not None and connector.link.is_up:
            connector.link.send(message)

    def keep_alive(self) -> None:
        """Sends heartbeats. Called at each heartbeat interval."""
        for connector in self._connectors.values():
            if connector.link is not None and connector.link.is_up:
                connector.link.keep_alive()

    def stop(self) -> None:
        """Closes all connections."""
        self.update(set())
