"""The state of one change or read of a register, as the proposer keeps it."""

import collections.abc
import dataclasses
import enum
import typing

from ploverward.common.identifiers import NO_BALLOT
from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus.register_state import NO_VALUE
from ploverward.control_plane.consensus.register_state import AcceptedValue

# From a payload to (payload, result). The same object as payload: nothing is to be changed. A `PloverwardError` that it
# raises ends the proposal, once the value that it was raised for is chosen.
Edit = collections.abc.Callable[[typing.Any], tuple[typing.Any, typing.Any]]
# (error or None, revision, payload, result of the edit)
Done = collections.abc.Callable[[Exception | None, int, typing.Any, typing.Any], object]


class Stage(enum.Enum):
    """The stages of a proposal. Their values appear in error texts."""

    QUEUED = ""  # behind another one of the same register
    REFUSED = "refused"  # this node is a learner
    QUORUM_READ = "peek"
    PREPARE = "prepare"
    ACCEPT = "accept"
    BACKOFF = "wait"  # until the next attempt
    FINISHED = "over"


class Priority(enum.IntEnum):
    """Which proposals of one register go first at their node; the smaller value does."""

    MOVE = 0  # of the core set
    CALL = 1  # somebody waits for it
    REPAIR = 2  # makes known, or completes, what other proposals left behind


class Outcome(typing.NamedTuple):
    """How a proposal ended; the arguments of its `done`."""

    error: Exception | None
    revision: int = 0
    payload: typing.Any = None
    result: typing.Any = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NextValue:
    """What an attempt proposes to the acceptors, and how the proposal ends once that is chosen.

    Attributes:
        revision: of the value; one more than that of the value found, unless that is only made safe.
        payload: of the value.
        members: the set of the value.
        value: the value as it is stored; empty where nothing was found and nothing is to be written.
        error: what the edit raised.
        result: what the edit returned.
        is_older_move: the value found is in a move that has to be chosen before this proposal's own.
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
        """How the proposal ends with this value."""
        if self.error is not None:
            return Outcome(self.error)
        return Outcome(None, self.revision, self.payload, self.result)


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Proposal:
    """A change or read of one register, over all its attempts.

    Attributes:
        number: of the attempt; replies carry it, so that one to an older attempt is never counted.
        register: name of the register.
        edit: what it changes; None for a read.
        done: called once, at the end.
        next_set: the core set that the value is to move to; None: it stays.
        is_wanted: False ends the proposal before its next attempt; None: always wanted.
        deadline: loop time in seconds after which no further attempt begins.
        is_repair: whether it only makes known, or completes, what other proposals left behind.
        stage: the present stage.
        attempts: how many were started.
        yields_until: loop time in seconds until which it lets a move by another node go first; None: no move was
            expected.
        has_deferred: whether its quorum read has already let other nodes go first.
        ballot: of the attempt.
        known_set: the set that was known as chosen when the attempt began.
        found_sets: the member sets of `highest`. Those of an older value are not needed once a newer one is found: it
            builds on all that was chosen before it (docs/set-moves.md 3).
        written_set: the set under which the attempt writes, in and after `Stage.ACCEPT`; () before.
        asked: members that were sent a prepare.
        known_revision: the revision of the chosen value that this node knew when the attempt began.
        known_value: the value on this node's own disk; replies leave that value out.
        read_replies: member to its accepted value, of a quorum read.
        promises: member to the incarnation that promised the ballot.
        accepts: members that accepted the value.
        highest: the value found with the highest ballot.
        next_value: what the attempt writes, in and after `Stage.ACCEPT`.
        move_outcome: how the proposal ends, once its move of the set is chosen and only the older set has still to be
            left out of the value.
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
    asked: set[str] = dataclasses.field(default_factory=set)
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
        """The sets of each of which the attempt needs a majority."""
        sets = [self.known_set, *self.found_sets]
        return [*sets, self.written_set] if self.written_set else sets

    def is_majority(self, among: collections.abc.Collection[str]) -> bool:
        """Whether these members are a majority of each required set."""
        return all(ballots.has_majority(of=members, among=among) for members in self.required_sets)

    @property
    def is_read(self) -> bool:
        """Whether a quorum read may answer it."""
        return self.edit is None and self.next_set is None

    @property
    def is_move(self) -> bool:
        """Whether it moves the register to another set, or removes the older set once that is done."""
        return self.next_set is not None or self.move_outcome is not None

    @property
    def finishes_move(self) -> bool:
        """Whether it completes a move of the set whose proposer is gone: all other repairs are reads."""
        return self.is_repair and self.edit is not None

    @property
    def priority(self) -> Priority:
        """Its priority among the proposals of its register at this node."""
        if self.is_move:
            return Priority.MOVE
        return Priority.REPAIR if self.is_repair else Priority.CALL

    def begin_quorum_read(self, *, members: tuple[str, ...], known_revision: int) -> None:
        """Resets what belongs to one attempt, for a quorum read of these members."""
        self.stage = Stage.QUORUM_READ
        self.read_replies = {}
        self.known_set = members
        self.known_revision = known_revision

    def begin_attempt(self, *, ballot: Ballot, members: tuple[str, ...], known_revision: int) -> None:
        """Resets what belongs to one attempt, for phase 1 under this ballot."""
        self.stage = Stage.PREPARE
        self.ballot = ballot
        self.known_set = members
        self.found_sets = ()
        self.written_set = ()
        self.asked = set()
        self.known_revision = known_revision
        self.read_replies = {}
        self.promises = {}
        self.accepts = set()
        self.highest = NO_VALUE

    def fill_in(self, reply: AcceptedValue) -> AcceptedValue:
        """The value of a reply, which is omitted where this node has it."""
        if not reply.value and reply.ballot != NO_BALLOT and reply.ballot == self.known_value.ballot:
            return self.known_value
        return reply
