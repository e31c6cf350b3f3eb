"""A core node that is cut off from the others stops telling user agents where to go, for a time."""

import types

from pw.ctl import directory


def make(live):
    clock = [0.0]
    node = types.SimpleNamespace(
        members=lambda: ("a", "b", "c"),
        is_core_live=lambda host: host in live,
        contact_s=4.0,
        _aside_since=None,
        loop=types.SimpleNamespace(now=lambda: clock[0]),
    )
    return node, clock


def test_cut_off_it_sends_on_then_answers_again_when_nobody_else_may():
    live = {"a", "b"}
    node, clock = make(live)
    assert not directory.DirectoryMixin._is_aside(node)
    live.discard("b")
    assert directory.DirectoryMixin._is_aside(node)
    clock[0] = 7.9
    assert directory.DirectoryMixin._is_aside(node)
    clock[0] = 8.1
    assert not directory.DirectoryMixin._is_aside(node)
    live.add("c")
    assert not directory.DirectoryMixin._is_aside(node)
    live.discard("c")
    assert directory.DirectoryMixin._is_aside(node)
