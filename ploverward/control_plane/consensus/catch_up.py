"""How a learner catches up: a member whose disk was emptied, or a newcomer (docs/register.md 4).

State machine: LOOK, then FENCE, then DONE. In LOOK enough voters send their rows. In FENCE as many promise a ballot
above all ballots in those rows, and send their rows again. From then on none of them accepts what this node may have
accepted, or have promised to accept, before its disk was emptied. A request names the values that were sent already;
replies leave those out.

At the first start of the whole system no disk has an identity and there is nothing to learn. Then the seeds answer each
other that they have none (`handle_without_identity`), and as there is nothing to fence off, DONE follows LOOK. Such an
answer counts, also beside that of a seed which founded the set a moment ago, while no value stands under another set.
Later it comes from a node whose disk was emptied as well: it knows nothing of what it accepted, and may stand for no
voter (docs/incidents/two-emptied-seeds.md). A disk that was emptied later founds nothing, also where the settings still
say that this is the first start: the members of a set that exists answer with their rows, or do not answer.
"""

import collections.abc
import enum

from ploverward.common.identifiers import NO_BALLOT
from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus.register_state import NO_VALUE
from ploverward.control_plane.consensus.register_state import AcceptedValue
from ploverward.transport import messages

FIRST_SET = "\x00first"  # in place of a register's name, in the row with the first set
PROPOSER_SUFFIX = "/refill"  # of the ballots of fences: no proposer has such a name


class Stage(enum.Enum):
    """The stages of a catch-up."""

    COLLECT = "look"
    FENCE = "fence"
    DONE = "done"


def first_set_row(members: collections.abc.Iterable[str]) -> messages.RegisterRow:
    """The set in force before any value was chosen, as a row."""
    return messages.RegisterRow(
        register=FIRST_SET, promised=NO_BALLOT, accepted=Ballot(0, " ".join(members)), revision=0, value=b""
    )


def split_first_set(
    rows: collections.abc.Iterable[messages.RegisterRow],
) -> tuple[tuple[str, ...], tuple[messages.RegisterRow, ...]]:
    """Splits the rows of a reply: (first set, rows of registers)."""
    rows = tuple(rows)
    first_set = next((tuple(row.accepted.proposer.split()) for row in rows if row.register == FIRST_SET), ())
    return first_set, tuple(row for row in rows if row.register != FIRST_SET)


class LearnerCatchUp:
    """Gathers the rows of enough voters. It does no I/O: replies in; the stage, the next request and the rows out.

    Args:
        own: the learner's name.
        registers: names of all registers.
        founding_set: the set to be founded, if the settings say that this is the first start; else ().

    Attributes:
        stage: the present stage; `replies` is complete at `Stage.DONE`.
        answers: member to its rows in this stage.
        fences: register to the ballot that voters are requested to promise.
        first_set: the set in force before any value was chosen, once a voter has named it.
        founding_set: as given.
    """

    def __init__(self, *, own: str, registers: tuple[str, ...], founding_set: tuple[str, ...] = ()) -> None:
        self._own = own
        self._registers = registers
        self.founding_set = founding_set
        self._number = 0  # of the request; a stage has its own, so that replies to an older one are not counted
        self.first_set: tuple[str, ...] = ()
        self.start()

    def start(self) -> None:
        """Starts again at `Stage.COLLECT`."""
        self._number += 1
        self.stage = Stage.COLLECT
        self.fences: dict[str, Ballot] = {}
        self.replies: dict[str, tuple[messages.RegisterRow, ...]] = {}
        self._without_identity: set[str] = set()  # of `replies`: those of nodes that are to found the set as well
        # register: all values received since the beginning, by ballot
        self._values: dict[str, dict[Ballot, AcceptedValue]] = {}

    def request(self) -> messages.CatchUpRequest:
        """The request of this stage."""
        return messages.CatchUpRequest(
            number=self._number,
            fences=tuple(
                messages.CatchUpFence(
                    register=name,
                    fence=self.fences.get(name, NO_BALLOT),
                    known=max(self._values.get(name, ()), default=NO_BALLOT),
                )
                for name in sorted({*self._registers, *self._values})
            ),
        )

    def _with_values(self, rows: collections.abc.Iterable[messages.RegisterRow]) -> tuple[messages.RegisterRow, ...]:
        """The rows with the values that were omitted because an earlier reply had them."""
        complete_rows = []
        for row in rows:
            received = self._values.setdefault(row.register, {})
            if row.value:
                received[row.accepted] = AcceptedValue(row.accepted, row.revision, row.value)
            known = received.get(row.accepted)
            complete_rows.append(row._replace(revision=known.revision, value=known.value) if known else row)
        return tuple(complete_rows)

    def handle(
        self,
        *,
        member: str,
        number: int,
        first_set: tuple[str, ...],
        rows: collections.abc.Iterable[messages.RegisterRow],
    ) -> None:
        """Processes a voter's reply, and enters the next stage once enough have replied.

        Args:
            member: the voter.
            number: of the request that it answers.
            first_set: the set in force before any value was chosen; () where it names none.
            rows: its registers.
        """
        if number != self._number or self.stage is Stage.DONE:
            return
        self.replies[member] = self._with_values(rows)
        self._without_identity.discard(member)
        self.first_set = first_set or self.first_set
        self._advance()

    def handle_without_identity(self, *, member: str, number: int, founding_set: tuple[str, ...]) -> None:
        """Processes the reply of a node that has no identity either and is to found a set.

        It counts where both are to found the same set, and that set is still the only one.

        Args:
            member: the node.
            number: of the request that it answers.
            founding_set: the set that it is to found.
        """
        if number != self._number or self.stage is Stage.DONE:
            return
        if not self.founding_set or founding_set != self.founding_set or member not in founding_set:
            return
        self.replies[member] = ()
        self._without_identity.add(member)
        self._advance()

    def _advance(self) -> None:
        if not self.has_enough_replies():
            return
        if self.stage is Stage.COLLECT and self._without_identity != self.replies.keys():
            self._begin_fence_stage()
        else:
            self.stage = Stage.DONE

    @property
    def has_received_values(self) -> bool:
        """Whether any reply had a value: then the system did not start just now."""
        return any(self._values.values())

    def _begin_fence_stage(self) -> None:
        highest = dict.fromkeys(self._registers, 0)
        for rows in self.replies.values():
            for row in rows:
                highest[row.register] = max(highest.get(row.register, 0), row.promised.number, row.accepted.number)
        self._number += 1
        self.stage = Stage.FENCE
        self.fences = {name: Ballot(number + 1, f"{self._own}{PROPOSER_SUFFIX}") for name, number in highest.items()}
        self.replies = {}
        self._without_identity = set()

    def has_enough_replies(self) -> bool:
        """Whether enough members of each register's newest set answered, as far as any answer shows that set."""
        newest: dict[str, AcceptedValue] = {}
        for rows in self.replies.values():
            for row in rows:
                if row.value and row.accepted > newest.get(row.register, NO_VALUE).ballot:
                    newest[row.register] = AcceptedValue(row.accepted, row.revision, row.value)
        for name in self._registers:
            sets = ballots.member_sets(newest[name].value) if name in newest else (self.first_set or self.founding_set,)
            if not all(self._has_enough_of(members) for members in sets):
                return False
        return True

    def _has_enough_of(self, members: tuple[str, ...]) -> bool:
        if not members:
            return False
        needed = ballots.majority(members)
        if self._own in members:
            # It may have voted before its disk was emptied: so many others overlap each majority that it was in.
            needed = len(members) - needed + 1
        counted = self._counted_answers()
        return sum(1 for member in members if member != self._own and member in counted) >= needed

    def _counted_answers(self) -> collections.abc.Collection[str]:
        """Who has answered with what it knows, and while the set is being founded those that have nothing to know."""
        return self.replies.keys() if self._is_founding() else self.replies.keys() - self._without_identity

    def _is_founding(self) -> bool:
        """Whether no answer shows a value under another set than the one to be founded."""
        values = (value.value for received in self._values.values() for value in received.values())
        return all(ballots.member_sets(value) == (self.founding_set,) for value in values)
