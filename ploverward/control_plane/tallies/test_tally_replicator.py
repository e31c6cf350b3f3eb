"""Tests of the replication of adds between three nodes, on connections that deliver messages on request."""

from ploverward.control_plane.tallies import tally_replicator
from ploverward.control_plane.tallies import tally_state
from ploverward.transport import messages
from ploverward.transport.messages import TallyAdd
from ploverward.transport.messages import TallyLogName

HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


class Connection:
    """One end of a connection; its messages wait in the queue of `Net`."""

    def __init__(self, *, net, source, target):
        self.net, self.source, self.target = net, source, target
        self.peer = target
        self.is_open = True
        self.sent = []
        self.back = None

    def send(self, message):
        self.sent.append(message)
        self.net.queue.append((self, message))

    def close(self, *, reason):
        self.is_open = False


class Node:
    """A replicator whose disk always has what is in memory."""

    def __init__(self, net, host):
        self.net, self.host = net, host
        self.log = TallyLogName(host, "i")
        self.state = tally_state.TallyState()
        self.links = {}
        self.replicator = tally_replicator.TallyReplicator(
            own=host,
            state=self.state,
            durable=self.state.positions,
            core_addresses=lambda: [other for other in HOSTS if other != host],
            connection_to=self.links.get,
            on_progress=lambda: None,
        )

    def add(self, name, amount=1):
        self.state.append(log=self.log, add=TallyAdd("t", name, amount))
        self.replicator.activate()
        self.replicator.send_own()

    def handle(self, link, message):
        if isinstance(message, messages.TallyPositionsRequest):
            self.replicator.handle_request(link)
        elif isinstance(message, messages.TallyPositions):
            self.replicator.handle_positions(link.target, message)
        elif isinstance(message, messages.TallyAdds):
            if self.replicator.handle_adds(link, message):
                self.replicator.report_durable()
                self.replicator.activate()
        elif self.replicator.handle_snapshot(link, message):
            self.replicator.report_durable()


class Net:
    """Three nodes with two connections, one in each direction, between each pair that is not cut off."""

    def __init__(self):
        self.queue = []
        self.nodes = {host: Node(self, host) for host in HOSTS}
        for one in HOSTS:
            for other in HOSTS:
                if one != other:
                    self.join(one, other)

    def join(self, one, other):
        link = Connection(net=self, source=one, target=other)
        link.back = Connection(net=self, source=other, target=one)
        link.back.back = link
        self.nodes[one].links[other] = link

    def cut(self, one, other):
        for source, target in ((one, other), (other, one)):
            self.nodes[source].links.pop(target)

    def run(self):
        while self.queue:
            link, message = self.queue.pop(0)
            self.nodes[link.target].handle(link.back, message)

    def tick(self, count=1):
        for _number in range(count):
            for node in self.nodes.values():
                node.replicator.tick()
            self.run()

    def totals(self):
        return [node.state.total("t") for node in self.nodes.values()]


def adds_sent(node):
    return [message for link in node.links.values() for message in link.sent if isinstance(message, messages.TallyAdds)]


def test_nothing_is_sent_before_tallies_are_used():
    net = Net()
    net.tick(5)
    assert all(not link.sent for node in net.nodes.values() for link in node.links.values())


def test_add_is_sent_once_to_each_other_node():
    net = Net()
    net.nodes[HOSTS[0]].add("x", 4)
    net.run()
    assert net.totals() == [4, 4, 4]
    net.tick(6)
    assert len(adds_sent(net.nodes[HOSTS[0]])) == 2
    assert not adds_sent(net.nodes[HOSTS[1]]) and not adds_sent(net.nodes[HOSTS[2]])


def test_peers_report_their_positions_once_durable():
    net = Net()
    first = net.nodes[HOSTS[0]]
    first.add("x")
    net.run()
    assert first.replicator.positions_of(HOSTS[1]) == {first.log: 1}
    assert first.replicator.first_positions_of(HOSTS[1]) == {}


def test_third_node_relays_between_two_nodes_without_a_connection():
    net = Net()
    net.cut(HOSTS[0], HOSTS[1])
    net.nodes[HOSTS[0]].add("x", 4)
    net.run()
    assert net.totals() == [4, 0, 4]
    net.tick(6)
    assert net.totals() == [4, 4, 4]


def test_after_a_partition_only_the_missing_adds_are_sent():
    net = Net()
    net.nodes[HOSTS[0]].add("before", 1)
    net.run()
    net.cut(HOSTS[0], HOSTS[1])
    net.cut(HOSTS[0], HOSTS[2])
    net.nodes[HOSTS[0]].add("here", 10)
    net.nodes[HOSTS[1]].add("there", 100)
    net.tick(6)
    assert net.totals() == [11, 101, 101]
    for other in HOSTS[1:]:
        net.join(HOSTS[0], other)
        net.join(other, HOSTS[0])
    for node in net.nodes.values():
        node.replicator.connect_all()
    net.run()
    assert net.totals() == [111, 111, 111]
    resent = [message.adds for message in adds_sent(net.nodes[HOSTS[0]])]
    assert resent == [(TallyAdd("t", "here", 10),)] * 2


def test_node_that_lacks_folded_adds_receives_a_snapshot():
    net = Net()
    first = net.nodes[HOSTS[0]]
    for number in range(3):
        first.add(f"x{number}")
    net.run()
    first.state.fold(log=first.log, up_to=2)
    emptied = net.nodes[HOSTS[1]]
    emptied.state.__init__()
    net.cut(HOSTS[0], HOSTS[1])
    net.join(HOSTS[0], HOSTS[1])
    net.join(HOSTS[1], HOSTS[0])
    net.tick(8)
    assert emptied.state.total("t") == 3 and emptied.state.positions() == {first.log: 3}


def test_repeated_probes_do_not_reset_the_lag_of_a_node():
    """Guards against a probe's reply, which repeats all positions, being taken for progress of a lagging node."""
    net = Net()
    net.cut(HOSTS[0], HOSTS[1])
    net.nodes[HOSTS[0]].add("x", 4)
    net.run()
    for _number in range(6):
        net.nodes[HOSTS[2]].replicator.probe(HOSTS[1])
        net.run()
        net.tick()
    assert net.totals() == [4, 4, 4]


def test_adds_behind_a_gap_are_rejected_and_close_the_connection():
    net = Net()
    node = net.nodes[HOSTS[0]]
    link = Connection(net=net, source=HOSTS[1], target=HOSTS[0])
    message = messages.TallyAdds(log=TallyLogName("z", "i"), first=5, adds=(TallyAdd("t", "x", 1),))
    assert not node.replicator.handle_adds(link, message)
    assert not link.is_open and node.state.total("t") == 0


def test_adds_in_flight_never_exceed_the_window_and_all_arrive(monkeypatch):
    monkeypatch.setattr(tally_replicator, "WINDOW_ADDS", 10)
    net = Net()
    net.cut(HOSTS[0], HOSTS[1])
    first = net.nodes[HOSTS[0]]
    for number in range(95):
        first.add(f"x{number}")
    net.run()
    net.join(HOSTS[0], HOSTS[1])
    first.replicator.connect_all()
    link = first.links[HOSTS[1]]
    while net.queue:
        in_flight = sum(
            len(message.adds) for sender, message in net.queue if sender is link and hasattr(message, "adds")
        )
        assert in_flight <= 10
        sender, message = net.queue.pop(0)
        net.nodes[sender.target].handle(sender.back, message)
    assert net.totals() == [95, 95, 95]


def test_relay_of_more_than_one_window_completes(monkeypatch):
    monkeypatch.setattr(tally_replicator, "WINDOW_ADDS", 10)
    net = Net()
    net.cut(HOSTS[0], HOSTS[1])
    for number in range(35):
        net.nodes[HOSTS[0]].add(f"x{number}")
    net.run()
    net.tick(4)
    assert net.totals() == [35, 35, 35]


def test_adds_of_an_earlier_incarnation_are_sent_at_once():
    """A node that was restarted during a partition has such adds in a log that it no longer appends to."""
    net = Net()
    last = net.nodes[HOSTS[2]]
    last.state.append(log=TallyLogName(HOSTS[2], "earlier"), add=TallyAdd("t", "x", 4))
    last.replicator.activate()
    net.run()
    assert net.totals() == [4, 4, 4]


def test_log_of_a_departed_node_is_relayed_under_other_traffic():
    net = Net()
    last = net.nodes[HOSTS[2]]
    last.state.append(log=TallyLogName("10.0.0.9", "gone"), add=TallyAdd("t", "x", 4))
    for number in range(6):
        for node in net.nodes.values():
            node.add(f"{node.host} {number}")
        net.run()
        net.tick()
    assert net.totals() == [22, 22, 22]
