"""Directory of the stores: which stores are retiring, and where a store with a given name is."""

import types

import pytest

from ploverward.control_plane.cluster import store_directory
from ploverward.transport import batch_messages

ADDRESS = "10.1.0.1"


class DirectoryFixture:
    """A directory of stores, with a clock and a register that the test sets."""

    def __init__(self):
        self.time = 0.0
        self.roles = {}
        self.peers = []
        self.directory = store_directory.StoreDirectory(
            now=lambda: self.time,
            sessions=types.SimpleNamespace(stores=lambda: self.peers),
            roles=lambda: self.roles,
            on_change=lambda: None,
        )

    def connect(self, *, node, disk, address=ADDRESS):
        """Connects a store and returns its connection."""
        connection = object()
        self.peers.append(types.SimpleNamespace(address=address, zone="za", connection=connection))
        self.directory.handle_identity(connection, batch_messages.StoreIdentity(node, disk, f"process of {disk}"))
        return connection

    def disconnect(self, connection):
        """Ends the connection of a store."""
        self.peers = [peer for peer in self.peers if peer.connection is not connection]
        self.directory.handle_ended(connection)


@pytest.fixture(name="fixture")
def directory_fixture():
    return DirectoryFixture()


def test_store_that_lost_its_disk_after_the_order_is_still_retiring(fixture):
    """Guards against copies being placed on a store that is to be emptied, which the operator then takes away."""
    connection = fixture.connect(node="store-1", disk="disk-1")
    fixture.roles["retire/store-1"] = [1, ADDRESS, "disk-1"]
    assert fixture.directory.states()[ADDRESS].is_retiring
    fixture.disconnect(connection)
    fixture.connect(node="store-1", disk="disk-2")
    assert fixture.directory.states()[ADDRESS].is_retiring


def test_address_of_a_store_is_the_one_at_which_it_was_connected_last(fixture):
    """Guards against an order for a store being recorded with an address that it had before."""
    connection = fixture.connect(node="store-1", disk="disk-1")
    fixture.time = 5.0
    fixture.disconnect(connection)
    fixture.time = 9.0
    fixture.connect(node="store-1", disk="disk-1", address="10.9.0.1")
    assert fixture.directory.address_of("store-1") == "10.9.0.1"
    assert fixture.directory.address_of("store-2") is None


def test_absence_of_a_store_counts_from_its_last_connection_at_any_address(fixture):
    connection = fixture.connect(node="store-1", disk="disk-1")
    assert fixture.directory.absent_for_s("store-1", never_connected_for_s=3.0) == 0.0
    fixture.disconnect(connection)
    fixture.time = 20.0
    assert fixture.directory.absent_for_s("store-1", never_connected_for_s=3.0) == 20.0
    assert fixture.directory.absent_for_s("store-2", never_connected_for_s=3.0) == 3.0
