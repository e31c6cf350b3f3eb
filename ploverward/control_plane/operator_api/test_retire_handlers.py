"""Tests of the calls that retire a store: accepted orders, reports and refusals."""

import json

import pytest

from ploverward.common import batch_partitions
from ploverward.control_plane.cluster import partition_placement
from ploverward.control_plane.operator_api import retire_handlers


class FakeCall:
    def __init__(self, body=b'{"overS":10}'):
        self.body = body
        self.status = None
        self.answered = None

    def answer(self, *, status, body, headers=()):
        self.status, self.answered = int(status), json.loads(json.dumps(body))


class FakeLifecycle:
    """Applies each edit at once and acknowledges it."""

    def __init__(self):
        self.roles = {}

    def begin(self, call):
        return call

    def change(self, call, *, register, edit):
        assert register == "duty"
        self.roles, _result = edit(self.roles)
        call.answer(status=200, body={})

    def answer_with_register(self, call, *, register, answer):
        assert register == "duty"
        answer(call, self.roles)


class FakeStoreDirectory:
    def __init__(self, count):
        self.names = {f"store-{number}": f"10.{number}.0.1" for number in range(count)}

    def address_of(self, node):
        return self.names.get(node)

    def states(self):
        return {
            address: partition_placement.StoreState(
                address,
                f"z{address}",
                f"disk-{address}",
                "p",
                is_connected=True,
                disconnected_for_s=0.0,
                is_retiring=False,
            )
            for address in self.names.values()
        }


class Harness:
    def __init__(self, count=4):
        self.lifecycle = FakeLifecycle()
        self.handlers = retire_handlers.RetireHandlers(
            lifecycle=self.lifecycle, stores=FakeStoreDirectory(count), copies=3
        )

    def post(self, node, body=b'{"overS":10}'):
        call = FakeCall(body)
        self.handlers.handle_post(call, node)
        return call

    def condition(self, node):
        call = FakeCall()
        self.handlers.handle_get(call, node)
        return call.status, call.answered.get("condition")


def packed_owners(*addresses):
    members = tuple(batch_partitions.Member(address, f"disk-{address}") for address in addresses)
    return list(batch_partitions.pack_owners(batch_partitions.PartitionOwners(1, members)))


def test_get_reports_in_service_until_no_partition_lists_the_store():
    harness = Harness()
    harness.lifecycle.roles = {"jobs/0": packed_owners("10.0.0.1", "10.1.0.1", "10.2.0.1")}
    assert harness.condition("store-0") == (200, "in_service")
    assert harness.post("store-0").status == 200
    assert harness.condition("store-0") == (200, "in_service")
    harness.lifecycle.roles["jobs/0"] = packed_owners("10.3.0.1", "10.1.0.1", "10.2.0.1")
    assert harness.condition("store-0") == (200, "delivered")
    assert harness.condition("store-1") == (200, "in_service")  # its retirement was not ordered


def test_repeated_post_is_acknowledged_and_recorded_once():
    harness = Harness()
    assert harness.post("store-0").status == harness.post("store-0", body=b"").status == 200
    assert len(harness.lifecycle.roles) == 1


def test_calls_on_an_unknown_store_return_404():
    harness = Harness()
    assert harness.post("store-9").status == 404 and harness.condition("store-9") == (404, None)


def test_post_returns_409_and_changes_nothing_if_too_few_stores_would_remain():
    harness = Harness(count=3)
    call = harness.post("store-0")
    assert call.status == 409 and "store-0" in call.answered["error"] and not harness.lifecycle.roles


@pytest.mark.parametrize("body", [b"{", b"[]", b'{"overS":-1}', b'{"overS":"soon"}', b'{"overS":1e999}'])
def test_post_with_an_invalid_body_returns_400_and_changes_nothing(body):
    harness = Harness()
    call = harness.post("store-0", body=body)
    assert call.status == 400 and call.answered["error"] and not harness.lifecycle.roles
