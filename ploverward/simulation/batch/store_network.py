"""Connections between simulated stores: ordered and delayed, stalled by a partition, closed by a long one."""

from __future__ import annotations

import functools
import typing
from collections.abc import Callable

from ploverward.simulation.control_plane import simulated_clock

DELAY_S = (0.0005, 0.02)  # bounds of the delay of a message
RECONNECT_S = 0.1
SILENCE_TIMEOUT_S = 0.8  # after which a stalled connection is closed
END_NOTICE_DELAY_S = (0.0, 0.5)  # bounds of the delay until the accepting end notices a close


class Endpoint(typing.Protocol):
    """Machine that accepts connections."""

    name: str
    process: simulated_clock.Process | None

    def accept(self, channel: Channel, message: tuple) -> None:
        """Handles a message on a connection that another machine opened."""

    def handle_end(self, channel: Channel) -> None:
        """Handles the end of a connection that another machine opened."""


class Network:
    """Reachability between machines.

    Attributes:
        clock: Simulated clock of the run.
        partitions: Pairs (source, target) between which no messages arrive, in this direction.
    """

    def __init__(self, clock: simulated_clock.Clock) -> None:
        self.clock = clock
        self.partitions: set[tuple[str, str]] = set()

    def is_reachable(self, source: str, target: str) -> bool:
        """Returns whether messages from the source arrive at the target."""
        return (source, target) not in self.partitions


class Channel:
    """One connection. The opening end has callbacks, the accepting end is an `Endpoint`, which answers with `send`."""

    def __init__(
        self,
        *,
        network: Network,
        opener: str,
        target: Endpoint,
        process: simulated_clock.Process,
        on_message: Callable[[tuple], object],
        on_end: Callable[[], object],
    ) -> None:
        self._network = network
        self._opener = opener
        self._target = target
        self._opener_process = process
        self._target_process = target.process
        self._on_message = on_message
        self._on_end = on_end
        self._free_at = {True: 0.0, False: 0.0}  # arrival of the last message, by `is_forward`
        self._stalled: list[tuple[bool, tuple]] = []
        self._stalled_since: float | None = None
        self.is_open = True
        network.clock.later(delay=SILENCE_TIMEOUT_S / 4, callback=self._check)

    # Sending.
    def send_forward(self, message: tuple) -> None:
        """Sends to the accepting end."""
        self._send(message, is_forward=True)

    def send(self, message: tuple) -> None:
        """Sends to the opening end."""
        self._send(message, is_forward=False)

    def _send(self, message: tuple, *, is_forward: bool) -> None:
        if not self.is_open:
            return
        pair = (self._opener, self._target.name) if is_forward else (self._target.name, self._opener)
        if self._stalled or not self._network.is_reachable(*pair):
            self._stalled.append((is_forward, message))
            return
        clock = self._network.clock
        arrival = max(self._free_at[is_forward], clock.time + clock.chance.uniform(*DELAY_S))
        self._free_at[is_forward] = arrival
        deliver = functools.partial(self._deliver, message, is_forward=is_forward)
        clock.schedule(
            when=arrival,
            callback=deliver,
            process=self._target_process if is_forward else self._opener_process,
        )

    def _deliver(self, message: tuple, *, is_forward: bool) -> None:
        if is_forward:
            self._target.accept(self, message)
        elif self.is_open:
            self._on_message(message)

    # Closing.
    def _check(self) -> None:
        """Sends messages stalled by a partition; closes the connection if it stalls too long or a process has ended."""
        if not self.is_open:
            return
        clock = self._network.clock
        target, opener = self._target.name, self._opener
        is_connected = self._network.is_reachable(opener, target) and self._network.is_reachable(target, opener)
        is_alive = self._target_process is not None and self._target_process.is_alive and self._opener_process.is_alive
        if is_connected and is_alive:
            self._stalled_since = None
            stalled, self._stalled = self._stalled, []
            for is_forward, message in stalled:
                self._send(message, is_forward=is_forward)
        elif self._stalled_since is None:
            self._stalled_since = clock.time
        if not is_alive or (self._stalled_since is not None and clock.time - self._stalled_since >= SILENCE_TIMEOUT_S):
            self.close()
            return
        clock.later(delay=SILENCE_TIMEOUT_S / 4, callback=self._check)

    def close(self) -> None:
        """Closes the connection.

        The opening end is notified at once, the accepting end later, after the messages that are in flight to it.
        """
        if not self.is_open:
            return
        self.is_open = False
        clock = self._network.clock
        if self._opener_process.is_alive:
            clock.later(delay=0.0, callback=self._on_end, process=self._opener_process)
        if self._target_process is not None and self._target_process.is_alive:
            late = max(clock.time, self._free_at[True]) + clock.chance.uniform(*END_NOTICE_DELAY_S)
            end = functools.partial(self._target.handle_end, self)
            clock.schedule(when=late, callback=end, process=self._target_process)


class Links:
    """Simulated replacement of `ploverward.store.store_links.StoreLinks`."""

    def __init__(
        self,
        *,
        network: Network,
        own: str,
        process: simulated_clock.Process,
        find: Callable[[str], Endpoint],
        on_up: Callable[[str], object],
        on_message: Callable[[str, tuple], object],
        on_end: Callable[[str], object],
    ) -> None:
        self._network = network
        self._own = own
        self._process = process
        self._find = find
        self._on_up = on_up
        self._on_message = on_message
        self._on_end = on_end
        self._wanted: set[str] = set()
        self._channels: dict[str, Channel] = {}

    def update(self, addresses: set[str]) -> None:
        """Connects to these stores and closes the connections to others."""
        for address in sorted(addresses - self._wanted):
            self._network.clock.later(
                delay=0.0, callback=functools.partial(self._connect, address), process=self._process
            )
        for address in sorted(self._wanted - addresses):
            channel = self._channels.pop(address, None)
            if channel is not None:
                channel.close()
        self._wanted = set(addresses)

    def _connect(self, address: str) -> None:
        if address not in self._wanted or address in self._channels:
            return
        target = self._find(address)
        network = self._network
        is_connected = network.is_reachable(self._own, address) and network.is_reachable(address, self._own)
        if target.process is None or not target.process.is_alive or target.process.is_frozen or not is_connected:
            network.clock.later(
                delay=RECONNECT_S, callback=functools.partial(self._connect, address), process=self._process
            )
            return
        self._channels[address] = Channel(
            network=network,
            opener=self._own,
            target=target,
            process=self._process,
            on_message=functools.partial(self._on_message, address),
            on_end=functools.partial(self._handle_end, address),
        )
        self._on_up(address)

    def _handle_end(self, address: str) -> None:
        if self._channels.pop(address, None) is None:
            return
        self._on_end(address)
        self._network.clock.later(
            delay=RECONNECT_S, callback=functools.partial(self._connect, address), process=self._process
        )

    def send(self, address: str, message: tuple) -> None:
        """Sends a message to a store; it is lost if there is no connection."""
        if address in self._channels:
            self._channels[address].send_forward(message)

    def keep_alive(self) -> None:
        """Does nothing: `Channel` detects silence without keep-alive messages."""

    def stop(self) -> None:
        """Closes all connections."""
        self.update(set())
