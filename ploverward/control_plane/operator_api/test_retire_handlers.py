"""Tests of the calls that retire a store: accepted orders, reports and refusals."""

import json

import pytest

from ploverward.common import batch_partitions
from ploverward.common import errors
from ploverward.control_plane.operator_api import call_lifecycle
from ploverward.control_plane.operator_api import retire_handlers
from ploverward.transport import batch_messages


class FakeCall:
    is_claimed = False

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
        self.edits = []

    def begin(self, call):
        return call

    def change(self, call, *, register, edit):
        assert register == "duty"
        self.edits.append(edit)
        try:
            self.roles, _result = edit(self.roles)
        except errors.PloverwardError as error:
            call_lifecycle._answer_error(call, error)
        else:
            call.answer(status=200, body={})

    def answer_with_register(self, call, *, register, answer):
        assert register == "duty"
        answer(call, self.roles)


class FakeStoreDirectory:
    def __init__(self, count):
        self.names = {f"store-{number}": f"10.{number}.0.1" for number in range(count)}
        self.disks = {}

    def address_of(self, node):
        return self.names.get(node)

    def disk(self, address):
        return self.disks.get(address, f"disk-{address}")

    def identities(self):
        return {
            address: batch_messages.StoreIdentity(node, self.disk(address), "p") for node, address in self.names.items()
        }

    def connected_zones(self):
        return {address: f"z{address}" for address in self.names.values()}


class Harness:
    def __init__(self, count=4):
        self.lifecycle = FakeLifecycle()
        self.stores = FakeStoreDirectory(count)
        self.handlers = retire_handlers.RetireHandlers(lifecycle=self.lifecycle, stores=self.stores, copies=3)

    def post(self, node, body=b'{"overS":10}'):
        call = FakeCall(body)
        self.handlers.handle_post(call, node)
        return call

    def delete(self, node):
        call = FakeCall()
        self.handlers.handle_delete(call, node)
        return call

    def condition(self, node):
        call = FakeCall()
        self.handlers.handle_get(call, node)
        return call.status, call.answered.get("condition")


def packed_owners(*addresses, disks=None):
    members = tuple(
        batch_partitions.Member(address, (disks or {}).get(address, f"disk-{address}")) for address in addresses
    )
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


def test_get_reports_in_service_while_the_store_has_copies_on_a_disk_that_it_got_after_the_order():
    """Guards against `delivered` for a store that lost its disk while it was emptied (review/1)."""
    harness = Harness()
    assert harness.post("store-0").status == 200
    harness.stores.disks["10.0.0.1"] = "disk-new"
    harness.lifecycle.roles["jobs/0"] = packed_owners(
        "10.0.0.1", "10.1.0.1", "10.2.0.1", disks={"10.0.0.1": "disk-new"}
    )
    assert harness.condition("store-0") == (200, "in_service")


def test_second_order_returns_409_if_both_together_leave_too_few_stores():
    harness = Harness(count=4)
    answers = [harness.post(node).status for node in ("store-0", "store-1", "store-0")]
    assert answers == [200, 409, 200]


def test_delete_withdraws_the_order():
    harness = Harness()
    harness.post("store-0")
    assert harness.condition("store-0") == (200, "delivered")
    assert harness.delete("store-0").status == 200
    assert harness.condition("store-0") == (200, "in_service")
    assert harness.delete("store-9").status == 404


def test_order_applied_again_by_its_round_does_not_undo_a_later_order():
    """Guards against a withdrawal whose round repeats after a new order, which would leave the store in service."""
    harness = Harness()
    harness.post("store-0")
    harness.delete("store-0")
    withdrawal = harness.lifecycle.edits[-1]
    harness.post("store-0")
    roles = harness.lifecycle.roles
    assert withdrawal(roles) == (roles, None)


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
