"""Which versions the requests of a proxy may be sent to, and their counts (docs/rollouts.md 3, 4).

An admitted version may always receive requests. A new one receives them under a lease, which counts from when its
report was sent, as a share of this proxy's own requests. The share is a budget: each request adds the share to a
credit, and an attempt at the new version spends one. So the share is kept at every moment, and over any number of
proxies (`test_share_of_the_new_version_holds_over_all_proxies`).

`VersionRouter` owns the credit, the lease and the counts of each service's order. The counts are cumulative for this
incarnation and restart with each order.
"""

import dataclasses
from collections.abc import Callable

from ploverward.common import rollout_evidence
from ploverward.control_plane.rollouts import leases
from ploverward.control_plane.rollouts import state
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.requests import attempts
from ploverward.data_plane.rollouts import attempt_tally
from ploverward.transport import messages

MAX_CREDIT = 1.5  # requests that may be saved up while no replica of the new version is usable
FULL_SHARE = 0.999  # from here on the new version is preferred for all requests; the share in a lease is rounded
MAX_PENDING_REPORTS = 8  # whose replies still count; those of older ones would have expired


@dataclasses.dataclass(frozen=True)
class VersionPool:
    """The replicas of a service that one attempt may go to.

    Attributes:
        rollout: The service's row.
        is_new: Whether they are those of the new version, or those of the admitted ones.
        replicas: Ids; empty: all of these versions.
    """

    rollout: state.Rollout
    is_new: bool
    replicas: tuple[str, ...] = ()

    def has(self, replica: replica_table.Replica) -> bool:
        """Whether the replica's version is one of these; a replica without a version counts as admitted."""
        if not replica.edition:
            return not self.is_new
        if self.is_new:
            return replica.edition == self.rollout.target
        return self.rollout.is_admitted(replica.edition)


@dataclasses.dataclass(slots=True)
class TrackedRollout:
    """One service's roll-out as this proxy follows it.

    Attributes:
        rollout: The service's row.
        ordered_at: When the order was received, on this proxy's clock.
        credit: Requests that may be sent to the new version.
        counts_from: Attempts that began before are not counted.
        lease: The newest lease.
        lease_until: Its end.
        sent: Attempts since the order.
        sent_new: Of these, those at the new version.
        tallies: Their outcomes.
    """

    rollout: state.Rollout
    ordered_at: float
    credit: float
    counts_from: float
    lease: leases.CanaryLease | None = None
    lease_until: float = 0.0
    sent: int = 0
    sent_new: int = 0
    tallies: dict[rollout_evidence.Key, rollout_evidence.Tally] = dataclasses.field(default_factory=dict)


class VersionRouter:
    """Roll-outs of all services.

    Args:
        now: The loop's clock, in seconds.
        chance: Draws a number from 0 to below 1.
        running: Counts the attempts in progress at other versions of a service: `running(service, target)`.

    Attributes:
        report_interval: Heartbeats between two reports, as the coordinator requests.
    """

    def __init__(
        self, *, now: Callable[[], float], chance: Callable[[], float], running: Callable[[str, str], int]
    ) -> None:
        self.report_interval = 1
        self._now = now
        self._chance = chance
        self._running = running
        self._tracked: dict[str, TrackedRollout] = {}  # by service
        self._number = 0
        self._sent_at: dict[int, float] = {}  # by number of a pending report

    def install(self, payload: state.Payload) -> None:
        """Installs the register's newest value."""
        now = self._now()
        for service, rollout in state.rollouts_of(payload).items():
            ordered_at = now - rollout.age_s
            tracked = self._tracked.get(service)
            if tracked is not None and tracked.rollout.number == rollout.number:
                tracked.rollout = rollout
                tracked.ordered_at = min(tracked.ordered_at, ordered_at)
                continue
            # Each proxy begins with a random credit: else all would send to the new version at the same time.
            self._tracked[service] = TrackedRollout(
                rollout=rollout, ordered_at=ordered_at, credit=self._chance(), counts_from=now
            )

    def _share(self, tracked: TrackedRollout) -> float:
        """The share of the requests that may be sent to the new version now."""
        if tracked.rollout.stage == state.Stage.DRAINING:
            return 1.0
        lease = tracked.lease
        if lease is None or self._now() >= tracked.lease_until or not tracked.rollout.is_in_progress:
            return 0.0
        return lease.share

    def pools(self, *, service: str, is_first: bool) -> tuple[VersionPool | None, ...]:
        """The pools for one attempt, the preferred one first.

        Args:
            service: The service.
            is_first: Whether no attempt of the request has reached a replica yet: a retry uses the former version.

        Returns:
            The pools; None means all replicas of the service.
        """
        tracked = self._tracked.get(service)
        if tracked is None:
            return (None,)
        rollout = tracked.rollout
        former = VersionPool(rollout=rollout, is_new=False)
        if not rollout.is_in_progress:
            return (former,)
        if rollout.stage == state.Stage.DRAINING:
            return (VersionPool(rollout=rollout, is_new=True),)
        share = self._share(tracked)
        if share >= FULL_SHARE:
            return (VersionPool(rollout=rollout, is_new=True), former)
        if is_first and share > 0.0 and tracked.lease is not None and tracked.credit + share >= 1.0:
            return (VersionPool(rollout=rollout, is_new=True, replicas=tracked.lease.replicas), former)
        return (former,)

    def note_send(self, *, service: str, replica: replica_table.Replica) -> None:
        """One attempt begins."""
        tracked = self._find_in_progress(service)
        if tracked is None:
            return
        tracked.sent += 1
        tracked.credit += self._share(tracked)
        if replica.edition == tracked.rollout.target:
            tracked.sent_new += 1
            tracked.credit -= 1.0
        tracked.credit = max(0.0, min(MAX_CREDIT, tracked.credit))

    def is_in_progress(self, service: str) -> bool:
        """Whether a roll-out of the service is in progress: only then attempts are counted."""
        return self._find_in_progress(service) is not None

    def _find_in_progress(self, service: str) -> TrackedRollout | None:
        tracked = self._tracked.get(service)
        return tracked if tracked is not None and tracked.rollout.is_in_progress else None

    def note_first_event(self, *, service: str, route: str, attempt: attempts.Attempt, expected_s: float) -> None:
        """The first event of an answer arrived; the arguments are those of `attempt_tally.count_first`."""
        tally = self._tally_of(service=service, route=route, attempt=attempt)
        if tally is not None:
            attempt_tally.count_first(tally, attempt, now=self._now(), expected_s=expected_s)

    def note_attempt_end(
        self,
        *,
        service: str,
        route: str,
        attempt: attempts.Attempt,
        kind: int,
        latency_target_s: float,
        expected_s: float,
    ) -> None:
        """One attempt is over; the arguments are those of `attempt_tally.count`."""
        tally = self._tally_of(service=service, route=route, attempt=attempt)
        if tally is not None:
            attempt_tally.count(
                tally,
                attempt,
                kind=kind,
                now=self._now(),
                latency_target_s=latency_target_s,
                expected_s=expected_s,
            )

    def _tally_of(self, *, service: str, route: str, attempt: attempts.Attempt) -> rollout_evidence.Tally | None:
        """Where an attempt counts; None where it is no evidence, or the service has no roll-out in progress."""
        tracked = self._find_in_progress(service)
        if tracked is None:
            return None
        if attempt.sent_at < tracked.counts_from or not attempt_tally.is_evidence(attempt):
            return None
        is_new = attempt.replica.edition == tracked.rollout.target
        group = rollout_evidence.group_of(attempt.replica.key) if is_new else 0
        key = rollout_evidence.Key(route=route, is_new=is_new, group=group)
        return tracked.tallies.setdefault(key, rollout_evidence.Tally())

    def report(self) -> messages.RolloutEvidence | None:
        """The evidence to be sent to the coordinator now; None where no roll-out is in progress."""
        now = self._now()
        reports = [
            rollout_evidence.Report(
                service=service,
                number=tracked.rollout.number,
                step=tracked.rollout.step,
                age_s=now - tracked.ordered_at,
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
        self._sent_at[self._number] = now
        self._sent_at.pop(self._number - MAX_PENDING_REPORTS, None)
        return messages.RolloutEvidence(number=self._number, reports=rollout_evidence.pack(reports))

    def handle_leases(self, message: messages.RolloutLeases) -> None:
        """Handles the coordinator's reply to a report.

        A lease counts from when its report was sent, and never replaces one whose report was sent later.

        Raises:
            FrameError: The message contains no leases.
        """
        self.report_interval = max(1, message.report_interval)
        granted = leases.unpack(message.leases)
        sent_at = self._sent_at.get(message.number)
        if sent_at is None:
            return
        until = sent_at + message.duration_s
        for lease in granted:
            tracked = self._tracked.get(lease.service)
            if tracked is None or tracked.rollout.number != lease.number or lease.step < tracked.rollout.step:
                continue
            if until >= tracked.lease_until:
                tracked.lease = lease
                tracked.lease_until = until
