"""Environment of one proposer: its outgoing messages, timers, events, and the edits and callbacks of its calls.

The objects are `Immutable`: copies of a proposer share its port, which is emptied after each step.
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
    """Event: a proposer found that a value is chosen, or got it chosen."""

    revision: int
    value: bytes

    @property
    def tags(self) -> tuple[str, ...]:
        """Tags that the value consists of."""
        return tuple(ballots.unpack(self.value)[1])


class Done(typing.NamedTuple):
    """Event: a call ended with a value."""

    call: str
    revision: int
    tags: tuple[str, ...]


class Failed(typing.NamedTuple):
    """Event: a call ended with an error."""

    call: str


Event = Chosen | Done | Failed


class Port(Immutable):
    """Collects what one proposer sends, schedules and reports.

    Args:
        name: of the proposer.

    Attributes:
        sent: (member, message) pairs sent in the current step.
        timers: (delay in seconds, action) pairs set in the current step.
        events: events reported in the current step.
        state: the register's state on the disk of the proposer's own node.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.sent: list[tuple[str, typing.Any]] = []
        self.timers: list[tuple[float, collections.abc.Callable[[], object]]] = []
        self.events: list[Event] = []
        self.state: RegisterState = EMPTY

    def accepted_value(self, _name: str) -> AcceptedValue:
        """Returns the value on the disk of the proposer's own node."""
        return self.state.accepted_value

    def send(self, member: str, message: tuple) -> None:
        """Collects a message."""
        self.sent.append((member, message))

    def later(self, delay: float, action: collections.abc.Callable[[], object]) -> None:
        """Collects a timer."""
        self.timers.append((delay, action))

    def now(self) -> float:
        """Returns a constant time: the search decides when a timer fires."""
        return 0.0

    def chance(self) -> float:
        """Returns a constant instead of a random number: the length of a backoff makes no difference here."""
        return 0.0

    def on_chosen(self, _name: str, _ballot: Ballot, revision: int, value: bytes, _is_newly_chosen: bool) -> None:
        """Collects a chosen value."""
        self.events.append(Chosen(revision, value))


class Edit(Immutable):
    """Change to the register that appends its tag, unless the tag is already there."""

    def __init__(self, *, tag: str) -> None:
        self.name = tag

    def __call__(self, payload: list[str] | None) -> tuple[list[str], None]:
        """Returns the payload with the tag, which is never added twice."""
        payload = payload or []
        if self.name in payload:
            return payload, None
        return [*payload, self.name], None


class CallEnd(Immutable):
    """Callback that a proposer runs when a call ends."""

    def __init__(self, *, port: Port, call: str) -> None:
        self.name = call
        self._port = port

    def __call__(
        self, error: Exception | None, revision: int, payload: collections.abc.Iterable[str] | None, _result: object
    ) -> None:
        """Collects the end of the call."""
        if error is None:
            self._port.events.append(Done(self.name, revision, tuple(payload or ())))
        else:
            self._port.events.append(Failed(self.name))
