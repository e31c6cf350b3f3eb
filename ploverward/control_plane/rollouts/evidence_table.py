"""Evidence about one order, merged from the reports of all proxies (docs/rollouts.md 4).

`EvidenceTable` owns the newest report of each origin. Reports are cumulative for one incarnation of a proxy and one
order, like a grow-only counter: only the newest one counts, by its request count and age, so lost, repeated or
reordered reports change nothing (`test_record_counts_lost_repeated_and_reordered_reports_once`).
"""

import dataclasses
from collections.abc import Iterable

from ploverward.common import rollout_evidence

Tallies = dict[rollout_evidence.TallyKey, rollout_evidence.Tally]


@dataclasses.dataclass(frozen=True)
class Origin:
    """The sender of a report: one incarnation of a proxy."""

    address: str
    incarnation: str


class EvidenceTable:
    """The newest report of each origin, and the tallies that were consumed already."""

    def __init__(self) -> None:
        self.reports: dict[Origin, rollout_evidence.Report] = {}
        self._consumed: dict[tuple[Origin, rollout_evidence.TallyKey], rollout_evidence.Tally] = {}

    def record(self, *, origin: Origin, report: rollout_evidence.Report) -> None:
        """Merges a report; one that is older than the known one is ignored."""
        previous = self.reports.get(origin)
        if previous is None or (report.sent, report.age_s) >= (previous.sent, previous.age_s):
            self.reports[origin] = report

    def consume_new(self) -> Tallies:
        """Returns the increase of the tallies since the last call, summed over all origins."""
        found: Tallies = {}
        for origin, report in self.reports.items():
            for key, tally in report.tallies.items():
                consumed = self._consumed.get((origin, key))
                if consumed == tally:
                    continue
                change = tally.copy()
                if consumed is not None:
                    change.add(consumed, sign=-1)
                self._consumed[origin, key] = tally
                found.setdefault(key, rollout_evidence.Tally()).add(change)
        return found

    def totals(self) -> Tallies:
        """Returns the tallies summed over all origins. This is slow, so call it at most once per heartbeat."""
        found: Tallies = {}
        for report in self.reports.values():
            for key, tally in report.tallies.items():
                found.setdefault(key, rollout_evidence.Tally()).add(tally)
        return found

    @property
    def sent(self) -> int:
        """Requests to the service since the order."""
        return sum(report.sent for report in self.reports.values())

    @property
    def sent_new(self) -> int:
        """Requests to the new version since the order; part of `sent`."""
        return sum(report.sent_new for report in self.reports.values())

    def is_drained(self, *, origins: Iterable[Origin], step: int) -> bool:
        """Returns whether each of these origins has applied this step and runs no attempts at former versions."""
        reports = [self.reports.get(origin) for origin in origins]
        return all(report is not None and report.step >= step and not report.in_flight_old for report in reports)
