"""A core node that is cut off from the others stops telling user agents where to go, for a time."""

import dataclasses

import pytest

from ploverward.control_plane.discovery import directory


@dataclasses.dataclass(frozen=True)
class Proxy:
    zone: str
    region: str
    public: str


PROXIES = [
    Proxy(zone="n1", region="north", public="10.1.0.1:80"),
    Proxy(zone="n2", region="north", public="10.1.0.2:80"),
    Proxy(zone="s1", region="south", public="10.2.0.1:80"),
    Proxy(zone="w1", region="west", public="10.3.0.1:80"),
]
HOMED = {"routes": [{"name": "r", "host": "h", "homeRegions": ["south"]}]}


def make(live, *, proxies=(), configuration=None):
    clock = [0.0]
    node = directory.Directory(
        now=lambda: clock[0],
        members=lambda: ("a", "b", "c"),
        is_core_live=lambda host: host in live,
        proxies=lambda **_about: list(proxies),
        configuration=lambda: configuration,
        contact_s=4.0,
    )
    return node, clock


def test_when_isolated_it_forwards_then_answers_again_when_nobody_else_may():
    live = {"a", "b"}
    node, clock = make(live)
    assert not node.is_isolated()
    live.discard("b")
    assert node.is_isolated()
    clock[0] = 7.9
    assert node.is_isolated()
    clock[0] = 8.1
    assert not node.is_isolated()
    live.add("c")
    assert not node.is_isolated()
    live.discard("c")
    assert node.is_isolated()


def find(node, *, region="north", zone="n1"):
    return node.find_addresses(host="h", region=region, zone=zone)


def test_only_proxies_that_are_listed_now_are_named():
    """A proxy that was killed or removed leaves the list with its connection (`PeerSessions.proxies`)."""
    listed = list(PROXIES)
    clock = [0.0]
    node = directory.Directory(
        now=lambda: clock[0],
        members=lambda: ("a", "b", "c"),
        is_core_live=lambda host: True,
        proxies=lambda **_about: list(listed),
        configuration=lambda: None,
        contact_s=4.0,
    )
    assert find(node) == ["10.1.0.1:80"]
    listed.remove(PROXIES[0])
    assert "10.1.0.1:80" not in find(node) and "10.1.0.2:80" in find(node)
    listed.clear()
    with pytest.raises(directory.LookupRefusedError):
        find(node)


def test_a_client_outside_the_homes_of_all_routes_is_sent_to_its_own_region_or_a_home():
    node, _clock = make({"a", "b"}, proxies=PROXIES, configuration=HOMED)
    regions = {"10.1": "north", "10.2": "south", "10.3": "west"}
    for region, zone in (("north", "n1"), ("south", "s1"), ("west", "w1"), ("north", "other")):
        named = {regions[address[:4]] for address in find(node, region=region, zone=zone)}
        assert named and named <= {region, "south"}
    assert find(node, region="east", zone="e1") == ["10.2.0.1:80"]


def test_isolated_for_long_it_names_proxies_of_the_client_s_region_alone():
    live = {"a", "b"}
    node, clock = make(live, proxies=PROXIES, configuration=HOMED)
    live.discard("b")
    with pytest.raises(directory.LookupRefusedError):
        find(node)
    clock[0] = 8.1
    assert find(node, zone="other") == ["10.1.0.1:80", "10.1.0.2:80"]
