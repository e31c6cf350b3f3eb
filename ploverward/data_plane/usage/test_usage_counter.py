"""What a proxy counts for reports of use, and to whom it sends it."""

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

    def to(self, address):
        return self.connections.get(address)


def rows(message):
    return [tuple(row) for row in message.counts]


def test_counts_are_cumulative_and_only_what_changed_is_sent():
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


def test_a_new_coordinator_gets_all_windows_and_so_does_a_new_connection():
    scene = Scene()
    scene.counter.note_request_started("a")
    scene.reports.send()
    scene.roles = {"watch": (4, "c2", "y")}
    scene.reports.send()
    assert rows(scene.connections["c2"].sent[0]) == [(200, "a", 1)]
    scene.connections["c2"] = Connection()
    scene.reports.send()
    assert rows(scene.connections["c2"].sent[0]) == [(200, "a", 1)]


def test_without_a_coordinator_nothing_is_lost():
    scene = Scene()
    scene.roles = {}
    scene.counter.note_request_started("a")
    scene.reports.send()
    scene.roles = {"watch": (4, "c2", "y")}
    scene.reports.send()
    assert rows(scene.connections["c2"].sent[0]) == [(200, "a", 1)]


def test_old_windows_are_forgotten():
    scene = Scene()
    for _window in range(usage_counter.KEPT_WINDOWS + 3):
        scene.counter.note_request_started("a")
        scene.time += 5.0
    assert len(scene.counter.counts) == usage_counter.KEPT_WINDOWS and 200 not in scene.counter.counts
