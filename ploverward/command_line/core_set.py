"""`ploverward core-set`: who votes, who learns, how far each node is, what may be lost (docs/core-set.md)."""

import enum
from typing import Any

from ploverward.command_line import core_client as core_clients
from ploverward.command_line import exit_codes
from ploverward.command_line import options
from ploverward.command_line import output

PATH = "/ploverward/core-set"

Body = dict[str, Any]  # what one core node answers
Responses = dict[str, Body]  # by the node's address


class Silence(enum.Enum):
    """Why a member does not vote.

    Attributes:
        role: What the node's line says.
        reason: How the sentence on the fault ends.
    """

    LEARNS = ("learns", " yet: it learns")
    DISK = ("disk refuses writes", ": its disk refuses writes")

    def __init__(self, role: str, reason: str) -> None:
        self.role = role
        self.reason = reason


def command(_verb: str, arguments: list[str]) -> int:
    """Prints the core set as the core nodes see it."""
    if arguments:
        raise exit_codes.UsageError
    return run(core_client=core_clients.connect(), as_json=options.FLAGS.json, out=print)


def run(*, core_client: core_clients.CoreClient, as_json: bool, out: output.Out) -> int:
    """Prints the core set.

    Returns:
        `WELL` where it tolerates the losses that it should, `BROKEN` where it does not, `PARTS_MISSING` where it does
        and some nodes are out of reach.
    """
    answers, missed = core_client.all(path=PATH)
    responses = {address: body for address, (status, body) in answers.items() if status == 200}
    follow_members(core_client=core_client, responses=responses, missed=missed)
    newest, faults = judge(responses=responses)
    if as_json:
        output.print_json({"told": responses, "unreachable": missed, "faults": faults}, out=out, sort_keys=True)
    else:
        output.print_lines((*table(responses=responses, missed=missed, newest=newest), *faults), out=out)
    if faults:
        return exit_codes.ExitCode.BROKEN
    return exit_codes.ExitCode.PARTS_MISSING if missed else exit_codes.ExitCode.WELL


def follow_members(*, core_client: core_clients.CoreClient, responses: Responses, missed: core_clients.Missed) -> None:
    """Asks the members that the answers name as well, at the port of the node that named them.

    Args:
        core_client: Its type makes the clients for further nodes.
        responses: Gets the further answers.
        missed: Gets the further nodes that are out of reach.
    """
    asked = set(responses) | set(missed)
    for address, body in list(responses.items()):
        port = address.rpartition(":")[2]
        for host in (*body["members"], *body["in_touch"]):
            other = f"{host}:{port}"
            if other not in asked:
                asked.add(other)
                found, unreachable = type(core_client)(addresses=(other,)).all(path=PATH)
                responses.update({one: row for one, (status, row) in found.items() if status == 200})
                missed.update(unreachable)


def judge(*, responses: Responses) -> tuple[Body | None, list[str]]:
    """Compares the answers with what they should say.

    Returns:
        The newest answer of a node in contact with a majority, None where there is no such node; and a sentence on each
        thing that is not as it should be.
    """
    backed = [body for body in responses.values() if body["has_majority_contact"]]
    if not backed:
        return None, ["no node is in contact with a majority: no order is taken, nothing is agreed"]
    newest = max(backed, key=lambda body: body["version"])
    faults = []
    tolerated = (newest["wanted_voters"] - 1) // 2
    if newest["losses_borne"] < tolerated:
        faults.append(f"{newest['losses_borne']} further losses are borne now, {tolerated} are wanted")
    for name, row in sorted(newest["registers"].items()):
        if row["members"] != newest["members"]:
            faults.append(
                f"register '{name}' stands under {', '.join(row['members']) or 'no set'}: a move is under way"
            )
    faults += [
        f"{body['address']} is a member and does not vote{_silence(body).reason}"
        for body in responses.values()
        if body["address"] in newest["members"] and not body["votes"]
    ]
    return newest, faults


def _silence(body: Body) -> Silence:
    """Why a node that answers does not vote: a learner has nothing on its disk."""
    has_registers = any(row["on_disk"] for row in body["registers"].values())
    return Silence.DISK if has_registers else Silence.LEARNS


def table(*, responses: Responses, missed: core_clients.Missed, newest: Body | None) -> list[str]:
    """Returns lines for people: the set, then a line for each node."""
    lines = []
    members = () if newest is None else newest["members"]
    if newest is not None:
        lines.append(f"core set, version {newest['version']}: {', '.join(members)}")
        lines.append(f"watch: {newest['watch'] or 'nobody'}; further losses borne now: {newest['losses_borne']}")
    lines += [_node_line(address, body, members) for address, body in sorted(responses.items())]
    return lines + output.unreachable_lines(missed, template="{address}  unreachable: {why}")


def _node_line(address: str, body: Body, members: tuple | list) -> str:
    voting_role = "votes" if body["address"] in members else "outside the set"
    role = voting_role if body["votes"] else _silence(body).role
    contact = "in contact" if body["has_majority_contact"] else "no majority"
    versions = " ".join(f"{name}={row['on_disk']}/{row['known']}" for name, row in sorted(body["registers"].items()))
    return f"{address}  {role:15}  {contact:11}  {versions}"
