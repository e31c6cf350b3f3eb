"""The checks of the simulation of roll-outs: what must hold of every request, lease and stage (docs/rollouts.md 1).

`RolloutChecks` owns what was seen of one simulation and the findings. It reads the nodes and changes none of them.
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
MAX_BAD_ANSWERS = 50  # after which a bad version has rollbackMs to get nothing more
CLOCK_TOLERANCE_S = 0.01
RECORDED_BAD_ANSWERS = 10  # from one line of the history to the next
MAX_OVERTIME_S = 4.0  # past the term: until another coordinator has the role, its contact and the reports
LOSSES = frozenset(
    ("cut_proxies", "freeze_proxies", "kill_proxies", "kill_all", "all_power")
)  # of proxies, or of all counts


@dataclasses.dataclass(frozen=True)
class Finding:
    """A check that a simulation broke, and when, in simulated seconds."""

    check: str
    when: float
    text: str


@dataclasses.dataclass
class Report:
    """The result of one simulation.

    Attributes:
        seed: Of its randomness.
        kind: "good", or how the new version is bad.
        fault_kinds: The injected faults.
        stage: The last one.
        ended_s: The age of the order at its end, in seconds.
        sent: Requests from the order to its term.
        sent_new: Of these, those to the new version.
        allowed_new: Of these, those that a bad version may get.
        findings: The checks that broke.
        history: When and what happened: stages, faults, findings, each tenth bad answer.
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


class Send(typing.NamedTuple):
    """One attempt."""

    at: float
    is_new: bool
    is_in_contact: bool


class RolloutChecks:
    """Checks of one simulation.

    Args:
        report: Gets the findings.
        now: The simulated clock.
        over_s: The term of the order.
    """

    def __init__(self, *, report: Report, now: Callable[[], float], over_s: float) -> None:
        self.report = report
        self.sends: list[Send] = []
        self._now = now
        self._over_s = over_s
        self._stages: list[state.Stage] = []
        self._bad_answers: list[float] = []

    def record(self, text: str) -> None:
        """Adds a line to the history."""
        self.report.history.append((round(self._now(), 3), text))

    def _find(self, check: str, text: str) -> None:
        self.record(f"FINDING {check}: {text}")
        self.report.findings.append(Finding(check=check, when=round(self._now(), 3), text=text))

    def note_stage(self, row: state.Rollout) -> bool:
        """A value of the register was chosen; whether it begins another stage."""
        if not row.number or (self._stages and self._stages[-1] == row.stage):
            return False
        former = self._stages[-1] if self._stages else None
        if former is not None and row.stage not in ALLOWED_STAGES.get(former, ()):
            self._find("stage", f"{row.stage} after {former}")
        self._stages.append(row.stage)
        if row.stage in state.FINAL_STAGES:
            self.report.ended_s = self._now() - ORDER_AT_S
        return True

    def note_delivered(self, proxies: Iterable[rollout_nodes.Proxy]) -> None:
        """The former replicas stop at once: nothing may run there."""
        is_forced = self._now() - ORDER_AT_S >= planner.IGNORE_SILENT_PROXIES_FROM * self._over_s
        running = sum(proxy.running[rollout_nodes.FORMER] for proxy in proxies if proxy.is_in_contact)
        if running and not is_forced and not LOSSES & set(self.report.fault_kinds):
            self._find("delivered", f"{running} attempts run at the former version")

    def note_send(self, proxy: rollout_nodes.Proxy, replica: rollout_nodes.Replica) -> None:
        """An attempt begins."""
        now = self._now()
        is_new = replica.edition == rollout_nodes.NEW
        if is_new and not self._stages:
            self._find("admitted", "a request to a version that nobody let in")
        if is_new:
            self._check_lease(proxy, now)
        is_in_contact = proxy.is_in_contact
        self.sends.append(Send(at=now, is_new=is_new, is_in_contact=is_in_contact))
        if is_new and is_in_contact and self.report.kind != "good":
            self._check_rollback(now)

    def _check_lease(self, proxy: rollout_nodes.Proxy, now: float) -> None:
        """Before all requests are to go to the new version, one needs a lease that was asked for lately."""
        leased = (state.Stage.CANARY, state.Stage.PROMOTING, state.Stage.RETURNED)
        if not self._stages or self._stages[-1] not in leased or state.Stage.DRAINING in self._stages:
            return
        age_s = now - proxy.answered_at
        if age_s > rollout_nodes.ROLLBACK_S * manager.LEASE_SHARE + CLOCK_TOLERANCE_S:
            self._find("lease", f"{age_s:.2f} s after its last lease was asked for")

    def _check_rollback(self, now: float) -> None:
        """A bad version gets nothing any more a while after its last permitted bad answer."""
        if len(self._bad_answers) < MAX_BAD_ANSWERS:
            return
        age_s = now - self._bad_answers[MAX_BAD_ANSWERS - 1]
        if now > self._bad_answers[MAX_BAD_ANSWERS - 1] + rollout_nodes.ROLLBACK_S:
            self._find("rollback", f"{age_s:.2f} s after the bad answers")

    def note_leases(self, core: rollout_nodes.Core) -> None:
        """A core node grants leases: it must be in contact with a majority, or have been so a moment ago."""
        if self._now() > core.contact_until + rollout_nodes.CONTACT_S / rollout_nodes.CONTACT_DIVISOR:
            self._find("holder", f"{core.name} hands out leases without contact")

    def note_answer(self, attempt: rollout_nodes.SimulatedAttempt) -> None:
        """An attempt is over."""
        if attempt.replica.edition == rollout_nodes.NEW and attempt.is_bad:
            self._bad_answers.append(self._now())
            if len(self._bad_answers) % RECORDED_BAD_ANSWERS == 0:
                self.record(f"{len(self._bad_answers)} bad answers of the new version")

    def check_exposure(self) -> None:
        """A bad version gets its share of the requests from the order to its term, and the slack."""
        during = [send for send in self.sends if ORDER_AT_S <= send.at <= ORDER_AT_S + self._over_s]
        self.report.sent = len(during)
        self.report.sent_new = sum(send.is_new for send in during if send.is_in_contact)
        self.report.allowed_new = rollout_nodes.EXPOSURE.share * len(during) + rollout_nodes.EXPOSURE.slack
        if self.report.kind != "good" and self.report.sent_new > self.report.allowed_new:
            self._find("exposure", f"{self.report.sent_new} of {len(during)}, {self.report.allowed_new:.0f} allowed")

    def check_term(self) -> None:
        """The term is over: the order has ended one way or the other."""
        if self._stages and self._stages[-1] not in state.FINAL_STAGES:
            self._find("term", f"still {self._stages[-1]}")
