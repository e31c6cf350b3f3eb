"""Roll-outs at the holder of the watch duty: takes evidence, hands out leases, moves the stages (docs/rollouts.md 3).

The duty's epoch fences it: it acts only in contact with a majority, each step is a change of the register that counts only
on the step it was decided on, and what it hands to proxies runs out by itself.
"""

import collections
import dataclasses
import logging

from ploverward.common import rollout_evidence
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.rollouts import evidence_table
from ploverward.control_plane.rollouts import judge
from ploverward.control_plane.rollouts import leases
from ploverward.control_plane.rollouts import orders
from ploverward.control_plane.rollouts import planner
from ploverward.control_plane.rollouts import state
from ploverward.transport import row_codec

_log = logging.getLogger(__name__)

LEASE_PART = 0.5  # of rollbackMs: how long a lease lets a proxy send to a new version
SETTLED_RECEIPTS = 4  # an order may come again for receiptMs; after so many it is a new one
REPORTS_A_S = 150  # evidence that the holder takes in a second: the pace follows the number of proxies
DEFAULT_ROLLBACK_S = 5.0
LEAST_OWED = 6  # attempts without an answer, below which nothing is said
OWED_TIMES = 2.5  # the former version's time
OWED_SLACK_S = 0.4


class Trial:
    """What this node has gathered of one order."""

    def __init__(self, *, number: int, now: float):
        self.number = number
        self.begun_at = now
        self.evidence_table = evidence_table.EvidenceTable()
        self.judge = judge.Judge()
        self._load_judge = judge.Judge()
        self._load_judge.is_lone = True
        self._stressed_group = None
        self._first_sent_s = None
        self._is_lagging = False  # the new version owes far more answers than the former one, for what it got
        self.first_answer_s = None
        self.is_bad = False  # once found, it stays

    def stress(self, *, group: int) -> None:
        """One group of replicas has from now on a load beyond the ordinary: it is judged by itself."""
        if self._stressed_group is None:
            self._stressed_group = group

    def look(self, *, now: float, age_s: float, replicas: int, is_canary: bool) -> None:
        """`replicas`: how many of the new version there are."""
        counted = self.evidence_table.fresh()
        if self.first_answer_s is None and any(key.is_new and tally.ended for key, tally in counted.items()):
            self.first_answer_s = age_s
        self.judge.is_lone = replicas == 1
        if self._first_sent_s is None and self.evidence_table.sent_new:
            self._first_sent_s = age_s
        if is_canary and self._stressed_group is None and self._first_sent_s is not None:
            self._is_lagging = self._owes_answers(age_s)
        if is_canary:
            stressed = {
                key: tally for key, tally in counted.items() if key.is_new and key.group == self._stressed_group
            }
            former = {key: tally for key, tally in counted.items() if not key.is_new}
            self._load_judge.record(now=now, counted={**former, **stressed}, has_times=False)
            counted = {key: tally for key, tally in counted.items() if key not in stressed}
        else:
            self.judge.forget_times()
        self.judge.record(now=now, counted=counted, has_times=is_canary)
        self.is_bad = self.is_bad or self.judge.is_bad or self._load_judge.is_bad

    def _owes_answers(self, age_s: float) -> bool:
        """By Little's law: attempts without an answer, divided by the rate at which they are sent, are the time of one.

        Slow answers are seen by it before they come.
        """
        ended = collections.Counter()
        for key, tally in self.evidence_table.totals().items():
            ended[key.is_new] += tally.ended
        sent_new, sent_former = self.evidence_table.sent_new, self.evidence_table.sent - self.evidence_table.sent_new
        owed_new, owed_former = sent_new - ended[True], sent_former - ended[False]
        if owed_new < LEAST_OWED or not sent_former:
            return False
        new_s = owed_new * (age_s - self._first_sent_s) / sent_new
        former_s = max(0, owed_former) * age_s / sent_former
        return new_s > OWED_TIMES * former_s + OWED_SLACK_S

    def finding(self) -> judge.Finding:
        """What stands out most."""
        return max(self.judge.finding(), self._load_judge.finding(), key=lambda one: one.score)

    @property
    def is_suspicious(self) -> bool:
        return self._is_lagging or self.judge.is_suspicious or self._load_judge.is_suspicious


class RolloutAges:
    """How old each service's order is, as this node reckons; claims of proxies carry it over a loss of all holders."""

    def __init__(self, *, now):
        self._now = now
        self._began = {}  # (service, number): when the order came, on this node's clock
        self._steps = {}  # service: (step, when it was learnt)

    def learn(self, *, service: str, rollout: state.Rollout) -> None:
        self.claim(service=service, number=rollout.number, age_s=rollout.age_s)
        if self._steps.get(service, (0, 0.0))[0] != rollout.step:
            self._steps[service] = (rollout.step, self._now())

    def claim(self, *, service: str, number: int, age_s: float) -> None:
        began = self._now() - age_s
        self._began[service, number] = min(began, self._began.get((service, number), began))

    def age_s(self, *, service: str, number: int) -> float:
        return self._now() - self._began.get((service, number), self._now())

    def stage_age_s(self, *, service: str) -> float:
        return self._now() - self._steps.get(service, (0, self._now()))[1]


class RolloutManager:
    """`change` (name, edit, done) is a round of the register; `listed()` the rows of the platform's list;
    `zones()` zone: region; `out_zones()` those evacuated; `proxies()` origins in touch."""

    def __init__(
        self, *, settings, now, change, listed, zones, evacuated_zones, proxies, contact_s: float, receipt_s: float
    ):
        self.rollouts = {}
        self._now = now
        self._change = change
        self._listed = listed
        self._zones = zones
        self._evacuated_zones = evacuated_zones
        self._proxies = proxies
        self._contact_s = contact_s
        self._settled_after_s = receipt_s * SETTLED_RECEIPTS
        self._exposure = planner.Exposure(
            share=settings.bound(name="exposureShare", default=0.1),
            slack=settings.bound(name="exposureSlack", default=0.0),
        )
        rollback_s = settings.bound_s(name="rollbackMs") or DEFAULT_ROLLBACK_S
        self.lease_s = rollback_s * LEASE_PART
        self._ages = RolloutAges(now=now)
        self._trials = {}  # service: Trial
        self._moving = set()  # services whose register change is under way
        self._unadmitted_since = {}  # service: since when none of its admitted versions is listed
        self._acting_until = 0.0

    def install(self, payload) -> None:
        self.rollouts = state.rollouts_of(payload)
        for service, rollout in self.rollouts.items():
            self._ages.learn(service=service, rollout=rollout)
            if not rollout.is_in_progress:
                self._trials.pop(service, None)

    # Evidence and leases.
    def take_evidence(self, *, origin: evidence_table.Origin, data: bytes) -> bytes | None:
        """Takes a proxy's reports; the leases that answer them, or None where this node may hand out nothing."""
        for report in rollout_evidence.unpack(data):
            rollout = self.rollouts.get(report.service)
            if rollout is None or rollout.number != report.number or not rollout.is_in_progress:
                continue
            self._ages.claim(service=report.service, number=report.number, age_s=report.age_s)
            self._trial(report.service).evidence_table.record(origin=origin, report=report, now=self._now())
        if self._now() >= self._acting_until:
            return None
        return leases.pack([self._lease(name) for name, rollout in self.rollouts.items() if rollout.is_in_progress])

    def pace(self, *, proxies: int) -> int:
        """How many beats of a proxy lie between two of its reports."""
        return max(1, -(-proxies // REPORTS_A_S))

    def _trial(self, service: str) -> Trial:
        number = self.rollouts[service].number
        trial = self._trials.get(service)
        if trial is None or trial.number != number:
            trial = Trial(number=number, now=self._now())
            self._trials[service] = trial
        return trial

    def _lease(self, service: str) -> leases.Lease:
        rollout = self.rollouts[service]
        trial = self._trial(service)
        age_s = self._ages.age_s(service=service, number=rollout.number)
        canary = planner.canary_share(
            exposure=self._exposure,
            sent=trial.evidence_table.sent,
            sent_new=trial.evidence_table.sent_new,
            age_s=age_s,
            over_s=rollout.over_s,
        )
        is_stressed = planner.is_stressed(rollout=rollout, age_s=age_s)
        if is_stressed:
            canary = planner.stress_share(
                exposure=self._exposure,
                sent=trial.evidence_table.sent,
                sent_new=trial.evidence_table.sent_new,
                age_s=age_s,
            )
        stage_age_s = self._ages.stage_age_s(service=service)
        share = planner.share_of(rollout=rollout, canary=canary, stage_age_s=stage_age_s)
        if trial.is_bad:
            share = 0.0
        replicas = ()
        if rollout.stage == state.Stage.CANARY:
            replicas = self._canary_replicas(service, trial, canary=canary, is_stressed=is_stressed)
            share = share if replicas else 0.0
        return leases.Lease(
            service=service, number=rollout.number, step=rollout.step, share=round(share, 4), replicas=replicas
        )

    def _canary_replicas(self, service: str, trial: Trial, *, canary: float, is_stressed: bool) -> tuple:
        replicas = planner.canary_replicas(
            rows=self._new_rows(service),
            region_of=self._region_of,
            share=max(canary, planner.SHARE_PART * self._exposure.share),
            bad_groups=trial.judge.bad_groups(),
            is_stressed=is_stressed,
        )
        if is_stressed and replicas:
            trial.stress(group=rollout_evidence.group_of(row_codec.key_of(replicas[0])))
        return replicas

    def _region_of(self, zone: str) -> str:
        return self._zones().get(zone, "")

    def _new_rows(self, service: str) -> list:
        target = self.rollouts[service].target
        evacuated_zones = self._evacuated_zones()
        return [
            row
            for row in self._listed()
            if row["service"] == service
            and row.get("edition") == target
            and not row["is_clearing"]
            and row["zone"] not in evacuated_zones
        ]

    # By the clock.
    def deactivate(self) -> None:
        """This node does not hold the duty, or may not act on it."""
        self._acting_until = 0.0

    def reconcile(self) -> None:
        """One look, at each heartbeat of the holder of the watch duty while it is in contact with a majority."""
        self._acting_until = self._now() + self._contact_s / 5
        for service, rollout in self.rollouts.items():
            if service in self._moving:
                continue
            if rollout.is_in_progress:
                self._advance(service, rollout)
            elif rollout.stage in state.ENDED and not rollout.is_settled:
                if self._ages.stage_age_s(service=service) > self._settled_after_s:
                    self._apply(service, orders.edit_to_finish(service=service, seen=rollout))
        self._admit_listed()

    def _advance(self, service: str, rollout: state.Rollout) -> None:
        trial = self._trial(service)
        age_s = self._ages.age_s(service=service, number=rollout.number)
        trial.look(
            now=self._now(),
            age_s=age_s,
            replicas=len(self._new_rows(service)),
            is_canary=rollout.stage == state.Stage.CANARY,
        )
        move = planner.next_move(self._view(service, rollout, trial, age_s))
        if move is None:
            return
        known = state.Evidence(
            stage=str(move.stage),
            age_s=round(age_s, 3),
            reason=move.reason,
            sent=trial.evidence_table.sent,
            sent_new=trial.evidence_table.sent_new,
            routes=_by_route(trial.evidence_table.totals()),
        )
        _log.info(
            "rollout_changed", extra={"service": service, "target": rollout.target, "known": dataclasses.asdict(known)}
        )
        _log.debug("rollout_tallied", extra={"tallies": _tally_fields(trial.evidence_table.totals())})
        self._apply(service, orders.edit_to_stage(service=service, seen=rollout, known=known))

    def _view(self, service: str, rollout: state.Rollout, trial: Trial, age_s: float) -> planner.View:
        totals = trial.evidence_table.totals()
        finding = trial.finding()
        answers, expected = _answers(totals, sent=trial.evidence_table.sent, sent_new=trial.evidence_table.sent_new)
        origins = set(self._proxies())
        heard = origins & trial.evidence_table.reports.keys()
        return planner.View(
            rollout=rollout,
            age_s=age_s,
            stage_age_s=self._ages.stage_age_s(service=service),
            first_answer_s=trial.first_answer_s,
            answers=answers,
            expected=expected,
            is_bad=trial.is_bad,
            is_suspicious=trial.is_suspicious,
            finding=f"{finding.fault} on {finding.route}: {finding.score:.1f}" if finding.fault else "",
            has_capacity=planner.has_capacity(
                rows=[row for row in self._listed() if row["service"] == service],
                rollout=rollout,
                region_of=self._region_of,
                evacuated_zones=self._evacuated_zones(),
            ),
            has_heard=(
                self._now() - trial.begun_at >= self._contact_s / 5
                and len(heard) >= planner.HEARD_PART * max(1, len(origins))
            ),
            is_drained=trial.evidence_table.is_drained(origins=origins, step=rollout.step),
            is_drained_silent=trial.evidence_table.is_drained(origins=heard, step=rollout.step),
        )

    def _apply(self, service: str, edit) -> None:
        self._moving.add(service)

        def done(_error, _version, _payload, _result):
            self._moving.discard(service)

        self._change(name=register_names.ROLLOUTS, edit=edit, done=done)

    def _admit_listed(self) -> None:
        """Admits what is listed of a service that has no admitted version, or none of whose versions is left."""
        listed = {}
        for row in self._listed():
            if not row["is_clearing"] and row.get("edition"):
                listed.setdefault(row["service"], set()).add(row["edition"])
        wanted = {}
        for service, editions in listed.items():
            rollout = self.rollouts.get(service, state.Rollout())
            editions -= set(rollout.refused)
            if service in self._moving or rollout.is_in_progress or self._is_served(service, rollout, editions):
                continue
            if editions:
                wanted[service] = editions
        if wanted and not self._moving:
            self._admit(wanted)

    def _is_served(self, service: str, rollout: state.Rollout, editions: set) -> bool:
        if not rollout.admitted:
            return False
        if editions & set(rollout.admitted):
            self._unadmitted_since.pop(service, None)
            return True
        since = self._unadmitted_since.setdefault(service, self._now())
        return self._now() - since < self._contact_s

    def _admit(self, wanted: dict) -> None:
        self._moving |= wanted.keys()

        def done(_error, _version, _payload, _result):
            self._moving -= wanted.keys()

        edit = orders.edit_to_admit(seen=dict(self.rollouts), editions=wanted)
        self._change(name=register_names.ROLLOUTS, edit=edit, done=done)


def _answers(totals: dict, *, sent: int, sent_new: int) -> tuple:
    """({route: answers of the new version}, {route: those that are due, by the former version's and the requests sent})."""
    answers, former = collections.Counter(), collections.Counter()
    for key, tally in totals.items():
        (answers if key.is_new else former)[key.route] += tally.ended
    part = sent_new / max(1, sent - sent_new)
    return dict(answers), {route: count * part for route, count in former.items()}


def _by_route(totals: dict) -> dict:
    """Route: [answers of the former version, failed, answers of the new one, failed, broken], the busiest routes."""
    found = {}
    for key, tally in totals.items():
        row = found.setdefault(key.route, [0, 0, 0, 0, 0])
        if key.is_new:
            row[2] += tally.ended
            row[3] += tally.failed
            row[4] += tally.broken
        else:
            row[0] += tally.ended
            row[1] += tally.failed
    busiest = sorted(found, key=lambda name: -found[name][0] - found[name][2])[: state.MAX_ROUTES]
    return {name: found[name] for name in sorted(busiest)}


def _tally_fields(totals: dict) -> dict:
    """Counts for a log line: route, version and group: ended, failed, broken, and the buckets of times."""
    return {
        f"{key.route} {'new' if key.is_new else 'former'} {key.group}": [
            tally.ended,
            tally.failed,
            tally.broken,
            dict(sorted(tally.firsts.items())),
            dict(sorted(tally.paces.items())),
        ]
        for key, tally in sorted(totals.items())
    }
