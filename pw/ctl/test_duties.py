"""Duties under epochs, and the answer to an operator, with the core's mixins on their own."""

import types

from pw.ctl import dispatch
from pw.ctl import membership
from pw.ctl.news import desk as desks


def take(payload, rows):
    """What `_take_duties` makes of a payload."""
    made = []
    node = types.SimpleNamespace(
        proposer=types.SimpleNamespace(change=lambda *, name, edit, done: made.append((name, edit(payload)[0])))
    )
    membership.MembersMixin._take_duties(node, rows)
    assert node._is_taking
    return made[0]


def test_a_duty_is_taken_under_the_next_epoch():
    assert take(None, {"watch": (0, "a", "l1")}) == ("duty", {"watch": [1, "a", "l1"]})
    assert take({"watch": [4, "a", "l1"]}, {"watch": (4, "a", "l2")}) == ("duty", {"watch": [5, "a", "l2"]})


def test_of_two_who_take_one_duty_the_later_changes_nothing():
    first = take({"watch": [4, "a", "l1"]}, {"watch": (4, "b", "l2")})[1]
    assert take(first, {"watch": (4, "c", "l3")})[1] is first


def test_open_duties_are_taken_together():
    payload = {"watch": [1, "a", "l"], "relay/north": [3, "p", "l"]}
    rows = {"relay/north": (3, "q", "m"), "relay/south": (0, "r", "n")}
    assert take(payload, rows)[1] == {
        "watch": [1, "a", "l"],
        "relay/north": [4, "q", "m"],
        "relay/south": [1, "r", "n"],
    }


class Link:
    def __init__(self):
        self.told = []

    def send(self, message):
        self.told.append(message)


def make(links):
    answers = []
    timers = []
    node = types.SimpleNamespace(
        desk=desks.Desk(),
        receipt_s=4.0,
        _waits=[],
        proxies=lambda *, is_listed=True: [types.SimpleNamespace(link=link) for link in links],
        loop=types.SimpleNamespace(
            after=lambda *, delay, act: timers.append((delay, act)) or act, cancel=lambda *, timer: None
        ),
        _json=lambda ask, status, body: answers.append((ask, status, body)),
    )
    for name in ("_check_waits", "_end_wait"):
        setattr(node, name, types.MethodType(getattr(dispatch.DispatchMixin, name), node))
    for link in links:
        node.desk.join(link)
    return node, answers, timers


def test_the_operator_is_answered_once_all_live_proxies_applied_it():
    links = [Link(), Link()]
    node, answers, _timers = make(links)
    dispatch.DispatchMixin._answer_when_applied(node, "ask", "spec", 3)
    assert answers == []
    node.desk.take_have(links[0], ("have", (("spec", 0, 3),)))
    node._check_waits()
    assert answers == []
    node.desk.take_have(links[1], ("have", (("spec", 0, 4),)))
    node._check_waits()
    assert answers == [("ask", 200, {"serial": 3})]


def test_a_proxy_whose_lease_ran_out_is_not_waited_for_and_there_is_a_ceiling():
    links = [Link(), Link()]
    node, answers, _timers = make(links)
    dispatch.DispatchMixin._answer_when_applied(node, "ask", "spec", 3)
    node.desk.take_have(links[0], ("have", (("spec", 0, 3),)))
    links.pop()
    node._check_waits()
    assert len(answers) == 1
    node, answers, timers = make([Link()])
    dispatch.DispatchMixin._answer_when_applied(node, "ask", "spec", 3)
    delay, act = timers[0]
    assert delay < node.receipt_s / 4
    act()
    act()
    assert len(answers) == 1
