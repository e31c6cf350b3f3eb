"""Summaries of all evidence of an order: for the planner, the stored record and the log (docs/rollouts.md 5)."""

import collections
import dataclasses
from typing import Any

from ploverward.control_plane.rollouts import evidence_table
from ploverward.control_plane.rollouts import state


@dataclasses.dataclass(frozen=True)
class AnswerCounts:
    """Answers by route.

    Attributes:
        new: Of the new version.
        expected: What the new version would have for its share of the requests, by the former version's answers.
    """

    new: dict[str, int]
    expected: dict[str, float]


def answer_counts(totals: evidence_table.Tallies, *, sent: int, sent_new: int) -> AnswerCounts:
    """The answers of the new version, and those that are due."""
    new: collections.Counter[str] = collections.Counter()
    former: collections.Counter[str] = collections.Counter()
    for key, tally in totals.items():
        (new if key.is_new else former)[key.route] += tally.ended
    ratio = sent_new / max(1, sent - sent_new)
    return AnswerCounts(new=dict(new), expected={route: count * ratio for route, count in former.items()})


def counts_by_route(totals: evidence_table.Tallies) -> dict[str, list[int]]:
    """The `routes` of `state.Evidence`, for the routes with the most answers."""
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
    """By route, version and group: ended, failed, broken, and both histograms of times."""
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
