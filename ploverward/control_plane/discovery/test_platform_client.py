"""A long list of the platform is read by zones, all beside each other, and told whole or not at all."""

import json
import urllib.parse

from ploverward.control_plane.discovery import platform_client

ZONES = ("za", "zb")


class Platform:
    """Pages of two rows. Answers wait until they are carried; each takes one way there and back."""

    def __init__(self, *, sizes):
        self.rows = {zone: [f"{zone}{number}" for number in range(size)] for zone, size in sizes.items()}
        self.waiting = []
        self.calls = []
        self.failing = None

    def get(self, *, url, limit_s, done):
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(url).query))
        self.calls.append(query)
        self.waiting.append((query, done))

    def carry(self):
        """One way there and back for all calls that wait."""
        waiting, self.waiting = self.waiting, []
        for query, done in waiting:
            zone = query.get("zone")
            names = [name for zone_name, rows in self.rows.items() if zone in (None, zone_name) for name in rows]
            first = int(query.get("page", "0"))
            entries = [
                {"id": name, "destination": "d", "address": "1.1.1.1:1", "zone": name[:2], "condition": "accepting"}
                for name in names[first : first + 2]
            ]
            body = {"replicas": entries, "nextPage": str(first + 2) if first + 2 < len(names) else None}
            done(None, 429 if query == self.failing else 200, json.dumps(body).encode())


class Loop:
    def __init__(self):
        self.later = []

    def now(self):
        return 5.0

    def after(self, *, delay, callback):
        self.later.append((delay, callback))


def make(**sizes):
    lists = []
    loop = Loop()
    watch = platform_client.Watch(
        loop=loop,
        address="x:1",
        gap_s=0.5,
        limit_s=1.0,
        on_list=lambda rows, at: lists.append(sorted(row["id"] for row in rows)),
        zones=ZONES,
    )
    watch._caller = Platform(sizes=sizes)
    watch.start()
    return watch, watch._caller, loop, lists


def ways(caller, lists):
    """How many ways there and back until the list is told."""
    count, before = 0, len(lists)
    while len(lists) == before:
        caller.carry()
        count += 1
        assert count < 100
    return count


def test_a_short_list_is_read_page_by_page_without_zones():
    _watch, caller, _loop, lists = make(za=4, zb=4)
    assert ways(caller, lists) == 4
    assert lists == [sorted(caller.rows["za"] + caller.rows["zb"])]
    assert all("zone" not in query for query in caller.calls)


def test_a_long_list_is_read_by_zones_from_the_first_reading_on():
    _watch, caller, loop, lists = make(za=30, zb=20)
    first = ways(caller, lists)
    assert lists == [sorted(caller.rows["za"] + caller.rows["zb"])]
    assert first < 25  # one after the other would take so many
    calls = len(caller.calls)
    loop.later.pop()[1]()
    assert ways(caller, lists) == 15 and lists[1] == lists[0]  # the longest zone decides
    assert len(caller.calls) - calls == 25 and all("zone" in query for query in caller.calls[calls:])


def test_with_a_page_of_a_zone_missing_nothing_is_published_and_late_answers_change_nothing():
    _watch, caller, loop, lists = make(za=30, zb=20)
    ways(caller, lists)
    caller.failing = {"zone": "zb", "page": "4"}
    loop.later.pop()[1]()
    for _ in range(40):
        caller.carry()
    assert len(lists) == 1 and not caller.waiting and loop.later[-1][0] > 0.5
    caller.failing = None
    loop.later.pop()[1]()
    ways(caller, lists)
    assert lists[1] == lists[0]


def test_a_list_that_became_short_is_read_without_zones_again():
    _watch, caller, loop, lists = make(za=30, zb=20)
    ways(caller, lists)
    caller.rows = {"za": ["za0"], "zb": ["zb0"]}
    for _ in range(2):
        loop.later.pop()[1]()
        ways(caller, lists)
    assert lists[-1] == ["za0", "zb0"] and "zone" not in caller.calls[-1]


def test_a_stopped_watch_publishes_nothing_of_a_reading_in_progress():
    watch, caller, _loop, lists = make(za=30, zb=20)
    caller.carry()
    watch.stop()
    for _ in range(40):
        caller.carry()
    assert lists == [] and not caller.waiting
