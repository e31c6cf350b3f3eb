"""A core node that is cut off from the others stops telling user agents where to go, for a time."""

from ploverward.control_plane.discovery import directory


def make(live):
    clock = [0.0]
    node = directory.Directory(
        now=lambda: clock[0],
        members=lambda: ("a", "b", "c"),
        is_core_live=lambda host: host in live,
        proxies=lambda **_about: [],
        configuration=lambda: None,
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
