"""The proposer's state of one change or read of a register."""

import collections.abc
import dataclasses
import enum
import typing

from ploverward.common.identifiers import NO_BALLOT
from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus.register_state import NO_VALUE
from ploverward.control_plane.consensus.register_state import AcceptedValue

# Maps a payload to (new payload, result). Returning the same payload object means that nothing changes. A
# `PloverwardError` that it raises ends the proposal, once the value that it was raised for is chosen.
Edit = collections.abc.Callable[[typing.Any], tuple[typing.Any, typing.Any]]
# (error or None, revision, payload, result of the edit)
Done = collections.abc.Callable[[Exception | None, int, typing.Any, typing.Any], object]


class Stage(enum.Enum):
    """The stages of a proposal. Their values appear in error texts."""

    QUEUED = ""  # behind another proposal for the same register
    REFUSED = "refused"  # this node is a learner
    QUORUM_READ = "peek"
    PREPARE = "prepare"
    ACCEPT = "accept"
    BACKOFF = "wait"  # pausing until the next attempt
    FINISHED = "over"


class Priority(enum.IntEnum):
    """The order of the proposals of one register at their node; the smallest value goes first."""

    MOVE = 0  # moves the register to another core set
    CALL = 1  # a caller waits for the outcome
    REPAIR = 2  # discovers or completes what earlier proposals left unfinished


class Outcome(typing.NamedTuple):
    """The outcome of a proposal, passed as arguments to its `done`."""

    error: Exception | None
    revision: int = 0
    payload: typing.Any = None
    result: typing.Any = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NextValue:
    """The value that an attempt proposes to the acceptors, and the outcome of the proposal once it is chosen.

    Attributes:
        revision: revision of the value: that of the value found if this is only re-proposed, otherwise one more.
        payload: payload of the value.
        members: core set of the value.
        value: the value as it is stored; empty if nothing was found and nothing is to be written.
        error: the error that the edit raised.
        result: the result that the edit returned.
        is_older_move: whether the value found is in the middle of a move that has to be chosen before the move of this
            proposal.
    """

    revision: int
    payload: typing.Any
    members: tuple[str, ...]
    value: bytes
    error: Exception | None = None
    result: typing.Any = None
    is_older_move: bool = False

    @property
    def outcome(self) -> Outcome:
        """The outcome of the proposal once this value is chosen."""
        if self.error is not None:
            return Outcome(self.error)
        return Outcome(None, self.revision, self.payload, self.result)


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Proposal:
    """A change or read of one register, over all its attempts.

    Attributes:
        number: number of the attempt; replies carry it, so that replies to older attempts are ignored.
        register: name of the register.
        edit: the change to the payload; None for a read, and for a move that leaves the payload as it is.
        done: called once with the outcome.
        next_set: the core set that the register is to move to; None: the set stays.
        is_wanted: False ends the proposal before its next attempt; None: always wanted.
        deadline: loop time in seconds after which no further attempt begins.
        is_repair: whether it only discovers or completes what earlier proposals left unfinished.
        stage: the current stage.
        attempts: number of attempts started.
        yields_until: loop time in seconds until which it yields to another node's move or attempt; None: it had no
            reason to yield so far.
        has_deferred: whether it already waited for nodes of a lower rank after an undecided quorum read.
        ballot: ballot of the attempt.
        known_set: the set that was known as chosen when the attempt began.
        found_sets: the member sets of `highest`. Those of an older value are not needed once a newer one is found,
            because a newer value builds on all that was chosen before it (docs/set-moves.md 3).
        written_set: the set of the value that the attempt writes, in and after `Stage.ACCEPT`; () before.
        prepared_members: members that were sent a prepare.
        known_revision: the revision of the chosen value that this node knew when the attempt began.
        known_value: the value on this node's own disk, which replies omit.
        read_replies: member to its accepted value, from the replies to a quorum read.
        promises: member to the incarnation that promised the ballot.
        accepts: members that accepted the value.
        highest: the value with the highest ballot among the promises.
        next_value: the value that the attempt writes, in and after `Stage.ACCEPT`.
        move_outcome: the outcome of the proposal, once its move is chosen and only the previous set remains to be
            removed from the value.
    """

    number: int
    register: str
    edit: Edit | None
    done: Done
    next_set: tuple[str, ...] | None
    is_wanted: collections.abc.Callable[[], bool] | None
    deadline: float
    is_repair: bool = False
    stage: Stage = Stage.QUEUED
    attempts: int = 0
    yields_until: float | None = None
    has_deferred: bool = False
    ballot: Ballot = NO_BALLOT
    known_set: tuple[str, ...] = ()
    found_sets: tuple[tuple[str, ...], ...] = ()
    written_set: tuple[str, ...] = ()
    prepared_members: set[str] = dataclasses.field(default_factory=set)
    known_revision: int = 0
    known_value: AcceptedValue = NO_VALUE
    read_replies: dict[str, AcceptedValue] = dataclasses.field(default_factory=dict)
    promises: dict[str, str] = dataclasses.field(default_factory=dict)
    accepts: set[str] = dataclasses.field(default_factory=set)
    highest: AcceptedValue = NO_VALUE
    next_value: NextValue | None = None
    move_outcome: Outcome | None = None

    @property
    def required_sets(self) -> list[tuple[str, ...]]:
        """The member sets from each of which the attempt needs a majority."""
        sets = [self.known_set, *self.found_sets]
        return [*sets, self.written_set] if self.written_set else sets

    def is_majority(self, among: collections.abc.Collection[str]) -> bool:
        """Returns whether these members include a majority of each required set."""
        return all(ballots.has_majority(of=members, among=among) for members in self.required_sets)

    @property
    def is_read(self) -> bool:
        """Whether it is a read, which a quorum read alone can complete."""
        return self.edit is None and self.next_set is None

    @property
    def is_move(self) -> bool:
        """Whether it moves the register to another set, or removes the previous set after the move is chosen."""
        return self.next_set is not None or self.move_outcome is not None

    @property
    def finishes_move(self) -> bool:
        """Whether it completes a move whose proposer is gone; all other repairs are reads."""
        return self.is_repair and self.edit is not None

    @property
    def priority(self) -> Priority:
        """Its priority among the proposals of its register at this node."""
        if self.is_move:
            return Priority.MOVE
        return Priority.REPAIR if self.is_repair else Priority.CALL

    def begin_quorum_read(self, *, members: tuple[str, ...], known_revision: int) -> None:
        """Resets the state of the previous attempt and begins a quorum read of these members."""
        self.stage = Stage.QUORUM_READ
        self.read_replies = {}
        self.known_set = members
        self.known_revision = known_revision

    def begin_attempt(self, *, ballot: Ballot, members: tuple[str, ...], known_revision: int) -> None:
        """Resets the state of the previous attempt and begins phase 1 under this ballot."""
        self.stage = Stage.PREPARE
        self.ballot = ballot
        self.known_set = members
        self.found_sets = ()
        self.written_set = ()
        self.prepared_members = set()
        self.known_revision = known_revision
        self.read_replies = {}
        self.promises = {}
        self.accepts = set()
        self.highest = NO_VALUE

    def restore_omitted_value(self, reply: AcceptedValue) -> AcceptedValue:
        """Returns the value of a reply, taken from this node's disk if the reply omits it."""
        if not reply.value and reply.ballot != NO_BALLOT and reply.ballot == self.known_value.ballot:
            return self.known_value
        return reply
