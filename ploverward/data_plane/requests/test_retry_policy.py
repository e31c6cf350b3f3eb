"""Tests which attempts may follow, without sockets."""

import types

import pytest

from ploverward.data_plane.requests import retry_policy

DEADLINE = 10.0
RESUMABLE = types.SimpleNamespace(is_resumable=True)
NOT_RESUMABLE = types.SimpleNamespace(is_resumable=False)


def route(*, max_attempts=3, is_idempotent=False, is_resumable=False):
    return types.SimpleNamespace(max_attempts=max_attempts, is_idempotent=is_idempotent, is_resumable=is_resumable)


def policy_after(*outcomes):
    """Returns the policy after attempts with these outcomes: "unsent", "not run" or "unresolved"."""
    policy = retry_policy.RetryPolicy()
    for outcome in outcomes:
        policy.on_attempt_started()
        policy.on_attempt_ended(is_unsent=outcome == "unsent", is_known_not_run=outcome == "not run")
    return policy


def may_resend(policy, rules, *, now=0.0, has_head=False, stream=None):
    return policy.may_resend(route=rules, now=now, deadline=DEADLINE, has_head=has_head, stream=stream)


@pytest.mark.parametrize(
    "outcomes, sent_attempts, unresolved",
    [((), 0, 0), (("unsent",), 0, 0), (("not run",), 1, 0), (("unresolved",), 1, 1), (("unresolved", "unsent"), 1, 1)],
)
def test_attempt_outcome_updates_counts(outcomes, sent_attempts, unresolved):
    policy = policy_after(*outcomes)
    assert (policy.attempts, policy.sent_attempts, policy.unresolved_attempts) == (
        len(outcomes),
        sent_attempts,
        unresolved,
    )


def test_attempt_is_unresolved_once_started():
    policy = retry_policy.RetryPolicy()
    policy.on_attempt_started()
    assert policy.unresolved_attempts == 1 and not policy.is_not_run_guaranteed(status=503)


def test_unsent_attempts_are_limited_by_count_and_deadline_but_not_by_tries():
    assert policy_after(*["unsent"] * 5).may_reconnect(now=DEADLINE - 0.001, deadline=DEADLINE)
    assert not policy_after(*["unsent"] * 6).may_reconnect(now=0.0, deadline=DEADLINE)
    assert not policy_after("unsent").may_reconnect(now=DEADLINE, deadline=DEADLINE)
    assert policy_after(*["unsent"] * 5).may_retry(route=route(max_attempts=1), now=0.0, deadline=DEADLINE)


@pytest.mark.parametrize("outcomes, is_allowed", [((), True), (("not run",), True), (("not run", "not run"), False)])
def test_not_run_request_is_retried_within_tries(outcomes, is_allowed):
    assert policy_after(*outcomes).may_retry(route=route(max_attempts=2), now=0.0, deadline=DEADLINE) is is_allowed


def test_partially_sent_attempt_counts_towards_tries():
    policy = policy_after("not run")
    assert policy.may_retry(route=route(max_attempts=2), now=0.0, deadline=DEADLINE, is_sending=False)
    assert not policy.may_retry(route=route(max_attempts=2), now=0.0, deadline=DEADLINE, is_sending=True)
    assert (policy.next_sent_attempt(is_sending=False), policy.next_sent_attempt(is_sending=True)) == (2, 3)


def test_no_retry_below_minimum_time_left():
    policy = policy_after("not run")
    assert policy.may_retry(route=route(), now=DEADLINE - retry_policy.MIN_TIME_LEFT_S - 0.001, deadline=DEADLINE)
    assert not policy.may_retry(route=route(), now=DEADLINE - retry_policy.MIN_TIME_LEFT_S, deadline=DEADLINE)


@pytest.mark.parametrize("is_idempotent", [False, True])
def test_unresolved_request_is_resent_only_if_idempotent(is_idempotent):
    assert may_resend(policy_after("unresolved"), route(is_idempotent=is_idempotent)) is is_idempotent


def test_unresolved_request_is_resent_only_within_tries():
    rules = route(max_attempts=2, is_idempotent=True)
    assert may_resend(policy_after("unresolved"), rules)
    assert not may_resend(policy_after("unresolved", "unresolved"), rules)


@pytest.mark.parametrize(
    "is_resumable, stream, is_allowed",
    [(True, RESUMABLE, True), (True, NOT_RESUMABLE, False), (True, None, False), (False, RESUMABLE, False)],
)
def test_only_resumable_stream_is_resent_after_head(is_resumable, stream, is_allowed):
    rules = route(is_idempotent=True, is_resumable=is_resumable)
    assert may_resend(policy_after("unresolved"), rules, has_head=True, stream=stream) is is_allowed


@pytest.mark.parametrize(
    "outcomes, rules, is_allowed",
    [
        (("not run",), route(max_attempts=2), True),
        (("not run",), route(max_attempts=1), False),
        (("unresolved",), route(max_attempts=2), False),
        (("unresolved",), route(max_attempts=2, is_idempotent=True), True),
    ],
)
def test_newer_configuration_limits_next_attempt(outcomes, rules, is_allowed):
    assert policy_after(*outcomes).may_continue_under(rules) is is_allowed


@pytest.mark.parametrize(
    "outcomes, status, is_guaranteed",
    [
        ((), 503, True),
        (("unsent",), 503, True),
        (("not run",), 429, True),
        (("unresolved",), 503, False),
        ((), 502, False),
        ((), 504, False),
    ],
)
def test_not_run_is_guaranteed_only_without_unresolved_attempts(outcomes, status, is_guaranteed):
    assert policy_after(*outcomes).is_not_run_guaranteed(status=status) is is_guaranteed
