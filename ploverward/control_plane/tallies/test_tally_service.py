"""Tests of the tally service on three core nodes, with connections and disks that the test controls."""

from ploverward.control_plane.tallies import peer_reach
from ploverward.control_plane.tallies import tally_service
from ploverward.transport.messages import TallyAdd

HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


class Link:
    """One end of a connection."""

    def __init__(self, *, net, source, target):
        self.net, self.source, self.target = net, source, target
        self.peer, self.is_open, self.has_received, self.last_received_at = target, True, True, 0.0
        self.back = None

    def send(self, message):
        self.net.queue.append((self, message))

    def close(self, *, reason):
        self.is_open = False


class Disk:
    """A disk in memory; while it stalls, `Loop` keeps the writes back."""

    def __init__(self):
        self.files, self.is_stalled = {}, False

    def read(self, *, name):
        return self.files.get(name)

    def append(self, *, name, data, size_before):
        self.files[name] = self.files[name][:size_before] + data

    def replace(self, *, name, new_name, data):
        self.files[name] = data


class Outcome:
    """The outcome of offloaded work that succeeded."""

    def exception(self):
        return None


class Loop:
    """Runs offloaded work at once unless the disk stalls; time advances only in `run_until`."""

    def __init__(self, disk):
        self.time, self.disk, self.timers, self.stalled = 0.0, disk, [], []

    def now(self):
        return self.time

    def offload(self, *, work, done):
        if self.disk.is_stalled:
            self.stalled.append((work, done))
            return
        work()
        done(Outcome())

    def after(self, *, delay, callback):
        self.timers.append((self.time + delay, callback))

    def run_until(self, time):
        self.time = time
        due = [callback for when, callback in self.timers if when <= time]
        self.timers = [row for row in self.timers if row[0] > time]
        for callback in due:
            callback()


class Node:
    """One node, which also stands in for the sessions (`CoreSessions`) of its tally service."""

    def __init__(self, net, host, *, disk=None, max_kept=100):
        self.net, self.host, self.links, self.leaving = net, host, {}, set()
        self.disk = disk or Disk()
        self.loop = Loop(self.disk)
        net.incarnations += 1
        self.tallies = tally_service.TallyService(
            own=host,
            incarnation=f"life{net.incarnations}",
            loop=self.loop,
            disk=self.disk,
            sessions=self,
            members=lambda: HOSTS,
            limits=tally_service.TallyLimits(max_kept=max_kept, wanted_copies=2, peer_timeout_s=1.0),
        )

    def connector_addresses(self):
        return [host for host in HOSTS if host != self.host]

    def core_connection(self, address):
        return self.links.get(address)

    def core_address_of(self, connection):
        return connection.target

    def draining_core_addresses(self):
        return self.leaving

    def add(self, name, amount=1, tally="t"):
        answers = []
        self.tallies.add(add=TallyAdd(tally, name, amount), answer=lambda: answers.append(200))
        return answers

    def read(self, tally="t"):
        answers = []
        self.tallies.read(tally=tally, answer=answers.append)
        return answers


class Net:
    """Three nodes, and the messages in flight between them."""

    def __init__(self):
        self.queue, self.incarnations = [], 0
        self.nodes = {}
        for host in HOSTS:
            self.start(host)

    def start(self, host, **options):
        node = self.nodes[host] = Node(self, host, **options)
        for other in self.nodes:
            if other != host:
                self.join(host, other)
        node.tallies.start()
        node.tallies.handle_dialed()
        return node

    def join(self, one, other):
        for source, target in ((one, other), (other, one)):
            link = Link(net=self, source=source, target=target)
            link.back = Link(net=self, source=target, target=source)
            link.back.back = link
            self.nodes[source].links[target] = link

    def cut(self, one, *others):
        for other in others or [host for host in HOSTS if host != one]:
            self.nodes[one].links.pop(other, None)
            self.nodes[other].links.pop(one, None)

    def run(self):
        while self.queue:
            link, message = self.queue.pop(0)
            target = self.nodes[link.target]
            handler = target.tallies.handlers()[type(message)]
            if link.source in target.links or link.back.source in target.links:
                handler(link.back, message)

    def tick(self, count=1):
        for _number in range(count):
            for node in self.nodes.values():
                for link in node.links.values():
                    link.last_received_at += 1.0
                node.tallies.tick()
            self.run()


def net_and_first_two_nodes():
    """Returns a net of three nodes, and the first two of them."""
    net = Net()
    return net, net.nodes[HOSTS[0]], net.nodes[HOSTS[1]]


def test_add_is_acknowledged_once_on_enough_disks():
    net, first, _second = net_and_first_two_nodes()
    answers = first.add("x", 4)
    assert answers == []
    net.run()
    assert answers == [200]
    assert [node.tallies.state.total("t") for node in net.nodes.values()] == [4, 4, 4]


def test_add_is_acknowledged_despite_a_stalled_own_disk_but_not_with_one_copy():
    net, first, second = net_and_first_two_nodes()
    first.disk.is_stalled = True
    answers = first.add("x")
    net.run()
    assert answers == [200]  # the add is on the disks of the two others
    second.disk.is_stalled = True
    late = first.add("y")
    net.run()
    net.tick(20)  # a node whose disk stalls stays in reach
    assert late == []


def test_isolated_node_acknowledges_adds_alone_and_merges_after_the_partition():
    net, first, second = net_and_first_two_nodes()
    second.add("before", 1)
    net.run()
    net.tick()
    net.cut(HOSTS[0])
    answers = first.add("here", 10)
    second.add("there", 100)
    net.tick(peer_reach.SILENT_INTERVALS - 1)
    assert answers == []
    net.tick()
    assert answers == [200] and first.add("at once") == [200]
    assert first.read() == [12] and second.read() == [101]
    for other in HOSTS[1:]:
        net.join(HOSTS[0], other)
    net.tick(3)
    assert first.read() == second.read() == [112]


def test_same_add_at_two_nodes_counts_once_and_is_acknowledged_by_both():
    net, first, second = net_and_first_two_nodes()
    first.add("x", 4)
    net.run()
    again = second.add("x", 4)
    net.run()
    net.tick(2)
    assert again == [200] and second.read() == [4]


def test_cancelled_add_is_counted_but_not_acknowledged():
    net, first, _second = net_and_first_two_nodes()
    answers = []
    cancel = first.tallies.add(add=TallyAdd("t", "x", 1), answer=lambda: answers.append(200))
    cancel()
    net.run()
    assert answers == [] and first.read() == [1]


def test_node_with_an_emptied_disk_answers_reads_after_merging():
    net, first, _second = net_and_first_two_nodes()
    first.add("x", 4)
    net.run()
    net.tick()
    emptied = net.start(HOSTS[1])
    answers = emptied.read()
    assert answers == []
    net.tick(4)
    assert answers == [4] and emptied.tallies.is_merged


def test_isolated_node_with_an_emptied_disk_fails_reads_until_peers_are_out_of_reach():
    net, first, _second = net_and_first_two_nodes()
    first.add("x", 4)
    net.run()
    emptied = net.start(HOSTS[1])
    net.cut(HOSTS[1])
    answers = emptied.read()
    emptied.loop.run_until(tally_service.READ_WAIT_SHARE)
    assert answers == [None]
    net.tick(peer_reach.FIRST_SILENT_INTERVALS)
    assert emptied.read() == [0] and emptied.add("y", 1) == [200]


def test_restarted_node_answers_reads_at_once_and_writes_to_a_new_log():
    net, first, _second = net_and_first_two_nodes()
    first.add("x", 4)
    net.run()
    again = net.start(HOSTS[0], disk=first.disk)
    assert again.read() == [4]
    again.add("y", 1)
    net.run()
    net.tick(2)
    assert len({log.incarnation for log in again.tallies.state.positions()}) == 2
    assert net.nodes[HOSTS[2]].read() == [5]


def test_full_node_rejects_new_adds_and_accepts_repeated_ones():
    net = Net()
    node = net.start(HOSTS[0], max_kept=3)  # room for two ids and the name of their tally
    net.run()
    for name in ("x", "y"):
        assert node.tallies.can_accept(TallyAdd("t", name, 1))
        node.add(name)
        net.run()
    assert not node.tallies.can_accept(TallyAdd("t", "z", 1))
    assert node.tallies.can_accept(TallyAdd("t", "x", 1))


def test_node_has_handed_over_once_enough_peers_have_all_of_its_adds():
    net, first, second = net_and_first_two_nodes()
    assert first.tallies.has_handed_over()
    second.disk.is_stalled = net.nodes[HOSTS[2]].disk.is_stalled = True
    first.add("x")
    net.run()
    assert not first.tallies.has_handed_over()
    for node in net.nodes.values():
        stalled, node.loop.stalled = node.loop.stalled, []
        for work, done in stalled:
            work()
            done(Outcome())
    net.run()
    assert first.tallies.has_handed_over()


def test_disk_of_a_leaving_node_does_not_count_as_a_copy():
    net, first, _second = net_and_first_two_nodes()
    first.add("first")
    net.run()
    first.leaving = {HOSTS[1]}
    net.nodes[HOSTS[2]].disk.is_stalled = True
    answers = first.add("x")
    net.run()
    assert answers == []


def test_report_shows_lagging_and_unreachable_peers():
    net, first, _second = net_and_first_two_nodes()
    first.add("x", 4)
    net.run()
    net.tick()
    net.cut(HOSTS[0], HOSTS[1])
    net.nodes[HOSTS[2]].disk.is_stalled = True
    first.add("y", 1)
    net.tick(4)
    report = first.tallies.report()
    assert report.totals == {"t": 5} and report.kept == 3 and report.waiting == 1
    assert not report.peers[HOSTS[1]].is_in_reach and report.peers[HOSTS[1]].behind is None
    assert report.peers[HOSTS[2]].is_in_reach and report.peers[HOSTS[2]].behind == 1
