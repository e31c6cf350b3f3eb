"""The acceptor of the registers (docs/register.md 1). It does no I/O: requests in, replies and rows to persist out.

It owns the promised ballot and the accepted value of each register. Invariants: a promised ballot only rises, and
nothing below it is accepted; an accept has to name the incarnation that gave the promise, so that a promise that was
lost with a disk cannot be used.
"""

import collections.abc
import typing

from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus.register_state import EMPTY
from ploverward.control_plane.consensus.register_state import RegisterState
from ploverward.transport import messages


class AcceptorResult(typing.NamedTuple):
    """How an acceptor answers a request."""

    reply: messages.Promise | messages.Accepted
    row: messages.RegisterRow | None  # has to be durable before the reply is sent; None: nothing changed


class Acceptor:
    """Promised ballots and accepted values of one node.

    Args:
        incarnation: a unique name made with each new disk; empty for a learner, which does not vote.
        rows: the rows on the disk.
    """

    def __init__(self, *, incarnation: str = "", rows: collections.abc.Iterable[messages.RegisterRow] = ()) -> None:
        self.incarnation = incarnation
        self.states: dict[str, RegisterState] = {}
        self.install(rows=rows)

    @property
    def votes(self) -> bool:
        """Whether this acceptor votes: only with an identity on its disk."""
        return bool(self.incarnation)

    def install(self, *, rows: collections.abc.Iterable[messages.RegisterRow]) -> None:
        """Replaces the states of these registers."""
        for row in rows:
            self.states[row.register] = RegisterState.from_row(row)

    def get(self, name: str) -> RegisterState:
        """The state of a register; `EMPTY` where nothing was promised or accepted."""
        return self.states.get(name, EMPTY)

    def row(self, name: str) -> messages.RegisterRow:
        """The state of a register as a row."""
        return self.get(name).to_row(name)

    def rows(self, *, known: collections.abc.Mapping[str, Ballot] | None = None) -> tuple[messages.RegisterRow, ...]:
        """A row for each register, by name.

        Args:
            known: register to the accepted ballot whose value the receiver has; that value is omitted.
        """
        rows = tuple(self.row(name) for name in sorted(self.states))
        if not known:
            return rows
        return tuple(row._replace(value=b"") if known.get(row.register) == row.accepted else row for row in rows)

    # Phase 1.
    def prepare(self, request: messages.Prepare) -> AcceptorResult:
        """Promises the ballot unless a higher one was promised."""
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
        """A reply that promises nothing; its ballots show the proposer above which number to continue."""
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
        """Accepts the value if this incarnation promised and no higher ballot was promised since."""
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
        """A reply that accepts nothing; it carries the promised ballot."""
        return messages.Accepted(
            number=request.number,
            register=request.register,
            is_granted=False,
            ballot=self.get(request.register).promised,
        )

    # Reads and catch-up.
    def quorum_read(self, request: messages.QuorumRead) -> messages.QuorumReadReply:
        """The accepted value; nothing is promised. A value that the reader has already is omitted."""
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
        """Promises at least this ballot, so that nothing below it is accepted any more.

        Returns:
            The row to persist; None where a ballot as high was promised already.
        """
        state = self.get(name)
        if ballot <= state.promised:
            return None
        self.states[name] = state._replace(promised=ballot)
        return self.row(name)

    def catch_up(
        self, *, incarnation: str, states: collections.abc.Iterable[tuple[messages.RegisterRow, ...]]
    ) -> tuple[messages.RegisterRow, ...]:
        """Installs the highest promise and the newest value of each register, then votes under a new incarnation.

        Args:
            incarnation: the name of the new disk.
            states: the rows of each voter that answered.

        Returns:
            All rows, to persist.
        """
        for rows in states:
            for row in rows:
                state = self.get(row.register)
                newest = RegisterState.from_row(row) if row.accepted > state.accepted else state
                self.states[row.register] = newest._replace(promised=max(state.promised, row.promised, row.accepted))
        self.incarnation = incarnation
        return self.rows()
