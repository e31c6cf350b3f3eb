"""Contact with a majority of the core set: a lease from answered heartbeats (docs/control.md 2).

A node sends numbered heartbeats that name the version of the core set which it knows. A voter answers with the newest
version that it has accepted. An answer counts from the moment when its heartbeat was *sent*, so neither a slow link nor
a frozen process can stretch it, and only while the answering voter knows nothing newer. A change of the set is accepted
by a majority of the older set before it is chosen; every majority of answers to an evicted member therefore holds one
that was sent before that, and its lease ends at most `lease_s` after the change was chosen.
"""

import dataclasses

from ploverward.control_plane.consensus import ballots

SENT_KEPT = 64  # heartbeats whose answers are still looked for, over all peers


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """What a node tells another core node about itself; `version` is of the core set that it knows."""

    number: int
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """A voter's answer: the newest versions of the core set and of the configuration that it has accepted."""

    number: int
    version: int
    configuration: int = 0


class Contact:
    """Tells whether this node was in contact with a majority of the core set within `lease_s` seconds."""

    def __init__(self, *, own: str, now, lease_s: float):
        self._own = own
        self._now = now
        self._lease_s = lease_s
        self._number = 0
        self._sent = {}  # number: time of sending
        self._heard = {}  # member: (sent at, version) of the newest heartbeat that it answered
        self._configurations = {}  # member: the configuration that it told with that answer
        self._fresh_as_of = float("-inf")
        self.newest_version = 0  # the newest version that any voter told

    def next_heartbeat(self, *, version: int) -> Heartbeat:
        """The heartbeat of this round, the same for all peers."""
        self._number += 1
        self._sent[self._number] = self._now()
        self._sent.pop(self._number - SENT_KEPT, None)
        return Heartbeat(number=self._number, version=version)

    def handle_answer(self, *, member: str, answer: Answer) -> None:
        """Counts an answer from the time when its heartbeat was sent. Answers to unknown numbers are ignored."""
        sent_at = self._sent.get(answer.number)
        if sent_at is None:
            return
        self.newest_version = max(self.newest_version, answer.version)
        latest = self._heard.get(member)
        if latest is None or sent_at > latest[0]:
            self._heard[member] = (sent_at, answer.version)
            self._configurations[member] = answer.configuration

    def answered_within(self, *, member: str, span_s: float) -> bool:
        """Whether this voter answered a heartbeat sent within the last `span_s` seconds."""
        latest = self._heard.get(member)
        return member == self._own or (latest is not None and self._now() - latest[0] <= span_s)

    def answered_since(self, *, member: str, when: float) -> bool:
        """Whether this voter answered a heartbeat that was sent after this time."""
        latest = self._heard.get(member)
        return member == self._own or (latest is not None and latest[0] >= when)

    def lease_until(self, *, members: tuple, version: int, is_supporting: bool = True) -> float:
        """The end of the lease under this version of the set, on this node's clock; 0.0 where there is none.

        `is_supporting`: whether this node itself votes and has accepted nothing newer.
        """
        if not members:
            return 0.0
        supported = []
        for member in members:
            if member == self._own:
                if is_supporting:
                    supported.append(self._now())
                continue
            sent_at, reported_version = self._heard.get(member, (0.0, 0))
            if sent_at and reported_version <= version:
                supported.append(sent_at)
        needed = ballots.majority(members)
        if len(supported) < needed:
            return 0.0
        return sorted(supported, reverse=True)[needed - 1] + self._lease_s

    def fresh_as_of(
        self, *, members: tuple, version: int, known: int, accepted: int, is_supporting: bool = True
    ) -> float:
        """The latest moment, on this node's clock, at which no configuration newer than `known` was acknowledged.

        What is acknowledged was accepted by a majority before; so a majority of answers to heartbeats sent later names it.
        `known`: the newest version that this node knows to be chosen; `accepted`: the newest that it accepted itself.
        """
        rows = [(self._now(), accepted)] if is_supporting and self._own in members else []
        for member in members:
            sent_at, reported_version = self._heard.get(member, (0.0, 0))
            if member != self._own and sent_at and reported_version <= version:
                rows.append((sent_at, self._configurations[member]))
        needed = ballots.majority(members) if members else 1
        newest = sorted(rows, reverse=True)[:needed]
        if len(newest) == needed and all(answered_version <= known for _sent_at, answered_version in newest):
            self._fresh_as_of = max(self._fresh_as_of, newest[-1][0])
        return self._fresh_as_of

    def has_majority(self, *, members: tuple, version: int, is_supporting: bool = True) -> bool:
        """Whether a majority of these members confirmed this version within the lease."""
        return self._now() < self.lease_until(members=members, version=version, is_supporting=is_supporting)
