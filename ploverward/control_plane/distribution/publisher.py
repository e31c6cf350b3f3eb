"""The publishing end of versioned topics: announces, sends on request, tracks acknowledgements (docs/scale.md 2).

The version of a topic is announced on each connection, but its value is sent only on request: the subscriber answers
with a `Fetch` that names the version it has. So a proxy connected to three core nodes receives a large configuration
only once, and only the deltas if these are known.

The state is the newest value and the newest deltas of each topic, and the versions that each connection acknowledged.
Invariant: the version of a topic only rises.
"""

import collections
import dataclasses
from collections.abc import Iterable

from ploverward.common.identifiers import NO_VERSION
from ploverward.common.identifiers import Version
from ploverward.transport import interfaces
from ploverward.transport import messages

MAX_DELTAS = 64  # kept for each topic; a subscriber that is further behind receives a snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class _BasedDelta:
    """A delta and the version that it applies to."""

    base: Version
    delta: messages.Delta


class Publisher:
    """Publishes the topics of one core node.

    Attributes:
        topics: The newest value of each topic.
    """

    def __init__(self) -> None:
        self.topics: dict[str, messages.Snapshot] = {}
        self._deltas: dict[str, collections.deque[_BasedDelta]] = {}  # each applies to the version of the one before it
        self._acknowledged: dict[interfaces.Connection, dict[str, Version]] = {}

    def get(self, topic: str) -> messages.Snapshot | None:
        """Returns the newest value of the topic; None before there is one."""
        return self.topics.get(topic)

    def version(self, topic: str) -> Version:
        """Returns the newest version of the topic; `NO_VERSION` before there is one."""
        current = self.topics.get(topic)
        return current.version if current is not None else NO_VERSION

    def publish(self, *, topic: str, version: Version, data: bytes, delta: bytes | None = None) -> bool:
        """Installs a value and announces it to all connections that have not acknowledged it.

        Args:
            topic: The name of the topic on the wire.
            version: The version of the value.
            data: The complete value.
            delta: The difference from the current value to this one, if known.

        Returns:
            Whether the version is newer than the current one; otherwise nothing is changed.
        """
        base = self.version(topic)
        if version <= base:
            return False
        deltas = self._deltas.setdefault(topic, collections.deque(maxlen=MAX_DELTAS))
        if delta is None:
            deltas.clear()
        else:
            deltas.append(_BasedDelta(base=base, delta=messages.Delta(version=version, data=delta)))
        self.topics[topic] = messages.Snapshot(topic=topic, version=version, data=data)
        announcement = messages.Announcement(versions=(messages.TopicVersion(topic=topic, version=version),))
        # Iterates over a copy: sending may end the connection, which is then removed.
        for connection, acknowledged in list(self._acknowledged.items()):
            if acknowledged.get(topic, NO_VERSION) < version:
                connection.send(announcement)
        return True

    def add_connection(self, connection: interfaces.Connection) -> None:
        """Adds a new connection and announces the versions of all topics on it."""
        self._acknowledged[connection] = {}
        if self.topics:
            versions = tuple(messages.TopicVersion(current.topic, current.version) for current in self.topics.values())
            connection.send(messages.Announcement(versions=versions))

    def remove_connection(self, connection: interfaces.Connection) -> None:
        """Removes a connection that ended."""
        self._acknowledged.pop(connection, None)

    def handle_fetch(self, connection: interfaces.Connection, message: messages.Fetch) -> None:
        """Sends the deltas since the version that the subscriber has, or a snapshot.

        The snapshot, the complete value, is sent if the deltas are not all known or not smaller.
        """
        current = self.topics.get(message.topic)
        if current is None:
            return
        deltas = self._deltas_since(message.topic, message.known)
        if deltas and sum(len(delta.data) for delta in deltas) < len(current.data):
            connection.send(messages.Deltas(topic=message.topic, base=message.known, deltas=deltas))
        else:
            connection.send(current)

    def _deltas_since(self, topic: str, base: Version) -> tuple[messages.Delta, ...]:
        """Returns the deltas from this version to the newest; empty if they are not all known."""
        deltas = list(self._deltas.get(topic, ()))
        for index, delta in enumerate(deltas):
            if delta.base == base:
                return tuple(later.delta for later in deltas[index:])
        return ()

    def handle_acknowledgement(self, connection: interfaces.Connection, message: messages.Acknowledgement) -> None:
        """Records the versions that the subscriber has installed."""
        acknowledged = self._acknowledged.get(connection)
        if acknowledged is None:
            return
        for topic, version in message.versions:
            acknowledged[topic] = max(acknowledged.get(topic, NO_VERSION), version)

    def lagging_connections(
        self, *, topic: str, version: tuple[int, int], connections: Iterable[interfaces.Connection]
    ) -> list[interfaces.Connection]:
        """Returns the given connections that have not acknowledged this version of the topic or a newer one."""
        return [link for link in connections if self._acknowledged.get(link, {}).get(topic, NO_VERSION) < version]
