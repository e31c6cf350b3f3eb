"""Leases, and the coordinator of roll-outs in histories of an order."""

import dataclasses
import random

import pytest

from ploverward.common import errors
from ploverward.common import rollout_evidence
from ploverward.control_plane.rollouts import evidence_table
from ploverward.control_plane.rollouts import leases
from ploverward.control_plane.rollouts import manager
from ploverward.control_plane.rollouts import orders
from ploverward.control_plane.rollouts import rollout_samples
from ploverward.control_plane.rollouts import state
from ploverward.transport import messages


def test_pack_unpack_round_trip_preserves_leases():
    given_out = [leases.CanaryLease(service="pool", number=1, step=2, share=0.1, replicas=("a", "b"))]
    assert leases.unpack(leases.pack(given_out)) == given_out


@pytest.mark.parametrize("data", [b"", b"{}x", b'[["pool"]]', b'[["pool",1,2,"x",[]]]'])
def test_unpack_rejects_malformed_leases(data):
    with pytest.raises(errors.FrameError):
        leases.unpack(data)


class Settings:
    """Bounds of a deployment."""

    def bound(self, *, name, default=0.0):
        return {"exposureShare": 0.1, "exposureSlack": 50.0}.get(name, default)

    def bound_s(self, *, name, default=0.0):
        return {"rollbackMs": 5.0}.get(name, default)


class World:
    """Coordinators on one register, whose changes end at once, with an error while it is partitioned."""

    def __init__(self):
        self.now = 100.0
        self.payload = None
        self.rows = rollout_samples.listed_rows(edition="v1")
        self.origins = [evidence_table.Origin(address=name, incarnation="1") for name in "ab"]
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

    def report(self, coordinator, *, origin, data):
        """What the coordinator answers a proxy's evidence."""
        message = messages.RolloutEvidence(number=7, reports=data)
        return coordinator.handle_evidence(origin=origin, message=message, proxy_count=2)

    def row(self):
        return rollout_samples.row_of(self.payload)

    def play(self, coordinator, *, seconds, failing=0.0, chance=None, running_old=0):
        chance = chance or random.Random(1)
        tallies, sent = self.tallies, self.sent
        for _tick in range(int(seconds / 0.4)):
            self.now += 0.4
            for field_path, origin in enumerate(self.origins):
                sent += 30
                row = self.row()
                answers = tallies.setdefault(origin, {})
                answers.setdefault(rollout_samples.key(is_new=False), rollout_evidence.Tally()).add(
                    rollout_samples.tally(ended=20)
                )
                if any(one["edition"] == "v2" for one in self.rows):
                    for group in range(2):
                        failed = sum(chance.random() < failing for _index in range(2))
                        answers.setdefault(rollout_samples.key(group=group), rollout_evidence.Tally()).add(
                            rollout_samples.tally(ended=2, failed=failed)
                        )
                data = rollout_evidence.pack(
                    [
                        rollout_samples.report(
                            tallies={one: count.copy() for one, count in answers.items()},
                            step=row.step,
                            sent=sent,
                            sent_new=sent // 20,
                            number=row.number,
                            running_old=running_old if field_path == 0 else 0,
                        )
                    ]
                )
                self.report(coordinator, origin=origin, data=data)
            coordinator.reconcile()
        self.sent = sent


def test_versions_of_the_first_list_are_admitted_and_later_ones_are_not():
    world = World()
    coordinator = world.coordinator()
    coordinator.reconcile()
    assert world.row().admitted == ("v1",)
    world.rows = world.rows + rollout_samples.listed_rows()
    for _index in range(50):
        world.now += 1.0
        coordinator.reconcile()
    assert world.row().admitted == ("v1",)


def test_listed_versions_are_admitted_after_a_grace_period_without_an_admitted_one():
    world = World()
    coordinator = world.coordinator()
    coordinator.reconcile()
    world.rows = rollout_samples.listed_rows()
    coordinator.reconcile()
    assert world.row().admitted == ("v1",)
    world.now += 6.0
    coordinator.reconcile()
    assert world.row().admitted == ("v2",)


def begun(world):
    coordinator = world.coordinator()
    coordinator.reconcile()
    world.change(
        name="rollouts",
        edit=orders.edit_for(order=rollout_samples.ORDER, is_late=lambda: False),
        done=lambda *_about: None,
    )
    world.rows = world.rows + rollout_samples.listed_rows()
    return coordinator


def test_good_version_is_delivered_within_its_term():
    world = World()
    coordinator = begun(world)
    world.play(coordinator, seconds=9.2)
    assert world.row().stage in (state.Stage.PROMOTING, state.Stage.DRAINING)
    world.play(coordinator, seconds=4.0)
    assert world.row().stage == state.Stage.DELIVERED and world.row().age_s < 15.0


def test_delivery_waits_for_attempts_at_the_former_version_until_the_term_ends():
    world = World()
    coordinator = begun(world)
    world.play(coordinator, seconds=13.0, running_old=1)
    assert world.row().stage == state.Stage.DRAINING
    world.play(coordinator, seconds=3.0, running_old=1)
    assert world.row().stage == state.Stage.DELIVERED


def test_bad_version_is_rolled_back_and_stays_so():
    world = World()
    coordinator = begun(world)
    world.play(coordinator, seconds=4.0, failing=0.5)
    assert world.row().stage == state.Stage.RETURNED
    world.play(coordinator, seconds=16.0)
    assert world.row().stage == state.Stage.RETURNED


def test_coordinator_that_found_a_fault_grants_no_share_while_the_rollback_cannot_be_recorded():
    world = World()
    coordinator = begun(world)
    world.is_partitioned = True
    world.play(coordinator, seconds=4.0, failing=0.5)
    assert world.row().stage == state.Stage.CANARY
    answer = world.report(
        coordinator, origin=world.origins[0], data=rollout_evidence.pack([rollout_samples.report(sent=10**6)])
    )
    assert [one.share for one in leases.unpack(answer.leases)] == [0.0]


def test_inactive_or_stalled_coordinator_grants_no_leases():
    world = World()
    coordinator = begun(world)
    coordinator.deactivate()
    assert (
        world.report(coordinator, origin=world.origins[0], data=rollout_evidence.pack([rollout_samples.report()]))
        is None
    )
    coordinator.reconcile()
    world.now += 2.0  # it stood still: what it may give out has run out
    assert (
        world.report(coordinator, origin=world.origins[0], data=rollout_evidence.pack([rollout_samples.report()]))
        is None
    )


def test_next_coordinator_resumes_the_roll_out():
    world = World()
    world.play(begun(world), seconds=9.2)
    second = world.coordinator()
    world.play(second, seconds=5.0)
    assert world.row().stage == state.Stage.DELIVERED


def test_coordinator_learns_the_age_from_proxies_after_a_full_restart():
    world = World()
    coordinator = begun(world)
    world.play(coordinator, seconds=4.0)
    late = world.coordinator()
    world.report(
        late,
        origin=world.origins[0],
        data=rollout_evidence.pack([dataclasses.replace(rollout_samples.report(number=1, sent=10**6), age_s=15.5)]),
    )
    late.reconcile()
    assert world.row().stage == state.Stage.RETURNED


def test_next_coordinator_delivers_only_after_all_proxies_had_time_to_reach_it():
    """Proxies find it one after the other: one that it has not heard yet may run attempts at the former version."""
    world = World()
    coordinator = begun(world)
    while world.row().stage != state.Stage.DRAINING:
        world.play(coordinator, seconds=0.8, running_old=3)
    coordinator.deactivate()
    not_heard = world.origins.pop(0)
    following = world.coordinator()
    world.play(following, seconds=2.0)
    assert world.row().stage == state.Stage.DRAINING
    world.origins.insert(0, not_heard)
    world.play(following, seconds=3.6)
    assert world.row().stage == state.Stage.DELIVERED
