"""Tests of logging series of failures."""

import logging

from ploverward.common import failure_spell


def test_failure_spell_is_logged_only_at_start_and_end(caplog):
    caplog.set_level(logging.INFO, logger="ploverward")
    clock = [10.0]
    spell = failure_spell.FailureSpell(now=lambda: clock[0], failed_event="went_wrong", recovered_event="went_well")
    spell.note_success()
    assert not spell.is_failing and not caplog.records
    for _number in range(3):
        spell.note_failure(OSError("no space"))
        clock[0] += 1.5
    assert spell.is_failing
    spell.note_success()
    spell.note_success()
    assert not spell.is_failing
    assert [(record.getMessage(), record.levelname) for record in caplog.records] == [
        ("went_wrong", "ERROR"),
        ("went_well", "INFO"),
    ]
    assert caplog.records[0].fault == "no space" and caplog.records[1].failing_s == 4.5
