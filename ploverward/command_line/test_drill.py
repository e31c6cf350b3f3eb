"""Drills of a fake system that keeps its promises, and of one for each way of breaking them."""

import pytest

from ploverward.command_line import drill
from ploverward.command_line import drill_check
from ploverward.common import errors

ZONES = {"za": "north", "zb": "south", "zc": "west"}


class FakeSystem:
    """Fake system with simulated time; `fault` says how it breaks a promise."""

    def __init__(self, *, fault="", out=(), homes=("north", "south"), request_interval_s=0.2):
        self.time = 1000.0
        self.fault = fault
        self.out = set(out)
        self.homes = list(homes)
        self.out_since = None
        self.reported_s = 0.0
        self.request_interval_s = request_interval_s
        self.number = 0
        self.orders = []
        self.interrupt_at = None

    def clock(self):
        return self.time

    def pause(self, seconds):
        self.time += seconds
        if self.interrupt_at is not None and self.time >= self.interrupt_at:
            self.interrupt_at = None
            raise drill.DrillInterruptedError("interrupted")

    def call(self, method, path):
        self.time += 0.01
        if path == "/ploverward/nodes":
            return 200, {"zones": ZONES}
        if path == "/ploverward/evacuation":
            return 200, {"zones": sorted(self.out)}
        if path == "/ploverward/configuration":
            return 200, {
                "routes": [
                    {"name": "chat", "destination": "llm", "homeRegions": self.homes},
                    {"name": "open", "destination": "llm"},
                ]
            }
        if path == "/ploverward/replicas":
            return 200, {
                "replicas": [
                    {"id": f"i-{zone}", "service": "llm", "zone": zone, "is_clearing": False} for zone in ZONES
                ]
            }
        zone = path.rpartition("/")[2]
        self.orders.append((method, zone))
        if method == "POST":
            if self.fault == "no ack":
                return 503, None
            self.out.add(zone)
            self.out_since = self.time
            return 200, {}
        if self.fault == "no way back":
            raise errors.CoreUnreachableError("silent")
        if self.fault != "stays out":
            self.out.discard(zone)
        return 200, {}

    def trails(self):
        rows = []
        while self.reported_s + self.request_interval_s <= self.time - 1000.0:
            self.reported_s += self.request_interval_s
            self.number += 1
            at = 1000.0 + self.reported_s
            zone = sorted(set(ZONES) - self.out - {"zc"})[0]
            if self.fault == "sends on" and self.number % 7 == 0:
                zone = "za"
            if self.fault == "leaves home" and self.number % 9 == 0:
                zone = "zc"
            status = 503 if self.fault == "refuses all" else 200
            rows.append(
                {
                    "id": f"r{self.number}",
                    "arrived": at,
                    "status": status,
                    "goes": [{"replica": f"i-{zone}", "zone": zone, "homes": self.homes, "from_ms": 1, "end": "200"}],
                }
            )
        return rows


def run(system, zone="za"):
    lines = []
    drill_run = drill.Drill(
        zone=zone,
        call=system.call,
        trails=system.trails,
        clock=system.clock,
        pause=system.pause,
        watch_s=8.0,
        receipt_s=5.0,
        evacuate_s=4.0,
        max_clock_skew_s=1.0,
        out=lines.append,
    )
    return drill_run.run(), drill_run, lines


def test_a_sound_system_keeps_all(snapshot):
    system = FakeSystem()
    code, drill_run, lines = run(system)
    assert code == 0
    assert set(drill_run.promises.values()) == {drill.Verdict.KEPT}
    assert system.out == set()
    assert lines == snapshot


@pytest.mark.parametrize(
    "fault, promise, code",
    [
        ("no ack", "evacuation acknowledged in time", 1),
        ("sends on", "nothing new is sent to the zone", 1),
        ("refuses all", "serving goes on", 1),
        ("leaves home", "homed requests stay home", 1),
        ("stays out", "zone taken back in time", 4),
        ("no way back", "zone taken back in time", 4),
    ],
)
def test_each_broken_promise_is_reported(fault, promise, code):
    got, drill_run, _lines = run(FakeSystem(fault=fault))
    assert drill_run.promises[promise] == drill.Verdict.BROKEN
    assert got == code


def test_promises_without_traffic_are_reported_as_not_seen():
    code, drill_run, _lines = run(FakeSystem(request_interval_s=10**6))
    assert drill_run.promises["nothing new is sent to the zone"] == drill.Verdict.NOT_SEEN
    assert drill_run.promises["serving goes on"] == drill.Verdict.NOT_SEEN
    assert code == 0


@pytest.mark.parametrize("at", [1000.3, 1003.0, 1009.0])
def test_interrupted_drill_restores_the_zone_and_exits_5(at):
    system = FakeSystem()
    system.interrupt_at = at
    code, _drill_run, _lines = run(system)
    assert code == 5
    assert system.out == set()
    assert system.orders[-1] == ("DELETE", "za")


@pytest.mark.parametrize(
    "system, zone",
    [
        (FakeSystem(), "nowhere"),
        (FakeSystem(out=("za",)), "za"),
        (FakeSystem(homes=("north",)), "za"),
    ],
)
def test_failed_precondition_refuses_the_drill_without_orders(system, zone):
    with pytest.raises(drill_check.DrillRefusedError):
        run(system, zone=zone)
    assert system.orders == []
