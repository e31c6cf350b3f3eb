"""A seeded simulation of voting nodes of the registers, with calls at them and faults.

A `ConsensusCluster` owns them. `ConsensusCluster.lost` lists acknowledged state that was not on the disk
(docs/register.md 3). Calls are kept as a history for `ploverward.simulation.linearizability`.
"""

import typing

from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.consensus.consensus_node import ConsensusNode
from ploverward.simulation import simulated_world
from ploverward.simulation.register_node import Node

NAME = register_names.CONFIGURATION


class ConsensusCluster:
    """Voting nodes, the calls made at them, and their faults.

    Args:
        seed: Seed of the random generator.
        seeds: The initial core set.
        others: Further nodes outside the core set.
        node_type: `ConsensusNode`, or a subclass with a seeded bug.

    Attributes:
        world: Simulated time and network.
        nodes: Nodes by name.
        history: The calls, in the format of `linearizability.faults`.
    """

    def __init__(
        self,
        *,
        seed: int,
        seeds: tuple[str, ...] = ("a", "b", "c"),
        others: tuple[str, ...] = (),
        node_type: type[ConsensusNode] = ConsensusNode,
    ) -> None:
        self.world = simulated_world.World(seed=seed)
        self.nodes: dict[str, Node] = {}
        self.history: list[dict[str, typing.Any]] = []
        self._wiped: str | None = None  # name of the node whose disk was lost last
        for name in (*seeds, *others):
            self.nodes[name] = Node(
                world=self.world,
                name=name,
                nodes=self.nodes,
                seeds=seeds,
                has_identity=True,
                node_type=node_type,
            )

    def call(self, name: str, *, kind: str, to: tuple[str, ...] | None = None) -> None:
        """Starts a call at a node, if the node runs.

        Args:
            name: Name of the node.
            kind: "read", or "change", which increments the counter in the register.
            to: For a change, the core set to which it moves the register.
        """
        voting = self.nodes[name].voting
        if voting is None:
            return
        record = {"begun": self.world.now(), "ended": None, "kind": "read" if kind == "read" else "change"}
        self.history.append(record)

        def done(error: Exception | None, _revision: int, payload: int | None, result: tuple[int, int]) -> None:
            if error is not None:
                return
            record["ended"] = self.world.now()
            if kind == "read":
                record["saw"] = payload or 0
            else:
                record["base"], record["made"] = result

        def edit(payload: int | None) -> tuple[int, tuple[int, int]]:
            base = payload or 0
            return base + 1, (base, base + 1)

        if kind == "read":
            voting.proposer.read(name=NAME, done=done)
        else:
            voting.proposer.change(name=NAME, edit=edit, done=done, next_set=to)

    def wipe(self, name: str, *, restart_after_s: float) -> None:
        """Wipes the disk of a node and restarts it, if all nodes vote: at most one node at a time has lost its disk."""
        if self._wiped is not None and not self.nodes[self._wiped].votes:
            return
        if not all(node.votes for node in self.nodes.values()):
            return
        self._wiped = name
        self.restart(name, restart_after_s=restart_after_s, is_wiped=True)

    def restart(self, name: str, *, restart_after_s: float, loses_power: bool = False, is_wiped: bool = False) -> None:
        """Stops a running node, and starts it again after a delay in seconds."""
        node = self.nodes[name]
        if not node.is_up:
            return
        node.stop(loses_power=loses_power, is_wiped=is_wiped)
        self.world.later(restart_after_s, node.start)

    def inject_disk_fault(self, name: str, kind: str, *, duration_s: float) -> None:
        """Injects "hang" or a fault of `simulated_files.Files` into the disk of a node for a duration in seconds."""
        node = self.nodes[name]
        if kind == "hang":
            node.hangs_until = max(node.hangs_until, self.world.now() + duration_s)
            return
        node.files.faults.add(kind)
        self.world.later(duration_s, lambda: node.files.faults.discard(kind))

    @property
    def lost(self) -> list[tuple]:
        """State that any node acknowledged and that was not on its disk."""
        return [row for node in self.nodes.values() for row in node.lost]
