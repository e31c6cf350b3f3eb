"""Tests of the routing of a proxy's requests to versions, its leases, and the counts of outcomes."""

import dataclasses
import random
import types

import pytest

from ploverward.common import rollout_evidence
from ploverward.control_plane.rollouts import leases
from ploverward.control_plane.rollouts import state
from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.requests import attempts
from ploverward.data_plane.rollouts import version_routing
from ploverward.transport import messages
from ploverward.transport import row_codec

CANARY = state.Rollout(
    admitted=("v1",), target="v2", over_s=16.0, stage=state.Stage.CANARY, number=1, step=2, age_s=0.0
)


class Clock:
    def __init__(self):
        self.now = 50.0

    def __call__(self):
        return self.now


def replica(edition, name="i1"):
    return types.SimpleNamespace(id=name, key=row_codec.replica_key(name), edition=edition)


def payload(rollout):
    return state.with_rollout(None, service="pool", rollout=rollout)


def make_router(*, rollout=CANARY, chance=0.5, began=50.0):
    clock = Clock()
    clock.now = began
    router = version_routing.VersionRouter(now=clock, chance=lambda: chance, running=lambda service, target: 3)
    router.install(payload(rollout))
    return router, clock


def lease(*, share=0.1, replicas=(), number=1, step=2):
    return leases.CanaryLease(service="pool", number=number, step=step, share=share, replicas=replicas)


def reply(router, *, number, lease_s, granted):
    """Delivers the coordinator's reply to a report."""
    router.handle_leases(
        messages.RolloutLeases(number=number, duration_s=lease_s, report_interval=1, leases=leases.pack(granted))
    )


def grant_lease(router, *, lease_s=2.5, **changes):
    """Sends a report and replies to it with a lease."""
    reply(router, number=router.report().number, lease_s=lease_s, granted=[lease(**changes)])


def editions(router, *, is_first=True):
    """Returns the versions among v1, v2, v3 that each pool has, the preferred pool first."""
    return [
        "".join(name for name in ("v1", "v2", "v3") if pool is None or pool.has(replica(name)))
        for pool in router.pools(service="pool", is_first=is_first)
    ]


def test_pools_of_a_service_without_a_roll_out_allow_all_replicas():
    assert make_router()[0].pools(service="other", is_first=True) == (None,)


def test_new_version_without_a_lease_gets_no_requests():
    idle = state.Rollout(admitted=("v1",), step=1)
    assert editions(make_router(rollout=idle)[0]) == ["v1"]
    assert editions(make_router()[0]) == ["v1"]  # a roll-out in progress, without a lease


@pytest.mark.parametrize(
    "stage, expected", [(state.Stage.DRAINING, ["v2"]), (state.Stage.RETURNED, ["v1"]), (state.Stage.PROMOTING, ["v1"])]
)
def test_pools_without_a_lease_follow_the_stage(stage, expected):
    router, _clock = make_router(rollout=dataclasses.replace(CANARY, stage=stage, step=3))
    assert editions(router) == expected


def test_former_version_gets_no_requests_after_delivery():
    router, _clock = make_router(
        rollout=dataclasses.replace(CANARY, stage=state.Stage.DELIVERED, admitted=("v2",), refused=(), step=5)
    )
    assert editions(router) == ["v2"]


def test_lease_of_the_full_share_prefers_the_new_version():
    router, _clock = make_router(rollout=dataclasses.replace(CANARY, stage=state.Stage.PROMOTING, step=3))
    grant_lease(router, share=1.0, step=3)
    assert editions(router) == ["v2", "v1"]


def test_retry_is_sent_to_the_former_version():
    router, _clock = make_router(chance=0.99)
    grant_lease(router, share=0.1)
    assert editions(router, is_first=True) == ["v2", "v1"]
    assert editions(router, is_first=False) == ["v1"]


def test_lease_duration_starts_when_its_report_was_sent():
    router, clock = make_router(chance=0.99)
    number = router.report().number
    clock.now += 2.4
    reply(router, number=number, lease_s=2.5, granted=[lease()])
    assert editions(router) == ["v2", "v1"]
    clock.now += 0.2
    assert editions(router) == ["v1"]


def test_lease_for_an_unknown_report_another_order_or_an_older_step_is_ignored():
    router, _clock = make_router(chance=0.99)
    reply(router, number=7, lease_s=9.0, granted=[lease()])
    grant_lease(router, number=2)
    grant_lease(router, step=1)
    assert editions(router) == ["v1"]


def test_late_reply_does_not_replace_a_newer_lease():
    router, clock = make_router(chance=0.99)
    first = router.report().number
    clock.now += 0.4
    grant_lease(router, share=0.0)
    reply(router, number=first, lease_s=2.5, granted=[lease(share=0.5)])
    assert editions(router) == ["v1"]


def test_canary_pool_is_limited_to_the_replicas_of_the_lease():
    router, _clock = make_router(chance=0.99)
    grant_lease(router, replicas=("i7",))
    assert router.pools(service="pool", is_first=True)[0].replicas == ("i7",)


@pytest.mark.parametrize("proxies", [1, 60, 330])
@pytest.mark.parametrize("share", [0.05, 0.1, 0.3])
def test_share_of_the_new_version_holds_over_all_proxies(proxies, share):
    """The share holds at any request rates of the proxies, and although some of them restart halfway."""
    chance = random.Random(proxies)
    sent, sent_new = 0, 0
    for _proxy in range(proxies):
        requests = chance.randint(0, 80)
        router, _clock = make_router(chance=chance.random())
        grant_lease(router, share=share)
        for index in range(requests):
            if index == requests // 2 and chance.random() < 0.2:
                router, _clock = make_router(chance=chance.random())
                grant_lease(router, share=share)
            edition = "v2" if editions(router)[0] == "v2" else "v1"
            router.note_send(service="pool", replica=replica(edition))
            sent += 1
            sent_new += edition == "v2"
    spread = 4.0 * (0.25 * proxies * 1.2) ** 0.5 + 1
    assert abs(sent_new - share * sent) <= spread


def test_unused_share_is_not_made_up_for_by_a_burst():
    router, _clock = make_router(chance=0.0)
    grant_lease(router, share=0.5)
    for _index in range(200):
        router.note_send(service="pool", replica=replica("v1"))
    burst = 0
    for _index in range(4):
        if editions(router)[0] == "v2":
            router.note_send(service="pool", replica=replica("v2"))
            burst += 1
        else:
            router.note_send(service="pool", replica=replica("v1"))
    assert burst <= 3


def attempt(edition="v2", **changes):
    """Returns a complete, successful attempt with the given changes."""
    fields = {
        "replica": replica(edition),
        "connection": types.SimpleNamespace(is_unsent=False),
        "response_class": attempts.ResponseClass.SUCCESS,
        "status": 200,
        "is_complete": True,
        "is_first_event_counted": False,
        "sent_at": 49.0,
        "first_event_at": 49.5,
        "last_event_at": 50.0,
        "event_count": 6,
        "arrival": None,
    }
    return types.SimpleNamespace(**{**fields, **changes})


def tallies_after(ended, *, kind=report_source.DONE, began=40.0):
    """Returns the tallies after an attempt ended; the roll-out was ordered at `began`."""
    router, clock = make_router(began=began)
    clock.now = 50.0
    router.note_attempt_end(service="pool", route="r", attempt=ended, kind=kind, latency_target_s=0.6, expected_s=0.1)
    reports = rollout_evidence.unpack(router.report().reports)
    return [tally for tally in reports[0].tallies.values()]


def test_complete_response_is_counted_with_its_times():
    (tally,) = tallies_after(attempt())
    assert (tally.ended, tally.failed, tally.broken) == (1, 0, 0)
    assert sum(tally.first_chunk_times.values()) == sum(tally.chunk_intervals.values()) == 1


def test_first_event_is_counted_once_when_it_arrives():
    """Counting at the end would favour a slow version: only its fast responses end while the canary runs."""
    router, clock = make_router(began=40.0)
    clock.now = 49.9
    streaming = attempt(is_complete=False, last_event_at=None, event_count=1)
    router.note_first_event(service="pool", route="r", attempt=streaming, expected_s=0.1)
    (early,) = rollout_evidence.unpack(router.report().reports)[0].tallies.values()
    assert (early.ended, sum(early.first_chunk_times.values())) == (0, 1)
    clock.now = 52.0
    streaming.is_complete, streaming.last_event_at, streaming.event_count = True, 52.0, 6
    router.note_attempt_end(
        service="pool", route="r", attempt=streaming, kind=report_source.DONE, latency_target_s=0.6, expected_s=0.1
    )
    (late,) = rollout_evidence.unpack(router.report().reports)[0].tallies.values()
    assert (late.ended, late.first_chunk_times, sum(late.chunk_intervals.values())) == (1, early.first_chunk_times, 1)


def test_first_event_of_an_attempt_sent_before_the_order_is_not_counted():
    router, _clock = make_router()
    earlier = attempt(sent_at=49.5)
    router.note_first_event(service="pool", route="r", attempt=earlier, expected_s=0.1)
    assert not rollout_evidence.unpack(router.report().reports)[0].tallies


def test_first_event_time_with_an_adapter_arrival_is_not_counted():
    (tally,) = tallies_after(attempt(arrival=object()))
    assert tally.ended == 1 and not tally.first_chunk_times and sum(tally.chunk_intervals.values()) == 1
    router, _clock = make_router(began=40.0)
    router.note_first_event(service="pool", route="r", attempt=attempt(arrival=object()), expected_s=0.1)
    (tally,) = rollout_evidence.unpack(router.report().reports)[0].tallies.values()
    assert not tally.first_chunk_times


@pytest.mark.parametrize(
    "changes, kind, expected",
    [
        ({"response_class": attempts.ResponseClass.FAILURE, "status": 500}, report_source.FAILED, (1, 1, 0)),
        ({"is_complete": False}, report_source.FAILED, (1, 0, 1)),
        ({"is_complete": False, "first_event_at": None, "sent_at": 47.0}, report_source.DONE, (1, 0, 0)),
    ],
)
def test_attempt_end_is_counted_by_its_outcome(changes, kind, expected):
    (tally,) = tallies_after(attempt(**changes), kind=kind)
    assert (tally.ended, tally.failed, tally.broken) == expected


@pytest.mark.parametrize(
    "changes",
    [
        {"connection": types.SimpleNamespace(is_unsent=True)},
        {"response_class": attempts.ResponseClass.NOT_RUN, "status": 503},
        {"is_complete": False},  # the first event was in time, then the client left: no evidence
    ],
)
def test_attempt_end_without_evidence_is_not_counted(changes):
    assert sum(tally.ended for tally in tallies_after(attempt(**changes))) == 0


def test_attempt_sent_before_the_order_is_not_counted():
    assert tallies_after(attempt(), began=49.5) == []


def test_report_contains_only_roll_outs_in_progress():
    router, _clock = make_router()
    (report,) = rollout_evidence.unpack(router.report().reports)
    assert (report.service, report.number, report.step, report.in_flight_old) == ("pool", 1, 2, 3)
    router.install(payload(dataclasses.replace(CANARY, stage=state.Stage.RETURNED, step=3)))
    assert router.report() is None


def test_new_order_resets_the_counts():
    router, clock = make_router(began=40.0)
    clock.now = 50.0
    router.note_attempt_end(
        service="pool", route="r", attempt=attempt(), kind=report_source.DONE, latency_target_s=0.6, expected_s=0.1
    )
    router.install(payload(dataclasses.replace(CANARY, number=2, step=9)))
    (report,) = rollout_evidence.unpack(router.report().reports)
    assert report.number == 2 and not report.tallies and report.sent == 0
