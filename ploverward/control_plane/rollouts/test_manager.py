"""Tests for leases, and for the coordinator of roll-outs over the course of an order."""

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
    granted = [leases.CanaryLease(service="pool", number=1, step=2, share=0.1, replicas=("a", "b"))]
    assert leases.unpack(leases.pack(granted)) == granted


@pytest.mark.parametrize("data", [b"", b"{}x", b'[["pool"]]', b'[["pool",1,2,"x",[]]]'])
def test_unpack_rejects_malformed_leases(data):
    with pytest.raises(errors.FrameError):
        leases.unpack(data)


class Settings:
    """Settings of a deployment, with the bounds that the manager reads."""

    def bound(self, *, name, default=0.0):
        return {"exposureShare": 0.1, "exposureSlack": 50.0}.get(name, default)

    def bound_s(self, *, name, default=0.0):
        return {"rollbackMs": 5.0}.get(name, default)


class World:
    """Coordinators on one register. Its changes end at once, with an error while `is_partitioned`."""

    def __init__(self):
        self.now = 100.0
        self.payload = None
        self.rows = rollout_samples.listed_rows(edition="v1")
        self.origins = [evidence_table.Origin(address=name, incarnation="1") for name in "ab"]
        self.coordinators = []
        self.is_partitioned = False
        self.sent = 0
        self.tallies = {}  # by origin, then by key: answers since the order

    def coordinator(self):
        """Starts another coordinator."""
        added = manager.RolloutManager(
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
        added.install(self.payload)
        self.coordinators.append(added)
        return added

    def change(self, *, name, edit, done):
        if self.is_partitioned:
            done(errors.QuorumUnavailableError("partitioned"), 0, None, None)
            return
        self.payload, result = edit(self.payload)
        done(None, 1, self.payload, result)
        for coordinator in self.coordinators:
            coordinator.install(self.payload)

    def report(self, coordinator, *, origin, data):
        """Returns the coordinator's response to the evidence of a proxy."""
        message = messages.RolloutEvidence(number=7, reports=data)
        return coordinator.handle_evidence(origin=origin, message=message, proxy_count=2)

    def row(self):
        return rollout_samples.row_of(self.payload)

    def play(self, coordinator, *, seconds, failing=0.0, chance=None, in_flight_old=0):
        """Lets all proxies report to a coordinator; answers of the new version fail with probability `failing`."""
        chance = chance or random.Random(1)
        tallies, sent = self.tallies, self.sent
        for _tick in range(int(seconds / 0.4)):
            self.now += 0.4
            for index, origin in enumerate(self.origins):
                sent += 30
                row = self.row()
                answers = tallies.setdefault(origin, {})
                answers.setdefault(rollout_samples.key(is_new=False), rollout_evidence.Tally()).add(
                    rollout_samples.tally(ended=20)
                )
                if any(row["edition"] == "v2" for row in self.rows):
                    for group in range(2):
                        failed = sum(chance.random() < failing for _index in range(2))
                        answers.setdefault(rollout_samples.key(group=group), rollout_evidence.Tally()).add(
                            rollout_samples.tally(ended=2, failed=failed)
                        )
                data = rollout_evidence.pack(
                    [
                        rollout_samples.report(
                            tallies={key: tally.copy() for key, tally in answers.items()},
                            step=row.step,
                            sent=sent,
                            sent_new=sent // 20,
                            number=row.number,
                            in_flight_old=in_flight_old if index == 0 else 0,
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


def start_order(world):
    """Starts a coordinator and the order, and lists replicas of the new version."""
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
    coordinator = start_order(world)
    world.play(coordinator, seconds=9.2)
    assert world.row().stage in (state.Stage.PROMOTING, state.Stage.DRAINING)
    world.play(coordinator, seconds=4.0)
    assert world.row().stage == state.Stage.DELIVERED and world.row().age_s < 15.0


def test_delivery_waits_for_attempts_at_the_former_version_until_the_term_ends():
    world = World()
    coordinator = start_order(world)
    world.play(coordinator, seconds=13.0, in_flight_old=1)
    assert world.row().stage == state.Stage.DRAINING
    world.play(coordinator, seconds=3.0, in_flight_old=1)
    assert world.row().stage == state.Stage.DELIVERED


def test_bad_version_is_rolled_back_and_stays_so():
    world = World()
    coordinator = start_order(world)
    world.play(coordinator, seconds=4.0, failing=0.5)
    assert world.row().stage == state.Stage.RETURNED
    world.play(coordinator, seconds=16.0)
    assert world.row().stage == state.Stage.RETURNED


def test_coordinator_that_found_a_fault_grants_no_share_while_the_rollback_cannot_be_recorded():
    world = World()
    coordinator = start_order(world)
    world.is_partitioned = True
    world.play(coordinator, seconds=4.0, failing=0.5)
    assert world.row().stage == state.Stage.CANARY
    answer = world.report(
        coordinator, origin=world.origins[0], data=rollout_evidence.pack([rollout_samples.report(sent=10**6)])
    )
    assert [lease.share for lease in leases.unpack(answer.leases)] == [0.0]


def test_inactive_or_stalled_coordinator_grants_no_leases():
    world = World()
    coordinator = start_order(world)
    coordinator.deactivate()
    assert (
        world.report(coordinator, origin=world.origins[0], data=rollout_evidence.pack([rollout_samples.report()]))
        is None
    )
    coordinator.reconcile()
    world.now += 2.0  # it stalled for longer than a heartbeat allows it to act
    assert (
        world.report(coordinator, origin=world.origins[0], data=rollout_evidence.pack([rollout_samples.report()]))
        is None
    )


def test_next_coordinator_resumes_the_roll_out():
    world = World()
    world.play(start_order(world), seconds=9.2)
    second = world.coordinator()
    world.play(second, seconds=5.0)
    assert world.row().stage == state.Stage.DELIVERED


def test_coordinator_learns_the_age_from_proxies_after_a_full_restart():
    world = World()
    coordinator = start_order(world)
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
    """Proxies find it one after the other; one that has not reported yet may run attempts at the former version."""
    world = World()
    coordinator = start_order(world)
    while world.row().stage != state.Stage.DRAINING:
        world.play(coordinator, seconds=0.8, in_flight_old=3)
    coordinator.deactivate()
    not_reporting = world.origins.pop(0)
    second = world.coordinator()
    world.play(second, seconds=2.0)
    assert world.row().stage == state.Stage.DRAINING
    world.origins.insert(0, not_reporting)
    world.play(second, seconds=3.6)
    assert world.row().stage == state.Stage.DELIVERED
