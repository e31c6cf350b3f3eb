"""Evidence of one order, merged over all proxies (docs/rollouts.md 4): cumulative counts, one newest report an origin."""

import dataclasses

from ploverward.common import rollout_evidence


@dataclasses.dataclass(frozen=True)
class Origin:
    """One life of a proxy."""

    address: str
    incarnation: str


class EvidenceTable:
    """The newest report of each origin; what came since the last look is told apart."""

    def __init__(self):
        self.reports = {}  # Origin: Report
        self.heard_at = {}  # Origin: when its newest report came
        self._looked = {}  # (Origin, Key): Tally as of the last look

    def record(self, *, origin: Origin, report, now: float) -> None:
        previous = self.reports.get(origin)
        if previous is None or report.sent >= previous.sent:
            self.reports[origin] = report
            self.heard_at[origin] = now

    def fresh(self) -> dict:
        """Key: what was counted since the last call, over all origins."""
        found = {}
        for origin, report in self.reports.items():
            for key, tally in report.tallies.items():
                looked = self._looked.get((origin, key))
                if looked is not None and looked.ended == tally.ended:
                    continue
                change = tally.copy()
                if looked is not None:
                    change.add(looked, sign=-1)
                self._looked[origin, key] = tally
                found.setdefault(key, rollout_evidence.Tally()).add(change)
        return found

    def totals(self) -> dict:
        """Key: all that was counted."""
        found = {}
        for report in self.reports.values():
            for key, tally in report.tallies.items():
                found.setdefault(key, rollout_evidence.Tally()).add(tally)
        return found

    @property
    def sent(self) -> int:
        return sum(report.sent for report in self.reports.values())

    @property
    def sent_new(self) -> int:
        return sum(report.sent_new for report in self.reports.values())

    def is_drained(self, *, origins, step: int) -> bool:
        """Whether each of these origins has applied this step and runs nothing at the former versions."""
        reports = [self.reports.get(origin) for origin in origins]
        return all(report is not None and report.step >= step and not report.running_old for report in reports)
