"""ploverward core-set: who votes, who learns, how far each core node is, and what may still be lost (docs/core-set.md)."""

import json

WELL, SHORT, PARTS_MISSING = 0, 1, 3


def follow_members(*, core_client, responses: dict, missed: dict) -> None:
    """Asks the members that the answers name as well, at the port of the node that named them."""
    asked = set(responses) | set(missed)
    for address, body in list(responses.items()):
        port = address.rpartition(":")[2]
        for host in (*body["members"], *body["in_touch"]):
            other = f"{host}:{port}"
            if other not in asked:
                asked.add(other)
                found, unreachable = type(core_client)(addresses=(other,)).all(path="/ploverward/core-set")
                responses.update({one: row for one, (status, row) in found.items() if status == 200})
                missed.update(unreachable)


def judge(*, responses: dict) -> tuple:
    """(the newest answer from a node with a majority, or None; sentences on what is not as it should be)."""
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
    for body in responses.values():
        if body["address"] in newest["members"] and not body["votes"]:
            faults.append(f"{body['address']} is a member and does not vote yet: it learns")
    return newest, faults


def table(*, responses: dict, missed: dict, newest) -> list:
    """Lines for people."""
    lines = []
    if newest is not None:
        lines.append(f"core set, version {newest['version']}: {', '.join(newest['members'])}")
        lines.append(f"watch: {newest['watch'] or 'nobody'}; further losses borne now: {newest['losses_borne']}")
    for address, body in sorted(responses.items()):
        is_member = newest is not None and body["address"] in newest["members"]
        role = "votes" if body["votes"] and is_member else "learns" if not body["votes"] else "outside the set"
        contact = "in contact" if body["has_majority_contact"] else "no majority"
        versions = " ".join(
            f"{name}={row['on_disk']}/{row['known']}" for name, row in sorted(body["registers"].items())
        )
        lines.append(f"{address}  {role:15}  {contact:11}  {versions}")
    lines += [f"{address}  unreachable: {why}" for address, why in sorted(missed.items())]
    return lines


def run(*, core_client, as_json: bool, out) -> int:
    """Prints the core set. 0: it bears what it should; 1: it does not; 3: it does, with nodes out of reach."""
    answers, missed = core_client.all(path="/ploverward/core-set")
    responses = {address: body for address, (status, body) in answers.items() if status == 200}
    follow_members(core_client=core_client, responses=responses, missed=missed)
    newest, faults = judge(responses=responses)
    if as_json:
        out(json.dumps({"told": responses, "unreachable": missed, "faults": faults}, indent=2, sort_keys=True))
    else:
        for line in (*table(responses=responses, missed=missed, newest=newest), *faults):
            out(line)
    if faults:
        return SHORT
    return PARTS_MISSING if missed else WELL
