"""Simulated links between machines: delays, partitions, resets, and the wires of connections (docs/simulate.md).

`Network` owns the machines, the partitions and the open wires. A `Wire` carries both directions of one connection, as
TCP does. It preserves the order of the items and loses none while it is open: items that a partition holds back arrive
after the partition has ended. The operating system of a machine accepts connections and data while its process is
frozen, answers for a dead process with a reset, and is silent while the machine has no power.

The connections that use the wires are in simulated_peers.py. HTTP calls, in simulated_http.py, use no wire.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence
from typing import TYPE_CHECKING
from typing import Protocol

from ploverward.simulation.control_plane import simulated_clock

if TYPE_CHECKING:
    from ploverward.simulation.control_plane import machines

NEAR_S = (0.0005, 0.004)  # one-way delay between machines of one region
FAR_S = (0.01, 0.05)  # one-way delay between regions
RETRY_S = (0.0, 0.2)  # time from the end of a partition until held-back items are sent again

HostPair = tuple[str, str]  # (source, target): one direction of a link


class Signal(enum.Enum):
    """An item on a wire that is not data."""

    OPEN = "open"  # first item from the dialer
    OPENED = "opened"  # answer to OPEN
    END = "end"
    RESET = "reset"


Item = bytes | Signal


class WireEnd(Protocol):
    """The interface that a wire needs of the connection at each of its ends."""

    process: machines.Program
    is_open: bool

    def handle_item(self, item: Item) -> None:
        """Handles an item that arrived."""

    def watch_held_back(self) -> None:
        """Handles that a partition begins to hold back the items that this end sends."""


class Network:
    """The machines, the state of the links between them, and the open wires.

    Attributes:
        clock: The clock of the run.
        machines: The machines, by host.
        partitions: Number of faults that cut each pair (source, target).
        added_delays_s: Delay in seconds that is added to each direction of a slow host's links, by host.
    """

    def __init__(self, *, clock: simulated_clock.Clock) -> None:
        self.clock = clock
        self.machines: dict[str, machines.Machine] = {}
        self.partitions: dict[HostPair, int] = {}
        self.added_delays_s: dict[str, float] = {}
        self._healed: list[tuple[float, str]] = []  # (time, host): the last cut link of the host was restored
        self._wires: dict[HostPair, list[Wire]] = {}  # by (dialer, target), in the order of their creation

    def is_partitioned(self, source: str, target: str) -> bool:
        """Returns whether a fault cuts this direction."""
        return bool(self.partitions) and self.partitions.get((source, target), 0) > 0

    def is_host_partitioned(self, host: str) -> bool:
        """Returns whether a fault cuts any link of a host now."""
        return any(host in pair for pair in self.partitions)

    def next_healed_at(self, host: str, since: float) -> float:
        """Returns the first time from `since` on at which the last cut link of a host was restored, or infinity."""
        return min((at for at, healed in self._healed if healed == host and at >= since), default=math.inf)

    def delay(self, source: str, target: str) -> float:
        """Draws the delay of the next item, in seconds."""
        one, other = self.machines.get(source), self.machines.get(target)
        is_near = one is not None and other is not None and one.region == other.region
        delay = self.clock.chance.uniform(*(NEAR_S if is_near else FAR_S))
        if self.added_delays_s:
            delay += self.added_delays_s.get(source, 0.0) + self.added_delays_s.get(target, 0.0)
        return delay

    def partition(self, *, pairs: Sequence[HostPair], is_reset: bool) -> None:
        """Cuts these directions until a matching `join`. If `is_reset`, also resets the connections.

        Partitions may overlap: a direction stays cut until each `partition` of it has been ended.
        """
        for pair in pairs:
            self.partitions[pair] = self.partitions.get(pair, 0) + 1
        if is_reset:
            self.reset(pairs=pairs)

    def join(self, *, pairs: Sequence[HostPair]) -> None:
        """Ends one `partition` of these directions, and sends the items that it held back."""
        for pair in pairs:
            self.partitions[pair] -= 1
            if not self.partitions[pair]:
                del self.partitions[pair]
        for host in sorted({host for pair in pairs for host in pair}):
            if not self.is_host_partitioned(host):
                self._healed.append((self.clock.time, host))
        for source, target in pairs:
            for wire in self._wires_between(source, target):
                wire.flush()

    def reset(self, *, pairs: Sequence[HostPair]) -> None:
        """Resets all connections between these pairs of hosts, whichever side opened them."""
        for source, target in pairs:
            for wire in self._wires_between(source, target):
                wire.reset()

    def _wires_between(self, source: str, target: str) -> list[Wire]:
        return [*self._wires.get((source, target), ()), *self._wires.get((target, source), ())]

    def add(self, wire: Wire) -> None:
        """Registers an open wire, to which partitions and resets apply."""
        self._wires.setdefault(wire.hosts, []).append(wire)

    def drop(self, wire: Wire) -> None:
        """Removes a wire; does nothing if it was removed already."""
        wires = self._wires.get(wire.hosts, [])
        if wire in wires:
            wires.remove(wire)


class Wire:
    """Both directions of one connection; direction 0 is the one from the dialer.

    Attributes:
        network: The network that it belongs to.
        hosts: The hosts of the dialer and of the listener.
        ends: The connection objects at both ends; the second is None until the listener's process accepts.
        port: The port that was dialed.
        is_over: Whether the connection has ended, so that no item arrives any more.
    """

    __slots__ = ("network", "hosts", "ends", "port", "_held_back", "_last_arrivals", "_before_accept", "is_over")

    def __init__(self, *, network: Network, dialer_end: WireEnd, source: str, target: str, port: int) -> None:
        self.network = network
        self.hosts = (source, target)
        self.ends: list[WireEnd | None] = [dialer_end, None]
        self.port = port
        self.is_over = False
        # (time sent, item) that a partition holds back, by direction
        self._held_back: tuple[list[tuple[float, Item]], ...] = ([], [])
        self._last_arrivals = [0.0, 0.0]  # arrival time of the newest item, by direction
        self._before_accept: list[Item] = []  # items that arrived before the process accepted the connection
        network.add(self)

    def transmit(self, direction: int, item: Item) -> None:
        """Sends an item in one direction."""
        if self.is_over:
            return
        clock = self.network.clock
        source, target = self.hosts if direction == 0 else self.hosts[::-1]
        held_back = self._held_back[direction]
        if held_back or self.network.is_partitioned(source, target):
            end = self.ends[direction]
            if not held_back and end is not None:
                end.watch_held_back()
            held_back.append((clock.time, item))
            return
        when = max(clock.time + self.network.delay(source, target), self._last_arrivals[direction])
        self._last_arrivals[direction] = when
        clock.schedule(when=when, callback=lambda: self._arrive(direction, item))

    def held_back_for_s(self, direction: int) -> float:
        """Returns for how many seconds the oldest item of a direction has been held back; 0 if none is."""
        held_back = self._held_back[direction]
        return self.network.clock.time - held_back[0][0] if held_back else 0.0

    def flush(self) -> None:
        """Sends the held-back items of each direction that is not cut any more, after a drawn pause."""
        clock = self.network.clock
        for direction, held_back in enumerate(self._held_back):
            source, target = self.hosts if direction == 0 else self.hosts[::-1]
            if not held_back or self.network.is_partitioned(source, target):
                continue
            items = [item for _when, item in held_back]
            held_back.clear()
            pause_s = clock.chance.uniform(*RETRY_S)
            self._last_arrivals[direction] = max(self._last_arrivals[direction], clock.time + pause_s)
            for item in items:
                self.transmit(direction, item)

    def reset(self) -> None:
        """Resets both ends immediately."""
        for direction in (0, 1):
            self._arrive(direction, Signal.RESET)
        self._finish()

    def close(self, end: WireEnd, *, signal: Signal) -> None:
        """Sends the last signal of an end whose process closed it, or died while the machine kept running."""
        self.transmit(0 if end is self.ends[0] else 1, signal)

    def _finish(self) -> None:
        self.is_over = True
        self.network.drop(self)

    def _arrive(self, direction: int, item: Item) -> None:
        target = self.network.machines.get(self.hosts[1 - direction])
        if self.is_over or target is None or not target.is_powered:
            return
        end = self.ends[1 - direction]
        if direction == 0 and item is Signal.OPEN:
            self._open(target)
        elif end is None and direction == 0:
            self._before_accept.append(item)
        elif end is None or not end.is_open or not end.process.is_alive:
            self._refuse(direction, item)
        else:
            self._deliver(end, item)

    def _refuse(self, direction: int, item: Item) -> None:
        """Answers as the operating system does for a connection whose process closed it or died."""
        if item is Signal.END or item is Signal.RESET:
            self._finish()
        else:
            self.transmit(1 - direction, Signal.RESET)

    def _deliver(self, end: WireEnd, item: Item) -> None:
        if not end.process.is_frozen:
            end.process.guard(lambda: end.handle_item(item))
            return
        clock = self.network.clock
        clock.schedule(
            when=clock.time,
            callback=lambda: end.handle_item(item),
            process=end.process,
            kind=simulated_clock.EventKind.DELIVERY,
        )

    def _open(self, machine: machines.Machine) -> None:
        listener = machine.peer_listeners.get(self.port)
        if listener is None:
            self.transmit(1, Signal.RESET)
            return
        self.transmit(1, Signal.OPENED)

        def accept() -> None:
            end = self.ends[1] = listener.accept(self)
            before_accept, self._before_accept = self._before_accept, []
            for item in before_accept:
                if end.is_open:
                    end.handle_item(item)

        self.network.clock.later(
            delay=0.0, callback=accept, process=listener.process, kind=simulated_clock.EventKind.DELIVERY
        )
