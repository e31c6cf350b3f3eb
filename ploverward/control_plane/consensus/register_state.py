"""The types of an acceptor's state of one register. They are immutable and compare by their fields in order."""

import typing

from ploverward.common.identifiers import NO_BALLOT
from ploverward.common.identifiers import Ballot
from ploverward.transport import messages


class AcceptedValue(typing.NamedTuple):
    """A value with the ballot under which an acceptor accepted it."""

    ballot: Ballot
    revision: int
    value: bytes  # encoded by `ballots.pack`; empty in a message whose receiver already has it


NO_VALUE = AcceptedValue(ballot=NO_BALLOT, revision=0, value=b"")


class RegisterState(typing.NamedTuple):
    """The state of one register at an acceptor. Invariant: `accepted` is at most `promised`."""

    promised: Ballot
    accepted: Ballot  # `NO_BALLOT` if nothing was accepted
    revision: int
    value: bytes

    @property
    def accepted_value(self) -> AcceptedValue:
        """The value that was accepted last; `NO_VALUE` if none was."""
        return AcceptedValue(ballot=self.accepted, revision=self.revision, value=self.value)

    def to_row(self, register: str) -> messages.RegisterRow:
        """Returns the state with the name of its register, as it is stored and sent."""
        return messages.RegisterRow(register, *self)

    @classmethod
    def from_row(cls, row: messages.RegisterRow) -> "RegisterState":
        """Returns the state in a row; the inverse of `to_row`."""
        return cls(row.promised, row.accepted, row.revision, row.value)


EMPTY = RegisterState(promised=NO_BALLOT, accepted=NO_BALLOT, revision=0, value=b"")
