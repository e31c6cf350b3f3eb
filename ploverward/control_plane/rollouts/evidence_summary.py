"""Summaries of the evidence about an order, for the planner, the stored record and the log (docs/rollouts.md 5)."""

import collections
import dataclasses
from typing import Any

from ploverward.control_plane.rollouts import evidence_table
from ploverward.control_plane.rollouts import state


@dataclasses.dataclass(frozen=True)
class AnswerCounts:
    """Answers by route.

    Attributes:
        new: Answers of the new version.
        expected: Answers that the new version would have if it answered the same share of its requests as the former
            one.
    """

    new: dict[str, int]
    expected: dict[str, float]


def answer_counts(totals: evidence_table.Tallies, *, sent: int, sent_new: int) -> AnswerCounts:
    """Returns the actual and the expected answers of the new version, by route."""
    new: collections.Counter[str] = collections.Counter()
    former: collections.Counter[str] = collections.Counter()
    for key, tally in totals.items():
        (new if key.is_new else former)[key.route] += tally.ended
    ratio = sent_new / max(1, sent - sent_new)
    return AnswerCounts(new=dict(new), expected={route: count * ratio for route, count in former.items()})


def counts_by_route(totals: evidence_table.Tallies) -> dict[str, list[int]]:
    """Returns the `routes` of `state.Evidence`, limited to the `state.MAX_ROUTES` routes with the most answers."""
    found: dict[str, list[int]] = {}
    for key, tally in totals.items():
        row = found.setdefault(key.route, [0, 0, 0, 0, 0])
        if key.is_new:
            row[2] += tally.ended
            row[3] += tally.failed
            row[4] += tally.broken
        else:
            row[0] += tally.ended
            row[1] += tally.failed
    busiest = sorted(found, key=lambda route: -found[route][0] - found[route][2])[: state.MAX_ROUTES]
    return {route: found[route] for route in sorted(busiest)}


def log_fields(totals: evidence_table.Tallies) -> dict[str, list[Any]]:
    """Returns, by route, version and group: ended, failed and broken answers, and the two histograms of times."""
    return {
        f"{key.route} {'new' if key.is_new else 'former'} {key.group}": [
            tally.ended,
            tally.failed,
            tally.broken,
            dict(sorted(tally.first_chunk_times.items())),
            dict(sorted(tally.chunk_intervals.items())),
        ]
        for key, tally in sorted(totals.items())
    }
