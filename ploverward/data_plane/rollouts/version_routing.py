"""Roll-outs at a proxy: which versions a request may go to, and what is counted of them (docs/rollouts.md 3, 4).

An admitted version may get requests always. A new one gets them under a lease alone, which counts from when it was asked
for, as a part of this proxy's own requests: of each request a fraction is saved up, and a whole one buys one attempt, so
that the part holds at every moment and over any number of proxies.
"""

import dataclasses

from ploverward.common import rollout_evidence
from ploverward.control_plane.rollouts import state
from ploverward.data_plane.requests import attempts
from ploverward.data_plane.load_reports import report_source

MOST_CREDIT = 1.5  # requests that may be saved up while no replica of the new version can be named
WHOLE_SHARE = 0.999


def _first_bucket(took_s: float, expected_s: float) -> int:
    """By what the replica itself took, beyond the way there and the reading of the prompt."""
    return rollout_evidence.bucket_of(1.0 + max(0.0, took_s - expected_s) / rollout_evidence.UNIT_S)


@dataclasses.dataclass(frozen=True)
class Pool:
    """The replicas of a service that one attempt may go to."""

    rollout: state.Rollout
    is_new: bool
    replicas: tuple = ()  # ids; empty: all of these versions

    def has(self, replica) -> bool:
        if not replica.edition:
            return not self.is_new
        if self.is_new:
            return replica.edition == self.rollout.target
        return self.rollout.is_admitted(replica.edition)


@dataclasses.dataclass
class Held:
    """One service's roll-out as this proxy follows it."""

    rollout: state.Rollout
    began_at: float  # when the order came, on this proxy's clock
    credit: float  # of a request to the new version
    counts_from: float  # attempts that began before are not counted
    lease: object = None
    lease_until: float = 0.0
    sent: int = 0
    sent_new: int = 0
    tallies: dict = dataclasses.field(default_factory=dict)  # evidence.Key: Tally


class Rollouts:
    """`chance()` is a random number from 0 to below 1; `running(service, target)` counts attempts at other versions."""

    def __init__(self, *, now, chance, running):
        self._now = now
        self._chance = chance
        self._running = running
        self._held = {}  # service: Held
        self._asked = {}  # number of a report: when it was sent
        self._number = 0
        self.pace = 1

    def install(self, payload) -> None:
        """The register's newest value."""
        now = self._now()
        for service, rollout in state.rollouts_of(payload).items():
            held = self._held.get(service)
            if held is not None and held.rollout.number == rollout.number:
                held.rollout = rollout
                held.began_at = min(held.began_at, now - rollout.age_s)
                continue
            # A phase of its own for each proxy: many of them begin at the same moment.
            self._held[service] = Held(
                rollout=rollout, began_at=now - rollout.age_s, credit=self._chance(), counts_from=now
            )

    # Which versions an attempt may go to.
    def _share(self, held: Held) -> float:
        if held.rollout.stage == state.Stage.DRAINING:
            return 1.0
        lease = held.lease
        if lease is None or self._now() >= held.lease_until or not held.rollout.is_under_way:
            return 0.0
        return lease.share

    def pools(self, *, service: str, is_first: bool) -> tuple:
        """Pools for one attempt, the preferred first; None stands for every replica of the service.

        `is_first`: no attempt of the request has reached a replica yet; what failed once goes to the former version.
        """
        held = self._held.get(service)
        if held is None:
            return (None,)
        rollout = held.rollout
        former = Pool(rollout=rollout, is_new=False)
        if not rollout.is_under_way:
            return (former,)
        share = self._share(held)
        if rollout.stage == state.Stage.DRAINING:
            return (Pool(rollout=rollout, is_new=True),)
        if share >= WHOLE_SHARE:
            return (Pool(rollout=rollout, is_new=True), former)
        if is_first and share > 0.0 and held.credit + share >= 1.0:
            return (Pool(rollout=rollout, is_new=True, replicas=held.lease.replicas), former)
        return (former,)

    def note_send(self, *, service: str, replica) -> None:
        """One attempt begins."""
        held = self._held.get(service)
        if held is None or not held.rollout.is_under_way:
            return
        held.sent += 1
        held.credit += self._share(held)
        if replica.edition == held.rollout.target:
            held.sent_new += 1
            held.credit -= 1.0
        held.credit = max(0.0, min(MOST_CREDIT, held.credit))

    # What is counted.
    def note_end(self, *, service: str, route: str, attempt, kind: int, aim_s: float, expected_s: float) -> None:
        """One attempt is over. `expected_s`: until its first piece, by the way and by what was to be read.

        What comes sooner counts as just then: below it, times tell nothing of the replica.
        """
        held = self._held.get(service)
        if held is None or not held.rollout.is_under_way or attempt.outlet.is_unsent:
            return
        if attempt.sent_at < held.counts_from:
            return
        if attempt.meaning in (attempts.Meaning.NOT_RUN, attempts.Meaning.SPOILED):
            return
        is_new = attempt.replica.edition == held.rollout.target
        group = rollout_evidence.group_of(attempt.replica.key) if is_new else 0
        tally = held.tallies.setdefault(
            rollout_evidence.Key(route=route, is_new=is_new, group=group), rollout_evidence.Tally()
        )
        self._count(tally, attempt, kind=kind, aim_s=aim_s, expected_s=expected_s)

    def _count(self, tally, attempt, *, kind: int, aim_s: float, expected_s: float) -> None:
        now = self._now()
        waited_s = now - attempt.sent_at
        if attempt.meaning is attempts.Meaning.FAILURE and attempt.status >= 500 and attempt.is_complete:
            tally.ended += 1
            tally.failed += 1
        elif attempt.is_complete:
            tally.ended += 1
            first_s = (attempt.first_at or now) - attempt.sent_at
            if attempt.arrival is None:  # else its adapter may have had to be loaded first
                tally.firsts[_first_bucket(first_s, expected_s)] += 1
            if attempt.pieces > 1:
                pace_s = (attempt.last_at - attempt.first_at) / (attempt.pieces - 1)
                tally.paces[rollout_evidence.bucket_of(pace_s / rollout_evidence.UNIT_S)] += 1
        elif attempt.first_at is None and waited_s > aim_s:
            tally.ended += 1  # given up: it would have taken longer still
            tally.firsts[_first_bucket(waited_s, expected_s)] += 1
        elif kind in (report_source.BROKEN, report_source.FAILED):
            tally.ended += 1
            tally.broken += 1

    # To the holder of the watch duty, and back.
    def report(self) -> tuple | None:
        """(number, bytes) to be sent now; None where no roll-out is under way."""
        reports = [
            rollout_evidence.Report(
                service=service,
                number=held.rollout.number,
                step=held.rollout.step,
                age_s=self._now() - held.began_at,
                sent=held.sent,
                sent_new=held.sent_new,
                running_old=self._running(service, held.rollout.target),
                tallies=held.tallies,
            )
            for service, held in self._held.items()
            if held.rollout.is_under_way
        ]
        if not reports:
            return None
        self._number += 1
        self._asked = {number: when for number, when in self._asked.items() if number > self._number - 8}
        self._asked[self._number] = self._now()
        return self._number, rollout_evidence.pack(reports)

    def take_leases(self, *, number: int, life_s: float, leases: list) -> None:
        """Each counts from when its report was sent, and never takes the place of one that was asked for later."""
        asked_at = self._asked.get(number)
        if asked_at is None:
            return
        for lease in leases:
            held = self._held.get(lease.service)
            if held is None or held.rollout.number != lease.number or lease.step < held.rollout.step:
                continue
            if asked_at + life_s >= held.lease_until:
                held.lease = lease
                held.lease_until = asked_at + life_s
