"""Publishes the platform's list of replicas as a topic (docs/scale.md 2).

Owns the unpacked form of the newest list on this node. Invariant: a coordinator publishes the result of applying its
delta to the previously published list, so all nodes that apply the same deltas have the same bytes.
"""

import logging
from collections.abc import Callable

from ploverward.common.identifiers import Version
from ploverward.control_plane.cluster import coordinator as coordinators
from ploverward.control_plane.discovery import endpoint_list_poller
from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.distribution import publisher as publishers
from ploverward.transport import messages

_log = logging.getLogger(__name__)


class EndpointListPublisher:
    """Publishes the lists read from the platform as versions of the topic, and applies the coordinator's deltas.

    Args:
        now: Returns the time in seconds.
        coordinator: The coordinator role: whether this node owns it, and its epoch.
        publisher: Publishes the versions.
        list_poller: Poller of the platform's list.
        stale_after_s: Maximum age of a list when it is handled; an older list is dropped.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        coordinator: coordinators.ClusterCoordinator,
        publisher: publishers.Publisher,
        list_poller: endpoint_list_poller.EndpointListPoller,
        stale_after_s: float,
    ) -> None:
        self._now = now
        self._coordinator = coordinator
        self._publisher = publisher
        self._list_poller = list_poller
        self._stale_after_s = stale_after_s
        self._packed = b""  # packed form of `_unpacked`
        self._unpacked: endpoint_list.EndpointList | None = None

    def handle_list(self, rows: list[dict], at: float) -> None:
        """Publishes a list that was read from the platform.

        Drops a list older than `stale_after_s`: a process that was frozen may handle a list long after it was read.

        Args:
            rows: One row per replica.
            at: Time at which the read began, in seconds on this node's clock.
        """
        if self._now() - at > self._stale_after_s:
            return
        if not self._coordinator.is_owner:
            # A core node that has just started reads the list once on its own. The epoch of that version is below every
            # coordinator's, so only nodes that have no list yet use it.
            data = endpoint_list.from_rows(rows=rows, read_at=at).pack()
            version = Version(epoch=coordinators.UNCOORDINATED_EPOCH, number=1)
            self._publisher.publish(topic=endpoint_list.TOPIC, version=version, data=data)
            self._list_poller.stop()
            return
        current = self._publisher.version(endpoint_list.TOPIC)
        if current.epoch == coordinators.UNCOORDINATED_EPOCH:
            self._publish_snapshot(rows, at)
            return
        is_first = current.epoch != self._coordinator.epoch
        self._publish_delta(rows, at, is_first=is_first, number=1 if is_first else current.number + 1)

    def _publish_snapshot(self, rows: list[dict], at: float) -> None:
        """Publishes the first list of any coordinator in full.

        A delta has no common base yet: the lists that core nodes read on their own may differ from node to node.
        """
        epoch = self._coordinator.epoch
        data = endpoint_list.from_rows(rows=rows, read_at=at).pack()
        version = Version(epoch=epoch, number=1)
        self._publisher.publish(topic=endpoint_list.TOPIC, version=version, data=data)
        _log.debug("list_published", extra={"epoch": epoch, "replicas": len(rows)})

    def _publish_delta(self, rows: list[dict], at: float, *, is_first: bool, number: int) -> None:
        """Publishes the difference from the previous version, if there is one.

        Args:
            rows: One row per replica.
            at: Time at which the read began, in seconds on this node's clock.
            is_first: Whether this is the coordinator's first version. It is published even without a difference, and
                the previous version's times are from the clock of another coordinator.
            number: Number of the new version.
        """
        epoch = self._coordinator.epoch
        current = self._current()
        delta = current.delta_to(rows=rows, read_at=at, is_same_clock=not is_first)
        if delta is None and not is_first:
            return
        if delta is None:
            delta = endpoint_list.EndpointListDelta(rows=(), removed=(), read_at=at, is_same_clock=False)
        published = current.apply(delta)
        self._publish(published, version=Version(epoch=epoch, number=number), delta=delta.pack())
        _log.debug(
            "list_published",
            extra={
                "epoch": epoch,
                "replicas": len(published.rows),
                "changed": len(delta.rows),
                "gone": len(delta.removed),
            },
        )

    def apply_delta(self, delta: messages.Delta) -> None:
        """Applies a delta received from the coordinator to the version on this node, and publishes the result."""
        published = self._current().apply(endpoint_list.unpack_delta(delta.data))
        self._publish(published, version=delta.version, delta=delta.data)

    def rows(self) -> list[dict]:
        """Returns the rows of the newest version on this node; an empty list if there is none."""
        has_list = self._publisher.get(endpoint_list.TOPIC) is not None
        return list(self._current().rows.values()) if has_list else []

    def _current(self) -> endpoint_list.EndpointList:
        """Returns the published list; unpacks each version only once."""
        published = self._publisher.get(endpoint_list.TOPIC)
        if published is None:
            raise LookupError("no endpoint list has been published on this node")
        if self._unpacked is None or self._packed is not published.data:
            self._packed, self._unpacked = published.data, endpoint_list.unpack_list(published.data)
        return self._unpacked

    def _publish(self, published: endpoint_list.EndpointList, *, version: Version, delta: bytes) -> None:
        data = published.pack()
        if self._publisher.publish(topic=endpoint_list.TOPIC, version=version, data=data, delta=delta):
            self._packed, self._unpacked = data, published
