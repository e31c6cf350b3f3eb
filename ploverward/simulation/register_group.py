"""Voting members and a proposer in one process, without sockets, that meter the cost of a change of a register.

A `MeteredGroup` owns the members, with real acceptors and files, and the meter that sums the cost of its steps.
`ploverward.simulation.register_cost` measures with it (docs/register.md 5).
"""

import base64
import collections
import collections.abc
import functools
import hashlib
import os
import time
import typing

from ploverward.control_plane.consensus import acceptor
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import disk
from ploverward.control_plane.consensus import proposer
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.consensus import register_state
from ploverward.transport import frames
from ploverward.transport import messages

LIMIT_BYTES = 8 * 1024 * 1024  # size limit of the file, as with 128 MB of disk
ORDER_IDS_IN_VALUE = 64
ORDER_IDS_IN_ARCHIVE = 12288
NAME = register_names.CONFIGURATION
Result = typing.TypeVar("Result")
Edit = collections.abc.Callable[[object], tuple[dict[str, typing.Any], None]]
Message = typing.TypeVar("Message", bound=tuple)


def route(number: int) -> dict[str, typing.Any]:
    """Returns a route of the usual size, in the format of the configuration."""
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


def configuration_payload(*, routes: int, changes: int) -> dict[str, typing.Any]:
    """Returns the value of the configuration register after this number of changes.

    It has the body and the identifiers of the newest orders.
    """
    order_ids = [
        [number, hashlib.sha256(b"o%d" % number).hexdigest()[:20]]
        for number in range(max(1, changes - ORDER_IDS_IN_VALUE + 1), changes + 1)
    ]
    return {"edition": changes, "body": {"routes": [route(number) for number in range(routes)]}, "recent": order_ids}


def archive_payload(*, changes: int) -> dict[str, typing.Any]:
    """Returns the value of the archive register after this number of changes: 8 bytes per order."""
    order_ids = b"".join(
        hashlib.sha256(b"o%d" % number).digest()[:8] for number in range(min(changes, ORDER_IDS_IN_ARCHIVE))
    )
    return {"through": changes, "marks": base64.b64encode(order_ids).decode()}


def replace_with(payload: dict[str, typing.Any]) -> Edit:
    """Returns an edit that replaces any payload with this one."""
    return lambda _payload: (payload, None)


class CountingDisk(disk.Disk):
    """A disk that counts the bytes written to it."""

    def __init__(self, *, folder: str) -> None:
        super().__init__(folder=folder)
        self.written = 0

    def append(self, *, name: str, data: bytes, size_before: int) -> None:
        """Counts the bytes, then appends them."""
        self.written += len(data)
        super().append(name=name, data=data, size_before=size_before)

    def replace(self, *, name: str, new_name: str, data: bytes) -> None:
        """Counts the bytes, then replaces the file."""
        self.written += len(data)
        super().replace(name=name, new_name=new_name, data=data)


class Member:
    """A voting member: an acceptor and its file.

    Args:
        name: Incarnation of the acceptor.
        folder: Folder of the file, which is created here.
        limit_bytes: Size limit of the file.
    """

    def __init__(self, *, name: str, folder: str, limit_bytes: int = LIMIT_BYTES) -> None:
        os.makedirs(folder)
        self.folder = folder
        self.acceptor = acceptor.Acceptor(incarnation=name)
        self.disk = CountingDisk(folder=folder)
        self.store = acceptor_storage.AcceptorStorage(disk=self.disk, limit_bytes=limit_bytes)
        self.save()

    def save(self, *rows: messages.RegisterRow) -> None:
        """Writes changed rows and syncs the file."""
        image = acceptor_storage.AcceptorImage(incarnation=self.acceptor.incarnation, rows=self.acceptor.rows())
        self.store.write(rows=rows, image=image)

    @property
    def file_bytes(self) -> int:
        """Total size of its files, in bytes."""
        return sum(os.path.getsize(os.path.join(self.folder, name)) for name in os.listdir(self.folder))


class CostMeter:
    """Sums bytes by type of message, and processor time in seconds by step."""

    def __init__(self) -> None:
        self.bytes: collections.Counter[type] = collections.Counter()
        self.seconds: dict[str, float] = collections.defaultdict(float)

    def measure_time(self, step: str, callback: collections.abc.Callable[[], Result]) -> Result:
        """Runs a callback and adds its processor time to that of a step."""
        begun = time.process_time()
        result = callback()
        self.seconds[step] += time.process_time() - begun
        return result


class MeteredGroup:
    """Voting members and one proposer at the first of them; messages between them are packed, counted and unpacked.

    Args:
        folder: Parent folder of the folders of all members.
        members: Number of members.
        names_accepted_state: Whether the proposer names the value that it has accepted, so that replies omit it.
    """

    def __init__(self, *, folder: str, members: int, names_accepted_state: bool) -> None:
        self.meter = CostMeter()
        names = tuple(f"10.0.0.{number}" for number in range(1, members + 1))
        self.members = {name: Member(name=name, folder=os.path.join(folder, name)) for name in names}
        self._own = names[0]
        self._queue: collections.deque[collections.abc.Callable[[], object]] = collections.deque()
        self.proposer = proposer.Proposer(
            own=f"{self._own}/abcdef",
            seeds=names,
            send=self._send,
            later=self._later,
            now=lambda: 0.0,
            chance=lambda: 0.5,
            on_chosen=lambda *_row: None,
            limit_s=1.0,
            attempt_timeout_s=0.1,
            accepted_value=self._accepted_value if names_accepted_state else None,
        )

    def _send(self, member: str, message: tuple) -> None:
        if not isinstance(message, messages.Prepare | messages.Accept):
            raise TypeError(f"{type(message).__name__}: only Prepare and Accept messages can be measured")
        self._queue.append(functools.partial(self._deliver, member, message))

    def _later(self, delay: float, callback: collections.abc.Callable[[], object]) -> None:
        """Queues immediate callbacks; drops timeouts, which never fire because all messages arrive."""
        if delay == 0:
            self._queue.append(callback)

    def _accepted_value(self, name: str) -> register_state.AcceptedValue:
        return self.members[self._own].acceptor.get(name).accepted_value

    def value_bytes(self, name: str) -> int:
        """Returns the size of the accepted value of a register, in bytes."""
        return len(self._accepted_value(name).value)

    def _transfer(self, message: Message, *, is_local: bool) -> Message:
        """Packs, counts and unpacks a message; a message from a node to itself is passed on as it is."""
        if is_local:
            return message
        frame = self.meter.measure_time("frames", lambda: frames.pack(message))
        self.meter.bytes[type(message)] += len(frame)
        return typing.cast(Message, self.meter.measure_time("frames", lambda: frames.unpack(frame)))

    def change(self, *, edit: Edit, name: str = NAME) -> None:
        """Changes a register and delivers all messages."""
        self.proposer.change(name=name, edit=edit, done=lambda *_row: None)
        while self._queue:
            self._queue.popleft()()

    def _deliver(self, member: str, message: messages.Prepare | messages.Accept) -> None:
        is_local = member == self._own
        node = self.members[member]
        arrived = self._transfer(message, is_local=is_local)
        if isinstance(arrived, messages.Prepare):
            decision = self.meter.measure_time("acceptor", functools.partial(node.acceptor.prepare, arrived))
        else:
            decision = self.meter.measure_time("acceptor", functools.partial(node.acceptor.accept, arrived))
        if decision.row is not None:
            self.meter.measure_time("disk", functools.partial(node.save, decision.row))
        reply = self._transfer(decision.reply, is_local=is_local)
        if isinstance(reply, messages.Promise):
            self.meter.measure_time("proposer", functools.partial(self.proposer.handle_promise, member, reply))
        else:
            self.meter.measure_time("proposer", functools.partial(self.proposer.handle_accepted, member, reply))
