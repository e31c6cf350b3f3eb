"""Roll-outs at a proxy: which versions a request may go to, and what is counted of them (docs/rollouts.md 3, 4).

An admitted version may get requests always. A new one gets them under a lease alone, which counts from when it was asked
for, as a part of this proxy's own requests: of each request a fraction is saved up, and a whole one buys one attempt, so
that the part holds at every moment and over any number of proxies.
"""

import dataclasses

from ploverward.common import rollout_evidence
from ploverward.control_plane.rollouts import state
from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.requests import attempts

MAX_CREDIT = 1.5  # requests that may be saved up while no replica of the new version can be named
FULL_SHARE = 0.999


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
class TrackedRollout:
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
        self._tracked = {}  # service: Held
        self._asked = {}  # number of a report: when it was sent
        self._number = 0
        self.pace = 1

    def install(self, payload) -> None:
        """The register's newest value."""
        now = self._now()
        for service, rollout in state.rollouts_of(payload).items():
            tracked = self._tracked.get(service)
            if tracked is not None and tracked.rollout.number == rollout.number:
                tracked.rollout = rollout
                tracked.began_at = min(tracked.began_at, now - rollout.age_s)
                continue
            # A phase of its own for each proxy: many of them begin at the same moment.
            self._tracked[service] = TrackedRollout(
                rollout=rollout, began_at=now - rollout.age_s, credit=self._chance(), counts_from=now
            )

    # Which versions an attempt may go to.
    def _share(self, tracked: TrackedRollout) -> float:
        if tracked.rollout.stage == state.Stage.DRAINING:
            return 1.0
        lease = tracked.lease
        if lease is None or self._now() >= tracked.lease_until or not tracked.rollout.is_in_progress:
            return 0.0
        return lease.share

    def pools(self, *, service: str, is_first: bool) -> tuple:
        """Pools for one attempt, the preferred first; None stands for every replica of the service.

        `is_first`: no attempt of the request has reached a replica yet; what failed once goes to the former version.
        """
        tracked = self._tracked.get(service)
        if tracked is None:
            return (None,)
        rollout = tracked.rollout
        former = Pool(rollout=rollout, is_new=False)
        if not rollout.is_in_progress:
            return (former,)
        share = self._share(tracked)
        if rollout.stage == state.Stage.DRAINING:
            return (Pool(rollout=rollout, is_new=True),)
        if share >= FULL_SHARE:
            return (Pool(rollout=rollout, is_new=True), former)
        if is_first and share > 0.0 and tracked.credit + share >= 1.0:
            return (Pool(rollout=rollout, is_new=True, replicas=tracked.lease.replicas), former)
        return (former,)

    def note_send(self, *, service: str, replica) -> None:
        """One attempt begins."""
        tracked = self._tracked.get(service)
        if tracked is None or not tracked.rollout.is_in_progress:
            return
        tracked.sent += 1
        tracked.credit += self._share(tracked)
        if replica.edition == tracked.rollout.target:
            tracked.sent_new += 1
            tracked.credit -= 1.0
        tracked.credit = max(0.0, min(MAX_CREDIT, tracked.credit))

    # What is counted.
    def note_end(
        self, *, service: str, route: str, attempt, kind: int, latency_target_s: float, expected_s: float
    ) -> None:
        """One attempt is over. `expected_s`: until its first piece, by the way and by what was to be read.

        What comes sooner counts as just then: below it, times tell nothing of the replica.
        """
        tracked = self._tracked.get(service)
        if tracked is None or not tracked.rollout.is_in_progress or attempt.connection.is_unsent:
            return
        if attempt.sent_at < tracked.counts_from:
            return
        if attempt.meaning in (attempts.Meaning.NOT_RUN, attempts.Meaning.UNUSABLE):
            return
        is_new = attempt.replica.edition == tracked.rollout.target
        group = rollout_evidence.group_of(attempt.replica.key) if is_new else 0
        tally = tracked.tallies.setdefault(
            rollout_evidence.Key(route=route, is_new=is_new, group=group), rollout_evidence.Tally()
        )
        self._count(tally, attempt, kind=kind, latency_target_s=latency_target_s, expected_s=expected_s)

    def _count(self, tally, attempt, *, kind: int, latency_target_s: float, expected_s: float) -> None:
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
        elif attempt.first_at is None and waited_s > latency_target_s:
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
                number=tracked.rollout.number,
                step=tracked.rollout.step,
                age_s=self._now() - tracked.began_at,
                sent=tracked.sent,
                sent_new=tracked.sent_new,
                running_old=self._running(service, tracked.rollout.target),
                tallies=tracked.tallies,
            )
            for service, tracked in self._tracked.items()
            if tracked.rollout.is_in_progress
        ]
        if not reports:
            return None
        self._number += 1
        self._asked = {number: when for number, when in self._asked.items() if number > self._number - 8}
        self._asked[self._number] = self._now()
        return self._number, rollout_evidence.pack(reports)

    def handle_leases(self, *, number: int, lease_s: float, leases: list) -> None:
        """Each counts from when its report was sent, and never takes the place of one that was asked for later."""
        asked_at = self._asked.get(number)
        if asked_at is None:
            return
        for lease in leases:
            tracked = self._tracked.get(lease.service)
            if tracked is None or tracked.rollout.number != lease.number or lease.step < tracked.rollout.step:
                continue
            if asked_at + lease_s >= tracked.lease_until:
                tracked.lease = lease
                tracked.lease_until = asked_at + lease_s
