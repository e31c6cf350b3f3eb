"""Tests for parsing roll-out orders, and for the effect of edits on a row."""

import dataclasses

import pytest

from ploverward.common import errors
from ploverward.control_plane.rollouts import orders
from ploverward.control_plane.rollouts import rollout_samples
from ploverward.control_plane.rollouts import state

OTHER = orders.Order(service="pool", target="v3", over_s=16.0)


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
def test_read_names_the_field_of_an_invalid_order(data, field_path):
    with pytest.raises(errors.InvalidConfigurationError) as caught:
        orders.read(data=data)
    assert caught.value.field_path == field_path


def test_read_parses_a_valid_order():
    assert orders.read(data=b'{"destination":"pool","targetEdition":"v2","overS":16}') == rollout_samples.ORDER


def test_repeated_order_changes_nothing_at_any_stage():
    payload, outcome = rollout_samples.apply_order(rollout_samples.register_admitting("v1"), rollout_samples.ORDER)
    assert outcome == orders.OrderOutcome.ACCEPTED
    for stage in (None, state.Stage.PROMOTING, state.Stage.DRAINING, state.Stage.DELIVERED):
        payload = rollout_samples.apply_step(payload, stage) if stage else payload
        assert rollout_samples.apply_order(payload, rollout_samples.ORDER, is_late=True) == (
            payload,
            orders.OrderOutcome.KNOWN,
        )


def test_second_order_is_rejected_while_the_first_is_in_progress():
    payload, _outcome = rollout_samples.apply_order(rollout_samples.register_admitting("v1"), rollout_samples.ORDER)
    with pytest.raises(errors.RolloutInProgressError) as caught:
        rollout_samples.apply_order(payload, OTHER)
    assert caught.value.target == "v2"
    done = rollout_samples.apply_step(payload, state.Stage.RETURNED)
    assert rollout_samples.row_of(rollout_samples.apply_order(done, OTHER)[0]).target == "v3"


def test_order_does_not_start_after_its_caller_was_answered():
    with pytest.raises(errors.QuorumUnavailableError):
        rollout_samples.apply_order(rollout_samples.register_admitting("v1"), rollout_samples.ORDER, is_late=True)


def test_order_for_the_admitted_version_is_delivered_at_once():
    row = rollout_samples.row_of(
        rollout_samples.apply_order(rollout_samples.register_admitting("v2"), rollout_samples.ORDER)[0]
    )
    assert row.stage == state.Stage.DELIVERED and row.admitted == ("v2",)


def test_settled_order_repeated_is_a_new_order():
    payload = rollout_samples.apply_step(
        rollout_samples.apply_order(rollout_samples.register_admitting("v1"), rollout_samples.ORDER)[0],
        state.Stage.RETURNED,
    )
    settled, _outcome = orders.edit_to_settle(service="pool", seen=rollout_samples.row_of(payload))(payload)
    again, outcome = rollout_samples.apply_order(settled, rollout_samples.ORDER)
    assert (
        outcome == orders.OrderOutcome.ACCEPTED
        and rollout_samples.row_of(again).number == 2
        and not rollout_samples.row_of(again).refused
    )


def test_edit_to_stage_never_leaves_a_final_stage():
    payload = rollout_samples.apply_step(
        rollout_samples.apply_step(
            rollout_samples.apply_order(rollout_samples.register_admitting("v1"), rollout_samples.ORDER)[0],
            state.Stage.PROMOTING,
        ),
        state.Stage.RETURNED,
    )
    for stage in (state.Stage.CANARY, state.Stage.PROMOTING, state.Stage.DRAINING, state.Stage.DELIVERED):
        assert rollout_samples.apply_step(payload, stage) is payload


def test_edit_to_stage_has_no_effect_on_a_changed_row():
    payload = rollout_samples.apply_order(rollout_samples.register_admitting("v1"), rollout_samples.ORDER)[0]
    evidence = state.Evidence(stage=state.Stage.PROMOTING, age_s=2.0, reason="late")
    late = orders.edit_to_stage(service="pool", seen=rollout_samples.row_of(payload), evidence=evidence)
    returned = rollout_samples.apply_step(payload, state.Stage.RETURNED)
    assert late(returned) == (returned, None)


def test_edit_to_store_age_keeps_the_step_and_has_no_effect_on_a_changed_row():
    payload = rollout_samples.apply_order(rollout_samples.register_admitting("v1"), rollout_samples.ORDER)[0]
    seen = rollout_samples.row_of(payload)
    aged, _result = orders.edit_to_store_age(service="pool", seen=seen, age_s=2.5)(payload)
    assert rollout_samples.row_of(aged) == dataclasses.replace(seen, age_s=2.5)
    assert orders.edit_to_store_age(service="pool", seen=seen, age_s=2.0)(aged) == (aged, None)
    for stage in (state.Stage.PROMOTING, state.Stage.RETURNED):
        moved = rollout_samples.apply_step(payload, stage)
        assert orders.edit_to_store_age(service="pool", seen=seen, age_s=9.0)(moved) == (moved, None)


def test_is_admitted_at_each_stage_of_a_roll_out():
    payload = rollout_samples.apply_order(rollout_samples.register_admitting("v1"), rollout_samples.ORDER)[0]
    assert rollout_samples.row_of(payload).is_admitted("v1") and not rollout_samples.row_of(payload).is_admitted("v2")
    returned = rollout_samples.apply_step(payload, state.Stage.RETURNED)
    assert rollout_samples.row_of(returned).is_admitted("v1") and not rollout_samples.row_of(returned).is_admitted("v2")
    for stage in (state.Stage.PROMOTING, state.Stage.DRAINING, state.Stage.DELIVERED):
        payload = rollout_samples.apply_step(payload, stage)
    assert rollout_samples.row_of(payload).is_admitted("v2") and not rollout_samples.row_of(payload).is_admitted("v1")


def test_is_admitted_excludes_target_and_refused_versions_if_none_are_admitted():
    payload = rollout_samples.apply_order(None, rollout_samples.ORDER)[0]
    assert rollout_samples.row_of(payload).is_admitted("v1") and not rollout_samples.row_of(payload).is_admitted("v2")
    assert not rollout_samples.row_of(rollout_samples.apply_step(payload, state.Stage.RETURNED)).is_admitted("v2")
