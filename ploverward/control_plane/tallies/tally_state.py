"""The tallies as one node knows them: logs of adds, merged by the id of each add (docs/tallies.md 2).

Each start of a node writes its adds to a log of its own, so a log has one writer and its positions never fork. What a
node has of a log is always a prefix; the prefixes of all logs (`positions`) describe its whole state. Merging is taking
over adds from the position behind the prefix on, so it is idempotent, and the order of logs does not matter.

The same add may be in several logs, where a caller tried several nodes. It counts once. Where its amounts differ, that
of the lowest log counts, at every node.

Old adds are folded: their amounts stay in the totals and their ids are forgotten. `fold` has the condition.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from ploverward.common import errors
from ploverward.transport import messages
from ploverward.transport.messages import TallyAdd
from ploverward.transport.messages import TallyLogName

Positions = Mapping[TallyLogName, int]


class AddKey(NamedTuple):
    """What makes two adds the same one."""

    tally: str
    add_id: str


class Occurrence(NamedTuple):
    """Where an add stands. The lowest place decides its amount."""

    log: TallyLogName
    position: int


@dataclasses.dataclass(slots=True)
class _KnownAdd:
    """One add by its id.

    Attributes:
        amount: What it adds to its tally.
        occurrences: Where it stands, folded places left out.
        is_folded: Whether one of its places is folded, so that the amount is final.
    """

    amount: int
    occurrences: tuple[Occurrence, ...]
    is_folded: bool = False


@dataclasses.dataclass(slots=True)
class _Log:
    """A prefix of one log.

    Attributes:
        folded: How many adds from the start are folded.
        adds: Those behind them.
    """

    folded: int = 0
    adds: list[TallyAdd] = dataclasses.field(default_factory=list)

    @property
    def position(self) -> int:
        """How many adds the prefix has, folded ones included."""
        return self.folded + len(self.adds)


class TallyState:
    """All tallies in memory; it does no I/O."""

    def __init__(self) -> None:
        self._logs: dict[TallyLogName, _Log] = {}
        self._known_adds: dict[AddKey, _KnownAdd] = {}
        self._totals: collections.defaultdict[str, int] = collections.defaultdict(int)
        self._folded_totals: collections.defaultdict[str, int] = collections.defaultdict(int)

    # Reading.
    @property
    def size(self) -> int:
        """How many ids and names of tallies are kept, which memory and disk are bounded by."""
        return len(self._known_adds) + len(self._totals)

    def total(self, tally: str) -> int:
        """Returns the sum of a tally; 0 for a name that is new."""
        return self._totals.get(tally, 0)

    def totals(self) -> dict[str, int]:
        """Returns the sum of each tally."""
        return dict(self._totals)

    def positions(self) -> dict[TallyLogName, int]:
        """Returns how much of each log this node has."""
        return {name: log.position for name, log in self._logs.items()}

    def position(self, log: TallyLogName) -> int:
        """Returns how much of one log this node has."""
        found = self._logs.get(log)
        return found.position if found is not None else 0

    def folded_position(self, log: TallyLogName) -> int:
        """Returns how much of one log is folded."""
        found = self._logs.get(log)
        return found.folded if found is not None else 0

    def has(self, positions: Positions) -> bool:
        """Whether this node has at least so much of each log."""
        return all(self.position(log) >= position for log, position in positions.items())

    def places_of(self, key: AddKey) -> tuple[Occurrence, ...]:
        """Returns where an add stands; nothing where it is not known, or folded."""
        known = self._known_adds.get(key)
        return known.occurrences if known is not None else ()

    def adds_from(self, *, log: TallyLogName, position: int, limit: int) -> Sequence[TallyAdd]:
        """Returns up to `limit` adds of a log, from those behind `position` on.

        Raises:
            TallyMergeError: Some of these are folded here.
        """
        found = self._logs[log]
        if position < found.folded:
            raise errors.TallyMergeError(f"adds from {position} on are folded up to {found.folded}", step="send")
        return found.adds[position - found.folded : position - found.folded + limit]

    # Changing.
    def append(self, *, log: TallyLogName, add: TallyAdd) -> int:
        """Appends an add to a log and returns its position there."""
        own = self._logs.setdefault(log, _Log())
        own.adds.append(add)
        self._index_occurrence(Occurrence(log, own.position), add)
        return own.position

    def merge(self, *, log: TallyLogName, first: int, adds: Iterable[TallyAdd]) -> None:
        """Takes over adds of a log; those that are here already change nothing.

        Args:
            log: The log.
            first: The position of the first of these adds, from 1.
            adds: Adds in the order of the log.

        Raises:
            TallyMergeError: There is a gap between what is here and these adds.
        """
        known = self._logs.setdefault(log, _Log())
        if first > known.position + 1:
            raise errors.TallyMergeError(f"adds from {first} on do not follow {known.position}", step="merge")
        for position, add in enumerate(adds, start=first):
            if position == known.position + 1:
                known.adds.append(add)
                self._index_occurrence(Occurrence(log, position), add)

    def _index_occurrence(self, occurrence: Occurrence, add: TallyAdd) -> None:
        key = AddKey(add.tally, add.add_id)
        known = self._known_adds.get(key)
        if known is None:
            self._known_adds[key] = _KnownAdd(amount=add.amount, occurrences=(occurrence,))
            self._totals[add.tally] += add.amount
            return
        if not known.is_folded and occurrence < min(known.occurrences):
            self._totals[add.tally] += add.amount - known.amount
            known.amount = add.amount
        known.occurrences += (occurrence,)

    def fold(self, *, log: TallyLogName, up_to: int) -> None:
        """Forgets the ids of the oldest adds of a log; totals do not change.

        Sound only where each member has these adds, this node has all that those members had when they said so, and
        none of the ids is sent again: then each place of an id that there will ever be is known here.

        Args:
            log: The log.
            up_to: Position of the last add to fold; what is not here yet is not folded.
        """
        found = self._logs.get(log)
        if found is None:
            return
        count = min(up_to, found.position) - found.folded
        if count <= 0:
            return
        for position, add in enumerate(found.adds[:count], start=found.folded + 1):
            self._dereference(Occurrence(log, position), add)
        del found.adds[:count]
        found.folded += count

    def _dereference(self, occurrence: Occurrence, add: TallyAdd) -> None:
        key = AddKey(add.tally, add.add_id)
        known = self._known_adds[key]
        if not known.is_folded:
            known.is_folded = True
            self._folded_totals[add.tally] += known.amount
        known.occurrences = tuple(other for other in known.occurrences if other != occurrence)
        if not known.occurrences:
            del self._known_adds[key]

    # Copies.
    def snapshot(self) -> messages.TallySnapshot:
        """Returns what is folded: the adds that are not are sent behind it."""
        return messages.TallySnapshot(
            positions=tuple(messages.TallyPosition(name, log.folded) for name, log in self._logs.items() if log.folded),
            totals=tuple(messages.TallyTotal(tally, total) for tally, total in self._folded_totals.items()),
            counted=tuple(
                messages.TallyAdd(key.tally, key.add_id, known.amount)
                for key, known in self._known_adds.items()
                if known.is_folded
            ),
        )

    def install(self, snapshot: messages.TallySnapshot) -> None:
        """Takes over what another node has folded; adds of this node that it does not cover stay.

        Raises:
            TallyMergeError: This node has folded more of some log.
        """
        folded = {TallyLogName(*row.log): row.position for row in snapshot.positions}
        for name, log in self._logs.items():
            if log.folded > folded.get(name, 0):
                raise errors.TallyMergeError(f"{log.folded} of a log are folded here", step="install")
        former = self._logs
        self._logs = {name: _Log(folded=position) for name, position in folded.items()}
        self._known_adds = {}
        self._totals = collections.defaultdict(int)
        self._folded_totals = collections.defaultdict(int)
        for row in snapshot.totals:
            self._totals[row.tally] += row.total
            self._folded_totals[row.tally] += row.total
        for add in snapshot.counted:
            self._known_adds[AddKey(add.tally, add.add_id)] = _KnownAdd(add.amount, (), is_folded=True)
        for name, log in former.items():
            start = folded.get(name, 0)
            if log.position > start:
                self.merge(log=name, first=start + 1, adds=log.adds[start - log.folded :])
