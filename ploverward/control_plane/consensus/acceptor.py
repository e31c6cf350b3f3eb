"""The CASPaxos acceptor of all registers (docs/register.md 1). It does no I/O.

An acceptor takes requests and returns replies, together with the rows that have to be persisted. It owns the promised
ballot and the accepted value of each register.

Invariants:
    A promised ballot never decreases, and no accept with a lower ballot is granted.
    An accept request has to name the incarnation that granted the promise, so that a promise that was lost with a disk
    cannot be used.
"""

import collections.abc
import typing

from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus.register_state import EMPTY
from ploverward.control_plane.consensus.register_state import RegisterState
from ploverward.transport import messages


class AcceptorResult(typing.NamedTuple):
    """The reply to a prepare or accept request, and the changed row that it depends on."""

    reply: messages.Promise | messages.Accepted
    row: messages.RegisterRow | None  # has to be durable before the reply is sent; None if the state did not change


class Acceptor:
    """Promised ballots and accepted values of one node.

    Args:
        incarnation: A unique id that is generated for each new disk. Empty for a learner, which does not vote.
        rows: The rows on the disk.

    Attributes:
        incarnation: As above; `catch_up` replaces it.
        states: Register name to its state, for registers with a promise or a value.
    """

    def __init__(self, *, incarnation: str = "", rows: collections.abc.Iterable[messages.RegisterRow] = ()) -> None:
        self.incarnation = incarnation
        self.states: dict[str, RegisterState] = {}
        self.install(rows=rows)

    @property
    def votes(self) -> bool:
        """Whether this acceptor votes. It does so only if its disk has an identity."""
        return bool(self.incarnation)

    def install(self, *, rows: collections.abc.Iterable[messages.RegisterRow]) -> None:
        """Replaces the states of the registers in `rows`."""
        for row in rows:
            self.states[row.register] = RegisterState.from_row(row)

    def get(self, name: str) -> RegisterState:
        """Returns the state of a register, or `EMPTY` if nothing was promised or accepted."""
        return self.states.get(name, EMPTY)

    def row(self, name: str) -> messages.RegisterRow:
        """Returns the state of a register as a row."""
        return self.get(name).to_row(name)

    def rows(self, *, known: collections.abc.Mapping[str, Ballot] | None = None) -> tuple[messages.RegisterRow, ...]:
        """Returns a row for each register, sorted by name.

        Args:
            known: Register to the ballot of the accepted value that the receiver already has. Rows with that ballot
                omit the value.
        """
        rows = tuple(self.row(name) for name in sorted(self.states))
        if not known:
            return rows
        return tuple(row._replace(value=b"") if known.get(row.register) == row.accepted else row for row in rows)

    # Phase 1.
    def prepare(self, request: messages.Prepare) -> AcceptorResult:
        """Promises the ballot, unless a higher one was promised already."""
        state = self.get(request.register)
        if not self.votes or request.ballot < state.promised:
            return AcceptorResult(reply=self.reject_prepare(request), row=None)
        self.states[request.register] = state._replace(promised=request.ballot)
        reply = messages.Promise(
            number=request.number,
            register=request.register,
            is_granted=True,
            incarnation=self.incarnation,
            promised=request.ballot,
            accepted=state.accepted,
            revision=state.revision,
            value=b"" if request.known == state.accepted else state.value,
        )
        return AcceptorResult(reply=reply, row=self.row(request.register) if request.ballot > state.promised else None)

    def reject_prepare(self, request: messages.Prepare) -> messages.Promise:
        """Returns a reply that promises nothing.

        Its ballots show the proposer which ballot number its next attempt has to exceed.
        """
        state = self.get(request.register)
        return messages.Promise(
            number=request.number,
            register=request.register,
            is_granted=False,
            incarnation=self.incarnation,
            promised=state.promised,
            accepted=state.accepted,
            revision=0,
            value=b"",
        )

    # Phase 2.
    def accept(self, request: messages.Accept) -> AcceptorResult:
        """Accepts the value if this incarnation granted the promise and has promised no higher ballot since."""
        state = self.get(request.register)
        if not self.votes or request.incarnation != self.incarnation or request.ballot < state.promised:
            return AcceptorResult(reply=self.reject_accept(request), row=None)
        self.states[request.register] = RegisterState(
            promised=request.ballot, accepted=request.ballot, revision=request.revision, value=request.value
        )
        reply = messages.Accepted(
            number=request.number, register=request.register, is_granted=True, ballot=request.ballot
        )
        return AcceptorResult(reply=reply, row=self.row(request.register) if state.accepted != request.ballot else None)

    def reject_accept(self, request: messages.Accept) -> messages.Accepted:
        """Returns a reply that accepts nothing and carries the promised ballot."""
        return messages.Accepted(
            number=request.number,
            register=request.register,
            is_granted=False,
            ballot=self.get(request.register).promised,
        )

    # Reads and catch-up.
    def quorum_read(self, request: messages.QuorumRead) -> messages.QuorumReadReply:
        """Returns the accepted value without promising anything. A value that the reader already has is omitted."""
        state = self.get(request.register)
        return messages.QuorumReadReply(
            number=request.number,
            register=request.register,
            is_voter=self.votes,
            promised=state.promised,
            accepted=state.accepted,
            revision=state.revision,
            value=b"" if request.known == state.accepted else state.value,
        )

    def fence(self, *, name: str, ballot: Ballot) -> messages.RegisterRow | None:
        """Promises at least this ballot, so that no accept with a lower ballot is granted from now on.

        Returns:
            The row to persist, or None if this or a higher ballot was promised already.
        """
        state = self.get(name)
        if ballot <= state.promised:
            return None
        self.states[name] = state._replace(promised=ballot)
        return self.row(name)

    def catch_up(
        self, *, incarnation: str, states: collections.abc.Iterable[tuple[messages.RegisterRow, ...]]
    ) -> tuple[messages.RegisterRow, ...]:
        """Installs the highest promise and the newest value of each register and adopts a new incarnation.

        Args:
            incarnation: The incarnation under which this acceptor votes from now on.
            states: The rows of each voter that replied.

        Returns:
            All rows, which have to be persisted.
        """
        for rows in states:
            for row in rows:
                state = self.get(row.register)
                newest = RegisterState.from_row(row) if row.accepted > state.accepted else state
                self.states[row.register] = newest._replace(promised=max(state.promised, row.promised, row.accepted))
        self.incarnation = incarnation
        return self.rows()
