"""The receiving end of versioned topics: fetches what is missing, from one publisher at a time (docs/scale.md 2).

Its state, for each topic:

- `versions`: the version installed. It only rises, whatever the order in which messages arrive.
- the version that each open connection announced. A topic is behind while one of them is above the installed version.
- at most one outstanding fetch: when it was sent, and for which version. Until it is answered or `fetch_timeout_s`
  has passed, no other connection is sent one. A fetch ends when its version is installed, or a connection that
  announced the topic ends.

An announcement from a publisher in another region is not answered at once: a publisher in the own region usually
announces the same version a moment later. A fetch for `NO_VERSION`, dated back by half of the time-out, represents
that wait; the next `tick` after it fetches from wherever the version was announced.
"""

import dataclasses
from collections.abc import Callable
from collections.abc import Iterable

from ploverward.common import errors
from ploverward.common.identifiers import NO_VERSION
from ploverward.common.identifiers import Version
from ploverward.transport import interfaces
from ploverward.transport import messages

FAR_WAIT_SHARE = 0.5  # of fetch_timeout_s: how long a topic announced in another region waits for a nearer publisher


@dataclasses.dataclass(frozen=True, slots=True)
class _OutstandingFetch:
    """A request that is not answered yet."""

    sent_at: float  # seconds
    version: Version


class Subscriber:
    """Keeps the topics of one node at the newest version that any connection announces.

    Attributes:
        versions: the installed version of each topic.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        fetch_timeout_s: float,
        on_snapshot: Callable[[messages.Snapshot], None],
        is_near: Callable[[interfaces.Connection], bool] | None = None,
        ignored_topics: Iterable[str] = (),
        on_delta: Callable[[str, messages.Delta], None] | None = None,
        delta_topics: Iterable[str] = (),
        installed_version: Callable[[str], Version] | None = None,
    ) -> None:
        """Creates a subscriber that has nothing yet.

        Args:
            now: seconds on a monotonic clock.
            fetch_timeout_s: after this time without an answer the fetch is sent to another publisher.
            on_snapshot: installs a complete value that is newer than the installed one.
            is_near: whether a connection leads to a publisher of the own region; without it all are equal.
            ignored_topics: topics that are never fetched.
            on_delta: (topic, delta) installs what leads from the installed version to the next one. It is called for
                `delta_topics` alone; of the other topics complete values are fetched.
            delta_topics: topics whose deltas `on_delta` can read.
            installed_version: (topic) the version that a delta has to start from, where that isn't simply the one
                installed last by this subscriber: a core node installs values of its own as well.
        """
        self._now = now
        self._fetch_timeout_s = fetch_timeout_s
        self._is_near = is_near
        self._ignored_topics = frozenset(ignored_topics)
        self._on_snapshot = on_snapshot
        self._on_delta = on_delta
        self._delta_topics = frozenset(delta_topics)
        self.versions: dict[str, Version] = {}
        self._installed_version = installed_version if installed_version is not None else self._version
        self._announced: dict[str, dict[interfaces.Connection, Version]] = {}
        self._fetches: dict[str, _OutstandingFetch] = {}

    def _version(self, topic: str) -> Version:
        return self.versions.get(topic, NO_VERSION)

    def handle_announcement(self, connection: interfaces.Connection, message: messages.Announcement) -> None:
        """Fetches the versions that are newer; those that are not are acknowledged."""
        for topic, version in message.versions:
            if topic in self._ignored_topics:
                continue
            if version <= self._version(topic):
                installed = messages.TopicVersion(topic=topic, version=self.versions[topic])
                connection.send(messages.Acknowledgement(versions=(installed,)))
                continue
            self._announced.setdefault(topic, {})[connection] = version
            if self._is_near is None or self._is_near(connection):
                self._fetch_unless_outstanding(topic, connection)
            else:
                waits_from = self._now() - self._fetch_timeout_s * FAR_WAIT_SHARE
                self._fetches.setdefault(topic, _OutstandingFetch(sent_at=waits_from, version=NO_VERSION))

    def _fetch_unless_outstanding(self, topic: str, connection: interfaces.Connection) -> None:
        fetch = self._fetches.get(topic)
        is_asked_for = fetch is not None and fetch.version >= self._announced[topic][connection]
        if not (is_asked_for and self._is_outstanding(fetch)):
            self._fetch(topic, connection)

    def _is_outstanding(self, fetch: _OutstandingFetch | None) -> bool:
        return fetch is not None and self._now() - fetch.sent_at < self._fetch_timeout_s

    def _fetch(self, topic: str, connection: interfaces.Connection) -> None:
        version = self._announced[topic][connection]
        self._fetches[topic] = _OutstandingFetch(sent_at=self._now(), version=version)
        known = self._installed_version(topic) if topic in self._delta_topics else NO_VERSION
        connection.send(messages.Fetch(topic=topic, known=known))

    @property
    def is_behind(self) -> bool:
        """Whether a publisher announced a version that is not here yet."""
        return any(
            version > self._version(topic)
            for topic, announced in self._announced.items()
            for version in announced.values()
        )

    def tick(self) -> None:
        """Fetches again where a publisher did not answer in time, from another one where there is one."""
        for topic, announced in self._announced.items():
            version = self._version(topic)
            newer = [link for link, announced_version in announced.items() if announced_version > version]
            newer = [connection for connection in newer if connection.is_open]
            fetch = self._fetches.get(topic)
            if not newer or self._is_outstanding(fetch):
                continue
            near = [connection for connection in newer if self._is_near is not None and self._is_near(connection)]
            if near and (fetch is None or fetch.version < version):
                newer = near
            self._fetch(topic, newer[int(self._now() / self._fetch_timeout_s) % len(newer)])

    def handle_snapshot(self, _connection: interfaces.Connection, message: messages.Snapshot) -> bool:
        """Installs a complete value.

        Returns:
            Whether it was newer than the installed one; another changes nothing.
        """
        if message.version <= self._version(message.topic):
            return False
        self._on_snapshot(message)
        self._note_installed(message.topic, message.version)
        return True

    def handle_deltas(self, _connection: interfaces.Connection, message: messages.Deltas) -> bool:
        """Installs deltas, if they start from exactly the installed version; any others change nothing.

        Returns:
            Whether they were installed.

        Raises:
            FrameError: there are no deltas, or their versions do not rise.
        """
        topic = message.topic
        versions = [message.base, *(delta.version for delta in message.deltas)]
        if not message.deltas or versions != sorted(set(versions)):
            raise errors.FrameError(f"steps {[tuple(version) for version in versions]}", step="changes")
        if topic not in self._delta_topics or self._installed_version(topic) != message.base:
            return False
        if versions[-1] <= self._version(topic) or self._on_delta is None:
            return False
        for delta in message.deltas:
            self._on_delta(topic, delta)
            self._note_installed(topic, delta.version)
        return True

    def _note_installed(self, topic: str, version: Version) -> None:
        self.versions[topic] = version
        fetch = self._fetches.get(topic)
        if fetch is not None and fetch.version <= version:
            del self._fetches[topic]

    def remove_connection(self, connection: interfaces.Connection) -> None:
        """A connection ended: what it announced counts no longer, and a fetch may have been lost with it."""
        for topic, announced in self._announced.items():
            if announced.pop(connection, None) is not None:
                self._fetches.pop(topic, None)
