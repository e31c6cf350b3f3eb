"""Routes of a configuration: finding the route of a request, and picking a service by the route's shares."""

import collections

import pytest

from ploverward.data_plane.requests import route_table

DRAWS = 10_000


def make_route(*shares):
    body = {
        "name": "r",
        "kind": "retry_safe",
        "expiryMs": 1000,
        "apportion": [{"destination": f"s{number}", "share": share} for number, share in enumerate(shares)],
    }
    return route_table.Route.of(body)


@pytest.mark.parametrize("shares", [(1,), (1, 1), (9, 1), (0.2, 0.5, 0.3), (1, 0, 3), (1000, 1)])
def test_pick_follows_the_service_shares(shares):
    picked = collections.Counter(make_route(*shares).pick_service((draw + 0.5) / DRAWS) for draw in range(DRAWS))
    for number, share in enumerate(shares):
        assert abs(picked[f"s{number}"] / DRAWS - share / sum(shares)) <= 1 / DRAWS


@pytest.mark.parametrize("shares", [(0, 1), (1, 0), (0, 2, 0)])
def test_pick_never_returns_a_service_with_share_zero(shares):
    nonzero = {number for number, share in enumerate(shares) if share}
    for draw in (0.0, 1e-12, 0.5, 1 - 1e-12, 1.0):
        assert int(make_route(*shares).pick_service(draw)[1:]) in nonzero


def test_route_without_apportion_uses_its_single_destination():
    body = {"name": "r", "kind": "streaming", "expiryMs": 1500, "destination": "only", "resume": True}
    single_route = route_table.Route.of(body)
    assert {single_route.pick_service(draw) for draw in (0.0, 0.99)} == {"only"}
    assert single_route.timeout_s == 1.5 and single_route.is_idempotent and single_route.is_resumable


@pytest.mark.parametrize(
    "target, expected",
    [
        (b"/a/x", "short"),
        (b"/a/b/x?y=/a/", "long"),
        (b"/a/bc", "short"),
        (b"/other/x", None),
        (b"http://h/a/b/x", "long"),
    ],
)
def test_find_returns_the_longest_prefix_that_ends_at_a_slash(target, expected):
    rows = [
        {"name": name, "host": "H", "pathLead": lead, "kind": "retry_safe", "expiryMs": 1, "destination": "s"}
        for name, lead in (("short", "/a/"), ("long", "/a/b/"))
    ]
    routes = route_table.Routes(body={"edition": 2, "routes": rows})
    route = routes.find(host="h:80", target=target)
    assert (route.name if route else None) == expected


def test_find_looks_no_further_than_the_longest_prefix():
    """Guards against a target of thousands of slashes, each of which takes a look-up of all that is before it."""

    class CountingPrefixes(dict):
        look_ups = 0

        def get(self, prefix):
            CountingPrefixes.look_ups += 1
            return super().get(prefix)

    row = {"name": "r", "host": "h", "pathLead": "/a/b/", "kind": "streaming", "expiryMs": 1500, "destination": "only"}
    routes = route_table.Routes(body={"edition": 1, "routes": [row]})
    routes._hosts = {host: CountingPrefixes(prefixes) for host, prefixes in routes._hosts.items()}
    assert routes.find(host="h", target=b"/a/b/" + b"c/" * 8000).name == "r"
    assert routes.find(host="h", target=b"/d/" + b"e/" * 8000) is None
    assert CountingPrefixes.look_ups <= 5
