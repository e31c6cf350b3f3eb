"""Interfaces of the event loop and of connections between nodes, with a real and a simulated implementation.

The real implementations are `event_loop.Loop` and `peer_connection.PeerConnection`. The simulation replaces them by its
own (ploverward/simulation/control_plane), so that it runs the code of a core node unchanged (docs/simulate.md).
test_interfaces.py compares both implementations with these protocols.
"""

from collections.abc import Callable
from typing import Any
from typing import Protocol
from typing import runtime_checkable

Callback = Callable[[], object]
Message = tuple  # a named tuple of one of the types in ploverward.transport.messages


@runtime_checkable
class Timer(Protocol):
    """A scheduled call.

    Attributes:
        is_over: Whether the call was made or cancelled.
    """

    is_over: bool


class Outcome(Protocol):
    """Outcome of work on a worker thread: a finished `concurrent.futures.Future` or its simulated counterpart."""

    def exception(self) -> BaseException | None:
        """Returns the exception that the work raised, or None."""

    def result(self) -> Any:  # noqa: ANN401  # the type depends on the work
        """Returns the result of the work, or raises the exception that it raised."""


@runtime_checkable
class Loop(Protocol):
    """Event loop whose thread owns all state: runs timers, commands from other threads and offloaded blocking work."""

    def now(self) -> float:
        """Returns the time of a monotonic clock, in seconds."""

    def call_soon_threadsafe(self, *, callback: Callback) -> None:
        """Queues a callback to run soon; the only method that other threads and signal handlers may call."""

    def offload(self, *, work: Callable[[], object], done: Callable[[Outcome], object]) -> None:
        """Runs `work` on a worker thread, then calls `done(outcome)` on the loop's thread."""

    def at(self, *, when: float, callback: Callback) -> Timer:
        """Schedules a callback for a time of `now`; calls for the same time are made in the order of scheduling."""

    def after(self, *, delay: float, callback: Callback) -> Timer:
        """Schedules a callback in `delay` seconds."""

    def every(self, *, interval_s: float, callback: Callback) -> object:
        """Calls a callback at an interval; a call that raises does not end the repetition."""

    def cancel(self, *, timer: Timer | None) -> None:
        """Cancels a timer; does nothing for None or if its call was already made."""

    def stop(self) -> None:
        """Makes `run` return after the current step."""

    def run(self) -> None:
        """Runs steps until `stop` is called."""


@runtime_checkable
class Connection(Protocol):
    """A connection to another node.

    Attributes:
        peer: ADDRESS:PORT of the other end, or its host.
        hello: Handshake of the peer, stored by the owner of the connection; None before it arrived.
        has_received: Whether any byte was received from the peer.
        last_received_at: When data last arrived from the peer, in seconds on the loop's clock; before the first data,
            when the connection was created or established.
        opened_at: When this end was created, in seconds on the loop's clock.
        frame: Encoded bytes of the message that is being delivered.
    """

    peer: str
    hello: tuple | None
    has_received: bool
    last_received_at: float
    opened_at: float
    frame: bytes

    @property
    def is_open(self) -> bool:
        """True unless the connection is closed."""

    @property
    def is_up(self) -> bool:
        """True if the connection is established."""

    def send(self, message: Message) -> None:
        """Sends a message; does nothing on a closed connection."""

    def keep_alive(self) -> None:
        """Sends a heartbeat to the peer, unless something was sent since the last call."""

    def send_bytes(self, data: bytes) -> None:
        """Sends complete encoded frames; does nothing on a closed connection."""

    def queued(self) -> int:
        """Returns the number of bytes that wait to be sent."""

    def close(self, *, reason: str = "") -> None:
        """Closes the connection; its owner is notified with the reason before this returns."""
