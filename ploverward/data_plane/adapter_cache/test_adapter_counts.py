"""Tests of the adapter counts of a proxy: warm, cold and unknown arrivals, loads and waits."""

import json

from ploverward.control_plane.adapter_cache import adapter_usage
from ploverward.data_plane.adapter_cache import adapter_counts
from ploverward.data_plane.adapter_cache import count_table
from ploverward.data_plane.load_balancing import replica_table
from ploverward.transport import messages


def replica(name="i1", adapters=()):
    row = {
        "id": name,
        "service": "llm",
        "zone": "za",
        "berths": 8,
        "models": ["m"],
        "is_clearing": False,
        "adapters": adapters,
    }
    return replica_table.Replica(row=row, endpoint=("127.0.0.1", 1), region="north", now=0.0)


class Scene:
    def __init__(self):
        self.clock = [0.0]
        self.counter = adapter_counts.AdapterCounter(now=lambda: self.clock[0], window_s=30.0, trust_s=4.0)

    def note_sent(self, target, adapter="drafts", target_s=0.6):
        return self.counter.note_sent(
            replica=target, service="llm", model="m", adapter=adapter, route="r", target_s=target_s
        )

    def rows(self):
        found = {}
        for _window, _number, data in self.counter.report():
            for _service, _model, adapter, name, _route, *numbers in json.loads(data)["rows"]:
                found[(adapter, name)] = dict(zip(count_table.FIELDS, numbers, strict=False))
        return found


def test_two_arrivals_during_one_load_count_one_load_and_two_waits():
    scene = Scene()
    cold = replica()
    one, two = scene.note_sent(cold), scene.note_sent(cold)
    scene.clock[0] = 0.9
    scene.counter.note_run(one)
    scene.counter.note_run(two)
    scene.counter.note_run(scene.note_sent(cold))  # loaded now, since own requests ran with it
    row = scene.rows()[("drafts", "i1")]
    assert (row["cold"], row["waits"], row["loads"], row["warm"], row["late"]) == (2, 2, 1, 1, 2)
    assert row["wait_ms"] == 1800 and row["most_wait_ms"] == 900


def test_attempt_that_did_not_run_counts_no_load():
    scene = Scene()
    cold = replica()
    scene.counter.note_not_run(scene.note_sent(cold))
    assert scene.rows() == {}
    arrival = scene.note_sent(cold)
    scene.counter.note_run(arrival)
    scene.counter.note_not_run(arrival)  # the end of an attempt that was counted has no effect
    assert scene.rows()[("drafts", "i1")]["loads"] == 1


def test_warm_cold_and_unknown_arrivals_are_counted_separately():
    scene = Scene()
    scene.counter.note_run(scene.note_sent(replica("warm", [["m", "drafts"]])))
    scene.counter.note_run(scene.note_sent(replica("cold", [["m", "reviews"]])))
    scene.counter.note_run(scene.note_sent(replica("unlisted", None)))
    rows = scene.rows()
    assert [
        rows[("drafts", name)][state] for name, state in (("warm", "warm"), ("cold", "cold"), ("unlisted", "unknown"))
    ] == [1, 1, 1]
    assert sum(row["loads"] for row in rows.values()) == 1


def test_new_incarnation_is_cold_and_evidence_of_load_expires():
    scene = Scene()
    first = replica("i1")
    scene.counter.note_run(scene.note_sent(first))
    assert scene.counter.state(replica=first, model="m", adapter="drafts") == adapter_counts.WARM
    assert scene.counter.state(replica=replica("i2"), model="m", adapter="drafts") == adapter_counts.COLD
    scene.clock[0] = 4.1  # trust_s has passed, and the endpoint list does not contain the adapter
    assert scene.counter.state(replica=first, model="m", adapter="drafts") == adapter_counts.COLD


def test_arrivals_beyond_max_rows_are_counted_as_overflow(monkeypatch):
    monkeypatch.setattr(adapter_counts, "MAX_ROWS", 3)
    scene = Scene()
    for number in range(5):
        scene.counter.note_run(scene.note_sent(replica(f"i{number}")))
    ((_window, _number, data),) = scene.counter.report()
    body = json.loads(data)
    assert len(body["rows"]) == 3 and body["over"] == 2


def test_resent_and_closed_window_reports_count_each_arrival_once():
    scene = Scene()
    usage = adapter_usage.AdapterUsageStore(now=lambda: scene.clock[0], window_s=30.0)

    def send_counts():
        for window, number, data in scene.counter.report():
            usage.record(
                messages.AdapterCount(
                    node="p", zone="za", region="north", incarnation="l", window=window, number=number, counts=data
                )
            )

    total = 0
    for step in range(40):
        scene.clock[0] = step * 2.0
        scene.counter.note_run(scene.note_sent(replica(f"i{step % 3}")))
        total += 1
        if step % 2:
            send_counts()
            send_counts()  # sends the last closed window again
    send_counts()
    scene.clock[0] += 30.0
    send_counts()
    assert sum(sum(row[5:8]) for window in usage.rows() for row in window["rows"]) == total
