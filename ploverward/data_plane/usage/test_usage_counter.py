"""Tests of the usage counts of a proxy and of their delivery to the coordinator."""

from ploverward.data_plane.usage import usage_counter
from ploverward.transport import messages


class Connection:
    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class Scene:
    def __init__(self):
        self.time = 1000.0
        self.counter = usage_counter.UsageCounter(wall_time=lambda: self.time, window_s=5.0)
        self.connections = {"c1": Connection(), "c2": Connection()}
        self.roles = {"watch": (3, "c1", "x")}
        self.reports = usage_counter.UsageReports(
            connections=self, counter=self.counter, roles=lambda: self.roles, wall_time=lambda: self.time
        )

    def connection_to(self, address):
        return self.connections.get(address)


def rows(message):
    return [tuple(row) for row in message.counts]


def test_send_reports_cumulative_counts_of_changed_rows_only():
    scene = Scene()
    for tenant in ("a", "a", "b"):
        scene.counter.note_request_started(tenant)
    scene.reports.send()
    scene.counter.note_request_started("a")
    scene.time = 1005.0
    scene.counter.note_request_started("a")
    scene.reports.send()
    scene.reports.send()
    sent = scene.connections["c1"].sent
    assert [rows(message) for message in sent] == [[(200, "a", 2), (200, "b", 1)], [(200, "a", 3), (201, "a", 1)], []]
    assert [message.counted_until for message in sent] == [1000.0, 1005.0, 1005.0]
    assert all(isinstance(message, messages.UsageCounts) for message in sent)


def test_new_coordinator_or_connection_receives_all_windows():
    scene = Scene()
    scene.counter.note_request_started("a")
    scene.reports.send()
    scene.roles = {"watch": (4, "c2", "y")}
    scene.reports.send()
    assert rows(scene.connections["c2"].sent[0]) == [(200, "a", 1)]
    scene.connections["c2"] = Connection()
    scene.reports.send()
    assert rows(scene.connections["c2"].sent[0]) == [(200, "a", 1)]


def test_counts_are_kept_until_coordinator_is_reachable():
    scene = Scene()
    scene.roles = {}
    scene.counter.note_request_started("a")
    scene.reports.send()
    scene.roles = {"watch": (4, "c2", "y")}
    scene.reports.send()
    assert rows(scene.connections["c2"].sent[0]) == [(200, "a", 1)]


def test_windows_beyond_limit_are_dropped():
    scene = Scene()
    for _window in range(usage_counter.MAX_WINDOWS + 3):
        scene.counter.note_request_started("a")
        scene.time += 5.0
    assert len(scene.counter.counts) == usage_counter.MAX_WINDOWS and 200 not in scene.counter.counts
