"""Updates all counts of attempts at their start, prefill and end.

These are the load of the replica as this proxy knows it, the evidence of a rollout, the retry and slow-start quotas,
the adapter counts, and the load reports. Invariant: each count that `start` increments is decremented once, in
`release`.

`release` and `report_end` are separate because the attempt's outcome is recorded between them, so that an internal
error in a report does not change the outcome (`test_internal_error_at_attempt_end_is_not_answered_as_not_run`).
"""

from __future__ import annotations

import typing

from ploverward.data_plane.load_reports import report_source

if typing.TYPE_CHECKING:
    from ploverward.data_plane.requests import admission_filters
    from ploverward.data_plane.requests import attempts
    from ploverward.data_plane.requests import handler_context
    from ploverward.data_plane.requests import route_table

FAILED_IDLE_FACTOR = 1.5  # times the latency target: an abandoned attempt without data for longer counts as failed


def start(
    attempt: attempts.Attempt, *, facts: admission_filters.RequestFacts, context: handler_context.HandlerContext
) -> None:
    """Increments the counts of a new attempt, before a byte of it is passed to the connection."""
    replica = attempt.replica
    replica.running += 1
    replica.prefill_tokens[attempt.number] = attempt.prefill_tokens
    context.rollouts.note_send(service=facts.service, replica=replica)
    context.quota.note_send(replica=replica, service=context.table.services.get(facts.service, {}))


def report_start(
    attempt: attempts.Attempt,
    *,
    facts: admission_filters.RequestFacts,
    route: route_table.Route,
    context: handler_context.HandlerContext,
) -> None:
    """Reports the start of an attempt. An adapter that is not known is counted as unknown, never guessed."""
    context.chooser.note_send(replica=attempt.replica, chain=facts.prompt.chain)
    context.report_attempt(replica=attempt.replica, kind=report_source.SENT)
    model = facts.model
    if route.is_sticky and (model.adapter or not model.is_adapter_known):
        attempt.arrival = context.adapters.note_sent(
            replica=attempt.replica,
            service=facts.service,
            model=model.name,
            adapter=model.adapter,
            route=route.name,
            target_s=route.target_s,
        )


def _expected_s(attempt: attempts.Attempt, *, context: handler_context.HandlerContext) -> float:
    """Returns the expected seconds to the first event, from network latency and prefill."""
    return context.chooser.expected_s(
        replica=attempt.replica, tokens=attempt.prefill_tokens, is_connected=attempt.was_connected
    )


def note_prefilled(
    attempt: attempts.Attempt,
    *,
    facts: admission_filters.RequestFacts,
    route: route_table.Route,
    context: handler_context.HandlerContext,
) -> None:
    """Records the first event: the prompt is prefilled, and counts as cached by the replica from now on."""
    if context.rollouts.is_in_progress(facts.service):
        context.rollouts.note_first_event(
            service=facts.service, route=route.name, attempt=attempt, expected_s=_expected_s(attempt, context=context)
        )
    if attempt.arrival is not None:
        context.adapters.note_run(attempt.arrival)
    replica = attempt.replica
    replica.prefill_tokens.pop(attempt.number, None)
    replica.is_suspected = False
    network_latency_s = context.table.estimate_latency_s(replica) or 0.0
    context.chooser.note_prefill(
        service=facts.service,
        tokens=attempt.prefill_tokens,
        took_s=context.loop.now() - attempt.sent_at - network_latency_s,
    )
    context.report_attempt(replica=replica, kind=report_source.PREFILLED)
    if facts.prompt.parts:
        context.report_prefill(
            replica=replica,
            service=facts.service,
            model=facts.model.name,
            parts=facts.prompt.parts,
            salt=facts.model.text,
        )


def release(
    attempt: attempts.Attempt,
    *,
    kind: int,
    facts: admission_filters.RequestFacts,
    route: route_table.Route,
    context: handler_context.HandlerContext,
) -> None:
    """Decrements the counts of an attempt that is over, and records it as rollout evidence.

    Args:
        attempt: The attempt.
        kind: How it ended, a kind of `report_source`.
        facts: The admission results of its request.
        route: The route in force for its request.
        context: The proxy.
    """
    if attempt.arrival is not None:
        context.adapters.note_not_run(attempt.arrival)  # no effect if it has run
    context.rollouts.note_attempt_end(
        service=facts.service,
        route=route.name,
        attempt=attempt,
        kind=kind,
        latency_target_s=facts.latency_target_s,
        expected_s=_expected_s(attempt, context=context),
    )
    attempt.replica.running -= 1
    attempt.replica.prefill_tokens.pop(attempt.number, None)


def report_end(attempt: attempts.Attempt, *, kind: int, context: handler_context.HandlerContext) -> None:
    """Reports how the attempt ended. This proxy also counts a failure against the replica, for one `contactMs`."""
    if kind in (report_source.FAILED, report_source.BROKEN):
        attempt.replica.note_failure(now=context.loop.now(), window_s=context.settings.bound_s(name="contactMs"))
    context.report_attempt(replica=attempt.replica, kind=kind)


def abandoned_kind(attempt: attempts.Attempt, *, latency_target_s: float, now: float) -> int:
    """Returns the kind of end, as in `report_source`, of an attempt that is abandoned.

    It is a failure if the replica may have received the request and sent nothing for too long.
    """
    if not attempt.connection.is_unsent and attempt.idle_s(now=now) > latency_target_s * FAILED_IDLE_FACTOR:
        return report_source.FAILED
    return report_source.DONE
