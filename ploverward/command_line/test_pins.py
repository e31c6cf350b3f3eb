"""Tests of `ploverward pins`: the report, and unknown names, unreachable nodes and empty tables."""

import json

import pytest

from ploverward.command_line import pins
from ploverward.common import errors

ZONES = {"z1": "north", "z2": "south"}
CONFIGURATION = {"routes": [{"name": "chat", "homeRegions": [], "urgency": 0, "targetMs": 600}]}


def window(incarnation="l1", number=1, cold=6, adapter="drafts"):
    return {
        "life": incarnation,
        "window": 0,
        "number": number,
        "age_s": 4.0,
        "node": "p1",
        "zone": "z1",
        "region": "north",
        "over": 0,
        "rows": [["tutor", "m", adapter, "i1", "chat", 3, cold, 0, 2, cold, cold * 900, 1000, cold]],
    }


def body(*windows, **changed):
    return {
        "node": "c",
        "window_s": 24.0,
        "windows": list(windows),
        "malformed": 0,
        "malformed_replicas": [],
        "zones": ZONES,
        "replicas": [
            {
                "id": name,
                "service": "tutor",
                "zone": zone,
                "region": ZONES[zone],
                "is_clearing": False,
                "models": ["m"],
                "adapters": loaded,
            }
            for name, zone, loaded in (("i1", "z1", [["m", "drafts"]]), ("i2", "z2", []), ("i3", "z2", None))
        ],
        "proxies": [{"address": "a", "life": "l1", "zone": "z1"}, {"address": "b", "life": "l2", "zone": "z2"}],
        **changed,
    }


class CoreClient:
    def __init__(self, *bodies, unreachable=(), configuration_status=200):
        self.bodies, self.unreachable, self.configuration_status = bodies, dict(unreachable), configuration_status

    def read_all(self, *, path):
        assert path == "/ploverward/adapters"
        return {f"c{number}": (200, one) for number, one in enumerate(self.bodies)}, dict(self.unreachable)

    def call_any(self, *, method, path):
        return self.configuration_status, CONFIGURATION if self.configuration_status == 200 else None


def run(core_client, **about):
    lines = []
    code = pins.run(core_client=core_client, as_json=about.pop("as_json", False), out=lines.append, **about)
    return code, "\n".join(lines)


def test_report_prints_evidence_pins_saving_and_coverage():
    code, text = run(CoreClient(body(window())), capacity=1)
    assert code == 0
    assert "m/drafts" in text and "expected saving: 6 of 6 cold waits, 5400 ms of waiting" in text
    assert [line for line in text.splitlines() if line.startswith("i2")][0].endswith("+m/drafts")
    assert "what it holds is not known" in text
    assert "1 windows of 1 of 2 proxies in touch" in text


def test_a_window_reported_by_two_core_nodes_counts_once():
    _code, text = run(CoreClient(body(window()), body(window(number=2, cold=8))), capacity=1, as_json=True)
    result = json.loads(text)
    assert [row["cold"] for row in result["evidence"]] == [8]
    assert result["nodes"] == [
        {"node": "p1", "zone": "z1", "service": "tutor", "model": "m", "adapter": "drafts", "cold": 8, "arrivals": 11}
    ]


def test_report_without_adapters_exits_0():
    code, text = run(CoreClient(body()))
    assert code == 0 and "no adapters seen" in text


@pytest.mark.parametrize("kind", ["service", "model", "zone", "replica"])
def test_unknown_filter_name_raises_a_one_line_error(kind):
    with pytest.raises(errors.InvalidArgumentError) as result:
        run(CoreClient(body(window())), row_filter=pins.Filter(**{kind: "nobody"}))
    assert f"unknown {kind} 'nobody'; known:" in str(result.value) and "\n" not in str(result.value)


def test_filter_limits_the_suggested_replicas():
    _code, text = run(CoreClient(body(window())), capacity=1, as_json=True, row_filter=pins.Filter(zone="z1"))
    assert list(json.loads(text)["suggestion"]["replicas"]) == ["i1"]
    _code, text = run(
        CoreClient(body(window())),
        capacity=1,
        as_json=True,
        row_filter=pins.Filter(service="tutor", model="m", replica="i2"),
    )
    assert list(json.loads(text)["suggestion"]["replicas"]) == ["i2"]


def test_unreachable_nodes_are_printed_and_exit_3():
    code, text = run(CoreClient(body(window()), unreachable={"10.0.0.9:1": "timed out"}))
    assert code == 3 and "unreachable: 10.0.0.9:1 (timed out)" in text
    with pytest.raises(errors.InsufficientDataError):
        run(CoreClient(unreachable={"10.0.0.9:1": "timed out"}))
    with pytest.raises(errors.InsufficientDataError):  # without home regions, nothing is suggested
        run(CoreClient(body(window()), configuration_status=503))


def test_malformed_counts_and_replicas_are_printed():
    _code, text = run(CoreClient(body(window(), malformed=2, malformed_replicas=["i3"])))
    assert "skipped as malformed: 2 counts; adapters of i3" in text


def test_previous_output_keeps_pins_stable_and_invalid_input_is_rejected(tmp_path):
    _code, text = run(CoreClient(body(window())), capacity=1, as_json=True)
    path = tmp_path / "last.json"
    path.write_text(text)
    _code, again = run(
        CoreClient(body(window(cold=9), window(incarnation="l2", adapter="coach"))),
        capacity=1,
        as_json=True,
        previous=str(path),
    )
    first, second = (json.loads(one)["suggestion"]["replicas"] for one in (text, again))
    assert all(second[name]["pins"] == row["pins"] for name, row in first.items() if row["pins"])
    path.write_text("[]")
    with pytest.raises(errors.InvalidArgumentError):
        run(CoreClient(body(window())), previous=str(path))
    with pytest.raises(errors.InvalidArgumentError):
        run(CoreClient(body(window())), capacity=-1)
