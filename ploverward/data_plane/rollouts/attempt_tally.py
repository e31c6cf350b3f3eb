"""Counts the outcomes of attempts as evidence about a version (docs/rollouts.md 5). Pure functions."""

from ploverward.common import rollout_evidence
from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.requests import attempts

MIN_ERROR_STATUS = 500


def is_evidence(attempt: attempts.Attempt) -> bool:
    """Returns whether the end of an attempt is evidence about its version.

    It is none if the replica did not run the request, or if its response was unusable.
    """
    if attempt.connection.is_unsent:
        return False
    return attempt.response_class not in (attempts.ResponseClass.NOT_RUN, attempts.ResponseClass.UNUSABLE)


def count_first_event(
    tally: rollout_evidence.Tally, attempt: attempts.Attempt, *, now: float, expected_s: float
) -> None:
    """Counts the time to the first event when the event arrives.

    Counting it when the response ends would be too late: a canary lasts for seconds, and the responses of a slow
    version that end within them are its fast ones.

    Args:
        tally: The tally to update.
        attempt: The attempt.
        now: The current time on the loop's clock, in seconds.
        expected_s: The expected time to the first event, as in `count_end`.
    """
    attempt.is_first_event_counted = True
    if attempt.arrival is None:  # otherwise the time may include the loading of an adapter
        tally.first_chunk_times[_first_bucket(now - attempt.sent_at, expected_s)] += 1


def count_end(
    tally: rollout_evidence.Tally,
    attempt: attempts.Attempt,
    *,
    kind: int,
    now: float,
    latency_target_s: float,
    expected_s: float,
) -> None:
    """Counts the end of an attempt.

    Args:
        tally: The tally to update.
        attempt: The attempt.
        kind: How the attempt ended, a `report_source.AttemptEvent`.
        now: The current time on the loop's clock, in seconds.
        latency_target_s: The latency target of the request. An attempt that was given up later than this was slow; one
            that was given up earlier is no evidence.
        expected_s: The expected time to the first event, by network latency and prefill. An earlier event counts as if
            it had taken this long: shorter times are no evidence about the replica.
    """
    waited_s = now - attempt.sent_at
    if (
        attempt.response_class is attempts.ResponseClass.FAILURE
        and attempt.status >= MIN_ERROR_STATUS
        and attempt.is_complete
    ):
        tally.ended += 1
        tally.failed += 1
    elif attempt.is_complete:
        tally.ended += 1
        _count_times(tally, attempt, now=now, expected_s=expected_s)
    elif attempt.first_event_at is None and waited_s > latency_target_s:
        tally.ended += 1  # it was given up, and would have taken even longer
        tally.first_chunk_times[_first_bucket(waited_s, expected_s)] += 1
    elif kind in (report_source.AttemptEvent.BROKEN, report_source.AttemptEvent.FAILED):
        tally.ended += 1
        tally.broken += 1


def _count_times(tally: rollout_evidence.Tally, attempt: attempts.Attempt, *, now: float, expected_s: float) -> None:
    if attempt.arrival is None and not attempt.is_first_event_counted:
        first_s = (attempt.first_event_at or now) - attempt.sent_at
        tally.first_chunk_times[_first_bucket(first_s, expected_s)] += 1
    if attempt.event_count > 1 and attempt.first_event_at is not None and attempt.last_event_at is not None:
        pause_s = (attempt.last_event_at - attempt.first_event_at) / (attempt.event_count - 1)
        tally.chunk_intervals[rollout_evidence.bucket_of(pause_s / rollout_evidence.UNIT_S)] += 1


def _first_bucket(took_s: float, expected_s: float) -> int:
    """Returns the bucket of a time to the first event, by the part of it beyond network latency and prefill."""
    return rollout_evidence.bucket_of(1.0 + max(0.0, took_s - expected_s) / rollout_evidence.UNIT_S)
