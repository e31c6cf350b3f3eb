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
            own="b", now=lambda: self.time, sessions=self, fresh_s=0.8, patience_s=1.2
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
        return self.witnesses.is_lost_by_majority(owner=owner, members=members)


def test_a_majority_that_does_not_hear_it_is_needed():
    scene = Scene()
    scene.witnesses.ask("a")
    assert scene.sent == [messages.WitnessRequest(address="a")] and not scene.is_lost()
    scene.reply("c", is_heard=False)
    assert not scene.is_lost()
    scene.reply("d", is_heard=False)
    assert scene.is_lost()


def test_one_that_the_others_hear_is_not_lost_however_long_this_node_has_lost_it():
    scene = Scene()
    for _number in range(20):
        scene.witnesses.ask("a")
        for witness in ("c", "d", "e"):
            scene.reply(witness, is_heard=True)
        assert not scene.is_lost()
        scene.time += 0.4


def test_of_three_the_third_decides_and_the_owner_itself_is_no_witness():
    scene = Scene()
    scene.witnesses.ask("a")
    scene.reply("c", is_heard=True)
    assert not scene.is_lost(members=("a", "b", "c"))
    scene.reply("c", is_heard=False)
    assert scene.is_lost(members=("a", "b", "c"))


def test_witnesses_that_never_reply_are_not_waited_for_for_ever():
    scene = Scene()
    scene.witnesses.ask("a")
    scene.time = 1.1
    assert not scene.is_lost()
    scene.time = 1.3
    assert scene.is_lost()


def test_old_replies_and_replies_about_another_owner_do_not_count():
    scene = Scene()
    scene.witnesses.ask("a")
    for witness in ("c", "d", "e"):
        scene.reply(witness, is_heard=False, address="z")
    assert not scene.is_lost()
    for witness in ("c", "d", "e"):
        scene.reply(witness, is_heard=False)
    assert scene.is_lost() and not scene.is_lost(owner="z")
    scene.witnesses.forget()
    assert not scene.is_lost()
    scene.witnesses.ask("a")
    assert not scene.is_lost()


def test_a_request_is_replied_to_with_what_this_node_hears():
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
