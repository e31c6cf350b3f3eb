"""What may be sent again, without a socket."""

import types

import pytest

from ploverward.data_plane.requests import retry_policy

DEADLINE = 10.0
RESUMABLE = types.SimpleNamespace(is_resumable=True)
NOT_RESUMABLE = types.SimpleNamespace(is_resumable=False)


def route(*, max_attempts=3, is_idempotent=False, is_resumable=False):
    return types.SimpleNamespace(max_attempts=max_attempts, is_idempotent=is_idempotent, is_resumable=is_resumable)


def after(*ends):
    """A policy after attempts that ended "unsent", "not run" or "unresolved"."""
    policy = retry_policy.RetryPolicy()
    for end in ends:
        policy.on_attempt_started()
        policy.on_attempt_ended(is_unsent=end == "unsent", is_known_not_run=end == "not run")
    return policy


def may_resend(policy, rules, *, now=0.0, has_head=False, stream=None):
    return policy.may_resend(route=rules, now=now, deadline=DEADLINE, has_head=has_head, stream=stream)


@pytest.mark.parametrize(
    "ends, arrivals, unresolved",
    [((), 0, 0), (("unsent",), 0, 0), (("not run",), 1, 0), (("unresolved",), 1, 1), (("unresolved", "unsent"), 1, 1)],
)
def test_attempt_outcome_updates_counts(ends, arrivals, unresolved):
    policy = after(*ends)
    assert (policy.attempts, policy.arrivals, policy.unresolved_attempts) == (len(ends), arrivals, unresolved)


def test_attempt_is_unresolved_once_started():
    policy = retry_policy.RetryPolicy()
    policy.on_attempt_started()
    assert policy.unresolved_attempts == 1 and not policy.is_promise_kept(status=503)


def test_unsent_attempts_are_limited_by_count_and_deadline_but_not_by_tries():
    assert after(*["unsent"] * 5).may_reconnect(now=DEADLINE - 0.001, deadline=DEADLINE)
    assert not after(*["unsent"] * 6).may_reconnect(now=0.0, deadline=DEADLINE)
    assert not after("unsent").may_reconnect(now=DEADLINE, deadline=DEADLINE)
    assert after(*["unsent"] * 5).may_retry(route=route(max_attempts=1), now=0.0, deadline=DEADLINE)


@pytest.mark.parametrize("ends, may", [((), True), (("not run",), True), (("not run", "not run"), False)])
def test_not_run_request_is_retried_within_tries(ends, may):
    assert after(*ends).may_retry(route=route(max_attempts=2), now=0.0, deadline=DEADLINE) is may


def test_partially_sent_attempt_counts_towards_tries():
    policy = after("not run")
    assert policy.may_retry(route=route(max_attempts=2), now=0.0, deadline=DEADLINE, is_sending=False)
    assert not policy.may_retry(route=route(max_attempts=2), now=0.0, deadline=DEADLINE, is_sending=True)
    assert (policy.next_arrival(is_sending=False), policy.next_arrival(is_sending=True)) == (2, 3)


def test_no_retry_below_minimum_time_left():
    policy = after("not run")
    assert policy.may_retry(route=route(), now=DEADLINE - retry_policy.MIN_TIME_LEFT_S - 0.001, deadline=DEADLINE)
    assert not policy.may_retry(route=route(), now=DEADLINE - retry_policy.MIN_TIME_LEFT_S, deadline=DEADLINE)


@pytest.mark.parametrize("is_idempotent", [False, True])
def test_unresolved_request_is_resent_only_if_idempotent(is_idempotent):
    assert may_resend(after("unresolved"), route(is_idempotent=is_idempotent)) is is_idempotent


def test_unresolved_request_is_resent_only_within_tries():
    rules = route(max_attempts=2, is_idempotent=True)
    assert may_resend(after("unresolved"), rules)
    assert not may_resend(after("unresolved", "unresolved"), rules)


@pytest.mark.parametrize(
    "is_resumable, stream, may",
    [(True, RESUMABLE, True), (True, NOT_RESUMABLE, False), (True, None, False), (False, RESUMABLE, False)],
)
def test_only_resumable_stream_is_resent_after_head(is_resumable, stream, may):
    rules = route(is_idempotent=True, is_resumable=is_resumable)
    assert may_resend(after("unresolved"), rules, has_head=True, stream=stream) is may


@pytest.mark.parametrize(
    "ends, rules, may",
    [
        (("not run",), route(max_attempts=2), True),
        (("not run",), route(max_attempts=1), False),
        (("unresolved",), route(max_attempts=2), False),
        (("unresolved",), route(max_attempts=2, is_idempotent=True), True),
    ],
)
def test_newer_configuration_limits_next_attempt(ends, rules, may):
    assert after(*ends).may_continue_under(rules) is may


@pytest.mark.parametrize(
    "ends, status, kept",
    [
        ((), 503, True),
        (("unsent",), 503, True),
        (("not run",), 429, True),
        (("unresolved",), 503, False),
        ((), 502, False),
        ((), 504, False),
    ],
)
def test_not_run_is_guaranteed_only_without_unresolved_attempts(ends, status, kept):
    assert after(*ends).is_promise_kept(status=status) is kept
