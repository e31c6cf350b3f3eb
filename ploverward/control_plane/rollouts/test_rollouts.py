"""Orders, stages, evidence, the judge and the holder of roll-outs, each on its own and together in seeded histories."""

import collections
import dataclasses
import random

import pytest

from ploverward.common import errors
from ploverward.common import rollout_evidence
from ploverward.control_plane.rollouts import evidence_table as ledgers
from ploverward.control_plane.rollouts import judge as judges
from ploverward.control_plane.rollouts import leases
from ploverward.control_plane.rollouts import manager
from ploverward.control_plane.rollouts import orders
from ploverward.control_plane.rollouts import planner
from ploverward.control_plane.rollouts import state
from ploverward.transport import row_codec

ORDER = orders.Order(service="pool", target="v2", over_s=16.0)
OTHER = orders.Order(service="pool", target="v3", over_s=16.0)


def given(payload, order, *, is_late=False):
    return orders.edit_for(order=order, is_late=lambda: is_late)(payload)


def admitted(*names, service="pool"):
    rollout = state.Rollout(admitted=names, step=1)
    return state.with_rollout(None, service=service, rollout=rollout)


def moved(payload, stage, *, age_s=1.0, service="pool"):
    seen = state.rollouts_of(payload)[service]
    known = state.Evidence(stage=str(stage), age_s=age_s, reason="")
    return orders.edit_to_stage(service=service, seen=seen, known=known)(payload)[0]


def row_of(payload, service="pool"):
    return state.rollouts_of(payload)[service]


# Orders.
@pytest.mark.parametrize(
    "data, field_path",
    [
        (b"{", "body"),
        (b"[]", "body"),
        (b'{"targetEdition":"v2","overS":1}', "destination"),
        (b'{"destination":"pool","overS":1}', "targetEdition"),
        (b'{"destination":"pool","targetEdition":"","overS":1}', "targetEdition"),
        (b'{"destination":"pool","targetEdition":2,"overS":1}', "targetEdition"),
        (b'{"destination":"pool","targetEdition":"v2"}', "overS"),
        (b'{"destination":"pool","targetEdition":"v2","overS":"9"}', "overS"),
        (b'{"destination":"pool","targetEdition":"v2","overS":true}', "overS"),
        (b'{"destination":"pool","targetEdition":"v2","overS":0}', "overS"),
        (b'{"destination":"pool","targetEdition":"v2","overS":-4}', "overS"),
        (b'{"destination":"pool","targetEdition":"v2","overS":NaN}', "body"),
    ],
)
def test_an_order_that_is_none_names_the_field(data, field_path):
    with pytest.raises(errors.InvalidConfigurationError) as caught:
        orders.read(data=data)
    assert caught.value.field_path == field_path


def test_an_order_is_read():
    assert orders.read(data=b'{"destination":"pool","targetEdition":"v2","overS":16}') == ORDER


def test_the_same_order_again_changes_nothing_at_any_stage():
    payload, said = given(admitted("v1"), ORDER)
    assert said == orders.TAKEN
    for stage in (None, state.Stage.PROMOTING, state.Stage.DRAINING, state.Stage.DELIVERED):
        payload = moved(payload, stage) if stage else payload
        assert given(payload, ORDER, is_late=True) == (payload, orders.KNOWN)


def test_one_of_two_orders_wins_and_the_other_changes_nothing():
    payload, _said = given(admitted("v1"), ORDER)
    with pytest.raises(errors.RolloutInProgressError) as caught:
        given(payload, OTHER)
    assert caught.value.target == "v2"
    done = moved(payload, state.Stage.RETURNED)
    assert row_of(given(done, OTHER)[0]).target == "v3"


def test_an_order_whose_caller_was_left_is_not_begun():
    with pytest.raises(errors.QuorumUnavailableError):
        given(admitted("v1"), ORDER, is_late=True)


def test_a_version_that_serves_already_is_delivered_at_once():
    row = row_of(given(admitted("v2"), ORDER)[0])
    assert row.stage == state.Stage.DELIVERED and row.admitted == ("v2",)


def test_an_order_that_was_settled_may_be_given_again():
    payload = moved(given(admitted("v1"), ORDER)[0], state.Stage.RETURNED)
    settled, _said = orders.edit_to_finish(service="pool", seen=row_of(payload))(payload)
    again, said = given(settled, ORDER)
    assert said == orders.TAKEN and row_of(again).number == 2 and not row_of(again).refused


# Stages.
def test_a_stage_is_never_reverted():
    payload = moved(moved(given(admitted("v1"), ORDER)[0], state.Stage.PROMOTING), state.Stage.RETURNED)
    for stage in (state.Stage.CANARY, state.Stage.PROMOTING, state.Stage.DRAINING, state.Stage.DELIVERED):
        assert moved(payload, stage) is payload


def test_a_step_counts_only_on_the_row_that_it_was_decided_on():
    payload = given(admitted("v1"), ORDER)[0]
    known = state.Evidence(stage=state.Stage.PROMOTING, age_s=2.0, reason="late")
    late = orders.edit_to_stage(service="pool", seen=row_of(payload), known=known)
    returned = moved(payload, state.Stage.RETURNED)
    assert late(returned) == (returned, None)


def test_admitted_versions_through_a_roll_out():
    payload = given(admitted("v1"), ORDER)[0]
    assert row_of(payload).is_admitted("v1") and not row_of(payload).is_admitted("v2")
    returned = moved(payload, state.Stage.RETURNED)
    assert row_of(returned).is_admitted("v1") and not row_of(returned).is_admitted("v2")
    for stage in (state.Stage.PROMOTING, state.Stage.DRAINING, state.Stage.DELIVERED):
        payload = moved(payload, stage)
    assert row_of(payload).is_admitted("v2") and not row_of(payload).is_admitted("v1")


def test_without_a_known_set_all_but_the_target_and_what_was_returned_are_admitted():
    payload = given(None, ORDER)[0]
    assert row_of(payload).is_admitted("v1") and not row_of(payload).is_admitted("v2")
    assert not row_of(moved(payload, state.Stage.RETURNED)).is_admitted("v2")


# Evidence.
def tally(*, ended, failed=0, first=8, slow=0, slow_first=17):
    made = rollout_evidence.Tally(ended=ended, failed=failed)
    made.firsts[first] += ended - failed - slow
    made.firsts[slow_first] += slow
    return made


def key(*, route="r", is_new=True, group=0):
    return rollout_evidence.Key(route=route, is_new=is_new, group=group)


def report(*, tallies=None, step=2, running_old=0, sent=10, sent_new=1, number=1):
    return rollout_evidence.Report(
        service="pool",
        number=number,
        step=step,
        age_s=1.0,
        sent=sent,
        sent_new=sent_new,
        running_old=running_old,
        tallies=tallies or {},
    )


def test_reports_come_back_as_they_were_packed():
    reports = [report(tallies={key(): tally(ended=9, failed=2, slow=1), key(is_new=False): tally(ended=30)})]
    assert rollout_evidence.unpack(rollout_evidence.pack(reports)) == reports


@pytest.mark.parametrize("data", [b"", b"x", rollout_evidence.pack([])[:4], __import__("zlib").compress(b'[["pool"]]')])
def test_bytes_that_are_no_reports_are_refused(data):
    with pytest.raises(errors.FrameError):
        rollout_evidence.unpack(data)


@pytest.mark.parametrize("seed", range(20))
def test_reports_lost_repeated_and_out_of_order_count_once(seed):
    chance = random.Random(seed)
    table, counted, reports = ledgers.EvidenceTable(), collections.Counter(), []
    true = {name: rollout_evidence.Tally() for name in "abc"}
    for step in range(120):
        name = chance.choice("abc")
        true[name].add(tally(ended=chance.randint(0, 4)))
        reports.append((name, report(tallies={key(): true[name].copy()}, sent=step + 1)))
        for reporter, one in chance.sample(reports, min(len(reports), chance.randint(0, 3))):
            table.record(origin=ledgers.Origin(address=reporter, incarnation="1"), report=one, now=step)
        for found in table.fresh().values():
            assert found.ended >= 0
            counted["ended"] += found.ended
    for name in "abc":
        last = [one for reporter, one in reports if reporter == name][-1]
        table.record(origin=ledgers.Origin(address=name, incarnation="1"), report=last, now=999)
    counted["ended"] += sum(found.ended for found in table.fresh().values())
    assert counted["ended"] == sum(one.ended for one in true.values())


def test_drained_is_who_applied_the_step_and_runs_nothing_elsewhere():
    table = ledgers.EvidenceTable()
    first, second = (ledgers.Origin(address=name, incarnation="1") for name in "ab")
    table.record(origin=first, report=report(step=3), now=0)
    assert not table.is_drained(origins={first, second}, step=3)
    table.record(origin=second, report=report(step=2), now=0)
    assert not table.is_drained(origins={first, second}, step=3)
    table.record(origin=second, report=report(step=3, running_old=1, sent=11), now=0)
    assert not table.is_drained(origins={first, second}, step=3)
    table.record(origin=second, report=report(step=3, sent=12), now=0)
    assert table.is_drained(origins={first, second}, step=3)


# The judge.
def played(*, chance, seconds=8.0, bad=0.0, bad_from=0.0, former_bad=0.0, slow=0.0, groups=2, per_s=6.0, times=9):
    """The judge after some seconds of a canary; `bad` and `slow` are shares of the new version's answers."""
    judge = judges.Judge()
    found_at = None
    for tick in range(int(seconds / 0.4)):
        now = tick * 0.4
        counted = {key(is_new=False): former_answers(chance=chance, former_bad=former_bad, count=25)}
        share = bad if now >= bad_from else 0.0
        for group in range(groups):
            ended = sum(chance.random() < 0.5 for _index in range(round(per_s * 0.8 / groups)))
            failed = sum(chance.random() < max(share, former_bad) for _index in range(ended))
            made = rollout_evidence.Tally(ended=ended, failed=failed)
            for _index in range(ended - failed):
                is_slow = chance.random() < slow
                made.firsts[8 + chance.choice((-1, 0, 0, 1, 2)) + (times if is_slow else 0)] += 1
            counted[key(group=group)] = made
        judge.record(now=now, counted=counted)
        if judge.is_bad and found_at is None:
            found_at = now
    return judge, found_at


def former_answers(*, chance, former_bad, count):
    failed = sum(chance.random() < former_bad for _index in range(count))
    made = rollout_evidence.Tally(ended=count, failed=failed)
    for _index in range(count - failed):
        made.firsts[8 + chance.choice((-1, 0, 0, 1, 2))] += 1
    return made


@pytest.mark.parametrize("seed", range(60))
def test_a_version_that_fails_half_of_its_answers_is_found(seed):
    assert played(chance=random.Random(seed), bad=0.5, per_s=12.0)[1] is not None


@pytest.mark.parametrize("seed", range(60))
def test_a_version_that_turns_bad_late_is_found(seed):
    _judge, found_at = played(chance=random.Random(seed), bad=0.5, bad_from=4.0, per_s=12.0, seconds=9.0)
    assert found_at is not None and found_at >= 4.0


@pytest.mark.parametrize("seed", range(60))
def test_a_version_half_of_whose_answers_are_slow_is_found(seed):
    assert played(chance=random.Random(seed), slow=0.5, per_s=12.0)[1] is not None


@pytest.mark.parametrize("former_bad", [0.0, 0.02, 0.1, 0.2, 0.5])
def test_a_version_that_does_as_the_former_one_is_not_found(former_bad):
    found = [played(chance=random.Random(seed), former_bad=former_bad)[1] for seed in range(100)]
    assert sum(when is not None for when in found) <= 1


def test_one_faulty_replica_does_not_condemn_its_version():
    judge = judges.Judge()
    for step in range(30):
        counted = {key(is_new=False): tally(ended=20), key(group=1): tally(ended=2, failed=2)}
        counted[key(group=2)] = tally(ended=2)
        judge.record(now=step * 0.4, counted=counted)
    assert not judge.is_bad and judge.bad_groups() == {1}


def test_a_lone_replica_condemns_its_version():
    judge = judges.Judge()
    judge.is_lone = True
    judge.record(now=0.0, counted={key(is_new=False): tally(ended=20), key(group=1): tally(ended=8, failed=6)})
    assert judge.is_bad


def test_timeouts_count_only_beside_answers_of_the_former_version():
    judge = judges.Judge()
    silent = {key(group=group): rollout_evidence.Tally(ended=9, broken=9) for group in range(3)}
    judge.record(now=0.0, counted=silent)
    assert not judge.is_bad
    judge.record(now=0.4, counted={**silent, key(is_new=False): tally(ended=20)})
    assert judge.is_bad


# The plan.
VIEW = planner.View(
    rollout=state.Rollout(admitted=("v1",), target="v2", over_s=16.0, stage=state.Stage.CANARY, number=1, step=2),
    age_s=9.0,
    stage_age_s=9.0,
    first_answer_s=2.0,
    answers={"r": 40},
    expected={"r": 44.0, "rare": 2.0},
    is_bad=False,
    is_suspicious=False,
    finding="",
    has_capacity=True,
    has_heard=True,
    is_drained=False,
    is_drained_silent=False,
)


def at(stage, **about):
    return dataclasses.replace(VIEW, rollout=dataclasses.replace(VIEW.rollout, stage=stage), **about)


def test_a_version_is_let_in_past_the_middle_of_its_term_and_not_before():
    assert planner.next_move(VIEW).stage == state.Stage.PROMOTING
    assert planner.next_move(dataclasses.replace(VIEW, age_s=8.7)) is None


@pytest.mark.parametrize(
    "about",
    [
        {"first_answer_s": 5.5},
        {"answers": {"r": 3}},
        {"expected": {"r": 40.0, "other": 9.0}},
        {"answers": {"r": 19}},
        {"has_capacity": False},
        {"has_heard": False},
        {"is_suspicious": True},
    ],
)
def test_what_holds_a_version_back(about):
    assert planner.next_move(dataclasses.replace(VIEW, **about)) is None


def test_a_version_that_is_not_cleared_in_time_is_rolled_back():
    late = dataclasses.replace(VIEW, is_suspicious=True, age_s=10.5)
    assert planner.next_move(late).stage == state.Stage.RETURNED


def test_a_version_with_outstanding_responses_is_rolled_back():
    late = dataclasses.replace(VIEW, answers={"r": 19}, age_s=10.5)
    assert planner.next_move(late).stage == state.Stage.RETURNED


@pytest.mark.parametrize("stage", state.IN_PROGRESS_STAGES)
def test_a_bad_version_is_rolled_back_from_every_stage(stage):
    assert planner.next_move(at(stage, is_bad=True)).stage == state.Stage.RETURNED


def test_delivered_is_announced_only_when_nothing_runs_at_the_former_version_or_the_term_is_over():
    assert planner.next_move(at(state.Stage.DRAINING, age_s=12.0)) is None
    assert planner.next_move(at(state.Stage.DRAINING, age_s=12.0, is_drained_silent=True)) is None
    assert planner.next_move(at(state.Stage.DRAINING, age_s=12.0, is_drained=True)).stage == state.Stage.DELIVERED
    assert (
        planner.next_move(at(state.Stage.DRAINING, age_s=14.0, is_drained_silent=True)).stage == state.Stage.DELIVERED
    )
    assert planner.next_move(at(state.Stage.DRAINING, age_s=15.1)).stage == state.Stage.DELIVERED


@pytest.mark.parametrize("per_s", [1, 5, 20, 150, 3000])
@pytest.mark.parametrize("over_s", [4.0, 16.0, 60.0])
def test_the_canary_stays_inside_the_bound_even_if_no_request_follows(per_s, over_s):
    exposure = planner.Exposure(share=0.1, slack=50.0)
    sent, sent_new, credit = 0, 0, 0.9
    for tick in range(int(over_s * planner.LATEST_PROMOTE_PART / 0.1)):
        age_s = tick * 0.1
        share = planner.canary_share(exposure=exposure, sent=sent, sent_new=sent_new, age_s=age_s, over_s=over_s)
        for _request in range(max(1, int(per_s * 0.1))):
            sent += 1
            credit += share
            if credit >= 1.0:
                credit -= 1.0
                sent_new += 1
            assert sent_new <= exposure.share * sent + exposure.slack


def listed(*, count=30, edition="v2", zones=("a1", "a2", "b1"), cold=0, first=0):
    return [
        {
            "id": f"{edition}-{number}",
            "service": "pool",
            "zone": zones[number % len(zones)],
            "edition": edition,
            "berths": 16,
            "is_clearing": False,
            "cold_ms": 500.0 if number < cold else 0.0,
        }
        for number in range(first, first + count)
    ]


def region_of(zone):
    return zone[0]


def test_canary_replicas_are_few_spread_and_stable():
    rows = listed()
    chosen = planner.canary_replicas(rows=rows, region_of=region_of, share=0.1, bad_groups=())
    assert len(chosen) == 3.0 / planner.LOAD_TIMES
    assert chosen == planner.canary_replicas(rows=rows[::-1], region_of=region_of, share=0.1, bad_groups=())
    zones = {row["id"]: row["zone"] for row in rows}
    assert {region_of(zones[name]) for name in chosen} == {"a", "b"}


def test_a_group_that_has_shown_faults_gives_way_to_another():
    rows = listed()
    first = planner.canary_replicas(rows=rows, region_of=region_of, share=0.02, bad_groups=())
    group = rollout_evidence.group_of(row_codec.key_of(first[0]))
    second = planner.canary_replicas(rows=rows, region_of=region_of, share=0.02, bad_groups={group})
    assert len(first) == len(second) == 1 and rollout_evidence.group_of(row_codec.key_of(second[0])) != group


def test_capacity_wants_warm_replicas_in_each_region():
    former = listed(edition="v1")
    for new, out, wanted in (
        (listed(), (), True),
        ([], (), False),
        (listed(cold=15), (), False),
        (listed(zones=("a1", "a2")), (), False),
        (listed(zones=("a1", "a2")), ("b1",), True),
    ):
        found = planner.has_capacity(rows=former + new, rollout=VIEW.rollout, region_of=region_of, evacuated_zones=out)
        assert found == wanted


# Leases and the holder.
def test_leases_come_back_as_they_were_packed():
    given_out = [leases.Lease(service="pool", number=1, step=2, share=0.1, replicas=("a", "b"))]
    assert leases.unpack(leases.pack(given_out)) == given_out


@pytest.mark.parametrize("data", [b"", b"{}x", b'[["pool"]]', b'[["pool",1,2,"x",[]]]'])
def test_bytes_that_are_no_leases_are_refused(data):
    with pytest.raises(errors.FrameError):
        leases.unpack(data)


class Settings:
    """Bounds of a deployment."""

    def bound(self, *, name, default=0.0):
        return {"exposureShare": 0.1, "exposureSlack": 50.0}.get(name, default)

    def bound_s(self, *, name, default=0.0):
        return {"rollbackMs": 5.0}.get(name, default)


class World:
    """Holders on one register, with rounds that end at once or are held back."""

    def __init__(self):
        self.now = 100.0
        self.payload = None
        self.rows = listed(edition="v1")
        self.origins = [ledgers.Origin(address=name, incarnation="1") for name in "ab"]
        self.coordinators = []
        self.is_partitioned = False
        self.sent = 0
        self.tallies = {}  # origin: what it counted since the order

    def coordinator(self):
        made = manager.RolloutManager(
            settings=Settings(),
            now=lambda: self.now,
            change=self.change,
            listed=lambda: self.rows,
            zones=lambda: {"a1": "a", "a2": "a", "b1": "b"},
            evacuated_zones=lambda: (),
            proxies=lambda: self.origins,
            contact_s=5.0,
            receipt_s=8.0,
        )
        made.install(self.payload)
        self.coordinators.append(made)
        return made

    def change(self, *, name, edit, done):
        if self.is_partitioned:
            done(errors.QuorumUnavailableError("cut"), 0, None, None)
            return
        self.payload, said = edit(self.payload)
        done(None, 1, self.payload, said)
        for coordinator in self.coordinators:
            coordinator.install(self.payload)

    def row(self):
        return row_of(self.payload)

    def play(self, coordinator, *, seconds, failing=0.0, chance=None, running_old=0):
        chance = chance or random.Random(1)
        tallies, sent = self.tallies, self.sent
        for _tick in range(int(seconds / 0.4)):
            self.now += 0.4
            for field_path, origin in enumerate(self.origins):
                sent += 30
                row = self.row()
                answers = tallies.setdefault(origin, {})
                answers.setdefault(key(is_new=False), rollout_evidence.Tally()).add(tally(ended=20))
                if any(one["edition"] == "v2" for one in self.rows):
                    for group in range(2):
                        failed = sum(chance.random() < failing for _index in range(2))
                        answers.setdefault(key(group=group), rollout_evidence.Tally()).add(
                            tally(ended=2, failed=failed)
                        )
                data = rollout_evidence.pack(
                    [
                        report(
                            tallies={one: count.copy() for one, count in answers.items()},
                            step=row.step,
                            sent=sent,
                            sent_new=sent // 20,
                            number=row.number,
                            running_old=running_old if field_path == 0 else 0,
                        )
                    ]
                )
                coordinator.take_evidence(origin=origin, data=data)
            coordinator.reconcile()
        self.sent = sent


def test_the_first_list_admits_its_versions_and_a_new_one_on_the_list_admits_nothing():
    world = World()
    coordinator = world.coordinator()
    coordinator.reconcile()
    assert world.row().admitted == ("v1",)
    world.rows = world.rows + listed()
    for _index in range(50):
        world.now += 1.0
        coordinator.reconcile()
    assert world.row().admitted == ("v1",)


def test_where_no_admitted_version_is_left_what_is_listed_is_admitted_after_a_time():
    world = World()
    coordinator = world.coordinator()
    coordinator.reconcile()
    world.rows = listed()
    coordinator.reconcile()
    assert world.row().admitted == ("v1",)
    world.now += 6.0
    coordinator.reconcile()
    assert world.row().admitted == ("v2",)


def begun(world):
    coordinator = world.coordinator()
    coordinator.reconcile()
    world.change(name="rollouts", edit=orders.edit_for(order=ORDER, is_late=lambda: False), done=lambda *_about: None)
    world.rows = world.rows + listed()
    return coordinator


def test_a_good_version_is_delivered_inside_its_term():
    world = World()
    coordinator = begun(world)
    world.play(coordinator, seconds=9.2)
    assert world.row().stage in (state.Stage.PROMOTING, state.Stage.DRAINING)
    world.play(coordinator, seconds=4.0)
    assert world.row().stage == state.Stage.DELIVERED and world.row().age_s < 15.0


def test_delivered_waits_for_what_runs_at_the_former_version():
    world = World()
    coordinator = begun(world)
    world.play(coordinator, seconds=13.0, running_old=1)
    assert world.row().stage == state.Stage.DRAINING
    world.play(coordinator, seconds=3.0, running_old=1)
    assert world.row().stage == state.Stage.DELIVERED


def test_a_bad_version_is_returned_and_stays_returned():
    world = World()
    coordinator = begun(world)
    world.play(coordinator, seconds=4.0, failing=0.5)
    assert world.row().stage == state.Stage.RETURNED
    world.play(coordinator, seconds=16.0)
    assert world.row().stage == state.Stage.RETURNED


def test_a_coordinator_that_found_a_fault_grants_nothing_although_it_can_not_record_it():
    world = World()
    coordinator = begun(world)
    world.is_partitioned = True
    world.play(coordinator, seconds=4.0, failing=0.5)
    assert world.row().stage == state.Stage.CANARY
    given_out = leases.unpack(
        coordinator.take_evidence(origin=world.origins[0], data=rollout_evidence.pack([report(sent=10**6)]))
    )
    assert [one.share for one in given_out] == [0.0]


def test_a_node_that_does_not_act_gives_out_nothing():
    world = World()
    coordinator = begun(world)
    coordinator.deactivate()
    assert coordinator.take_evidence(origin=world.origins[0], data=rollout_evidence.pack([report()])) is None
    coordinator.reconcile()
    world.now += 2.0  # it stood still: what it may give out has run out
    assert coordinator.take_evidence(origin=world.origins[0], data=rollout_evidence.pack([report()])) is None


def test_the_next_coordinator_resumes_where_the_former_one_stopped():
    world = World()
    world.play(begun(world), seconds=9.2)
    second = world.coordinator()
    world.play(second, seconds=5.0)
    assert world.row().stage == state.Stage.DELIVERED


def test_a_coordinator_after_a_full_restart_learns_the_age_from_the_proxies():
    world = World()
    coordinator = begun(world)
    world.play(coordinator, seconds=4.0)
    late = world.coordinator()
    late.take_evidence(
        origin=world.origins[0],
        data=rollout_evidence.pack([dataclasses.replace(report(number=1, sent=10**6), age_s=15.5)]),
    )
    late.reconcile()
    assert world.row().stage == state.Stage.RETURNED
