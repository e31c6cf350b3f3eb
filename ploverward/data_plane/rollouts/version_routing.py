"""Routes a proxy's requests to versions, and counts the outcomes (docs/rollouts.md 3, 4).

An admitted version may always receive requests. A new version receives a share of this proxy's requests, which a lease
grants; the lease counts from when the report that it replies to was sent. The share is a budget: each request adds the
share to a credit, and an attempt at the new version spends one. So the share holds at every moment, and over any number
of proxies (`test_share_of_the_new_version_holds_over_all_proxies`).

`VersionRouter` owns the credit, the lease and the counts of each service's roll-out. The counts are cumulative for this
incarnation of the proxy, and start from zero with each new order.
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

MAX_CREDIT = 1.5  # requests: limits the burst after a time in which no replica of the new version was usable
FULL_SHARE = 0.999  # from this share on, all requests prefer the new version; the share in a lease is rounded
MAX_PENDING_REPORTS = 8  # reports whose replies are accepted; leases for older ones would have expired


@dataclasses.dataclass(frozen=True)
class VersionPool:
    """The replicas of a service that one attempt may go to.

    Attributes:
        rollout: The service's roll-out.
        is_new: Whether the pool has the replicas of the new version; otherwise those of the admitted versions.
        replicas: The ids to which the pool is limited; empty for all replicas of these versions.
    """

    rollout: state.Rollout
    is_new: bool
    replicas: tuple[str, ...] = ()

    def has(self, replica: replica_table.Replica) -> bool:
        """Returns whether the replica's version is in the pool; a replica without a version counts as admitted."""
        if not replica.edition:
            return not self.is_new
        if self.is_new:
            return replica.edition == self.rollout.target
        return self.rollout.is_admitted(replica.edition)


@dataclasses.dataclass(slots=True)
class TrackedRollout:
    """One service's roll-out as this proxy follows it.

    Attributes:
        rollout: The service's roll-out.
        ordered_at: When the roll-out was ordered, on this proxy's clock.
        credit: The number of requests that may be sent to the new version, with a fraction.
        counts_from: Attempts that were sent before this time are not counted.
        lease: The newest lease.
        lease_until: When the lease ends.
        sent: The number of attempts since the order.
        sent_new: The number of these that were sent to the new version.
        tallies: The outcomes of the attempts.
    """

    rollout: state.Rollout
    ordered_at: float
    credit: float
    counts_from: float
    lease: leases.CanaryLease | None = None
    lease_until: float = 0.0
    sent: int = 0
    sent_new: int = 0
    tallies: dict[rollout_evidence.TallyKey, rollout_evidence.Tally] = dataclasses.field(default_factory=dict)


class VersionRouter:
    """Routes requests to versions during the roll-outs of all services.

    Args:
        now: The loop's clock, in seconds.
        chance: Draws a number from 0 to below 1.
        running: Returns the number of attempts in progress at other versions of a service than the given one.

    Attributes:
        report_interval: The number of heartbeats between two reports, as the coordinator requests it.
    """

    def __init__(
        self, *, now: Callable[[], float], chance: Callable[[], float], running: Callable[[str, str], int]
    ) -> None:
        self.report_interval = 1
        self._now = now
        self._chance = chance
        self._running = running
        self._tracked: dict[str, TrackedRollout] = {}  # by service
        self._number = 0  # of the last report
        self._sent_at: dict[int, float] = {}  # when each pending report was sent, by its number

    def install(self, payload: state.Payload) -> None:
        """Installs the newest state of the roll-outs."""
        now = self._now()
        for service, rollout in state.rollouts_of(payload).items():
            ordered_at = now - rollout.age_s
            tracked = self._tracked.get(service)
            if tracked is not None and tracked.rollout.number == rollout.number:
                tracked.rollout = rollout
                tracked.ordered_at = min(tracked.ordered_at, ordered_at)
                continue
            # A random initial credit keeps the proxies from all sending to the new version at the same time.
            self._tracked[service] = TrackedRollout(
                rollout=rollout, ordered_at=ordered_at, credit=self._chance(), counts_from=now
            )

    def _share(self, tracked: TrackedRollout) -> float:
        """Returns the share of the requests that may be sent to the new version now."""
        if tracked.rollout.stage == state.Stage.DRAINING:
            return 1.0
        lease = tracked.lease
        if lease is None or self._now() >= tracked.lease_until or not tracked.rollout.is_in_progress:
            return 0.0
        return lease.share

    def pools(self, *, service: str, is_first: bool) -> tuple[VersionPool | None, ...]:
        """Returns the pools for one attempt, the preferred one first.

        Args:
            service: The service.
            is_first: Whether no attempt of the request has reached a replica yet. Otherwise the attempt is a retry,
                which uses the former version unless all requests prefer the new one.

        Returns:
            The pools; None stands for all replicas of the service.
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
        """Records that an attempt is sent, and updates the credit."""
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
        """Returns whether a roll-out of the service is in progress; attempts are counted only then."""
        return self._find_in_progress(service) is not None

    def _find_in_progress(self, service: str) -> TrackedRollout | None:
        tracked = self._tracked.get(service)
        return tracked if tracked is not None and tracked.rollout.is_in_progress else None

    def note_first_event(self, *, service: str, route: str, attempt: attempts.Attempt, expected_s: float) -> None:
        """Counts the first event of a response; the arguments are those of `attempt_tally.count_first_event`."""
        tally = self._find_tally(service=service, route=route, attempt=attempt)
        if tally is not None:
            attempt_tally.count_first_event(tally, attempt, now=self._now(), expected_s=expected_s)

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
        """Counts the end of an attempt; the arguments are those of `attempt_tally.count_end`."""
        tally = self._find_tally(service=service, route=route, attempt=attempt)
        if tally is not None:
            attempt_tally.count_end(
                tally,
                attempt,
                kind=kind,
                now=self._now(),
                latency_target_s=latency_target_s,
                expected_s=expected_s,
            )

    def _find_tally(self, *, service: str, route: str, attempt: attempts.Attempt) -> rollout_evidence.Tally | None:
        """Returns the tally of an attempt; None if it is no evidence, or no roll-out of the service is in progress."""
        tracked = self._find_in_progress(service)
        if tracked is None:
            return None
        if attempt.sent_at < tracked.counts_from or not attempt_tally.is_evidence(attempt):
            return None
        is_new = attempt.replica.edition == tracked.rollout.target
        group = rollout_evidence.group_of(attempt.replica.key) if is_new else 0
        key = rollout_evidence.TallyKey(route=route, is_new=is_new, group=group)
        return tracked.tallies.setdefault(key, rollout_evidence.Tally())

    def report(self) -> messages.RolloutEvidence | None:
        """Returns the evidence to send to the coordinator now; None if no roll-out is in progress."""
        now = self._now()
        reports = [
            rollout_evidence.Report(
                service=service,
                number=tracked.rollout.number,
                step=tracked.rollout.step,
                age_s=now - tracked.ordered_at,
                sent=tracked.sent,
                sent_new=tracked.sent_new,
                in_flight_old=self._running(service, tracked.rollout.target),
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

        A lease counts from when its report was sent. It does not replace a lease that ends later, so a late reply to
        an older report does not replace the lease of a newer one.

        Raises:
            FrameError: The message contains no valid leases.
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
