"""The tallies as one node knows them: logs of adds, deduplicated by the id of each add (docs/tallies.md 2).

Each process of a node writes its adds to a new log, so a log has one writer and its positions never fork. A node always
has a prefix of a log, and the lengths of the prefixes of all logs (`positions`) describe its whole state. Merging
appends the adds that follow the prefix, so it is idempotent, and the order in which logs are merged does not matter.

The same add may occur in several logs if a caller tried several nodes. It counts once. If its amounts differ, every
node counts the amount in the lowest log.

Old adds are folded: their amounts stay in the totals and their ids are dropped. `TallyState.fold` states the condition.
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
    """The identity of an add: adds with the same key are the same add and count once."""

    tally: str
    add_id: str


class Occurrence(NamedTuple):
    """The position of an add in a log. The lowest occurrence of an add determines its amount."""

    log: TallyLogName
    position: int


@dataclasses.dataclass(slots=True)
class _KnownAdd:
    """An add whose id is kept.

    Attributes:
        amount: The amount that it contributes to the total of its tally.
        occurrences: Its occurrences in logs, without folded ones.
        is_folded: Whether one of its occurrences is folded, so that the amount is final.
    """

    amount: int
    occurrences: tuple[Occurrence, ...]
    is_folded: bool = False


@dataclasses.dataclass(slots=True)
class _Log:
    """The prefix of a log that this node has.

    Attributes:
        folded: Number of adds at the start of the log that are folded.
        adds: The adds after the folded ones.
    """

    folded: int = 0
    adds: list[TallyAdd] = dataclasses.field(default_factory=list)

    @property
    def position(self) -> int:
        """The number of adds in the prefix, including folded ones."""
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
        """The number of ids and names of tallies that are kept; the limit on memory and disk use applies to it."""
        return len(self._known_adds) + len(self._totals)

    def total(self, tally: str) -> int:
        """Returns the total of a tally; 0 for an unknown name."""
        return self._totals.get(tally, 0)

    def totals(self) -> dict[str, int]:
        """Returns the total of each tally."""
        return dict(self._totals)

    def positions(self) -> dict[TallyLogName, int]:
        """Returns the position up to which this node has each log."""
        return {name: log.position for name, log in self._logs.items()}

    def position(self, log: TallyLogName) -> int:
        """Returns the position up to which this node has a log; 0 for an unknown one."""
        known_log = self._logs.get(log)
        return known_log.position if known_log is not None else 0

    def folded_position(self, log: TallyLogName) -> int:
        """Returns the position up to which a log is folded; 0 for an unknown one."""
        known_log = self._logs.get(log)
        return known_log.folded if known_log is not None else 0

    def has_all(self, positions: Positions) -> bool:
        """Returns whether this node has each log at least up to the given position."""
        return all(self.position(log) >= position for log, position in positions.items())

    def occurrences_of(self, key: AddKey) -> tuple[Occurrence, ...]:
        """Returns the occurrences of an add in logs; empty if it is unknown or all of them are folded."""
        known = self._known_adds.get(key)
        return known.occurrences if known is not None else ()

    def adds_from(self, *, log: TallyLogName, position: int, limit: int) -> Sequence[TallyAdd]:
        """Returns up to `limit` adds of a log that follow `position`.

        Raises:
            TallyMergeError: Some of these adds are folded here.
        """
        known_log = self._logs[log]
        if position < known_log.folded:
            raise errors.TallyMergeError(
                f"adds after position {position} of {log} were requested, but it is folded up to {known_log.folded}",
                step="send",
            )
        return known_log.adds[position - known_log.folded : position - known_log.folded + limit]

    # Writing.
    def append(self, *, log: TallyLogName, add: TallyAdd) -> int:
        """Appends an add to a log and returns its position there."""
        own_log = self._logs.setdefault(log, _Log())
        own_log.adds.append(add)
        self._index_occurrence(Occurrence(log, own_log.position), add)
        return own_log.position

    def merge(self, *, log: TallyLogName, first: int, adds: Iterable[TallyAdd]) -> None:
        """Merges adds of a log; adds that this node already has change nothing.

        Args:
            log: The log.
            first: Position of the first of these adds, counted from 1.
            adds: The adds, in the order of the log.

        Raises:
            TallyMergeError: There is a gap between the prefix that this node has and these adds.
        """
        known_log = self._logs.setdefault(log, _Log())
        if first > known_log.position + 1:
            raise errors.TallyMergeError(
                f"adds of {log} begin at position {first}, at most {known_log.position + 1} is allowed", step="merge"
            )
        for position, add in enumerate(adds, start=first):
            if position == known_log.position + 1:
                known_log.adds.append(add)
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
        """Drops the ids of the oldest adds of a log; totals do not change.

        This is correct only if each member has these adds, this node has all adds that those members had when they
        reported so, and none of the ids is sent again: then all occurrences that an id will ever have are known here.

        Args:
            log: The log.
            up_to: Position of the last add to fold; adds that this node does not have yet are not folded.
        """
        known_log = self._logs.get(log)
        if known_log is None:
            return
        count = min(up_to, known_log.position) - known_log.folded
        if count <= 0:
            return
        for position, add in enumerate(known_log.adds[:count], start=known_log.folded + 1):
            self._drop_occurrence(Occurrence(log, position), add)
        del known_log.adds[:count]
        known_log.folded += count

    def _drop_occurrence(self, occurrence: Occurrence, add: TallyAdd) -> None:
        key = AddKey(add.tally, add.add_id)
        known = self._known_adds[key]
        if not known.is_folded:
            known.is_folded = True
            self._folded_totals[add.tally] += known.amount
        known.occurrences = tuple(other for other in known.occurrences if other != occurrence)
        if not known.occurrences:
            del self._known_adds[key]

    # Snapshots.
    def snapshot(self) -> messages.TallySnapshot:
        """Returns a snapshot of the folded adds, which is sent or written before the adds that are not folded."""
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
        """Replaces the folded adds by those of a snapshot; adds of this node that it does not cover stay.

        Raises:
            TallyMergeError: This node has folded more of a log than the snapshot covers.
        """
        folded = {TallyLogName(*row.log): row.position for row in snapshot.positions}
        for name, log in self._logs.items():
            if log.folded > folded.get(name, 0):
                raise errors.TallyMergeError(
                    f"the snapshot covers {name} up to {folded.get(name, 0)}, at least {log.folded} is required",
                    step="install",
                )
        previous_logs = self._logs
        self._logs = {name: _Log(folded=position) for name, position in folded.items()}
        self._known_adds = {}
        self._totals = collections.defaultdict(int)
        self._folded_totals = collections.defaultdict(int)
        for row in snapshot.totals:
            self._totals[row.tally] += row.total
            self._folded_totals[row.tally] += row.total
        for add in snapshot.counted:
            self._known_adds[AddKey(add.tally, add.add_id)] = _KnownAdd(add.amount, (), is_folded=True)
        for name, log in previous_logs.items():
            start = folded.get(name, 0)
            if log.position > start:
                self.merge(log=name, first=start + 1, adds=log.adds[start - log.folded :])
