"""The watch duty: one core node reads the platform's list, names holders and tends the core set (design 4, 5).

The duty stands in a register under an epoch that is bound to one life of its holder. Everything that the holder
publishes carries that epoch, and followers never go back from a newer one, so a deposed holder is not listened to once
its successor was heard. It acts only while it is in contact with a majority of the core set.
"""

import logging

from ploverward.common.identifiers import Version
from ploverward.control_plane.cluster import singleton_roles
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.distribution import endpoint_list

_log = logging.getLogger(__name__)

WATCH = "watch"
LIST = "list"  # the topic of the platform's list
NOBODY = (0, "", "")
READ_BY_ITSELF = 0  # epoch of a list that a core node read before any holder told one


class SingletonRoleTable:
    """What the duties' register says, as far as this node knows."""

    def __init__(self, *, change):
        self._change = change  # (name, edit, done): a round of the register
        self.table = {}  # duty: [epoch, holder, the holder's life]
        self.is_acquiring = False

    def install(self, *, payload) -> None:
        self.table = payload or {}

    def owner(self, name: str) -> tuple:
        """(epoch, holder, the holder's life): a new life of the same node needs a new epoch."""
        current = self.table.get(name)
        return tuple(current) if current else NOBODY

    def acquire(self, *, rows: dict) -> None:
        """Duty -> (epoch seen, holder, life): one change for all that still stand under the epoch seen."""
        self.is_acquiring = True

        def done(_failure, _revision, _payload, _result):
            self.is_acquiring = False

        self._change(
            name=register_names.SINGLETON_ROLES,
            edit=lambda payload: (_with_roles(payload or {}, rows), None),
            done=done,
        )


def _with_roles(payload: dict, rows: dict) -> dict:
    new = {
        name: [seen + 1, owner, incarnation]
        for name, (seen, owner, incarnation) in rows.items()
        if payload.get(name, [0])[0] == seen
    }
    return {**payload, **new} if new else payload


class ClusterCoordinator:
    """Takes the duty when its holder is lost, and does its work while this node holds it."""

    def __init__(
        self,
        *,
        own: str,
        incarnation: str,
        now,
        role_table,
        publisher,
        watch,
        takeover_after_s: float,
        stale_after_s: float,
    ):
        self._own = own
        self._incarnation = incarnation
        self._now = now
        self._role_table = role_table
        self._publisher = publisher
        self._watch = watch  # reads the platform's list (ploverward.control_plane.discovery.endpoint_list_poller)
        self._takeover_after_s = takeover_after_s
        self._stale_after_s = stale_after_s
        self._read_list = (b"", None)  # the newest packed list that was read, and what it says

    @property
    def is_owner(self) -> bool:
        """Whether this life of this node holds the duty, as far as it knows."""
        _epoch, owner, incarnation = self._role_table.owner(WATCH)
        return (owner, incarnation) == (self._own, self._incarnation)

    @property
    def epoch(self) -> int:
        return self._role_table.owner(WATCH)[0]

    def reconcile(self, *, members: tuple, live: list, lost_since: dict, has_majority: bool, may_acquire: bool) -> bool:
        """One look, at each heartbeat. True where this node holds the duty and may act on it."""
        if self.is_owner:
            if not has_majority or self._own not in members:
                self._watch.stop()
                return False
            self._watch.start()
            return True
        if LIST in self._publisher.topics:
            self._watch.stop()
        if may_acquire and self._own in members and self._is_open(members=members, live=live, lost_since=lost_since):
            self._role_table.acquire(rows={WATCH: (self.epoch, self._own, self._incarnation)})
        return False

    def _is_open(self, *, members: tuple, live: list, lost_since: dict) -> bool:
        """Whether the duty's holder is lost and this node is the first that may take it."""
        _epoch, owner, _incarnation = self._role_table.owner(WATCH)
        if self._role_table.is_acquiring or len(live) < ballots.majority(members):
            return False
        if owner == self._own:
            return True  # of an earlier life
        if live[0] != self._own:
            return False
        if owner not in members:
            return True
        return owner in lost_since and self._now() - lost_since[owner] >= self._takeover_after_s

    def hand_over(self, *, successor: str, incarnation: str) -> None:
        """Gives the duty to another member; used by a node that ends in order."""
        if self.is_owner and not self._role_table.is_acquiring:
            self._role_table.acquire(rows={WATCH: (self.epoch, successor, incarnation)})

    def assign_owners(self, *, proxies: list) -> None:
        """Duties of regions and zones whose holder is gone. `proxies`: (address, life, zone, region)."""
        if self._role_table.is_acquiring:
            return
        rows = singleton_roles.named(proxies=proxies, find_role=self._role_table.owner)
        if rows:
            self._role_table.acquire(rows=rows)

    def handle_list(self, rows: list, at: float) -> None:
        """A whole list of the platform, read at `at`. One that a frozen process finds long after is not told."""
        if self._now() - at > self._stale_after_s:
            return
        if not self.is_owner:
            # A core node that has just started reads once by itself. Its epoch is below every holder's: it serves
            # only those that have no list at all.
            data = endpoint_list.from_rows(rows=rows, read_at=at).pack()
            self._publisher.publish(topic=LIST, version=Version(READ_BY_ITSELF, 1), data=data)
            self._watch.stop()
            return
        epoch, number = self._publisher.version(LIST)
        if epoch == READ_BY_ITSELF:
            self._publish_snapshot(rows, at)
            return
        self._publish_change(rows, at, is_first=epoch != self.epoch, number=1 if epoch != self.epoch else number + 1)

    def _publish_snapshot(self, rows: list, at: float) -> None:
        """The first list that any holder tells: what nodes read by themselves before may differ from node to node."""
        data = endpoint_list.from_rows(rows=rows, read_at=at).pack()
        self._publisher.publish(topic=LIST, version=Version(self.epoch, 1), data=data)
        _log.debug("list_published", extra={"epoch": self.epoch, "replicas": len(rows)})

    def _publish_change(self, rows: list, at: float, *, is_first: bool, number: int) -> None:
        """What differs from the list told last, by this holder or by the one before it, whose clock was another."""
        current = self._current_list()
        change = current.delta_to(rows=rows, read_at=at, is_same_clock=not is_first)
        if change is None and not is_first:
            return
        if change is None:
            change = endpoint_list.EndpointListDelta(rows=(), removed=(), read_at=at, is_same_clock=False)
        published = current.apply(change)
        self._publish_list(published, epoch=self.epoch, number=number, change=change.pack())
        _log.debug(
            "list_published",
            extra={
                "epoch": self.epoch,
                "replicas": len(published.rows),
                "changed": len(change.rows),
                "gone": len(change.removed),
            },
        )

    def follow_change(self, *, epoch: int, number: int, data: bytes) -> None:
        """One step of the list, as the holder of the duty told it, on the list that this node holds."""
        published = self._current_list().apply(endpoint_list.unpack_delta(data))
        self._publish_list(published, epoch=epoch, number=number, change=data)

    def listed(self) -> list:
        """Rows of the newest list that this node holds; none before it has one."""
        return list(self._current_list().rows.values()) if LIST in self._publisher.topics else []

    def _current_list(self) -> endpoint_list.EndpointList:
        """The list that the desk holds; it is read once for each version."""
        data = self._publisher.get(LIST).data
        if self._read_list[0] is not data:
            self._read_list = (data, endpoint_list.unpack_list(data))
        return self._read_list[1]

    def _publish_list(self, published: endpoint_list.EndpointList, *, epoch: int, number: int, change: bytes) -> None:
        data = published.pack()
        if self._publisher.publish(topic=LIST, version=Version(epoch, number), data=data, delta=change):
            self._read_list = (data, published)

    def may_follow(self, *, epoch: int) -> bool:
        """Whether news of the watch under this epoch may be passed on: not from a holder known to be deposed."""
        return epoch >= self.epoch or epoch == READ_BY_ITSELF
