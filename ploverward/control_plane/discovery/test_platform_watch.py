"""The watch that reads the platform's list of replicas."""

import json

from ploverward.control_plane.discovery import platform_client


def test_the_list_is_read_page_by_page_and_published_completely_or_not_at_all():
    def row(name):
        return {"id": name, "destination": "d", "address": "1.1.1.1:1", "zone": "z", "condition": "accepting"}

    pages = {"": (["a", "b"], "p-2"), "p-2": (["c"], "p-3"), "p-3": (["d"], None)}
    sent, later, asked = [], [], []

    class Loop:
        def now(self):
            return 5.0

        def after(self, *, delay, callback):
            later.append((delay, callback))

    class Caller:
        failing = None

        def get(self, *, url, limit_s, done):
            token = url.partition("?page=")[2]
            asked.append(token)
            names, following = pages[token]
            status = 429 if token == self.failing else 200
            done(None, status, json.dumps({"replicas": [row(name) for name in names], "nextPage": following}).encode())

    watch = platform_client.Watch(
        loop=Loop(),
        address="x:1",
        gap_s=0.5,
        limit_s=1.0,
        on_list=lambda rows, at: sent.append([one["id"] for one in rows]),
    )
    watch._caller = Caller()
    watch.start()
    assert sent == [["a", "b", "c", "d"]] and asked == ["", "p-2", "p-3"]
    watch._caller.failing = "p-2"
    later.pop()[1]()
    assert len(sent) == 1  # a list with a page missing is not told
    assert later[-1][0] > 0.5  # and the next reading waits longer
    watch.stop()
    count = len(asked)
    later.pop()[1]()
    assert len(asked) == count
