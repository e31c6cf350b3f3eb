"""Tests of the majority query that confirms the loss of a coordinator."""

from ploverward.control_plane.cluster import owner_witnesses
from ploverward.transport import messages

MEMBERS = ("a", "b", "c", "d", "e")


class WitnessFixture:
    """The witnesses of node b, which has lost its connection to the owner a; stands in for its peer sessions too."""

    def __init__(self):
        self.time = 0.0
        self.sent = []
        self.live = {"c", "d", "e"}
        self.witnesses = owner_witnesses.OwnerWitnesses(
            own="b", now=lambda: self.time, sessions=self, reply_ttl_s=0.8, reply_timeout_s=1.2
        )

    def broadcast_to_cores(self, message):
        self.sent.append(message)

    def core_address_of(self, connection):
        return connection if isinstance(connection, str) else connection.address

    def is_core_live(self, address):
        return address in self.live

    def reply(self, witness, *, is_live, address="a"):
        handler = self.witnesses.handlers()[messages.WitnessReply]
        handler(witness, messages.WitnessReply(address=address, is_live=is_live))

    def is_unreachable(self, owner="a", members=MEMBERS):
        return self.witnesses.is_unreachable_from_majority(owner=owner, members=members)


def test_owner_is_unreachable_only_once_majority_does_not_hear_it():
    fixture = WitnessFixture()
    fixture.witnesses.query_peers("a")
    assert fixture.sent == [messages.WitnessRequest(address="a")] and not fixture.is_unreachable()
    fixture.reply("c", is_live=False)
    assert not fixture.is_unreachable()
    fixture.reply("d", is_live=False)
    assert fixture.is_unreachable()


def test_owner_that_other_members_hear_is_never_unreachable():
    fixture = WitnessFixture()
    for _number in range(20):
        fixture.witnesses.query_peers("a")
        for witness in ("c", "d", "e"):
            fixture.reply(witness, is_live=True)
        assert not fixture.is_unreachable()
        fixture.time += 0.4


def test_with_three_members_the_one_other_witness_decides():
    fixture = WitnessFixture()
    fixture.witnesses.query_peers("a")
    fixture.reply("c", is_live=True)
    assert not fixture.is_unreachable(members=("a", "b", "c"))
    fixture.reply("c", is_live=False)
    assert fixture.is_unreachable(members=("a", "b", "c"))


def test_witnesses_without_reply_count_as_not_hearing_owner_after_timeout():
    fixture = WitnessFixture()
    fixture.witnesses.query_peers("a")
    fixture.time = 1.1
    assert not fixture.is_unreachable()
    fixture.time = 1.3
    assert fixture.is_unreachable()


def test_replies_about_another_owner_or_from_before_clear_do_not_count():
    fixture = WitnessFixture()
    fixture.witnesses.query_peers("a")
    for witness in ("c", "d", "e"):
        fixture.reply(witness, is_live=False, address="z")
    assert not fixture.is_unreachable()
    for witness in ("c", "d", "e"):
        fixture.reply(witness, is_live=False)
    assert fixture.is_unreachable() and not fixture.is_unreachable(owner="z")
    fixture.witnesses.clear_owner()
    assert not fixture.is_unreachable()
    fixture.witnesses.query_peers("a")
    assert not fixture.is_unreachable()


def test_witness_request_is_answered_with_liveness_seen_by_this_node():
    fixture = WitnessFixture()

    class FakeConnection:
        address, sent = "c", []

        def send(self, message):
            self.sent.append(message)

    connection = FakeConnection()
    handler = fixture.witnesses.handlers()[messages.WitnessRequest]
    handler(connection, messages.WitnessRequest(address="d"))
    handler(connection, messages.WitnessRequest(address="a"))
    assert [reply.is_live for reply in connection.sent] == [True, False]
