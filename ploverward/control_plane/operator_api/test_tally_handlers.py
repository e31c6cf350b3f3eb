"""Tests of the calls on tallies: invalid input gets one answer and changes nothing."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from ploverward.control_plane.operator_api import router
from ploverward.control_plane.operator_api import tally_handlers
from ploverward.control_plane.tallies import tally_service
from ploverward.transport.messages import TallyAdd


class FakeRequest:
    """A stand-in for the requests of `ploverward.transport.http_server`."""

    def __init__(self, *, method, target, body=b""):
        self.method, self.target, self.headers, self.body = method, target, (), body
        self.replies = []
        self.on_disconnect = None

    def reply(self, *, status, headers=(), body=b"", is_last=False):
        self.replies.append((status, json.loads(body)))


class FakeTallyService:
    """A tally service that records adds."""

    def __init__(self):
        self.has_room, self.is_merged, self.adds, self.forgotten = True, True, [], 0

    def can_accept(self, _add):
        return self.has_room

    def add(self, *, add, answer):
        self.adds.append(add)
        answer()

        def forget():
            self.forgotten += 1

        return forget

    def read(self, *, tally, answer):
        answer(1873 if self.is_merged else None)

    def report(self):
        peer = tally_service.PeerReport(is_in_reach=False, behind=None)
        return tally_service.TallyReport(
            is_merged=True, totals={"t3": 4}, kept=2, max_kept=9, waiting=1, peers={"10.0.0.2": peer}
        )


class Harness:
    """The tally handlers behind a real router."""

    def __init__(self):
        self.tallies = FakeTallyService()
        self.handlers = tally_handlers.TallyHandlers(tallies=self.tallies, node_name=lambda: "n1")
        self.router = router.Router(rules=self.handlers.rules())

    def call(self, method, target, body=b""):
        request = FakeRequest(method=method, target=target, body=body)
        self.router.handle(request)
        assert len(request.replies) == 1
        return request.replies[0]

    def add(self, body, target=b"/ploverward/tallies/t3"):
        return self.call(b"POST", target, body if isinstance(body, bytes) else json.dumps(body).encode())


def test_add_reaches_the_tally_service_and_get_returns_the_sum():
    harness = Harness()
    assert harness.add({"id": "5c0e7a21d94b36f8", "actor": 4})[0] == 200
    assert harness.tallies.adds == [TallyAdd("t3", "5c0e7a21d94b36f8", 4)]
    assert harness.call(b"GET", b"/ploverward/tallies/t3") == (200, {"total": 1873})


def test_add_with_a_large_body_is_answered_413_unparsed(monkeypatch):
    """Guards against callers whose bodies keep the loop of a core node in the parser of JSON."""
    harness = Harness()
    monkeypatch.setattr(tally_handlers.json, "loads", lambda _body: pytest.fail("the body was parsed"))
    request = FakeRequest(method=b"POST", target=b"/ploverward/tallies/t3", body=b"[" + b"[]," * 1_000_000 + b"[]]")
    monkeypatch.setattr(request, "reply", lambda *, status, **_more: request.replies.append(status))
    harness.router.handle(request)
    assert request.replies == [413] and harness.tallies.adds == []


@pytest.mark.parametrize("amount", [0, -7, 2**53 - 1, -(2**53 - 1)])
def test_add_accepts_zero_and_negative_amounts(amount):
    harness = Harness()
    assert harness.add({"id": "x", "actor": amount, "more": "is ignored"})[0] == 200
    assert harness.tallies.adds == [TallyAdd("t3", "x", amount)]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"\xff",
        b'"text"',
        b"[" * 100_000,
        {"actor": 4},
        {"id": "x"},
        {"id": "", "actor": 4},
        {"id": 7, "actor": 4},
        {"id": "x" * 129, "actor": 4},
        {"id": "a\nb", "actor": 4},
        b'{"id": "\\ud800", "actor": 4}',
        {"id": "x", "actor": 4.5},
        {"id": "x", "actor": 4.0},
        {"id": "x", "actor": "4"},
        {"id": "x", "actor": True},
        {"id": "x", "actor": None},
        {"id": "x", "actor": 2**53},
        {"id": "x", "actor": -(2**53)},
        b'{"id": "x", "actor": 1' + b"0" * 5000 + b"}",
        b'{"id": "x", "actor": NaN}',
    ],
)
def test_malformed_add_returns_400_and_changes_nothing(body):
    harness = Harness()
    status, answer = harness.add(body)
    assert status == 400 and answer["error"] and "\n" not in answer["error"]
    assert harness.tallies.adds == []


@pytest.mark.parametrize("name", [b"a%0Ab", b"x" * 129, b"%00"])
def test_calls_with_an_invalid_tally_name_return_400(name):
    harness = Harness()
    target = b"/ploverward/tallies/" + name
    assert harness.add({"id": "x", "actor": 1}, target=target)[0] == 400
    assert harness.call(b"GET", target)[0] == 400
    assert harness.tallies.adds == []


@hypothesis.given(strategies.binary(max_size=60))
def test_any_add_body_gets_exactly_one_response(body):
    status, _answer = Harness().add(body)
    assert status in (200, 400)


def test_add_returns_503_and_changes_nothing_without_room_or_during_shutdown():
    harness = Harness()
    harness.tallies.has_room = False
    assert harness.add({"id": "x", "actor": 1})[0] == 503
    harness.tallies.has_room = True
    harness.handlers.shut_down()
    assert harness.add({"id": "x", "actor": 1})[0] == 503
    assert harness.tallies.adds == []


def test_get_returns_503_before_the_node_has_merged():
    harness = Harness()
    harness.tallies.is_merged = False
    assert harness.call(b"GET", b"/ploverward/tallies/t3")[0] == 503


def test_get_all_reports_all_sums_and_the_state_of_the_peers():
    status, body = Harness().call(b"GET", b"/ploverward/tallies")
    assert status == 200 and body["totals"] == {"t3": 4} and body["kept"] == 2
    assert body["peers"] == {"10.0.0.2": {"inReach": False, "behind": None}}
