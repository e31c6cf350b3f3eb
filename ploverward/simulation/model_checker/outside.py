"""What one proposer touches outside itself: what it sends, its timers, the edits and ends of its calls."""

from ploverward.control_plane.consensus.register_state import EMPTY
from ploverward.control_plane.consensus.register_state import AcceptedValue
from ploverward.simulation.model_checker.live_objects import Immutable


class Port(Immutable):
    """The outside of one proposer: what it sends, sets and tells is gathered here and taken after each step."""

    def __init__(self, *, name: str):
        self.name = name
        self.sent = []
        self.timers = []
        self.facts = []
        self.state = EMPTY

    def accepted_value(self, _name: str) -> AcceptedValue:
        """What the disk of the proposer's own node holds."""
        return self.state.accepted_value

    def send(self, member: str, message: tuple) -> None:
        self.sent.append((member, message))

    def later(self, delay: float, action) -> None:
        self.timers.append((delay, action))

    def now(self) -> float:
        return 0.0

    def chance(self) -> float:
        return 0.0

    def on_chosen(self, _name, _ballot, rev, value, _is_newly_chosen) -> None:
        self.facts.append(("chosen", rev, value))


class Edit(Immutable):
    """Adds its tag, and knows its own work again."""

    def __init__(self, *, tag: str):
        self.name = tag

    def __call__(self, payload):
        payload = payload or []
        if self.name in payload:
            return payload, None
        return [*payload, self.name], None


class Done(Immutable):
    def __init__(self, *, port: Port, call: str):
        self.name = call
        self._port = port

    def __call__(self, fault, rev, payload, _result) -> None:
        if fault is None:
            self._port.facts.append(("done", self.name, rev, tuple(payload or ())))
        else:
            self._port.facts.append(("failed", self.name, 0, ()))
