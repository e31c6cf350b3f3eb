"""Tests which proxies a core node returns to clients, and when an isolated core node refuses to answer."""

import dataclasses

import pytest

from ploverward.control_plane.discovery import directory


@dataclasses.dataclass(frozen=True)
class Proxy:
    zone: str
    region: str
    public_address: str


PROXIES = [
    Proxy(zone="n1", region="north", public_address="10.1.0.1:80"),
    Proxy(zone="n2", region="north", public_address="10.1.0.2:80"),
    Proxy(zone="s1", region="south", public_address="10.2.0.1:80"),
    Proxy(zone="w1", region="west", public_address="10.3.0.1:80"),
]
ZONES = {"n1": "north", "n2": "north", "s1": "south", "w1": "west"}
CONFIGURATION_WITH_HOME = {"routes": [{"name": "r", "host": "h", "homeRegions": ["south"]}]}


def make(live, *, proxies=(), configuration=None):
    clock = [0.0]
    node = directory.Directory(
        now=lambda: clock[0],
        members=lambda: ("a", "b", "c"),
        is_core_live=lambda host: host in live,
        proxies=lambda **_about: list(proxies),
        configuration=lambda: configuration,
        zones=lambda: ZONES,
        contact_s=4.0,
    )
    return node, clock


def test_is_isolated_ends_after_two_contact_periods_or_with_majority():
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


def test_find_addresses_returns_only_currently_listed_proxies():
    """The list follows connections: a proxy that was killed or removed is not in `PeerSessions.proxies` any more."""
    listed = list(PROXIES)
    clock = [0.0]
    node = directory.Directory(
        now=lambda: clock[0],
        members=lambda: ("a", "b", "c"),
        is_core_live=lambda host: True,
        proxies=lambda **_about: list(listed),
        configuration=lambda: None,
        zones=lambda: ZONES,
        contact_s=4.0,
    )
    assert find(node) == ["10.1.0.1:80"]
    listed.remove(PROXIES[0])
    assert "10.1.0.1:80" not in find(node) and "10.1.0.2:80" in find(node)
    listed.clear()
    with pytest.raises(directory.LookupRefusedError):
        find(node)


def test_find_addresses_returns_proxies_in_client_region_or_home_region():
    node, _clock = make({"a", "b"}, proxies=PROXIES, configuration=CONFIGURATION_WITH_HOME)
    regions = {"10.1": "north", "10.2": "south", "10.3": "west"}
    for region, zone in (("north", "n1"), ("south", "s1"), ("west", "w1"), ("north", "other")):
        found = {regions[address[:4]] for address in find(node, region=region, zone=zone)}
        assert found and found <= {region, "south"}
    assert find(node, region="east", zone="e1") == ["10.2.0.1:80"]


def test_find_addresses_after_long_isolation_returns_only_client_region():
    live = {"a", "b"}
    node, clock = make(
        live, proxies=[proxy for proxy in PROXIES if proxy.region != "south"], configuration=CONFIGURATION_WITH_HOME
    )
    live.discard("b")
    with pytest.raises(directory.LookupRefusedError):
        find(node)
    clock[0] = 8.1
    assert find(node, zone="other") == ["10.1.0.1:80", "10.1.0.2:80"]


CONFIGURATION_WITHOUT_HOME = {
    "routes": [{"name": "r", "host": "h", "homeRegions": []}, {"name": "q", "host": "other", "homeRegions": ["east"]}]
}
NORTHERN_PROXIES = [proxy for proxy in PROXIES if proxy.region == "north"]


def make_isolated(proxies, configuration):
    """Makes a node that has just lost contact to the majority."""
    live = {"a", "b"}
    node, clock = make(live, proxies=proxies, configuration=configuration)
    assert not node.is_isolated()
    live.discard("b")
    return node, clock


def test_isolated_node_answers_at_once_when_region_is_complete():
    node, _clock = make_isolated(NORTHERN_PROXIES, CONFIGURATION_WITHOUT_HOME)
    assert find(node) == ["10.1.0.1:80"]
    assert find(node, zone="n2") == ["10.1.0.2:80"]


def test_isolated_node_refuses_lookup_when_home_region_is_unreachable():
    node, clock = make_isolated(NORTHERN_PROXIES, CONFIGURATION_WITH_HOME)
    with pytest.raises(directory.LookupRefusedError):
        find(node)
    clock[0] = 8.1
    assert find(node) == ["10.1.0.1:80"]
    node, _clock = make_isolated(
        NORTHERN_PROXIES, {"routes": [{"name": "r", "host": "h", "homeRegions": ["south", "north"]}]}
    )
    assert find(node) == ["10.1.0.1:80"]


def test_isolated_node_refuses_lookup_when_region_is_incomplete():
    node, _clock = make_isolated(NORTHERN_PROXIES[:1], CONFIGURATION_WITHOUT_HOME)
    with pytest.raises(directory.LookupRefusedError):
        find(node)


def test_isolated_node_refuses_lookup_of_client_in_other_region():
    node, _clock = make_isolated(NORTHERN_PROXIES, CONFIGURATION_WITHOUT_HOME)
    for region in ("south", "east", ""):
        with pytest.raises(directory.LookupRefusedError):
            find(node, region=region, zone="s1")


def test_isolated_node_without_configuration_refuses_lookups():
    node, _clock = make_isolated(NORTHERN_PROXIES, None)
    with pytest.raises(directory.LookupRefusedError):
        find(node)
