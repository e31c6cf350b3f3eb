"""Tests usage reports: merging of counts, closing of windows, retries, and the ownership of the duty."""

import json

import pytest

from ploverward.common import errors
from ploverward.control_plane.discovery import platform_connection
from ploverward.control_plane.usage import usage_report
from ploverward.control_plane.usage import usage_reporter
from ploverward.control_plane.usage import usage_table
from ploverward.transport import messages

START_TIME = 1000.0  # wall-clock time at which window 200 begins
OWNER = usage_reporter.Ownership(node="sorting-1", epoch=4, since=0.0)


def counts(*rows, until=0.0):
    return messages.UsageCounts(until, tuple(messages.UsageCount(*row) for row in rows))


class ReporterFixture:
    """A usage reporter with a register whose changes are chosen at once and a platform that responds on `answer`."""

    def __init__(self, roles=None):
        self.time = 0.0
        self.owner = OWNER
        self.proxies = ["p1", "p2"]
        self.roles = {} if roles is None else roles
        self.calls = []
        self.change_count = 0
        self.reporter = usage_reporter.UsageReporter(
            now=lambda: self.time,
            wall_time=lambda: START_TIME + self.time,
            ownership=lambda: self.owner,
            incarnations=lambda: self.proxies,
            roles=lambda: self.roles,
            change=self.change,
            post=lambda **call: self.calls.append(call),
            timing=usage_reporter.Timing(window_s=5.0, report_due_s=10.0, takeover_pause_s=2.0),
        )

    def change(self, *, name, edit, done):
        assert name == "duty"
        self.change_count += 1
        self.roles, result = edit(self.roles)
        done(None, 1, self.roles, result)

    def at(self, time, ticks=1):
        self.time = time
        for _tick in range(ticks):
            self.reporter.tick()
        return self

    def answer(self, status, error=None):
        self.calls[-1]["done"](platform_connection.PlatformResponse(status=status, error=error))

    @property
    def sent(self):
        return [(call["body"]["windowNo"], call["body"]["tallies"]) for call in self.calls]


def test_totals_use_largest_count_of_each_proxy():
    table = usage_table.UsageTable()
    for incarnation, row in [
        ("p1", (200, "a", 3)),
        ("p1", (200, "a", 2)),
        ("p2", (200, "a", 4)),
        ("p2", (201, "b", 1)),
    ]:
        table.record(incarnation, counts(row))
    assert table.totals(200) == {"a": 7} and table.totals(201) == {"b": 1} and table.totals(202) == {}


def test_window_is_reported_once_all_proxies_reported_counts():
    fixture = ReporterFixture().at(2.0)
    fixture.reporter.table.record("p1", counts((200, "a", 3), until=START_TIME + 5.1))
    fixture.at(6.6, ticks=3)
    assert not fixture.calls  # p2 has not reported its counts
    fixture.reporter.table.record("p2", counts((200, "a", 1), (200, "b", 2), until=START_TIME + 5.2))
    fixture.at(6.7, ticks=2)
    assert fixture.sent == [(200, {"a": 4, "b": 2})]
    assert fixture.calls[0]["headers"] == ("X-Duty-Holder: sorting-1", "X-Fence-Number: 4")
    assert fixture.calls[0]["path"] == "/usage"


def test_window_closes_after_minimum_delay_and_by_deadline_despite_silent_proxy():
    fixture = ReporterFixture().at(2.0)
    for proxy in fixture.proxies:
        fixture.reporter.table.record(proxy, counts(until=START_TIME + 6.0))
    assert not fixture.at(6.4, ticks=2).calls
    fixture.proxies.append("p3")  # connected, but never reports
    assert not fixture.at(10.9, ticks=2).calls
    assert fixture.at(11.0, ticks=2).sent == [(200, {})]


def test_report_is_agreed_before_sending_and_resent_unchanged():
    fixture = ReporterFixture().at(2.0).at(11.0)
    assert not fixture.calls and usage_report.agreed_report(fixture.roles) == usage_report.UsageReport(200, {})
    fixture.reporter.table.record("p1", counts((200, "a", 3)))  # too late
    fixture.at(11.1)
    fixture.answer(0, error=OSError("no answer"))
    fixture.at(11.2)
    assert len(fixture.calls) == 1  # the call is repeated only after the retry delay
    fixture.at(11.7)
    assert fixture.sent == [(200, {}), (200, {})]


def test_next_window_is_reported_after_previous_was_accepted():
    fixture = ReporterFixture().at(2.0).at(40.0, ticks=2)
    assert fixture.sent == [(200, {})]
    fixture.at(41.0, ticks=3)
    assert len(fixture.calls) == 1
    fixture.answer(200)
    fixture.at(41.1)
    assert fixture.sent[1:] == [(201, {})]


def test_new_owner_resends_agreed_report_under_own_fence():
    first = ReporterFixture().at(2.0)
    first.reporter.table.record("p1", counts((200, "a", 3)))
    first.at(11.0, ticks=2)
    second = ReporterFixture(roles=first.roles)
    second.owner = usage_reporter.Ownership("sorting-2", 5, since=12.0)
    assert not second.at(13.9, ticks=2).calls  # the lease and the calls of the former owner have to end first
    assert second.at(14.0, ticks=2).sent == [(200, {"a": 3})]
    assert second.calls[0]["headers"][1] == "X-Fence-Number: 5"


@pytest.mark.parametrize("is_owner", [False, True])
def test_only_owner_sends_reports(is_owner):
    fixture = ReporterFixture()
    fixture.owner = OWNER if is_owner else None
    assert bool(fixture.at(2.0).at(11.0, ticks=3).calls) == is_owner


def test_agreement_after_losing_ownership_changes_nothing():
    fixture = ReporterFixture().at(2.0)

    def change(*, name, edit, done):
        fixture.owner = None
        fixture.change(name=name, edit=edit, done=done)

    fixture.reporter._change = change
    fixture.at(11.0)
    assert fixture.change_count == 1 and fixture.roles == {}


def test_refused_epoch_sends_no_more_reports():
    fixture = ReporterFixture().at(2.0).at(11.0, ticks=2)
    fixture.answer(409)
    fixture.at(30.0, ticks=3)
    assert len(fixture.calls) == 1
    fixture.owner = usage_reporter.Ownership("sorting-1", 6, since=30.0)
    assert len(fixture.at(32.0, ticks=2).calls) == 2


def test_failed_calls_are_retried_with_backoff():
    fixture = ReporterFixture().at(2.0).at(11.0, ticks=2)
    for step in range(200):
        if len(fixture.calls) == fixture.calls.index(fixture.calls[-1]) + 1 and fixture.reporter._is_busy:
            fixture.answer(503)
        fixture.at(11.0 + step * 0.1)
    assert 4 <= len(fixture.calls) <= 10


def test_with_report_keeps_report_of_same_or_later_window():
    roles = usage_report.with_report({"watch": [1, "x", "y"]}, usage_report.UsageReport(7, {"a": 1}))
    assert usage_report.with_report(roles, usage_report.UsageReport(7, {"a": 2})) == roles
    assert usage_report.with_report(roles, usage_report.UsageReport(6, {})) == roles
    newer = usage_report.with_report(roles, usage_report.UsageReport(8, {"b": 1}))
    assert usage_report.agreed_report(newer) == usage_report.UsageReport(8, {"b": 1})
    assert newer["watch"] == [1, "x", "y"] and json.loads(json.dumps(newer)) == newer


def test_agreed_report_raises_storage_error_for_damaged_row():
    with pytest.raises(errors.StorageError):
        usage_report.agreed_report({"usage": [7, "no base85 \x00", ""]})
