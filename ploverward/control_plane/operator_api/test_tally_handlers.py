"""Calls on tallies: bad input gets one clear answer and changes nothing."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from ploverward.control_plane.operator_api import router
from ploverward.control_plane.operator_api import tally_handlers
from ploverward.control_plane.tallies import tally_service
from ploverward.transport.messages import TallyAdd


class Request:
    """What ploverward.transport.http_server hands over."""

    def __init__(self, *, method, target, body=b""):
        self.method, self.target, self.headers, self.body = method, target, (), body
        self.replies = []
        self.on_disconnect = None

    def reply(self, *, status, headers=(), body=b"", is_last=False):
        self.replies.append((status, json.loads(body)))


class Tallies:
    """A service that notes what it is asked."""

    def __init__(self):
        self.has_room, self.is_merged, self.adds, self.forgotten = True, True, [], 0

    def can_take(self, _add):
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


class Scene:
    """The handlers behind the real router."""

    def __init__(self):
        self.tallies = Tallies()
        self.handlers = tally_handlers.TallyHandlers(tallies=self.tallies, node_name=lambda: "n1")
        self.router = router.Router(rules=self.handlers.rules())

    def call(self, method, target, body=b""):
        request = Request(method=method, target=target, body=body)
        self.router.handle(request)
        assert len(request.replies) == 1
        return request.replies[0]

    def add(self, body, target=b"/ploverward/tallies/t3"):
        return self.call(b"POST", target, body if isinstance(body, bytes) else json.dumps(body).encode())


def test_an_add_and_a_read_as_the_operators_page_shows_them():
    scene = Scene()
    assert scene.add({"id": "5c0e7a21d94b36f8", "actor": 4})[0] == 200
    assert scene.tallies.adds == [TallyAdd("t3", "5c0e7a21d94b36f8", 4)]
    assert scene.call(b"GET", b"/ploverward/tallies/t3") == (200, {"total": 1873})


@pytest.mark.parametrize("amount", [0, -7, 2**53 - 1, -(2**53 - 1)])
def test_zero_and_negative_amounts_are_adds_too(amount):
    scene = Scene()
    assert scene.add({"id": "x", "actor": amount, "more": "is ignored"})[0] == 200
    assert scene.tallies.adds == [TallyAdd("t3", "x", amount)]


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
def test_a_malformed_add_is_refused_and_changes_nothing(body):
    scene = Scene()
    status, answer = scene.add(body)
    assert status == 400 and answer["error"] and "\n" not in answer["error"]
    assert scene.tallies.adds == []


@pytest.mark.parametrize("name", [b"a%0Ab", b"x" * 129, b"%00"])
def test_an_odd_name_is_refused(name):
    scene = Scene()
    target = b"/ploverward/tallies/" + name
    assert scene.add({"id": "x", "actor": 1}, target=target)[0] == 400
    assert scene.call(b"GET", target)[0] == 400
    assert scene.tallies.adds == []


@hypothesis.given(strategies.binary(max_size=60))
def test_any_body_gets_one_answer(body):
    status, _answer = Scene().add(body)
    assert status in (200, 400)


def test_without_room_or_while_shutting_down_an_add_is_refused_before_it_is_made():
    scene = Scene()
    scene.tallies.has_room = False
    assert scene.add({"id": "x", "actor": 1})[0] == 503
    scene.tallies.has_room = True
    scene.handlers.shut_down()
    assert scene.add({"id": "x", "actor": 1})[0] == 503
    assert scene.tallies.adds == []


def test_a_node_that_has_not_merged_yet_says_so():
    scene = Scene()
    scene.tallies.is_merged = False
    assert scene.call(b"GET", b"/ploverward/tallies/t3")[0] == 503


def test_operators_see_all_sums_and_how_far_the_others_are():
    status, body = Scene().call(b"GET", b"/ploverward/tallies")
    assert status == 200 and body["totals"] == {"t3": 4} and body["kept"] == 2
    assert body["peers"] == {"10.0.0.2": {"inReach": False, "behind": None}}
