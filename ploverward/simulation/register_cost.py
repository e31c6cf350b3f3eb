"""What a change of the configuration's register costs, against changes made before and against routes: docs/register.md 5.

    python3 -m ploverward.simulation.register_cost            measures and prints tables
    python3 -m ploverward.simulation.register_cost --json     the same for machines

The real proposer, acceptors, frames and files (in a folder that is removed again), without sockets. Bytes are those of
packed frames over all members; processor time is this process's own, for all members together, without the wait for a sync.
Catch-up is played in the simulated world of `ploverward.simulation.consensus_cluster`, in its time: frames take 1 to 50 ms, writes 1 to 10 ms.
"""

import argparse
import base64
import collections
import hashlib
import json
import logging
import os
import tempfile
import time

from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import acceptor
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import disk
from ploverward.control_plane.consensus import proposer
from ploverward.control_plane.consensus import register_names
from ploverward.simulation import consensus_cluster
from ploverward.transport import frames
from ploverward.transport import messages

CHANGES = (0, 100, 1000, 4100)
ROUTES = (10, 100, 500, 2000)
MEMBERS = 5
MEASURED = 60
LIMIT_BYTES = 8 * 1024 * 1024  # of the file, as with 128 MB of disk
ORDER_IDS_IN_VALUE = 64
ORDER_IDS_IN_ARCHIVE = 12288
NAME = register_names.CONFIGURATION


def route(number: int) -> dict:
    lead = hashlib.sha256(b"%d" % number).hexdigest()[:12]
    return {
        "name": f"route-{number}",
        "host": f"h{number % 40}.example",
        "pathLead": f"/{lead}/",
        "kind": "streaming",
        "expiryMs": 4000 + number % 7 * 500,
        "targetMs": 400,
        "destination": f"service-{number % 12}",
        "tries": 2,
        "sticky": True,
        "gapTargetMs": 300,
    }


def payload_of(*, routes: int, changes: int) -> dict:
    """A configuration's value after so many changes: its body, and the marks of the orders taken last."""
    order_ids = [
        [number, hashlib.sha256(b"o%d" % number).hexdigest()[:20]]
        for number in range(max(1, changes - ORDER_IDS_IN_VALUE + 1), changes + 1)
    ]
    return {"edition": changes, "body": {"routes": [route(number) for number in range(routes)]}, "recent": order_ids}


def archive_of(*, changes: int) -> dict:
    """The archive's value after so many changes: 8 bytes a mark."""
    order_ids = b"".join(
        hashlib.sha256(b"o%d" % number).digest()[:8] for number in range(min(changes, ORDER_IDS_IN_ARCHIVE))
    )
    return {"through": changes, "marks": base64.b64encode(order_ids).decode()}


class CountingDisk(disk.Disk):
    """Counts the bytes that are written."""

    def __init__(self, *, folder: str):
        super().__init__(folder=folder)
        self.written = 0

    def append(self, *, name: str, data: bytes, size_before: int) -> None:
        self.written += len(data)
        super().append(name=name, data=data, size_before=size_before)

    def replace(self, *, name: str, new_name: str, data: bytes) -> None:
        self.written += len(data)
        super().replace(name=name, new_name=new_name, data=data)


class Member:
    """One voter: acceptor and file."""

    def __init__(self, *, name: str, folder: str, limit_bytes: int = LIMIT_BYTES):
        os.makedirs(folder)
        self.folder = folder
        self.acceptor = acceptor.Acceptor(incarnation=name)
        self.disk = CountingDisk(folder=folder)
        self.store = acceptor_storage.AcceptorStorage(disk=self.disk, limit_bytes=limit_bytes)
        self.save()

    def save(self, *rows) -> None:
        image = acceptor_storage.Image(incarnation=self.acceptor.incarnation, rows=self.acceptor.rows())
        self.store.write(rows=rows, image=image)

    @property
    def file_bytes(self) -> int:
        return sum(os.path.getsize(os.path.join(self.folder, name)) for name in os.listdir(self.folder))


class QuotaMeter:
    """Sums of bytes by kind of frame and of processor seconds by step."""

    def __init__(self):
        self.bytes = collections.Counter()
        self.seconds = collections.Counter()

    def timed(self, step: str, callback):
        begun = time.process_time()
        result = callback()
        self.seconds[step] += time.process_time() - begun
        return result


class Group:
    """Members and one proposer at the first of them; frames are packed, counted and read again."""

    def __init__(self, *, folder: str, members: int, names_accepted_state: bool):
        self.meter = QuotaMeter()
        names = tuple(f"10.0.0.{number}" for number in range(1, members + 1))
        self.members = {name: Member(name=name, folder=os.path.join(folder, name)) for name in names}
        self._own = names[0]
        self._queue = collections.deque()
        accepted_value = (
            (lambda name: self.members[self._own].acceptor.get(name).accepted_value) if names_accepted_state else None
        )
        self.proposer = proposer.Proposer(
            own=f"{self._own}/abcdef",
            seeds=names,
            send=lambda member, message: self._queue.append((member, message)),
            later=lambda _delay, callback: self._queue.append((None, callback)) if _delay == 0 else None,
            now=lambda: 0.0,
            chance=lambda: 0.5,
            on_chosen=lambda *_row: None,
            limit_s=1.0,
            attempt_timeout_s=0.1,
            accepted_value=accepted_value,
        )

    def _carry(self, message: tuple, *, is_local: bool) -> tuple:
        """Frames between a node and itself are handed over as they are."""
        if is_local:
            return message
        frame = self.meter.timed("frames", lambda: frames.pack(message))
        self.meter.bytes[type(message)] += len(frame)
        return self.meter.timed("frames", lambda: frames.unpack(frame))

    def change(self, *, edit, name=NAME) -> None:
        self.proposer.change(name=name, edit=edit, done=lambda *_row: None)
        while self._queue:
            member, message = self._queue.popleft()
            if member is None:
                message()
                continue
            self._deliver(member, message)

    def _deliver(self, member: str, message: tuple) -> None:
        is_local = member == self._own
        node = self.members[member]
        arrived = self._carry(message, is_local=is_local)
        is_prepare = isinstance(message, messages.Prepare)
        callback = node.acceptor.prepare if is_prepare else node.acceptor.accept
        answer, row = self.meter.timed("acceptor", lambda: callback(arrived))
        if row is not None:
            self.meter.timed("disk", lambda: node.save(row))
        received = self._carry(answer, is_local=is_local)
        handle = self.proposer.handle_promise if is_prepare else self.proposer.handle_accepted
        self.meter.timed("proposer", lambda: handle(member, received))


def cost(
    *, routes: int, changes: int, members: int = MEMBERS, measured: int = MEASURED, names_accepted_state: bool = True
) -> dict:
    """Means of one change, made on a configuration of so many routes after so many changes."""
    with tempfile.TemporaryDirectory() as folder:
        group = Group(folder=folder, members=members, names_accepted_state=names_accepted_state)
        group.change(edit=lambda _payload: (payload_of(routes=routes, changes=changes), None))
        group.meter = QuotaMeter()
        before = [member.disk.written for member in group.members.values()]
        for number in range(changes + 1, changes + 1 + measured):
            value = payload_of(routes=routes, changes=number)
            group.change(edit=lambda _payload, value=value: (value, None))
        written = max(member.disk.written - size for member, size in zip(group.members.values(), before, strict=True))
        meter = group.meter
        value_bytes = len(group.members[group._own].acceptor.get(NAME).value)
        return {
            "routes": routes,
            "changes": changes,
            "members": members,
            "value_bytes": value_bytes,
            "wire_bytes": sum(meter.bytes.values()) / measured,
            "promise_bytes": meter.bytes[messages.Promise] / measured,
            "accept_bytes": meter.bytes[messages.Accept] / measured,
            "disk_bytes": written / measured,
            "cpu_ms": 1000 * sum(meter.seconds.values()) / measured,
            "proposer_ms": 1000 * meter.seconds["proposer"] / measured,
            "frames_ms": 1000 * meter.seconds["frames"] / measured,
            "disk_ms": 1000 * meter.seconds["disk"] / measured,
        }


def file_growth(*, routes: int, changes: int, limit_bytes: int = LIMIT_BYTES) -> dict:
    """The largest file and the rewrites over so many changes at one member."""
    with tempfile.TemporaryDirectory() as folder:
        member = Member(name="a", folder=os.path.join(folder, "a"), limit_bytes=limit_bytes)
        group = Group(folder=os.path.join(folder, "rest"), members=1, names_accepted_state=True)
        group.change(edit=lambda _payload: (payload_of(routes=routes, changes=0), None))
        value = next(iter(group.members.values())).acceptor.get(NAME).value
        largest = 0
        for number in range(1, changes + 1):
            for accepted in (number - 1, number):  # a promise and an accept each
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


def catch_up(*, changes: int, how: str, seed: int = 1) -> dict:
    """Simulated seconds from the start of a member until it votes and knows the newest version.

    how: "restarted" (power lost), "absent" (restarted, away for the last half of the changes), "emptied", "new".
    """
    is_new = how == "new"
    model = consensus_cluster.Model(seed=seed, seeds=("a", "b", "c"))
    world, late = model.world, "c"
    if is_new:
        late = "d"
        node = consensus_cluster.Node(
            world=world, name="d", nodes=model.nodes, seeds=("a", "b", "c"), is_first_start=False
        )
        node.stop(is_wiped=True)
        model.nodes["d"] = node
    step_s, begun_s = 0.5, 2.0
    for number in range(changes):
        world.later(begun_s + number * step_s, lambda: model.call("a", kind="change"))
    end_s = begun_s + changes * step_s + 2.0
    if how == "absent":
        world.later(begun_s + changes * step_s / 2, lambda: model.nodes[late].stop(loses_power=True))
    world.run(until=end_s)
    if how == "restarted":
        model.nodes[late].stop(loses_power=True)
    elif how == "emptied":
        model.nodes[late].stop(is_wiped=True)
    newest = model.nodes["a"].versions[NAME]
    node = model.nodes[late]
    node.start()
    early = 0
    step = 0.005
    while node.versions.get(NAME, 0) < newest or not node.votes:
        early += (
            node.votes and node.voting.write_ahead_log.durable.get(NAME).revision < newest and how in ("emptied", "new")
        )
        world.run(until=world.time + step)
        if world.time > end_s + 60.0:
            break
    return {"how": how, "changes": changes, "versions": newest, "caught_up_s": world.time - end_s, "voted_early": early}


def catch_up_bytes(*, routes: int, changes: int, members: int = MEMBERS) -> dict:
    """Bytes that an emptied member is sent, when all others answer at once, by the size of what is held."""
    with tempfile.TemporaryDirectory() as folder:
        group = Group(folder=folder, members=members, names_accepted_state=True)
        group.change(edit=lambda _payload: (payload_of(routes=routes, changes=changes), None))
        group.change(name=register_names.ARCHIVE, edit=lambda _payload: (archive_of(changes=changes), None))
        answerers = list(group.members.values())[1:]
        row_sets = [member.acceptor.rows() for member in answerers]
        look = sum(len(frames.pack(messages.CatchUpReply(1, True, rows))) for rows in row_sets)
        fence = sum(
            len(frames.pack(messages.CatchUpReply(2, True, tuple(row._replace(value=b"") for row in rows))))
            for rows in row_sets
        )
        return {"routes": routes, "changes": changes, "look_bytes": look, "fence_bytes": fence}


def table(rows: list) -> str:
    """The rows as lines of a table."""
    names = list(rows[0])
    lines = ["| " + " | ".join(names) + " |", "|" + " --- |" * len(names)]
    for row in rows:
        cells = [f"{row[name]:,.2f}" if isinstance(row[name], float) else str(row[name]) for name in names]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def measure(*, changes=CHANGES, routes=ROUTES, measured=MEASURED, seeds=range(3)) -> dict:
    """All tables."""
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
                    (catch_up(changes=count, how=how, seed=seed) for seed in seeds),
                    key=lambda row: (row["voted_early"], row["caught_up_s"]),
                )
                for count in changes[1:]
                for how in ("restarted", "absent", "emptied", "new")
            ],
        }
    finally:
        logging.disable(logging.NOTSET)


def main() -> None:
    """Measures and prints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    tables = measure()
    if options.json:
        print(json.dumps(tables, indent=1))
        return
    for name, rows in tables.items():
        print(f"\n{name}\n\n{table(rows)}")


if __name__ == "__main__":
    main()
