"""When a coordinator counts as lost by a majority."""

from ploverward.control_plane.cluster import owner_witnesses
from ploverward.transport import messages

MEMBERS = ("a", "b", "c", "d", "e")


class Scene:
    """The witnesses of node b, which has lost a."""

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

    def reply(self, witness, *, is_heard, address="a"):
        handler = self.witnesses.handlers()[messages.WitnessReply]
        handler(witness, messages.WitnessReply(address=address, is_heard=is_heard))

    def is_lost(self, owner="a", members=MEMBERS):
        return self.witnesses.is_unreachable_from_majority(owner=owner, members=members)


def test_owner_is_unreachable_only_once_majority_does_not_hear_it():
    scene = Scene()
    scene.witnesses.query_peers("a")
    assert scene.sent == [messages.WitnessRequest(address="a")] and not scene.is_lost()
    scene.reply("c", is_heard=False)
    assert not scene.is_lost()
    scene.reply("d", is_heard=False)
    assert scene.is_lost()


def test_owner_that_other_members_hear_is_never_unreachable():
    scene = Scene()
    for _number in range(20):
        scene.witnesses.query_peers("a")
        for witness in ("c", "d", "e"):
            scene.reply(witness, is_heard=True)
        assert not scene.is_lost()
        scene.time += 0.4


def test_with_three_members_the_one_other_witness_decides():
    scene = Scene()
    scene.witnesses.query_peers("a")
    scene.reply("c", is_heard=True)
    assert not scene.is_lost(members=("a", "b", "c"))
    scene.reply("c", is_heard=False)
    assert scene.is_lost(members=("a", "b", "c"))


def test_witnesses_without_reply_count_as_not_hearing_owner_after_timeout():
    scene = Scene()
    scene.witnesses.query_peers("a")
    scene.time = 1.1
    assert not scene.is_lost()
    scene.time = 1.3
    assert scene.is_lost()


def test_replies_about_another_owner_or_from_before_clear_do_not_count():
    scene = Scene()
    scene.witnesses.query_peers("a")
    for witness in ("c", "d", "e"):
        scene.reply(witness, is_heard=False, address="z")
    assert not scene.is_lost()
    for witness in ("c", "d", "e"):
        scene.reply(witness, is_heard=False)
    assert scene.is_lost() and not scene.is_lost(owner="z")
    scene.witnesses.clear_owner()
    assert not scene.is_lost()
    scene.witnesses.query_peers("a")
    assert not scene.is_lost()


def test_witness_request_is_answered_with_liveness_seen_by_this_node():
    scene = Scene()

    class Link:
        address, sent = "c", []

        def send(self, message):
            self.sent.append(message)

    link = Link()
    handler = scene.witnesses.handlers()[messages.WitnessRequest]
    handler(link, messages.WitnessRequest(address="d"))
    handler(link, messages.WitnessRequest(address="a"))
    assert [reply.is_heard for reply in link.sent] == [True, False]
