"""Tests that the platform's list is delivered completely or not at all, and that a long one is read by zone."""

import json
import urllib.parse

from ploverward.control_plane.discovery import endpoint_list_poller
from ploverward.control_plane.discovery.platform_connection import PlatformResponse

ZONES = ("za", "zb")


class Platform:
    """A platform with pages of two rows, whose responses are held back until `respond` is called."""

    def __init__(self, *, sizes):
        self.rows = {zone: [f"{zone}{number}" for number in range(size)] for zone, size in sizes.items()}
        self.waiting = []
        self.calls = []
        self.failing = None

    def get(self, *, url, timeout_s, done):
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(url).query))
        self.calls.append(query)
        self.waiting.append((query, done))

    def respond(self):
        """Responds to all waiting requests, which takes one round trip."""
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
            status = 429 if query == self.failing else 200
            done(PlatformResponse(status=status, body=json.dumps(body).encode()))


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
    platform = Platform(sizes=sizes)
    poller = endpoint_list_poller.EndpointListPoller(
        loop=loop,
        address="x:1",
        poll_interval_s=0.5,
        timeout_s=1.0,
        on_list=lambda rows, at: lists.append(sorted(row["id"] for row in rows)),
        zones=ZONES,
        connection=platform,
    )
    poller.start()
    return poller, platform, loop, lists


def round_trips(platform, lists):
    """Returns the number of round trips until the list is delivered."""
    count, before = 0, len(lists)
    while len(lists) == before:
        platform.respond()
        count += 1
        assert count < 100
    return count


def test_short_list_is_read_page_by_page_without_zones():
    _poller, platform, _loop, lists = make(za=4, zb=4)
    assert round_trips(platform, lists) == 4
    assert lists == [sorted(platform.rows["za"] + platform.rows["zb"])]
    assert all("zone" not in query for query in platform.calls)


def test_long_list_is_read_by_zone_from_first_reading():
    _poller, platform, loop, lists = make(za=30, zb=20)
    first = round_trips(platform, lists)
    assert lists == [sorted(platform.rows["za"] + platform.rows["zb"])]
    assert first < 25  # round trips that reading page by page would take
    calls = len(platform.calls)
    loop.later.pop()[1]()
    assert round_trips(platform, lists) == 15 and lists[1] == lists[0]  # as many as the longest zone has pages
    assert len(platform.calls) - calls == 25 and all("zone" in query for query in platform.calls[calls:])


def test_list_with_missing_zone_page_is_not_delivered_despite_late_answers():
    _poller, platform, loop, lists = make(za=30, zb=20)
    round_trips(platform, lists)
    platform.failing = {"zone": "zb", "page": "4"}
    loop.later.pop()[1]()
    for _ in range(40):
        platform.respond()
    assert len(lists) == 1 and not platform.waiting and loop.later[-1][0] > 0.5
    platform.failing = None
    loop.later.pop()[1]()
    round_trips(platform, lists)
    assert lists[1] == lists[0]


def test_list_that_became_short_is_read_without_zones():
    _poller, platform, loop, lists = make(za=30, zb=20)
    round_trips(platform, lists)
    platform.rows = {"za": ["za0"], "zb": ["zb0"]}
    for _ in range(2):
        loop.later.pop()[1]()
        round_trips(platform, lists)
    assert lists[-1] == ["za0", "zb0"] and "zone" not in platform.calls[-1]


def test_stopped_poller_discards_reading_in_progress():
    poller, platform, _loop, lists = make(za=30, zb=20)
    platform.respond()
    poller.stop()
    for _ in range(40):
        platform.respond()
    assert lists == [] and not platform.waiting


def test_paged_list_is_delivered_completely_or_not_at_all():
    def row(name):
        return {"id": name, "destination": "d", "address": "1.1.1.1:1", "zone": "z", "condition": "accepting"}

    pages = {"": (["a", "b"], "p-2"), "p-2": (["c"], "p-3"), "p-3": (["d"], None)}
    sent, later, requested_tokens = [], [], []

    class Loop:
        def now(self):
            return 5.0

        def after(self, *, delay, callback):
            later.append((delay, callback))

    class Connection:
        failing = None

        def get(self, *, url, timeout_s, done):
            token = url.partition("?page=")[2]
            requested_tokens.append(token)
            names, following = pages[token]
            status = 429 if token == self.failing else 200
            body = json.dumps({"replicas": [row(name) for name in names], "nextPage": following}).encode()
            done(PlatformResponse(status=status, body=body))

    connection = Connection()
    poller = endpoint_list_poller.EndpointListPoller(
        loop=Loop(),
        address="x:1",
        poll_interval_s=0.5,
        timeout_s=1.0,
        on_list=lambda rows, at: sent.append([one["id"] for one in rows]),
        connection=connection,
    )
    poller.start()
    assert sent == [["a", "b", "c", "d"]] and requested_tokens == ["", "p-2", "p-3"]
    connection.failing = "p-2"
    later.pop()[1]()
    assert len(sent) == 1  # a list with a missing page is not delivered
    assert later[-1][0] > 0.5  # the next reading is delayed longer
    poller.stop()
    count = len(requested_tokens)
    later.pop()[1]()
    assert len(requested_tokens) == count
