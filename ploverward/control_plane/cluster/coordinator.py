"""The watch duty: one core node reads the platform's list, names holders and tends the core set (design 4, 5).

The duty stands in a register under an epoch that is bound to one life of its holder. Everything that the holder
publishes carries that epoch, and followers never go back from a newer one, so a deposed holder is not listened to once
its successor was heard. It acts only while it is in contact with a majority of the core set.
"""

from ploverward.common import event_log
from ploverward.control_plane.cluster import singleton_roles
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.consensus import ballots

WATCH = "watch"
LIST = "list"  # the topic of the platform's list
NOBODY = (0, "", "")
READ_BY_ITSELF = 0  # epoch of a list that a core node read before any holder told one


class Duties:
    """What the duties' register says, as far as this node knows."""

    def __init__(self, *, change):
        self._change = change  # (name, edit, done): a round of the register
        self.table = {}  # duty: [epoch, holder, the holder's life]
        self.is_taking = False

    def install(self, *, payload) -> None:
        self.table = payload or {}

    def holder(self, name: str) -> tuple:
        """(epoch, holder, the holder's life): a new life of the same node needs a new epoch."""
        held = self.table.get(name)
        return tuple(held) if held else NOBODY

    def take(self, *, rows: dict) -> None:
        """Duty -> (epoch seen, holder, life): one change for all that still stand under the epoch seen."""
        self.is_taking = True

        def done(_failure, _revision, _payload, _result):
            self.is_taking = False

        self._change(
            name=register_names.DUTIES, edit=lambda payload: (_with_duties(payload or {}, rows), None), done=done
        )


def _with_duties(payload: dict, rows: dict) -> dict:
    new = {
        name: [seen + 1, holder, life]
        for name, (seen, holder, life) in rows.items()
        if payload.get(name, [0])[0] == seen
    }
    return {**payload, **new} if new else payload


class WatchDuty:
    """Takes the duty when its holder is lost, and does its work while this node holds it."""

    def __init__(self, *, own: str, life: str, now, duty_table, desk, watch, take_after_s: float, stale_after_s: float):
        self._own = own
        self._life = life
        self._now = now
        self._duties = duty_table
        self._desk = desk
        self._watch = watch  # reads the platform's list (ploverward.control_plane.discovery.platform_client.Watch)
        self._take_after_s = take_after_s
        self._stale_after_s = stale_after_s
        self._read_list = (b"", None)  # the newest packed list that was read, and what it says

    @property
    def is_held(self) -> bool:
        """Whether this life of this node holds the duty, as far as it knows."""
        _epoch, holder, life = self._duties.holder(WATCH)
        return (holder, life) == (self._own, self._life)

    @property
    def epoch(self) -> int:
        return self._duties.holder(WATCH)[0]

    def tend(self, *, members: tuple, live: list, lost_since: dict, has_majority: bool, may_take: bool) -> bool:
        """One look, at each heartbeat. True where this node holds the duty and may act on it."""
        if self.is_held:
            if not has_majority or self._own not in members:
                self._watch.stop()
                return False
            self._watch.start()
            return True
        if LIST in self._desk.topics:
            self._watch.stop()
        if may_take and self._own in members and self._is_open(members=members, live=live, lost_since=lost_since):
            self._duties.take(rows={WATCH: (self.epoch, self._own, self._life)})
        return False

    def _is_open(self, *, members: tuple, live: list, lost_since: dict) -> bool:
        """Whether the duty's holder is lost and this node is the first that may take it."""
        _epoch, holder, _life = self._duties.holder(WATCH)
        if self._duties.is_taking or len(live) < ballots.majority(members):
            return False
        if holder == self._own:
            return True  # of an earlier life
        if live[0] != self._own:
            return False
        if holder not in members:
            return True
        return holder in lost_since and self._now() - lost_since[holder] >= self._take_after_s

    def hand_over(self, *, successor: str, life: str) -> None:
        """Gives the duty to another member; used by a node that ends in order."""
        if self.is_held and not self._duties.is_taking:
            self._duties.take(rows={WATCH: (self.epoch, successor, life)})

    def name_holders(self, *, proxies: list) -> None:
        """Duties of regions and zones whose holder is gone. `proxies`: (address, life, zone, region)."""
        if self._duties.is_taking:
            return
        rows = singleton_roles.named(proxies=proxies, duty=self._duties.holder)
        if rows:
            self._duties.take(rows=rows)

    def take_list(self, rows: list, at: float) -> None:
        """A whole list of the platform, read at `at`. One that a frozen process finds long after is not told."""
        if self._now() - at > self._stale_after_s:
            return
        if not self.is_held:
            # A core node that has just started reads once by itself. Its epoch is below every holder's: it serves
            # only those that have no list at all.
            data = endpoint_list.of_rows(rows=rows, read_at=at).pack()
            self._desk.publish(topic=LIST, epoch=READ_BY_ITSELF, number=1, data=data)
            self._watch.stop()
            return
        epoch, number = self._desk.serial(LIST)
        if epoch == READ_BY_ITSELF:
            self._tell_whole(rows, at)
            return
        self._tell_change(rows, at, is_first=epoch != self.epoch, number=1 if epoch != self.epoch else number + 1)

    def _tell_whole(self, rows: list, at: float) -> None:
        """The first list that any holder tells: what nodes read by themselves before may differ from node to node."""
        data = endpoint_list.of_rows(rows=rows, read_at=at).pack()
        self._desk.publish(topic=LIST, epoch=self.epoch, number=1, data=data)
        event_log.note("list", epoch=self.epoch, replicas=len(rows))

    def _tell_change(self, rows: list, at: float, *, is_first: bool, number: int) -> None:
        """What differs from the list told last, by this holder or by the one before it, whose clock was another."""
        held = self._held_list()
        change = held.change_to(rows=rows, read_at=at, is_same_clock=not is_first)
        if change is None and not is_first:
            return
        if change is None:
            change = endpoint_list.Change(rows=(), gone=(), read_at=at, is_same_clock=False)
        told = held.changed_by(change)
        self._publish_list(told, epoch=self.epoch, number=number, change=change.pack())
        event_log.note(
            "list", epoch=self.epoch, replicas=len(told.rows), changed=len(change.rows), gone=len(change.gone)
        )

    def follow_change(self, *, epoch: int, number: int, data: bytes) -> None:
        """One step of the list, as the holder of the duty told it, on the list that this node holds."""
        told = self._held_list().changed_by(endpoint_list.unpack_change(data))
        self._publish_list(told, epoch=epoch, number=number, change=data)

    def listed(self) -> list:
        """Rows of the newest list that this node holds; none before it has one."""
        return list(self._held_list().rows.values()) if LIST in self._desk.topics else []

    def _held_list(self) -> endpoint_list.ReplicaList:
        """The list that the desk holds; it is read once for each version."""
        data = self._desk.get(LIST)[2]
        if self._read_list[0] is not data:
            self._read_list = (data, endpoint_list.unpack_list(data))
        return self._read_list[1]

    def _publish_list(self, told: endpoint_list.ReplicaList, *, epoch: int, number: int, change: bytes) -> None:
        data = told.pack()
        if self._desk.publish(topic=LIST, epoch=epoch, number=number, data=data, change=change):
            self._read_list = (data, told)

    def may_follow(self, *, epoch: int) -> bool:
        """Whether news of the watch under this epoch may be passed on: not from a holder known to be deposed."""
        return epoch >= self.epoch or epoch == READ_BY_ITSELF
