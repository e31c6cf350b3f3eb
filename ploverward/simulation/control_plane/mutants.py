"""Faults planted in the product's code, to show that the checks of the model world see them (docs/simulate.md).

Each is a patch for the time of one day, in this process alone. A patch whose place is gone raises: then it has to be
brought to where the code is now.
"""

import contextlib
import dataclasses
import typing
from unittest import mock

from ploverward.common.identifiers import NO_VERSION
from ploverward.control_plane.cluster import coordinator
from ploverward.control_plane.cluster import majority_lease
from ploverward.control_plane.cluster import share_lease_granter
from ploverward.control_plane.cluster import singleton_roles
from ploverward.control_plane.cluster import voting_set
from ploverward.control_plane.configuration import order_archive
from ploverward.control_plane.configuration import orders
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import consensus_node
from ploverward.control_plane.consensus import proposer
from ploverward.control_plane.consensus import write_ahead_log
from ploverward.control_plane.distribution import subscriber
from ploverward.control_plane.quotas import share_leases
from ploverward.simulation.control_plane import scenario
from ploverward.transport import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mutant:
    """A planted fault, the days that are to show it within how many of them, and the checks that are to see it."""

    patches: typing.Callable  # () -> context managers
    checks: tuple
    plan: dict = dataclasses.field(default_factory=dict)
    first_seed: int = 0
    max_seeds: int = 40


@dataclasses.dataclass(frozen=True)
class Detection:
    """The day that showed a planted fault."""

    run_number: int
    seed: int
    check: str


def _seeds_as_default_set() -> list:
    """A node with an empty disk takes the seeds of its settings for the set in force, whenever it starts."""
    load = consensus_node.ConsensusNode._load

    def _load(self, store, seeds, is_first_start):
        load(self, store, seeds, True)

    return [mock.patch.object(consensus_node.ConsensusNode, "_load", _load)]


def _votes_before_catch_up() -> list:
    """An emptied node takes a new name and votes at once, with nothing that it had promised or accepted."""

    def _look(self):
        self._begin(acceptor_storage.Image(incarnation=self._unique_id(), first_set=self.own_set))

    load = consensus_node.ConsensusNode._load

    def _load(self, store, seeds, is_first_start):
        self.own_set = tuple(sorted(seeds))
        load(self, store, seeds, is_first_start)
        self.proposer.is_learner = False

    return [
        mock.patch.object(consensus_node.ConsensusNode, "_look", _look),
        mock.patch.object(consensus_node.ConsensusNode, "_load", _load),
    ]


def _grant_without_lease() -> list:
    """Entries are handed out without contact with a majority."""
    handle = share_lease_granter.ShareLeaseGranter.handle_renewal

    def handle_renewal(self, connection, message):
        with mock.patch.object(self._membership, "has_majority_lease", lambda: True):
            handle(self, connection, message)

    return [mock.patch.object(share_lease_granter.ShareLeaseGranter, "handle_renewal", handle_renewal)]


def _moved_part_at_once() -> list:
    """A node whose part of the bounds grew hands it out without waiting for the older entries to run out."""
    return [mock.patch.object(share_leases.OwnedShare, "value", lambda self: self._share)]


def _quorum_read_ahead_of_disk() -> list:
    """What is told without a wait is read from memory, whether or not the disk holds it."""

    def get(self):
        return self._acceptor

    durable = property(get, lambda self, _value: None)
    return [mock.patch.object(write_ahead_log.WriteAheadLog, "durable", durable, create=True)]


def _acknowledged_before_durable() -> list:
    """Answers go out before the disk holds what they tell."""
    when_durable = write_ahead_log.WriteAheadLog.when_durable

    def early(self, *, key, callback):
        callback()
        when_durable(self, key=key, callback=lambda: None)

    return [mock.patch.object(write_ahead_log.WriteAheadLog, "when_durable", early)]


def _few_order_ids() -> list:
    """Marks of taken orders are kept for the last few only."""
    return [
        mock.patch.object(orders, "trimmed", lambda *, rows, archived: rows[-4:]),
        mock.patch.object(order_archive, "has", lambda *, payload, order_id: False),
    ]


def _set_stops_at_four() -> list:
    """The set takes machines one by one and stops at one more than the seeds were."""
    choose = voting_set.next_set

    def next_set(*, view, wanted):
        target = choose(view=view, wanted=wanted)
        added = sorted(set(target) - set(view.members))
        if not added:
            return target
        if len(view.members) > 3:
            return tuple(sorted(view.members))
        return tuple(sorted({*view.members, added[0]}))

    return [mock.patch.object(voting_set, "next_set", next_set)]


def _acknowledged_by_one() -> list:
    """A change counts as chosen once a single member has accepted it."""
    handle = proposer.Proposer.handle_accepted

    def handle_accepted(self, member, reply):
        with mock.patch.object(ballots, "has_majority", lambda *, of, among: any(one in among for one in of)):
            handle(self, member, reply)

    return [mock.patch.object(proposer.Proposer, "handle_accepted", handle_accepted)]


def _restarted_leader() -> list:
    """A node that held the watch duty goes on under the old epoch after a restart."""

    def is_owner(self):
        return self._role_table.owner(singleton_roles.COORDINATOR).address == self._own

    return [mock.patch.object(coordinator.ClusterCoordinator, "is_owner", property(is_owner))]


def _contact_from_answers() -> list:
    """Contact counts from when an answer came, not from when its heartbeat was sent; newer sets told are ignored."""

    def lease_until(self, *, members, version, is_supporting=True):
        return self._now() + self._lease_s

    return [mock.patch.object(majority_lease.MajorityLease, "lease_until", lease_until)]


def _versions_go_back() -> list:
    """A follower takes on any image that it is told."""

    def handle_snapshot(self, link, message):
        self._on_snapshot(message)
        self.versions[message.topic] = message.version
        self._fetches.pop(message.topic, None)
        return True

    def handle_announcement(self, link, message):
        for topic, version in message.versions:
            self._announced.setdefault(topic, {})[link] = version
            link.send(messages.Fetch(topic=topic, known=NO_VERSION))

    return [
        mock.patch.object(subscriber.Subscriber, "handle_snapshot", handle_snapshot),
        mock.patch.object(subscriber.Subscriber, "handle_announcement", handle_announcement),
    ]


def _race_lost_and_accepted() -> list:
    """An order is taken whatever version it builds on."""
    edit_for = orders.edit_for

    def unchecked_edit(*, order, archived):
        edit = edit_for(order=order, archived=archived)

        def taken(payload):
            base = orders.edition_of(payload)
            if order.candidate is not None and order.base != base and order.candidate.edition > base:
                return edit_for(order=dataclasses.replace(order, base=base), archived=archived)(payload)
            return edit(payload)

        return taken

    return [mock.patch.object(orders, "edit_for", unchecked_edit)]


HISTORY = (
    "agreement",
    "configurations",
    "one base",
    "acknowledged",
    "refused orders",
    "reads",
    "evacuations",
    "duties",
    "the end",
)
POWER = {"troubles": ("all_power", "power"), "closing": ("all_power",), "disk": 3}
FAULTS = {
    "seeds as the default set": Mutant(
        patches=_seeds_as_default_set, checks=HISTORY, plan={"troubles": ("empty", "replace", "cut")}, max_seeds=200
    ),
    "votes before refill": Mutant(
        patches=_votes_before_catch_up,
        checks=HISTORY,
        plan={"troubles": ("empty", "cut", "freeze"), "closing": ("disks_lost", "disks_lost_others_power")},
        max_seeds=200,
    ),
    "grants without contact": Mutant(
        patches=_grant_without_lease, checks=("grants",), plan={"troubles": ("cut", "replace", "replace_at_once")}
    ),
    "a moved part at once": Mutant(
        patches=_moved_part_at_once, checks=("grants",), plan={"troubles": ("replace", "replace_at_once", "cut")}
    ),
    "peek ahead of the disk": Mutant(patches=_quorum_read_ahead_of_disk, checks=HISTORY, plan=POWER, max_seeds=200),
    "told before durable": Mutant(patches=_acknowledged_before_durable, checks=HISTORY, plan=POWER),
    "few marks of orders": Mutant(patches=_few_order_ids, checks=("resent orders", "refused orders")),
    "the set stops at four": Mutant(
        patches=_set_stops_at_four, checks=("core set",), plan={"machines": 5, "tolerated": 2}
    ),
    "acknowledged by one": Mutant(patches=_acknowledged_by_one, checks=HISTORY),
    "a restarted node leads": Mutant(
        patches=_restarted_leader, checks=("topics",), plan={"troubles": ("kill", "all_killed")}
    ),
    "contact without an end": Mutant(
        patches=_contact_from_answers,
        checks=("grants", "cut off", "topics"),
        plan={"troubles": ("cut", "freeze", "replace", "probe")},
    ),
    "news go back": Mutant(patches=_versions_go_back, checks=("back",)),
    "a lost race is taken": Mutant(patches=_race_lost_and_accepted, checks=("one base", "refused orders")),
}


def run_simulation(*, name: str, seed: int):
    """One day with this fault."""
    fault = FAULTS[name]
    with contextlib.ExitStack() as stack:
        for patch in fault.patches():
            stack.enter_context(patch)
        return scenario.run_simulation(scenario.Plan(seed=seed, **fault.plan))


def search(name: str):
    """The first day that shows this fault, or None."""
    fault = FAULTS[name]
    for number in range(fault.max_seeds):
        report = run_simulation(name=name, seed=fault.first_seed + number)
        seen = [finding.check for finding in report.findings if finding.check in fault.checks]
        if seen and not _is_seen_without(report.plan, seen[0]):
            return Detection(run_number=number + 1, seed=report.plan.seed, check=seen[0])
    return None


def _is_seen_without(plan, check: str) -> bool:
    """Whether the same day shows the same without the planted fault: then it is no proof."""
    return any(finding.check == check for finding in scenario.run_simulation(plan).findings)
