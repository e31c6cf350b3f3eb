"""Tests of the replies to pulls: bounded in bytes, whatever waits, and complete after enough pulls."""

import base64
import json
import types

import pytest

from ploverward.common import batch_partitions
from ploverward.store import job_entries
from ploverward.store import job_service
from ploverward.store import partition
from ploverward.transport import batch_messages
from ploverward.transport import frames
from ploverward.transport import messages

HANDSHAKE = messages.Handshake("store", "s", "za", "north", "i", "")
REPLY_MARGIN_BYTES = 64 * 1024  # for the ids, routes and lengths of the items in a reply


class Connection:
    """A connection of a proxy that keeps what is sent on it."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class Store:
    """The job service of a store with one partition, whose log is committed at once."""

    def __init__(self):
        self.now = 100.0
        self.partition = partition.Partition(now=lambda: self.now, wall_time=lambda: 0.0, status_s=60.0)
        log = types.SimpleNamespace(is_serving=True, advance_commit=lambda: None)
        self.partition.begin(log)
        number = batch_partitions.partition_of("t")
        self.service = job_service.JobService(
            owned={number: self.partition}, has_capacity=lambda: True, handshake=HANDSHAKE
        )
        self.connection = Connection()
        self.service.handlers()[messages.Handshake](self.connection, HANDSHAKE)
        self.jobs = 0
        self.pull(1)  # it begins to serve
        self.now += partition.CLAIM_PERIOD_S

    def accept(self, sizes):
        """Accepts a job with one item for each size of a body in bytes."""
        self.jobs += 1
        rows = [
            {"id": f"{self.jobs}-{number}", "path": "/x", "parcel": base64.b64encode(b"b" * size).decode()}
            for number, size in enumerate(sizes)
        ]
        entry = job_entries.JobAccepted("t", f"l{self.jobs}", "r", 10.0, 3, json.dumps({"requests": rows}).encode())
        self.partition.handle_committed(self.jobs, job_entries.pack(entry))

    def pull(self, limit):
        """Returns the reply to a pull."""
        self.service.handlers()[batch_messages.PullItems](self.connection, batch_messages.PullItems(1, limit))
        return self.connection.sent[-1]


def test_heap_of_large_items_is_handed_out_in_replies_that_a_proxy_accepts():
    """Guards against lots that never run after a restart, as each reply is larger than a frame may be (review/2)."""
    store = Store()
    for _job in range(9):
        store.accept([140_000] * 20)
    handed_out = []
    for _pull in range(180):
        reply = store.pull(144)
        assert len(frames.pack(reply)) <= job_service.MAX_PULLED_BYTES + REPLY_MARGIN_BYTES
        handed_out += [item.item for item in reply.items]
        if not reply.items:
            break
    assert len(handed_out) == len(set(handed_out)) == 180


@pytest.mark.parametrize("sizes", [[3_000_000, 10, 10], [10, 3_000_000, 10]])
def test_item_above_the_size_of_a_reply_is_handed_out(sizes):
    store = Store()
    store.accept(sizes)
    handed_out = [item.item for _pull in range(3) for item in store.pull(10).items]
    assert handed_out == ["1-0", "1-1", "1-2"]


def test_small_items_are_handed_out_up_to_the_limit_of_the_pull():
    store = Store()
    store.accept([1000] * 200)
    assert len(store.pull(144).items) == 144
    assert len(store.pull(144).items) == 56
