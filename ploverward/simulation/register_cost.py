"""Measures the cost of a change of the configuration register, by earlier changes and by routes (docs/register.md 5).

    python3 -m ploverward.simulation.register_cost            measures and prints tables
    python3 -m ploverward.simulation.register_cost --json     the same for machines

The measurements use the real proposer, acceptors, frames and files (in a temporary folder), without sockets. Bytes are
those of packed frames over all members; processor time is that of this process, for all members together, without the
wait for a sync. Catch-up runs in the simulated world of `ploverward.simulation.consensus_cluster` and is measured in
its time: frames take 1 to 50 ms, writes 1 to 10 ms.
"""

import argparse
import collections
import collections.abc
import json
import logging
import os
import tempfile
import time
import typing

from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import disk
from ploverward.control_plane.consensus import register_names
from ploverward.simulation import consensus_cluster
from ploverward.simulation import register_node
from ploverward.simulation.register_group import LIMIT_BYTES
from ploverward.simulation.register_group import NAME
from ploverward.simulation.register_group import CostMeter
from ploverward.simulation.register_group import Member
from ploverward.simulation.register_group import MeteredGroup
from ploverward.simulation.register_group import archive_payload
from ploverward.simulation.register_group import configuration_payload
from ploverward.simulation.register_group import replace_with
from ploverward.transport import frames
from ploverward.transport import messages

CHANGES = (0, 100, 1000, 4100)  # changes made before the measured ones
ROUTES = (10, 100, 500, 2000)  # routes in the configuration
MEMBERS = 5
MEASURED = 60  # changes over which a mean is taken
STEP_S = 0.5  # simulated time between the changes before a catch-up
POLL_S = 0.005  # simulated time between two polls for the end of a catch-up
MAX_CATCH_UP_S = 60.0  # simulated time after which a catch-up is given up

Row = dict[str, typing.Any]  # row of a table: column name to number or text


def cost(
    *, routes: int, changes: int, members: int = MEMBERS, measured: int = MEASURED, names_accepted_state: bool = True
) -> Row:
    """Returns the mean costs of a change.

    Args:
        routes: Number of routes in the configuration.
        changes: Number of changes made before the measured ones.
        members: Number of voting members.
        measured: Number of measured changes.
        names_accepted_state: Whether the proposer names the value that it has accepted, so that replies omit it.
    """
    with tempfile.TemporaryDirectory() as folder:
        group = MeteredGroup(folder=folder, members=members, names_accepted_state=names_accepted_state)
        group.change(edit=replace_with(configuration_payload(routes=routes, changes=changes)))
        group.meter = CostMeter()
        before = [member.disk.written for member in group.members.values()]
        for number in range(changes + 1, changes + 1 + measured):
            value = configuration_payload(routes=routes, changes=number)
            group.change(edit=replace_with(value))
        written = max(member.disk.written - size for member, size in zip(group.members.values(), before, strict=True))
        meter = group.meter
        return {
            "routes": routes,
            "changes": changes,
            "members": members,
            "value_bytes": group.value_bytes(NAME),
            "wire_bytes": sum(meter.bytes.values()) / measured,
            "promise_bytes": meter.bytes[messages.Promise] / measured,
            "accept_bytes": meter.bytes[messages.Accept] / measured,
            "disk_bytes": written / measured,
            "cpu_ms": 1000 * sum(meter.seconds.values()) / measured,
            "proposer_ms": 1000 * meter.seconds["proposer"] / measured,
            "frames_ms": 1000 * meter.seconds["frames"] / measured,
            "disk_ms": 1000 * meter.seconds["disk"] / measured,
        }


def file_growth(*, routes: int, changes: int, limit_bytes: int = LIMIT_BYTES) -> Row:
    """Returns the largest file size and the number of rewrites at one member over this number of changes."""
    with tempfile.TemporaryDirectory() as folder:
        member = Member(name="a", folder=os.path.join(folder, "a"), limit_bytes=limit_bytes)
        group = MeteredGroup(folder=os.path.join(folder, "rest"), members=1, names_accepted_state=True)
        group.change(edit=replace_with(configuration_payload(routes=routes, changes=0)))
        value = next(iter(group.members.values())).acceptor.get(NAME).value
        largest = 0
        for number in range(1, changes + 1):
            for accepted in (number - 1, number):  # one promise and one accept per change
                row = messages.RegisterRow(
                    NAME, Ballot(number, "a"), Ballot(accepted, "a"), accepted, value if accepted else b""
                )
                member.acceptor.install(rows=[row])
                member.save(row)
            largest = max(largest, member.file_bytes)
        begun = time.process_time()
        acceptor_storage.AcceptorStorage(disk=disk.Disk(folder=member.folder), limit_bytes=LIMIT_BYTES).load()
        loaded_s = time.process_time() - begun
        return {
            "routes": routes,
            "changes": changes,
            "value_bytes": len(value),
            "largest_file_bytes": largest,
            "rewrites": member.store.rewrites,
            "load_ms": 1000 * loaded_s,
        }


def catch_up(*, changes: int, scenario: str, seed: int = 1) -> Row:
    """Measures the simulated time from the start of a member until it votes and knows the newest version.

    Args:
        changes: Number of changes made before the start.
        scenario: State of the member: "restarted" (after a power loss), "absent" (restarted, and down for the last half
            of the changes), "emptied" (its disk is lost) or "new".
        seed: Seed of the simulated world.

    Returns:
        A row; `voted_early` counts the polls in which an emptied or new member voted without the newest version.
    """
    is_new = scenario == "new"
    cluster = consensus_cluster.ConsensusCluster(seed=seed, seeds=("a", "b", "c"))
    world, member = cluster.world, "c"
    if is_new:
        member = "d"
        node = register_node.Node(world=world, name="d", nodes=cluster.nodes, seeds=("a", "b", "c"), has_identity=False)
        node.stop(is_wiped=True)
        cluster.nodes["d"] = node
    begun_s = 2.0
    for number in range(changes):
        world.later(begun_s + number * STEP_S, lambda: cluster.call("a", kind="change"))
    end_s = begun_s + changes * STEP_S + 2.0
    if scenario == "absent":
        world.later(begun_s + changes * STEP_S / 2, lambda: cluster.nodes[member].stop(loses_power=True))
    world.run(until=end_s)
    if scenario == "restarted":
        cluster.nodes[member].stop(loses_power=True)
    elif scenario == "emptied":
        cluster.nodes[member].stop(is_wiped=True)
    newest = cluster.nodes["a"].versions[NAME]
    node = cluster.nodes[member]
    node.start()
    early = 0
    while node.versions.get(NAME, 0) < newest or not node.votes:
        if scenario in ("emptied", "new") and node.votes and node.durable_revision(NAME) < newest:
            early += 1
        world.run(until=world.time + POLL_S)
        if world.time > end_s + MAX_CATCH_UP_S:
            break
    return {
        "how": scenario,
        "changes": changes,
        "versions": newest,
        "caught_up_s": world.time - end_s,
        "voted_early": early,
    }


def catch_up_bytes(*, routes: int, changes: int, members: int = MEMBERS) -> Row:
    """Returns the bytes sent to an emptied member when all others answer at once, by the size of their state."""
    with tempfile.TemporaryDirectory() as folder:
        group = MeteredGroup(folder=folder, members=members, names_accepted_state=True)
        group.change(edit=replace_with(configuration_payload(routes=routes, changes=changes)))
        group.change(name=register_names.ARCHIVE, edit=replace_with(archive_payload(changes=changes)))
        responders = list(group.members.values())[1:]
        row_sets = [member.acceptor.rows() for member in responders]
        look = sum(len(frames.pack(messages.CatchUpReply(1, True, rows))) for rows in row_sets)
        fence = sum(
            len(frames.pack(messages.CatchUpReply(2, True, tuple(row._replace(value=b"") for row in rows))))
            for rows in row_sets
        )
        return {"routes": routes, "changes": changes, "look_bytes": look, "fence_bytes": fence}


def format_table(rows: collections.abc.Sequence[Row]) -> str:
    """Formats rows as a Markdown table."""
    names = list(rows[0])
    lines = ["| " + " | ".join(names) + " |", "|" + " --- |" * len(names)]
    for row in rows:
        cells = [f"{row[name]:,.2f}" if isinstance(row[name], float) else str(row[name]) for name in names]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def measure(
    *,
    changes: tuple[int, ...] = CHANGES,
    routes: tuple[int, ...] = ROUTES,
    measured: int = MEASURED,
    seeds: collections.abc.Sequence[int] = range(3),
) -> dict[str, list[Row]]:
    """Measures all tables and returns them by title.

    Args:
        changes: Numbers of changes made before the measured ones.
        routes: Numbers of routes in the configuration.
        measured: Number of changes over which a mean is taken.
        seeds: Seeds of the catch-ups, of which the worst is reported.
    """
    logging.disable(logging.CRITICAL)
    try:
        return {
            "by changes": [cost(routes=routes[1], changes=count, measured=measured) for count in changes],
            "by routes": [cost(routes=count, changes=changes[1], measured=measured) for count in routes],
            "by routes, values in every promise": [
                cost(routes=count, changes=changes[1], measured=measured, names_accepted_state=False)
                for count in routes
            ],
            "refill": [catch_up_bytes(routes=routes[1], changes=count) for count in changes]
            + [catch_up_bytes(routes=routes[-1], changes=changes[-1])],
            "file": [file_growth(routes=count, changes=changes[-1]) for count in (routes[0], routes[1])],
            "catch-up": [
                max(
                    (catch_up(changes=count, scenario=scenario, seed=seed) for seed in seeds),
                    key=lambda row: (row["voted_early"], row["caught_up_s"]),
                )
                for count in changes[1:]
                for scenario in ("restarted", "absent", "emptied", "new")
            ],
        }
    finally:
        logging.disable(logging.NOTSET)


def main() -> None:
    """Measures all tables and prints them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    tables = measure()
    if options.json:
        print(json.dumps(tables, indent=1))
        return
    for name, rows in tables.items():
        print(f"\n{name}\n\n{format_table(rows)}")


if __name__ == "__main__":
    main()
