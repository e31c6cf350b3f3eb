"""Checks the tallies of a complete run against the answers that the applications received (docs/simulate.md 6).

The expected totals are computed only from the calls and their answers, independently of how tallies are replicated.
"""

from __future__ import annotations

from collections.abc import Iterable

from ploverward.simulation.control_plane import recorder as recorders
from ploverward.simulation.control_plane import simulated_network
from ploverward.simulation.control_plane import tally_callers


class TallyChecks:
    """The checks of one run.

    Args:
        recorder: Collects the findings.
        network: Holds when machines lost their disks and when partitions ended.
        callers: The applications, with their calls and the answers.
    """

    def __init__(
        self,
        *,
        recorder: recorders.Recorder,
        network: simulated_network.Network,
        callers: tally_callers.TallyCallers,
    ) -> None:
        self._recorder = recorder
        self._network = network
        self._callers = callers

    def check(self, *, until: float) -> None:
        """Checks all reads, and that the last reads contain all adds that were acknowledged up to `until`."""
        for read in self._callers.reads:
            self._check_bounds(read)
        self._check_end(until)

    def _check_bounds(self, read: tally_callers.TallyRead) -> None:
        adds = [add for add in self._callers.adds.values() if add.tally == read.tally]
        max_total = sum(add.amount for add in adds if _may_count(add, until=read.ended_at))
        where = f"{read.host} answered {read.total} for {read.tally} at {read.ended_at:.3f}"
        if read.total > max_total:
            self._recorder.add_finding("tally twice", f"{where}, no more than {max_total} can have counted")
        min_own_total = sum(add.amount for add in adds if _is_acknowledged_by(add, read))
        if read.total < min_own_total:
            self._recorder.add_finding("tally stale", f"{where}, this process had acknowledged {min_own_total}")
        if read.is_calm:
            min_total = self._min_total(adds, until=read.begun_at - tally_callers.MERGE_S)
            if read.total < min_total:
                self._recorder.add_finding(
                    "tally stale", f"{where}, {min_total} had been acknowledged {tally_callers.MERGE_S} s before"
                )

    def _check_end(self, until: float) -> None:
        for tally in tally_callers.TALLIES:
            adds = [add for add in self._callers.adds.values() if add.tally == tally]
            min_total, max_total = (
                self._min_total(adds, until=until),
                sum(add.amount for add in adds if _may_count(add, until)),
            )
            totals = {host: total for (host, name), total in self._callers.last_reads.items() if name == tally}
            for host, total in totals.items():
                if total is None:
                    self._recorder.add_finding("tally lost", f"{host} does not answer for {tally} at the end")
                elif not min_total <= total <= max_total:
                    kind = "tally lost" if total < min_total else "tally twice"
                    self._recorder.add_finding(
                        kind, f"{host} has {total} for {tally} at the end: {min_total} to {max_total}"
                    )
            if len(set(totals.values())) > 1:
                self._recorder.add_finding("tally agreement", f"{tally} at the end: {totals}")

    def _min_total(self, adds: Iterable[tally_callers.Add], *, until: float) -> int:
        return sum(
            add.amount
            for add in adds
            if any(
                call.status == 200
                and call.answered_at is not None
                and call.answered_at <= until
                and not self._is_loss_tolerated(call)
                for call in add.attempts
            )
        )

    def _is_loss_tolerated(self, call: tally_callers.AddAttempt) -> bool:
        """Returns whether an acknowledged add may be lost.

        This is so if the machine acknowledged it while cut off, and lost its disk before it could replicate the add.
        """
        if not call.is_partitioned or call.answered_at is None:
            return False
        healed_at = self._network.next_healed_at(call.host, call.answered_at)
        lost_at = self._network.machines[call.host].disk.lost_at
        return any(call.answered_at <= lost <= healed_at + tally_callers.MERGE_S for lost in lost_at)


def _may_count(add: tally_callers.Add, until: float) -> bool:
    return any(call.status not in tally_callers.REFUSALS and call.sent_at <= until for call in add.attempts)


def _is_acknowledged_by(add: tally_callers.Add, read: tally_callers.TallyRead) -> bool:
    return read.process is not None and any(
        call.status == 200
        and call.process is read.process
        and call.answered_at is not None
        and call.answered_at <= read.begun_at
        for call in add.attempts
    )
