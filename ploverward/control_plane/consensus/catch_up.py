"""Catch-up of a learner, which is a new node or a member whose disk was wiped (docs/register.md 4).

The stages are COLLECT, FENCE and DONE, in this order. In COLLECT, enough voters send their rows. In FENCE, enough
voters promise a ballot above all ballots in those rows and send their rows again. From then on none of them grants an
accept request that this node may have granted, or may have promised to grant, before its disk was wiped. A request
names the values that were received already, and replies omit them.

At the first start of the whole system no disk has an identity and there is nothing to learn. Each seed then replies to
the others that it has no identity (`handle_without_identity`), and DONE follows COLLECT directly, because there is
nothing to fence. Such a reply counts only while no reply contains a value under another set than the one to be founded;
it then also counts beside the reply of a seed that has just founded the set. Once the set has moved, such a reply comes
from a node whose disk was wiped as well: it does not know what it accepted, so it must not count as a voter
(docs/incidents/two-emptied-seeds.md).

A node whose disk was wiped later founds no set, even if its settings still say that this is the first start: the
members of an existing set reply with their rows, or do not reply.
"""

import collections.abc
import enum

from ploverward.common.identifiers import NO_BALLOT
from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus.register_state import NO_VALUE
from ploverward.control_plane.consensus.register_state import AcceptedValue
from ploverward.transport import messages

FIRST_SET = "\x00first"  # takes the place of the register name in the row that holds the first set
PROPOSER_SUFFIX = "/refill"  # proposer name in the ballots of fences; no real proposer's name ends like this


class Stage(enum.Enum):
    """The stages of a catch-up."""

    COLLECT = "collect"
    FENCE = "fence"
    DONE = "done"


def first_set_row(members: collections.abc.Iterable[str]) -> messages.RegisterRow:
    """Returns the set in force before any value was chosen, as a row."""
    return messages.RegisterRow(
        register=FIRST_SET, promised=NO_BALLOT, accepted=Ballot(0, " ".join(members)), revision=0, value=b""
    )


def split_first_set(
    rows: collections.abc.Iterable[messages.RegisterRow],
) -> tuple[tuple[str, ...], tuple[messages.RegisterRow, ...]]:
    """Splits the rows of a reply into the first set, () if it is missing, and the rows of registers."""
    rows = tuple(rows)
    first_set = next((tuple(row.accepted.proposer.split()) for row in rows if row.register == FIRST_SET), ())
    return first_set, tuple(row for row in rows if row.register != FIRST_SET)


class LearnerCatchUp:
    """State machine that collects the rows of enough voters. It does no I/O.

    It takes replies, and provides the current stage, the next request and the collected rows.

    Args:
        own: The learner's name.
        registers: Names of all registers.
        founding_set: The set to be founded, if the settings say that this is the first start; otherwise ().

    Attributes:
        stage: The current stage. `replies` is complete at `Stage.DONE`.
        replies: Member to its rows in the current stage.
        fences: Register to the ballot that voters are requested to promise.
        first_set: The set in force before any value was chosen; () until a voter has named it.
        founding_set: As above.
    """

    def __init__(self, *, own: str, registers: tuple[str, ...], founding_set: tuple[str, ...] = ()) -> None:
        self._own = own
        self._registers = registers
        self.founding_set = founding_set
        self._number = 0  # of the current request; each stage has its own, so that older replies are not counted
        self.first_set: tuple[str, ...] = ()
        self.start()

    def start(self) -> None:
        """Starts at `Stage.COLLECT`, or restarts there without the replies and values received so far."""
        self._number += 1
        self.stage = Stage.COLLECT
        self.fences: dict[str, Ballot] = {}
        self.replies: dict[str, tuple[messages.RegisterRow, ...]] = {}
        # Members in `replies` that have no identity either and are to found the same set.
        self._without_identity: set[str] = set()
        # Register to all values received since the last `start`, by ballot.
        self._values: dict[str, dict[Ballot, AcceptedValue]] = {}

    def request(self) -> messages.CatchUpRequest:
        """Returns the request of the current stage."""
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

    def _fill_in_values(self, rows: collections.abc.Iterable[messages.RegisterRow]) -> tuple[messages.RegisterRow, ...]:
        """Returns the rows, with the values that were omitted because an earlier reply contained them."""
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
        """Processes a voter's reply and enters the next stage once enough members have replied.

        Args:
            member: The voter.
            number: Number of the request that the reply belongs to; other replies than to the current one are ignored.
            first_set: The set in force before any value was chosen; () if the reply names none.
            rows: Its registers.
        """
        if number != self._number or self.stage is Stage.DONE:
            return
        self.replies[member] = self._fill_in_values(rows)
        self._without_identity.discard(member)
        self.first_set = first_set or self.first_set
        self._advance()

    def handle_without_identity(self, *, member: str, number: int, founding_set: tuple[str, ...]) -> None:
        """Processes the reply of a node that has no identity either.

        The reply counts if both nodes are to found the same set and no value was received under another set.

        Args:
            member: The node.
            number: Number of the request that the reply belongs to; other replies than to the current one are ignored.
            founding_set: The set that the node is to found; () if it founds none.
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
        """Whether any reply contained a value, which means that this is not the first start of the system."""
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
        """Returns whether enough members of each register's newest set have replied.

        The newest set is that of the value with the highest ballot in any reply, or the first set if no reply contains
        a value. During a move of the set, both the previous and the new set need enough replies.
        """
        newest: dict[str, AcceptedValue] = {}
        for rows in self.replies.values():
            for row in rows:
                if row.value and row.accepted > newest.get(row.register, NO_VALUE).ballot:
                    newest[row.register] = AcceptedValue(row.accepted, row.revision, row.value)
        for name in self._registers:
            sets = ballots.member_sets(newest[name].value) if name in newest else (self.first_set or self.founding_set,)
            if not all(self._has_enough_replies_from(members) for members in sets):
                return False
        return True

    def _has_enough_replies_from(self, members: tuple[str, ...]) -> bool:
        if not members:
            return False
        needed = ballots.majority(members)
        if self._own in members:
            # This node may have voted before its disk was wiped. Any majority that it was part of contains at least
            # one member of a group of this size among the others.
            needed = len(members) - needed + 1
        counted = self._counted_members()
        return sum(1 for member in members if member != self._own and member in counted) >= needed

    def _counted_members(self) -> collections.abc.Collection[str]:
        """Returns the members whose replies count; those without an identity count only while the set is founded."""
        return self.replies.keys() if self._is_founding() else self.replies.keys() - self._without_identity

    def _is_founding(self) -> bool:
        """Returns whether all values received so far are under the set to be founded; also True without any value."""
        values = (value.value for received in self._values.values() for value in received.values())
        return all(ballots.member_sets(value) == (self.founding_set,) for value in values)
