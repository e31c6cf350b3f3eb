"""Simulated connections between nodes, the counterparts of ploverward.transport.peer_connection (docs/simulate.md).

`PeerConnection` has the interface of ploverward/transport/interfaces.py. `Connector` and `PeerListener` take the
arguments of the real classes, and a runtime that states their process, machine and network. Messages are packed and
unpacked with the real codec.
"""

from __future__ import annotations

import functools
import math
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Protocol

from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_network
from ploverward.transport import frames
from ploverward.transport import messages
from ploverward.transport import peer_connection

if TYPE_CHECKING:
    from ploverward.simulation.control_plane import machines

FLOAT_TOLERANCE_S = 1e-6  # durations that differ by less count as equal, because they are sums of floats
# The first pause before a reconnect is the peer timeout divided by this, the reciprocal of FIRST_BACKOFF_SHARE of the
# real connector. A product with the share would round differently and change the histories of existing seeds.
FIRST_BACKOFF_DIVISOR = 40
CACHED_FRAMES = 8192
pack = functools.lru_cache(maxsize=CACHED_FRAMES, typed=True)(frames.pack)
unpack = functools.lru_cache(maxsize=CACHED_FRAMES)(frames.unpack)


class PeerRuntime(Protocol):
    """The process, the machine and the network in which connections are made."""

    network: simulated_network.Network
    machine: machines.Machine
    process: machines.Program

    def chance(self) -> float:
        """Returns a random number from 0.0 (inclusive) to 1.0 (exclusive)."""


class PeerConnection:
    """One end of a connection.

    Arguments and attributes are those of ploverward.transport.peer_connection.PeerConnection, except for these.

    Attributes:
        process: The process in which this end runs.
        wire: The wire that connects both ends.
    """

    wire: simulated_network.Wire

    def __init__(
        self,
        *,
        process: machines.Program,
        loop: simulated_clock.Loop,
        on_message: Callable[[PeerConnection, tuple], object],
        on_end: Callable[[PeerConnection, str], object],
        peer_timeout_s: float,
        is_connecting: bool,
        peer: str,
    ) -> None:
        """Creates an end; the creator must set `wire` before it uses the connection."""
        self.process = process
        self.loop = loop
        self.peer = peer
        self.hello: tuple | None = None
        self.is_open = True
        self.is_up = not is_connecting
        self.last_received_at = loop.now()
        self.has_received = False
        self._has_sent = False  # whether a frame was sent since the last call of `keep_alive`
        self.opened_at = loop.now()
        self.peer_timeout_s = peer_timeout_s
        self.frame = b""
        self._direction = 0 if is_connecting else 1
        self._on_message = on_message
        self._on_end = on_end
        self._unsent: list[bytes] = []
        process.links.add(self)
        self._timeout_timer = loop.after(delay=peer_timeout_s / 2, callback=self._check_peer_timeout)

    def _check_peer_timeout(self) -> None:
        if not self.is_open:
            return
        if self.loop.now() - self.last_received_at > self.peer_timeout_s:
            self.close(reason="silent")
            return
        # The real connection checks at each quarter of the timeout; checks that can't yet fail are skipped here.
        quarter = self.peer_timeout_s / 4
        left = self.peer_timeout_s - (self.loop.now() - self.last_received_at)
        self._timeout_timer = self.loop.after(
            delay=quarter * max(1, math.ceil(left / quarter)), callback=self._check_peer_timeout
        )

    def watch_held_back(self) -> None:
        """Ends the connection unless the held-back data is sent within the peer timeout, as TCP_USER_TIMEOUT does."""
        if self.is_open:
            self.loop.after(delay=self.peer_timeout_s, callback=self._check_held_back)

    def _check_held_back(self) -> None:
        held_back_s = self.wire.held_back_for_s(self._direction)
        if self.is_open and held_back_s >= self.peer_timeout_s - FLOAT_TOLERANCE_S:
            self.close(reason="ETIMEDOUT")
        elif self.is_open and held_back_s:
            self.loop.after(delay=self.peer_timeout_s - held_back_s, callback=self._check_held_back)

    def queued(self) -> int:
        """Returns how many bytes wait to be sent."""
        return sum(len(frame) for frame in self._unsent)

    def send(self, message: tuple) -> None:
        """Sends a message; does nothing on a closed connection."""
        self.send_bytes(pack(message))

    def keep_alive(self) -> None:
        """Sends a keep-alive message unless a frame was sent since the last call of this method."""
        if not self._has_sent:
            self.send(messages.KeepAlive(number=0))
        self._has_sent = False

    def send_bytes(self, data: bytes) -> None:
        """Sends one packed frame; does nothing on a closed connection."""
        if not self.is_open:
            return
        self._has_sent = True
        if self.is_up:
            self.wire.transmit(self._direction, data)
        else:
            self._unsent.append(data)

    def handle_item(self, item: simulated_network.Item) -> None:
        """Handles an item that arrived on the wire."""
        if not self.is_open:
            return
        if isinstance(item, bytes):
            self._handle_frame(item)
        elif item is simulated_network.Signal.OPENED:
            self.is_up = True
            self.last_received_at = self.loop.now()
            unsent, self._unsent = self._unsent, []
            for data in unsent:
                self.wire.transmit(self._direction, data)
        else:
            self.close(reason="closed" if item is simulated_network.Signal.END else "ECONNRESET")

    def _handle_frame(self, frame: bytes) -> None:
        self.last_received_at = self.loop.now()
        self.has_received = True
        message = unpack(frame)
        if type(message) is messages.KeepAlive:
            return
        self.frame = frame
        self._on_message(self, message)

    def close(self, *, reason: str = "") -> None:
        """Ends the connection; calls `on_end` with the reason before it returns."""
        if not self.is_open:
            return
        self.is_open = False
        self.loop.cancel(timer=self._timeout_timer)
        self.process.links.discard(self)
        self.wire.close(self, signal=simulated_network.Signal.END)
        self._on_end(self, reason)


class Connector:
    """Keeps one connection to an address open, and reconnects after it has ended.

    Arguments and attributes are those of ploverward.transport.peer_connection.Connector, and a runtime.
    """

    def __init__(
        self,
        *,
        runtime: PeerRuntime,
        loop: simulated_clock.Loop,
        address: tuple[str, int],
        on_up: Callable[[PeerConnection], object],
        on_message: Callable[[PeerConnection, tuple], object],
        on_end: Callable[[PeerConnection, str], object],
        peer_timeout_s: float,
    ) -> None:
        self.loop = loop
        self.address = address
        self.link: PeerConnection | None = None
        self._runtime = runtime
        self._on_up = on_up
        self._on_message = on_message
        self._on_end = on_end
        self._peer_timeout_s = peer_timeout_s
        self._backoff_s = peer_timeout_s / FIRST_BACKOFF_DIVISOR
        self._is_stopped = False
        self._connect()

    def stop(self) -> None:
        """Closes the connection and stops reconnecting."""
        self._is_stopped = True
        if self.link is not None:
            self.link.close(reason="stopped")

    def _connect(self) -> None:
        if self._is_stopped:
            return
        host, port = self.address
        self.link = PeerConnection(
            process=self._runtime.process,
            loop=self.loop,
            on_message=self._handle_message,
            on_end=self._handle_end,
            peer_timeout_s=self._peer_timeout_s,
            is_connecting=True,
            peer=f"{host}:{port}",
        )
        self.link.wire = simulated_network.Wire(
            network=self._runtime.network,
            dialer_end=self.link,
            source=self._runtime.machine.host,
            target=host,
            port=port,
        )
        self.link.wire.transmit(0, simulated_network.Signal.OPEN)
        self._on_up(self.link)

    def _handle_message(self, link: PeerConnection, message: tuple) -> None:
        self._backoff_s = self._peer_timeout_s / FIRST_BACKOFF_DIVISOR
        self._on_message(link, message)

    def _handle_end(self, link: PeerConnection, reason: str) -> None:
        if self.link is link:
            self.link = None
        self._on_end(link, reason)
        self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        if self._is_stopped:
            return
        self._backoff_s = min(
            self._backoff_s * peer_connection.BACKOFF_GROWTH,
            self._peer_timeout_s * peer_connection.MAX_BACKOFF_SHARE,
        )
        low, high = peer_connection.BACKOFF_JITTER
        jitter = low + (high - low) * self._runtime.chance()
        self.loop.after(delay=self._backoff_s * jitter, callback=self._connect)


class PeerListener:
    """Accepts connections of other nodes.

    Arguments are those of ploverward.transport.peer_connection.PeerListener, and a runtime.

    Attributes:
        process: The process that listens.
    """

    def __init__(
        self,
        *,
        runtime: PeerRuntime,
        loop: simulated_clock.Loop,
        address: tuple[str, int],
        on_connection: Callable[[PeerConnection], object],
        on_message: Callable[[PeerConnection, tuple], object],
        on_end: Callable[[PeerConnection, str], object],
        peer_timeout_s: float,
    ) -> None:
        self.process = runtime.process
        self._loop = loop
        self._on_connection = on_connection
        self._on_message = on_message
        self._on_end = on_end
        self._peer_timeout_s = peer_timeout_s
        _host, port = address
        runtime.machine.peer_listeners[port] = self

    def accept(self, wire: simulated_network.Wire) -> PeerConnection:
        """Accepts a connection that another host opened; returns the local end."""
        dialer, _own = wire.hosts
        link = PeerConnection(
            process=self.process,
            loop=self._loop,
            on_message=self._on_message,
            on_end=self._on_end,
            peer_timeout_s=self._peer_timeout_s,
            is_connecting=False,
            peer=dialer,
        )
        link.wire = wire
        self._on_connection(link)
        return link
