"""What nodes use of the event loop and of connections between nodes, stated once for both implementations.

The real ones are `event_loop.Loop` and `peer_connection.PeerConnection`; the simulation puts its own in their place
(ploverward/simulation/control_plane), so that the code of a core node is played as it is (docs/simulate.md).
test_interfaces.py compares both with what stands here.
"""

from collections.abc import Callable
from typing import Any
from typing import Protocol
from typing import runtime_checkable

Callback = Callable[[], object]
Message = tuple  # of a type of ploverward.transport.messages


@runtime_checkable
class Timer(Protocol):
    """One call that is to come.

    Attributes:
        is_over: Whether it was made or cancelled.
    """

    is_over: bool


class Outcome(Protocol):
    """What became of work on another thread: a finished `concurrent.futures.Future`, or the simulation's twin."""

    def exception(self) -> BaseException | None:
        """Returns what the work raised, or None."""

    def result(self) -> Any:  # noqa: ANN401  # whatever the work returned
        """Returns what the work returned; raises what it raised."""


@runtime_checkable
class Loop(Protocol):
    """Calls back on one thread, which owns all state: timers, commands of other threads, work that blocks."""

    def now(self) -> float:
        """Returns a clock that only grows, in seconds."""

    def call_soon_threadsafe(self, *, callback: Callback) -> None:
        """Has a callback called soon; the one method that other threads and signal handlers may call."""

    def offload(self, *, work: Callable[[], object], done: Callable[[Outcome], object]) -> None:
        """Runs `work` on another thread, then `done(outcome)` on the loop."""

    def at(self, *, when: float, callback: Callback) -> Timer:
        """Has a callback called at a time of `now`; calls for the same time keep their order."""

    def after(self, *, delay: float, callback: Callback) -> Timer:
        """Has a callback called after so many seconds."""

    def every(self, *, interval_s: float, callback: Callback) -> object:
        """Has a callback called again and again, also where one call raised."""

    def cancel(self, *, timer: Timer | None) -> None:
        """Takes a call back; does nothing where it was made already, or for None."""

    def stop(self) -> None:
        """Ends `run` after the step in progress."""

    def run(self) -> None:
        """Makes all calls until `stop`."""


@runtime_checkable
class Connection(Protocol):
    """One connection to another node.

    Attributes:
        peer: ADDRESS:PORT of the other end, or its host.
        hello: What the peer's handshake said, as the owner of the connection noted it; None before.
        has_received: Whether any byte came from the peer.
        last_received_at: When the peer was last heard of, by the loop's clock in seconds.
        opened_at: When this end was made, by the loop's clock in seconds.
        frame: The bytes of the message that is being delivered.
    """

    peer: str
    hello: tuple | None
    has_received: bool
    last_received_at: float
    opened_at: float
    frame: bytes

    @property
    def is_open(self) -> bool:
        """Whether it was not closed yet."""

    @property
    def is_up(self) -> bool:
        """Whether it was established."""

    def send(self, message: Message) -> None:
        """Sends a message; does nothing on a closed connection."""

    def keep_alive(self) -> None:
        """Shows the peer that this process runs, unless something was sent since the last call of this."""

    def send_bytes(self, data: bytes) -> None:
        """Sends complete frames that are packed already; does nothing on a closed connection."""

    def queued(self) -> int:
        """Returns how many bytes wait to be sent."""

    def close(self, *, reason: str = "") -> None:
        """Ends the connection; its owner hears of it with the reason before this returns."""
