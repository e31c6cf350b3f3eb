"""Invariant checks of the roll-out simulation: rules for every request, lease and stage (docs/rollouts.md 1).

`RolloutChecks` owns the observations of one simulation and the findings. It reads the nodes and changes none of them.
"""

from __future__ import annotations

import dataclasses
import typing

from ploverward.control_plane.rollouts import manager
from ploverward.control_plane.rollouts import planner
from ploverward.control_plane.rollouts import state
from ploverward.simulation import rollout_nodes

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

ORDER_AT_S = 2.0
ALLOWED_STAGES = dict(state.NEXT_STAGES)  # a copy: a seeded bug may change the original
MAX_BAD_ANSWERS = 50  # rollbackMs after this many, a bad version must receive no more requests
CLOCK_TOLERANCE_S = 0.01
RECORDED_BAD_ANSWERS = 10  # bad answers between two lines of the history
# Time past the term for another coordinator to take the role, establish contact and receive the reports.
MAX_OVERTIME_S = 4.0
# Faults that lose proxies, or the counts of all nodes.
LOSSES = frozenset(("cut_proxies", "freeze_proxies", "kill_proxies", "kill_all", "all_power"))


@dataclasses.dataclass(frozen=True)
class Finding:
    """A violated check.

    Attributes:
        check: Name of the check.
        when: Simulated time in seconds.
        text: The observation that violates it.
    """

    check: str
    when: float
    text: str


@dataclasses.dataclass
class Report:
    """The result of one simulation.

    Attributes:
        seed: Seed of the random generators.
        kind: "good", or the defect of the new version.
        fault_kinds: The injected faults.
        stage: Last stage of the roll-out.
        ended_s: Age of the order when it reached a final stage, in seconds.
        sent: Number of requests from the order to the end of its term.
        sent_new: Number of these sent to the new version by proxies in contact.
        allowed_new: Number of these that a bad version may receive.
        findings: The violated checks.
        history: Simulated times and descriptions of stages, faults, findings and every tenth bad answer.
    """

    seed: int
    kind: str
    fault_kinds: tuple[str, ...]
    stage: str = ""
    ended_s: float = 0.0
    sent: int = 0
    sent_new: int = 0
    allowed_new: float = 0.0
    findings: list[Finding] = dataclasses.field(default_factory=list)
    history: list[tuple[float, str]] = dataclasses.field(default_factory=list)


class SentAttempt(typing.NamedTuple):
    """An attempt sent by a proxy.

    Attributes:
        at: Simulated time in seconds.
        is_new: Whether it went to the new version.
        is_in_contact: Whether the proxy was in contact with the core nodes.
    """

    at: float
    is_new: bool
    is_in_contact: bool


class RolloutChecks:
    """Checks one simulation while it runs.

    Args:
        report: Receives the findings and the history.
        now: Returns the simulated time in seconds.
        over_s: Term of the order, in seconds.
    """

    def __init__(self, *, report: Report, now: Callable[[], float], over_s: float) -> None:
        self.report = report
        self.sends: list[SentAttempt] = []
        self._now = now
        self._over_s = over_s
        self._stages: list[state.Stage] = []
        self._bad_answers: list[float] = []

    def record(self, text: str) -> None:
        """Adds a line to the history."""
        self.report.history.append((round(self._now(), 3), text))

    def _add_finding(self, check: str, text: str) -> None:
        self.record(f"FINDING {check}: {text}")
        self.report.findings.append(Finding(check=check, when=round(self._now(), 3), text=text))

    def note_stage(self, row: state.Rollout) -> bool:
        """Records a chosen value of the register; returns whether it begins another stage."""
        if not row.number or (self._stages and self._stages[-1] == row.stage):
            return False
        previous = self._stages[-1] if self._stages else None
        if previous is not None and row.stage not in ALLOWED_STAGES.get(previous, ()):
            self._add_finding("stage", f"{row.stage} after {previous}")
        self._stages.append(row.stage)
        if row.stage in state.FINAL_STAGES:
            self.report.ended_s = self._now() - ORDER_AT_S
        return True

    def note_delivered(self, proxies: Iterable[rollout_nodes.Proxy]) -> None:
        """Checks that no attempt runs at the former version, whose replicas stop at once when the order is delivered.

        Such attempts are allowed once silent proxies may be ignored, and in simulations with a fault of `LOSSES`.
        """
        is_forced = self._now() - ORDER_AT_S >= planner.IGNORE_SILENT_PROXIES_FROM * self._over_s
        running = sum(proxy.running[rollout_nodes.FORMER] for proxy in proxies if proxy.is_in_contact)
        if running and not is_forced and not LOSSES & set(self.report.fault_kinds):
            self._add_finding("delivered", f"{running} attempts run at the former version")

    def note_send(self, proxy: rollout_nodes.Proxy, replica: rollout_nodes.Replica) -> None:
        """Records the start of an attempt and checks that its version may receive it."""
        now = self._now()
        is_new = replica.edition == rollout_nodes.NEW
        if is_new and not self._stages:
            self._add_finding("admitted", "a request to a version that nobody let in")
        if is_new:
            self._check_lease(proxy, now)
        is_in_contact = proxy.is_in_contact
        self.sends.append(SentAttempt(at=now, is_new=is_new, is_in_contact=is_in_contact))
        if is_new and is_in_contact and self.report.kind != "good":
            self._check_rollback(now)

    def _check_lease(self, proxy: rollout_nodes.Proxy, now: float) -> None:
        """Checks that a proxy sends to the new version on a recent lease, until draining sends all requests there."""
        leased = (state.Stage.CANARY, state.Stage.PROMOTING, state.Stage.RETURNED)
        if not self._stages or self._stages[-1] not in leased or state.Stage.DRAINING in self._stages:
            return
        age_s = now - proxy.lease_report_sent_at
        if age_s > rollout_nodes.ROLLBACK_S * manager.LEASE_SHARE + CLOCK_TOLERANCE_S:
            self._add_finding("lease", f"{age_s:.2f} s after its last lease was asked for")

    def _check_rollback(self, now: float) -> None:
        """Checks that a bad version receives no request later than rollbackMs after its last permitted bad answer."""
        if len(self._bad_answers) < MAX_BAD_ANSWERS:
            return
        age_s = now - self._bad_answers[MAX_BAD_ANSWERS - 1]
        if now > self._bad_answers[MAX_BAD_ANSWERS - 1] + rollout_nodes.ROLLBACK_S:
            self._add_finding("rollback", f"{age_s:.2f} s after the bad answers")

    def note_leases(self, core: rollout_nodes.Core) -> None:
        """Checks that a core node that grants leases is, or was very recently, in contact with a majority."""
        if self._now() > core.contact_until + rollout_nodes.CONTACT_S / rollout_nodes.CONTACT_DIVISOR:
            self._add_finding("holder", f"{core.name} hands out leases without contact")

    def note_answer(self, attempt: rollout_nodes.SimulatedAttempt) -> None:
        """Records the end of an attempt."""
        if attempt.replica.edition == rollout_nodes.NEW and attempt.is_bad:
            self._bad_answers.append(self._now())
            if len(self._bad_answers) % RECORDED_BAD_ANSWERS == 0:
                self.record(f"{len(self._bad_answers)} bad answers of the new version")

    def check_exposure(self) -> None:
        """Checks that a bad version received at most its share of the requests during the term, plus the slack."""
        during = [send for send in self.sends if ORDER_AT_S <= send.at <= ORDER_AT_S + self._over_s]
        self.report.sent = len(during)
        self.report.sent_new = sum(send.is_new for send in during if send.is_in_contact)
        self.report.allowed_new = rollout_nodes.EXPOSURE.share * len(during) + rollout_nodes.EXPOSURE.slack
        if self.report.kind != "good" and self.report.sent_new > self.report.allowed_new:
            self._add_finding(
                "exposure", f"{self.report.sent_new} of {len(during)}, {self.report.allowed_new:.0f} allowed"
            )

    def check_term(self) -> None:
        """Checks, after the term, that the order has reached a final stage."""
        if self._stages and self._stages[-1] not in state.FINAL_STAGES:
            self._add_finding("term", f"still {self._stages[-1]}")
