"""The publishing end of versioned topics: announce, send on request, count acknowledgements (docs/scale.md 2).

A topic's value is sent only on request. The version is announced to each connection, whose other side answers with a
`Fetch` that names the version it has, so that a proxy connected to three core nodes receives a large configuration
once, and only the deltas where these are known.

The state is, for each topic, the newest value and the newest deltas, and for each connection the versions that it
acknowledged. Invariant: the version of a topic only rises.
"""

import collections
import dataclasses
from collections.abc import Iterable

from ploverward.common.identifiers import NO_VERSION
from ploverward.common.identifiers import Version
from ploverward.transport import interfaces
from ploverward.transport import messages

MAX_DELTAS = 64  # of a topic; a subscriber that is further behind gets a snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class _Step:
    """A delta, and the version that it applies to."""

    base: Version
    delta: messages.Delta


class Publisher:
    """The topics of one core node.

    Attributes:
        topics: the newest value of each topic.
    """

    def __init__(self) -> None:
        self.topics: dict[str, messages.Snapshot] = {}
        self._steps: dict[str, collections.deque[_Step]] = {}  # each starts from the version where the last one ended
        self._acknowledged: dict[interfaces.Connection, dict[str, Version]] = {}

    def get(self, topic: str) -> messages.Snapshot | None:
        """The newest value of the topic; None before there is one."""
        return self.topics.get(topic)

    def version(self, topic: str) -> Version:
        """The newest version of the topic; `NO_VERSION` before there is one."""
        current = self.topics.get(topic)
        return current.version if current is not None else NO_VERSION

    def publish(self, *, topic: str, version: Version, data: bytes, delta: bytes | None = None) -> bool:
        """Installs a value and announces it to all connections that have not acknowledged it.

        Args:
            topic: its name on the wire.
            version: of the value.
            data: the complete value.
            delta: leads from the current value to this one, where that is known.

        Returns:
            Whether the version is newer than the current one; another changes nothing.
        """
        base = self.version(topic)
        if version <= base:
            return False
        steps = self._steps.setdefault(topic, collections.deque(maxlen=MAX_DELTAS))
        if delta is None:
            steps.clear()
        else:
            steps.append(_Step(base=base, delta=messages.Delta(version=version, data=delta)))
        self.topics[topic] = messages.Snapshot(topic=topic, version=version, data=data)
        announcement = messages.Announcement(versions=(messages.TopicVersion(topic=topic, version=version),))
        # A connection may end by being sent to, and leaves then.
        for connection, acknowledged in list(self._acknowledged.items()):
            if acknowledged.get(topic, NO_VERSION) < version:
                connection.send(announcement)
        return True

    def add_connection(self, connection: interfaces.Connection) -> None:
        """A connection begins: it is sent the versions of all topics."""
        self._acknowledged[connection] = {}
        if self.topics:
            versions = tuple(messages.TopicVersion(current.topic, current.version) for current in self.topics.values())
            connection.send(messages.Announcement(versions=versions))

    def remove_connection(self, connection: interfaces.Connection) -> None:
        """A connection ended."""
        self._acknowledged.pop(connection, None)

    def handle_fetch(self, connection: interfaces.Connection, message: messages.Fetch) -> None:
        """Sends the deltas since the version that the subscriber has, or the complete value where that is smaller."""
        current = self.topics.get(message.topic)
        if current is None:
            return
        deltas = self._deltas_since(message.topic, message.known)
        if deltas and sum(len(delta.data) for delta in deltas) < len(current.data):
            connection.send(messages.Deltas(topic=message.topic, base=message.known, deltas=deltas))
        else:
            connection.send(current)

    def _deltas_since(self, topic: str, base: Version) -> tuple[messages.Delta, ...]:
        """The deltas that lead from this version to the newest; empty where they are not all known."""
        steps = list(self._steps.get(topic, ()))
        for index, step in enumerate(steps):
            if step.base == base:
                return tuple(later.delta for later in steps[index:])
        return ()

    def handle_acknowledgement(self, connection: interfaces.Connection, message: messages.Acknowledgement) -> None:
        """Records which versions the subscriber has installed."""
        acknowledged = self._acknowledged.get(connection)
        if acknowledged is None:
            return
        for topic, version in message.versions:
            acknowledged[topic] = max(acknowledged.get(topic, NO_VERSION), version)

    def lagging_connections(
        self, *, topic: str, version: tuple[int, int], connections: Iterable[interfaces.Connection]
    ) -> list[interfaces.Connection]:
        """Those of the connections that have not acknowledged this version of the topic or a newer one."""
        return [link for link in connections if self._acknowledged.get(link, {}).get(topic, NO_VERSION) < version]
