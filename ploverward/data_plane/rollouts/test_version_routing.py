"""Which versions a proxy's requests go to, its leases, and what it counts."""

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
    return types.SimpleNamespace(id=name, key=row_codec.key_of(name), edition=edition)


def payload(rollout):
    return state.with_rollout(None, service="pool", rollout=rollout)


def made(*, rollout=CANARY, chance=0.5, began=50.0):
    clock = Clock()
    clock.now = began
    tracker = version_routing.VersionRouter(now=clock, chance=lambda: chance, running=lambda service, target: 3)
    tracker.install(payload(rollout))
    return tracker, clock


def lease(*, share=0.1, replicas=(), number=1, step=2):
    return leases.CanaryLease(service="pool", number=number, step=step, share=share, replicas=replicas)


def answer(tracker, *, number, lease_s, granted):
    """The coordinator's reply to a report."""
    tracker.handle_leases(
        messages.RolloutLeases(number=number, duration_s=lease_s, report_interval=1, leases=leases.pack(granted))
    )


def give(tracker, *, lease_s=2.5, **about):
    answer(tracker, number=tracker.report().number, lease_s=lease_s, granted=[lease(**about)])


def editions(tracker, *, is_first=True):
    """Which of v1, v2, v3 each pool has, the preferred one first."""
    return [
        "".join(name for name in ("v1", "v2", "v3") if pool is None or pool.has(replica(name)))
        for pool in tracker.pools(service="pool", is_first=is_first)
    ]


def test_a_service_that_nobody_knows_of_may_go_anywhere():
    assert made()[0].pools(service="other", is_first=True) == (None,)


def test_a_version_that_nobody_let_in_gets_nothing():
    idle = state.Rollout(admitted=("v1",), step=1)
    assert editions(made(rollout=idle)[0]) == ["v1"]
    assert editions(made()[0]) == ["v1"]  # ordered, and no lease


@pytest.mark.parametrize(
    "stage, wanted", [(state.Stage.DRAINING, ["v2"]), (state.Stage.RETURNED, ["v1"]), (state.Stage.PROMOTING, ["v1"])]
)
def test_where_requests_go_without_a_lease(stage, wanted):
    tracker, _clock = made(rollout=dataclasses.replace(CANARY, stage=stage, step=3))
    assert editions(tracker) == wanted


def test_after_delivery_the_former_version_gets_nothing():
    tracker, _clock = made(
        rollout=dataclasses.replace(CANARY, stage=state.Stage.DELIVERED, admitted=("v2",), refused=(), step=5)
    )
    assert editions(tracker) == ["v2"]


def test_a_lease_of_all_prefers_the_new_version():
    tracker, _clock = made(rollout=dataclasses.replace(CANARY, stage=state.Stage.PROMOTING, step=3))
    give(tracker, share=1.0, step=3)
    assert editions(tracker) == ["v2", "v1"]


def test_a_retry_is_sent_to_the_former_version():
    tracker, _clock = made(chance=0.99)
    give(tracker, share=0.1)
    assert editions(tracker, is_first=True) == ["v2", "v1"]
    assert editions(tracker, is_first=False) == ["v1"]


def test_a_lease_counts_from_when_its_report_was_sent():
    tracker, clock = made(chance=0.99)
    number = tracker.report().number
    clock.now += 2.4
    answer(tracker, number=number, lease_s=2.5, granted=[lease()])
    assert editions(tracker) == ["v2", "v1"]
    clock.now += 0.2
    assert editions(tracker) == ["v1"]


def test_a_lease_that_was_not_asked_for_or_is_of_an_older_order_or_step_counts_for_nothing():
    tracker, _clock = made(chance=0.99)
    answer(tracker, number=7, lease_s=9.0, granted=[lease()])
    give(tracker, number=2)
    give(tracker, step=1)
    assert editions(tracker) == ["v1"]


def test_a_late_answer_does_not_replace_a_newer_lease():
    tracker, clock = made(chance=0.99)
    first = tracker.report().number
    clock.now += 0.4
    give(tracker, share=0.0)
    answer(tracker, number=first, lease_s=2.5, granted=[lease(share=0.5)])
    assert editions(tracker) == ["v1"]


def test_a_canary_names_the_replicas_that_it_may_go_to():
    tracker, _clock = made(chance=0.99)
    give(tracker, replicas=("i7",))
    assert tracker.pools(service="pool", is_first=True)[0].replicas == ("i7",)


@pytest.mark.parametrize("proxies", [1, 60, 330])
@pytest.mark.parametrize("share", [0.05, 0.1, 0.3])
def test_the_sum_over_all_proxies_keeps_to_the_share(proxies, share):
    """Whatever each one's rate, and although some restart in the midst."""
    chance = random.Random(proxies)
    sent, sent_new = 0, 0
    for _proxy in range(proxies):
        requests = chance.randint(0, 80)
        tracker, _clock = made(chance=chance.random())
        give(tracker, share=share)
        for index in range(requests):
            if index == requests // 2 and chance.random() < 0.2:
                tracker, _clock = made(chance=chance.random())
                give(tracker, share=share)
            edition = "v2" if editions(tracker)[0] == "v2" else "v1"
            tracker.note_send(service="pool", replica=replica(edition))
            sent += 1
            sent_new += edition == "v2"
    spread = 4.0 * (0.25 * proxies * 1.2) ** 0.5 + 1
    assert abs(sent_new - share * sent) <= spread


def test_what_could_not_be_sent_is_not_made_up_for_later():
    tracker, _clock = made(chance=0.0)
    give(tracker, share=0.5)
    for _index in range(200):
        tracker.note_send(service="pool", replica=replica("v1"))
    burst = 0
    for _index in range(4):
        if editions(tracker)[0] == "v2":
            tracker.note_send(service="pool", replica=replica("v2"))
            burst += 1
        else:
            tracker.note_send(service="pool", replica=replica("v1"))
    assert burst <= 3


def attempt(edition="v2", **about):
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
    return types.SimpleNamespace(**{**fields, **about})


def counted(one, *, kind=report_source.DONE, began=40.0):
    """The tallies after one attempt's end; the order came at `began`."""
    tracker, clock = made(began=began)
    clock.now = 50.0
    tracker.note_end(service="pool", route="r", attempt=one, kind=kind, latency_target_s=0.6, expected_s=0.1)
    reports = rollout_evidence.unpack(tracker.report().reports)
    return [tally for tally in reports[0].tallies.values()]


def test_a_complete_answer_counts_with_its_times():
    (tally,) = counted(attempt())
    assert (tally.ended, tally.failed, tally.broken) == (1, 0, 0)
    assert sum(tally.firsts.values()) == sum(tally.paces.values()) == 1


def test_a_slow_first_event_counts_when_it_arrives_and_once():
    """Of the answers that end in a canary's seconds those of a slow version would be the fast ones."""
    tracker, clock = made(began=40.0)
    clock.now = 49.9
    one = attempt(is_complete=False, last_event_at=None, event_count=1)
    tracker.note_first(service="pool", route="r", attempt=one, expected_s=0.1)
    (early,) = rollout_evidence.unpack(tracker.report().reports)[0].tallies.values()
    assert (early.ended, sum(early.firsts.values())) == (0, 1)
    clock.now = 52.0
    one.is_complete, one.last_event_at, one.event_count = True, 52.0, 6
    tracker.note_end(
        service="pool", route="r", attempt=one, kind=report_source.DONE, latency_target_s=0.6, expected_s=0.1
    )
    (late,) = rollout_evidence.unpack(tracker.report().reports)[0].tallies.values()
    assert (late.ended, late.firsts, sum(late.paces.values())) == (1, early.firsts, 1)


def test_a_first_event_of_an_attempt_that_began_before_the_order_is_not_counted():
    tracker, _clock = made()
    one = attempt(sent_at=49.5)
    tracker.note_first(service="pool", route="r", attempt=one, expected_s=0.1)
    assert not rollout_evidence.unpack(tracker.report().reports)[0].tallies


def test_the_load_of_an_adapter_says_nothing_of_a_version():
    (tally,) = counted(attempt(arrival=object()))
    assert tally.ended == 1 and not tally.firsts and sum(tally.paces.values()) == 1
    tracker, _clock = made(began=40.0)
    tracker.note_first(service="pool", route="r", attempt=attempt(arrival=object()), expected_s=0.1)
    (tally,) = rollout_evidence.unpack(tracker.report().reports)[0].tallies.values()
    assert not tally.firsts


@pytest.mark.parametrize(
    "about, kind, wanted",
    [
        ({"response_class": attempts.ResponseClass.FAILURE, "status": 500}, report_source.FAILED, (1, 1, 0)),
        ({"is_complete": False}, report_source.FAILED, (1, 0, 1)),
        ({"is_complete": False, "first_event_at": None, "sent_at": 47.0}, report_source.DONE, (1, 0, 0)),
    ],
)
def test_how_ends_are_counted(about, kind, wanted):
    (tally,) = counted(attempt(**about), kind=kind)
    assert (tally.ended, tally.failed, tally.broken) == wanted


@pytest.mark.parametrize(
    "about",
    [
        {"connection": types.SimpleNamespace(is_unsent=True)},
        {"response_class": attempts.ResponseClass.NOT_RUN, "status": 503},
        {"is_complete": False},  # its client left in good time: that says nothing of the replica
    ],
)
def test_what_says_nothing_is_not_counted(about):
    assert sum(tally.ended for tally in counted(attempt(**about))) == 0


def test_an_attempt_that_began_before_the_order_is_not_counted():
    assert counted(attempt(), began=49.5) == []


def test_reports_are_of_roll_outs_in_progress_alone():
    tracker, _clock = made()
    (report,) = rollout_evidence.unpack(tracker.report().reports)
    assert (report.service, report.number, report.step, report.running_old) == ("pool", 1, 2, 3)
    tracker.install(payload(dataclasses.replace(CANARY, stage=state.Stage.RETURNED, step=3)))
    assert tracker.report() is None


def test_counts_begin_anew_with_each_order():
    tracker, clock = made(began=40.0)
    clock.now = 50.0
    tracker.note_end(
        service="pool", route="r", attempt=attempt(), kind=report_source.DONE, latency_target_s=0.6, expected_s=0.1
    )
    tracker.install(payload(dataclasses.replace(CANARY, number=2, step=9)))
    (report,) = rollout_evidence.unpack(tracker.report().reports)
    assert report.number == 2 and not report.tallies and report.sent == 0
