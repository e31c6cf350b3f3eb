"""`ploverward core-set`: prints voters, learners, register versions and tolerable losses (docs/core-set.md)."""

import enum
from typing import Any

from ploverward.command_line import core_client as core_clients
from ploverward.command_line import exit_codes
from ploverward.command_line import options
from ploverward.command_line import output

PATH = "/ploverward/core-set"

Body = dict[str, Any]  # response of one core node
Responses = dict[str, Body]  # by node address


class NonVotingReason(enum.Enum):
    """Reason why a member does not vote.

    Attributes:
        role: Role that is printed in the node's line.
        reason: End of the sentence that reports the fault.
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


def run(*, core_client: core_clients.CoreClient, as_json: bool, out: output.LineWriter) -> int:
    """Prints the core set.

    Returns:
        `FAILURE` if a fault was found, such as fewer tolerable losses than configured; `INCOMPLETE` if none was found
        but some nodes are unreachable; else `SUCCESS`.
    """
    answers, unreachable = core_client.read_all(path=PATH)
    responses = {address: body for address, (status, body) in answers.items() if status == 200}
    query_named_members(core_client=core_client, responses=responses, unreachable=unreachable)
    newest, faults = find_faults(responses=responses)
    if as_json:
        output.print_json({"told": responses, "unreachable": unreachable, "faults": faults}, out=out, sort_keys=True)
    else:
        output.print_lines(
            (*format_table(responses=responses, unreachable=unreachable, newest=newest), *faults), out=out
        )
    if faults:
        return exit_codes.ExitCode.FAILURE
    return exit_codes.ExitCode.INCOMPLETE if unreachable else exit_codes.ExitCode.SUCCESS


def query_named_members(
    *, core_client: core_clients.CoreClient, responses: Responses, unreachable: core_clients.UnreachableNodes
) -> None:
    """Queries also the members named in the responses, at the port of the node that named them.

    Args:
        core_client: Client whose type is used to make the clients for further nodes.
        responses: Receives the further responses.
        unreachable: Receives the further nodes that could not be reached.
    """
    queried = set(responses) | set(unreachable)
    for address, body in list(responses.items()):
        port = address.rpartition(":")[2]
        for host in (*body["members"], *body["in_touch"]):
            other = f"{host}:{port}"
            if other not in queried:
                queried.add(other)
                found, also_unreachable = type(core_client)(addresses=(other,)).read_all(path=PATH)
                responses.update({one: row for one, (status, row) in found.items() if status == 200})
                unreachable.update(also_unreachable)


def find_faults(*, responses: Responses) -> tuple[Body | None, list[str]]:
    """Checks the responses for faults of the core set.

    Returns:
        The newest response of a node in contact with a majority, or None if there is no such node; and one sentence
        for each fault.
    """
    with_majority = [body for body in responses.values() if body["has_majority_contact"]]
    if not with_majority:
        return None, ["no node is in contact with a majority: no order is taken, nothing is agreed"]
    newest = max(with_majority, key=lambda body: body["version"])
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
        f"{body['address']} is a member and does not vote{_non_voting_reason(body).reason}"
        for body in responses.values()
        if body["address"] in newest["members"] and not body["votes"]
    ]
    return newest, faults


def _non_voting_reason(body: Body) -> NonVotingReason:
    """Returns why a node does not vote; unlike a node with a failing disk, a learner has no registers on its disk."""
    has_registers = any(row["on_disk"] for row in body["registers"].values())
    return NonVotingReason.DISK if has_registers else NonVotingReason.LEARNS


def format_table(*, responses: Responses, unreachable: core_clients.UnreachableNodes, newest: Body | None) -> list[str]:
    """Returns lines for people: the core set, then one line per node."""
    lines = []
    members = () if newest is None else newest["members"]
    if newest is not None:
        lines.append(f"core set, version {newest['version']}: {', '.join(members)}")
        lines.append(f"watch: {newest['watch'] or 'nobody'}; further losses borne now: {newest['losses_borne']}")
    lines += [_node_line(address, body, members) for address, body in sorted(responses.items())]
    return lines + output.unreachable_lines(unreachable, template="{address}  unreachable: {why}")


def _node_line(address: str, body: Body, members: tuple | list) -> str:
    voting_role = "votes" if body["address"] in members else "outside the set"
    role = voting_role if body["votes"] else _non_voting_reason(body).role
    contact = "in contact" if body["has_majority_contact"] else "no majority"
    versions = " ".join(f"{name}={row['on_disk']}/{row['known']}" for name, row in sorted(body["registers"].items()))
    return f"{address}  {role:15}  {contact:11}  {versions}"
