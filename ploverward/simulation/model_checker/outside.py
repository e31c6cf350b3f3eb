"""What one proposer touches outside itself: what it sends, its timers, the edits and ends of its calls.

All of it is `Immutable`: a copy of a proposer shares its port, which is emptied after each step.
"""

import collections.abc
import typing

from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus.register_state import EMPTY
from ploverward.control_plane.consensus.register_state import AcceptedValue
from ploverward.control_plane.consensus.register_state import RegisterState
from ploverward.simulation.model_checker.live_objects import Immutable


class Chosen(typing.NamedTuple):
    """A proposer found a value chosen, or made it so."""

    revision: int
    value: bytes

    @property
    def tags(self) -> tuple[str, ...]:
        """The tags that the value consists of."""
        return tuple(ballots.unpack(self.value)[1])


class Done(typing.NamedTuple):
    """A call ended with a value."""

    call: str
    revision: int
    tags: tuple[str, ...]


class Failed(typing.NamedTuple):
    """A call ended with an error."""

    call: str


Event = Chosen | Done | Failed


class Port(Immutable):
    """The outside of one proposer.

    Args:
        name: of the proposer.

    Attributes:
        sent: (member, message) of the step under way.
        timers: (delay in seconds, action) that the step under way has set.
        events: what the step under way reported.
        state: what the disk of the proposer's own node holds.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.sent: list[tuple[str, typing.Any]] = []
        self.timers: list[tuple[float, collections.abc.Callable[[], object]]] = []
        self.events: list[Event] = []
        self.state: RegisterState = EMPTY

    def accepted_value(self, _name: str) -> AcceptedValue:
        """What the disk of the proposer's own node holds."""
        return self.state.accepted_value

    def send(self, member: str, message: tuple) -> None:
        """Gathers a message."""
        self.sent.append((member, message))

    def later(self, delay: float, action: collections.abc.Callable[[], object]) -> None:
        """Gathers a timer."""
        self.timers.append((delay, action))

    def now(self) -> float:
        """Time stands still: a timer fires whenever the search lets it."""
        return 0.0

    def chance(self) -> float:
        """No pause is random: its length makes no difference here."""
        return 0.0

    def on_chosen(self, _name: str, _ballot: Ballot, revision: int, value: bytes, _is_newly_chosen: bool) -> None:
        """Gathers a chosen value."""
        self.events.append(Chosen(revision, value))


class Edit(Immutable):
    """Adds its tag, and recognises its own work."""

    def __init__(self, *, tag: str) -> None:
        self.name = tag

    def __call__(self, payload: list[str] | None) -> tuple[list[str], None]:
        """The payload with the tag, once."""
        payload = payload or []
        if self.name in payload:
            return payload, None
        return [*payload, self.name], None


class CallEnd(Immutable):
    """What a proposer calls when a call ends."""

    def __init__(self, *, port: Port, call: str) -> None:
        self.name = call
        self._port = port

    def __call__(
        self, error: Exception | None, revision: int, payload: collections.abc.Iterable[str] | None, _result: object
    ) -> None:
        """Gathers the end of the call."""
        if error is None:
            self._port.events.append(Done(self.name, revision, tuple(payload or ())))
        else:
            self._port.events.append(Failed(self.name))
