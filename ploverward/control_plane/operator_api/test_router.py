"""Tests of routing: every call gets one answer and raises no exception, whatever its head contains."""

import json
import types

import hypothesis
import pytest
from hypothesis import strategies

from ploverward.control_plane.operator_api import order_api
from ploverward.control_plane.operator_api import redirector
from ploverward.control_plane.operator_api import router
from ploverward.simulation import simulated_world

PRINTABLE = strategies.binary(max_size=30).map(lambda data: bytes(0x21 + byte % 94 for byte in data))


class FakeRequest:
    """A stand-in for the requests of `ploverward.transport.http_server`."""

    def __init__(self, *, method=b"GET", target=b"/", headers=(), body=b""):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.replies = []

    def reply(self, *, status, headers=(), body=b"", is_last=False):
        self.replies.append((status, dict(headers), body))


def make_router(*, has_contact=True):
    loop = simulated_world.Loop(world=simulated_world.World(seed=1))
    changes = []
    api = order_api.OrderApi(
        loop=loop,
        registers=types.SimpleNamespace(
            change=lambda **arguments: changes.append(arguments["name"]),
            read=lambda **arguments: changes.append(arguments["name"]),
        ),
        apply_barrier=None,
        redirector=redirector.Redirector(
            own="a", port=81, members=lambda: ("a", "b", "c"), is_live=lambda host: host == "b"
        ),
        configuration=lambda: None,
        zones=lambda: {"za": "north", "z b": "north"},
        receipt_s=6.0,
        is_voting=lambda: True,
        has_majority_contact=lambda: has_contact,
    )
    return router.Router(rules=api.rules()), loop, changes


def respond(request, *, has_contact=True) -> tuple:
    request_router, loop, changes = make_router(has_contact=has_contact)
    request_router.handle(request)
    loop.world.run(until=5.0)
    ((status, headers, body),) = request.replies
    return status, headers, json.loads(body), changes


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(
    method=strategies.sampled_from([b"GET", b"PUT", b"PATCH", b"POST", b"DELETE", b"HEAD", b"\xff"]),
    tail=PRINTABLE
    | strategies.sampled_from([b"/configuration", b"/evacuation/za", b"/evacuation/%ff", b"/lookup?%&="]),
    version=PRINTABLE,
    body=strategies.binary(max_size=20),
)
def test_any_request_head_gets_exactly_one_response(method, tail, version, body):
    request = FakeRequest(method=method, target=b"/ploverward" + tail, headers=[(b"if-match", version)], body=body)
    status, _headers, answer, changes = respond(request)
    assert status in (400, 404, 405) and answer["error"] or status == 503 and changes


@pytest.mark.parametrize("version", [b"", b"x", b"-1", b"1.0", b'W/"1"', b'"1', b"\xb2", b"9" * 20, b"1,2", b"*"])
def test_malformed_if_match_returns_400_that_names_the_header(version):
    request = FakeRequest(
        method=b"PUT", target=b"/ploverward/configuration", headers=[(b"if-match", version)], body=b'{"edition":3}'
    )
    status, _headers, answer, changes = respond(request)
    assert (status, answer["place"], changes) == (400, "If-Match", [])


def test_missing_if_match_returns_400_that_names_the_header():
    status, _headers, answer, changes = respond(FakeRequest(method=b"PATCH", target=b"/ploverward/configuration"))
    assert (status, answer["place"], changes) == (400, "If-Match", [])


@pytest.mark.parametrize(
    "method, target, size",
    [
        (b"POST", b"/ploverward/rollouts", 1_000_000),
        (b"POST", b"/ploverward/evacuation/za", 1_000_000),
        (b"GET", b"/ploverward/configuration", 1_000_000),
        (b"PUT", b"/ploverward/configuration", 17_000_000),
    ],
)
def test_body_larger_than_the_call_may_have_is_answered_413_unparsed(method, target, size, monkeypatch):
    """Guards against callers whose bodies keep the loop of a core node in the parser of JSON."""
    monkeypatch.setattr(json, "loads", lambda *_arguments, **_named: pytest.fail("the body was parsed"))
    request_router, loop, changes = make_router()
    request = FakeRequest(method=method, target=target, headers=[(b"if-match", b"1")], body=b" " * size)
    request_router.handle(request)
    loop.world.run(until=5.0)
    ((status, _headers, _body),) = request.replies
    assert (status, changes) == (413, [])


def test_zone_in_the_path_is_percent_decoded():
    assert respond(FakeRequest(method=b"POST", target=b"/ploverward/evacuation/z%20b"))[3] == ["evac"]
    assert respond(FakeRequest(method=b"POST", target=b"/ploverward/evacuation/zc"))[0] == 404


def test_redirect_keeps_the_request_target():
    request = FakeRequest(method=b"POST", target=b"/ploverward/evacuation/z%20b?x=1")
    status, headers, _answer, changes = respond(request, has_contact=False)
    assert status == 307 and changes == []
    assert (
        headers[b"Location"] == b"http://c:81/ploverward/evacuation/z%20b?x=1"
    )  # not connected to c, so c may be on the majority's side


def test_choose_address_rotates_among_the_preferred_members():
    redirect = redirector.Redirector(own="a", port=81, members=lambda: tuple("abcde"), is_live=lambda host: host == "b")
    assert {redirect.choose_address(is_isolated=True) for _ in range(6)} == {"c:81", "d:81", "e:81"}
    assert {redirect.choose_address(is_isolated=False) for _ in range(6)} == {"b:81"}
    assert (
        redirector.Redirector(own="a", port=81, members=lambda: ("a",), is_live=None).choose_address(is_isolated=True)
        is None
    )
