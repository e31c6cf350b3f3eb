"""Which core machines of a run can agree now: those that reach a majority of a core set (docs/simulate.md).

Who votes is not the matter of a fault alone: the core set changes while machines are cut off, and a machine that comes
back may complete the majority of a smaller side.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
from typing import TYPE_CHECKING

from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import register_names

if TYPE_CHECKING:
    from ploverward.simulation.control_plane import fleet as fleets
    from ploverward.simulation.control_plane import simulated_network


def can_agree(*, members: Sequence[str], reached: Collection[str], voters: Collection[str]) -> bool:
    """Returns whether machines that reach each other can agree under a core set once their learners have caught up.

    Args:
        members: The core set.
        reached: The machines that reach each other.
        voters: All machines that vote now; a learner needs n - majority + 1 of the n members to catch up.
    """
    voting = {host for host in reached if host in voters}
    needed = len(members) - ballots.majority(members) + 1
    can_catch_up = sum(host in voting for host in members) >= needed
    return ballots.has_majority(of=members, among=reached if can_catch_up else voting)


def sets_of_values(running: Sequence[fleets.Slot]) -> set[frozenset[tuple[str, ...]]]:
    """Returns the core sets of each value that running nodes accepted last in a register; in a move it has two."""
    nodes = [slot.machine.core.core for slot in running if slot.machine.core is not None]
    values = (node.consensus.acceptor.get(name).value for node in nodes for name in register_names.REGISTERS)
    return {frozenset(ballots.member_sets(value)) for value in values if value}


def voters_among(running: Sequence[fleets.Slot]) -> set[str]:
    """Returns the hosts of the running nodes that vote."""
    return {
        slot.machine.host
        for slot in running
        if slot.machine.core is not None and slot.machine.core.core.consensus.acceptor.votes
    }


def may_reach_majority(*, fleet: fleets.Fleet, network: simulated_network.Network, host: str) -> bool:
    """Returns whether a machine reaches enough others, in both directions, to agree on a value of some register."""
    running = [slot for slot in fleet.slots if not slot.is_down]
    others = {slot.machine.host for slot in running} - {host}
    reached = {other for other in others if not {(host, other), (other, host)} & network.partitions.keys()}
    voters = voters_among(running)
    return any(
        all(can_agree(members=members, reached=reached | {host}, voters=voters) for members in sets)
        for sets in sets_of_values(running)
    )
