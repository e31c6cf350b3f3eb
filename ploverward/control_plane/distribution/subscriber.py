"""The receiving end of versioned topics: fetches newer versions from one publisher at a time (docs/scale.md 2).

The state of each topic is:

- `versions`: The installed version. It only rises, whatever the order in which messages arrive.
- The version that each open connection announced. A topic is behind while one of them is above the installed version.
- At most one outstanding fetch, with the time when it was sent and the version that it is for. Until it is answered or
  `fetch_timeout_s` has passed, this version is fetched from no other connection. A fetch ends when its version is
  installed, or when a connection that announced the topic ends.

A version announced by a publisher in another region is not fetched at once, because a publisher in the own region
usually announces the same version a moment later. This wait is represented by a fetch for `NO_VERSION` whose sending
time lies `FAR_WAIT_FRACTION` of the timeout in the past; the first `tick` after the wait fetches from any connection
that announced the version.
"""

import dataclasses
from collections.abc import Callable
from collections.abc import Iterable

from ploverward.common import errors
from ploverward.common.identifiers import NO_VERSION
from ploverward.common.identifiers import Version
from ploverward.transport import interfaces
from ploverward.transport import messages

FAR_WAIT_FRACTION = 0.5  # of fetch_timeout_s: how long a topic announced in another region waits for a nearer publisher


@dataclasses.dataclass(frozen=True, slots=True)
class _OutstandingFetch:
    """A fetch that has not been answered, or the wait for a publisher in the own region (`NO_VERSION`)."""

    sent_at: float  # seconds
    version: Version


class Subscriber:
    """Keeps the topics of one node at the newest version that any connection announces.

    Attributes:
        versions: The installed version of each topic.
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
        """Creates a subscriber without any topic.

        Args:
            now: Returns the time in seconds on a monotonic clock.
            fetch_timeout_s: The time without an answer after which a fetch is sent again, if possible to another
                publisher.
            on_snapshot: Installs a complete value that is newer than the installed one.
            is_near: Returns whether a connection leads to a publisher in the own region. Without it, all publishers
                are treated alike.
            ignored_topics: Topics that are never fetched.
            on_delta: Installs a delta (topic, delta) from the installed version to the next one. Called only for
                `delta_topics`; of other topics, complete values are fetched.
            delta_topics: Topics whose deltas `on_delta` can apply.
            installed_version: Returns the version of a topic that a delta has to start from. By default this is the
                version that this subscriber installed last; a core node also installs values of its own.
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
        """Fetches announced versions that are newer than the installed ones, and acknowledges the others."""
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
                sent_at = self._now() - self._fetch_timeout_s * FAR_WAIT_FRACTION
                self._fetches.setdefault(topic, _OutstandingFetch(sent_at=sent_at, version=NO_VERSION))

    def _fetch_unless_outstanding(self, topic: str, connection: interfaces.Connection) -> None:
        fetch = self._fetches.get(topic)
        is_requested = fetch is not None and fetch.version >= self._announced[topic][connection]
        if not (is_requested and self._is_outstanding(fetch)):
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
        """True while a publisher has announced a version that is not installed."""
        return any(
            version > self._version(topic)
            for topic, announced in self._announced.items()
            for version in announced.values()
        )

    def tick(self) -> None:
        """Fetches again what a publisher did not send in time, if possible from another one."""
        for topic, announced in self._announced.items():
            version = self._version(topic)
            newer = [connection for connection, announced_version in announced.items() if announced_version > version]
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
            Whether the value is newer than the installed one; otherwise nothing is changed.
        """
        if message.version <= self._version(message.topic):
            return False
        self._on_snapshot(message)
        self._record_installed(message.topic, message.version)
        return True

    def handle_deltas(self, _connection: interfaces.Connection, message: messages.Deltas) -> bool:
        """Installs deltas that start from exactly the installed version; others are ignored.

        Returns:
            Whether the deltas were installed.

        Raises:
            FrameError: The message contains no deltas, or their versions do not rise.
        """
        topic = message.topic
        versions = [message.base, *(delta.version for delta in message.deltas)]
        if not message.deltas or versions != sorted(set(versions)):
            raise errors.FrameError(
                f"no deltas, or versions do not rise: {[tuple(version) for version in versions]}", step="changes"
            )
        if topic not in self._delta_topics or self._installed_version(topic) != message.base:
            return False
        if versions[-1] <= self._version(topic) or self._on_delta is None:
            return False
        for delta in message.deltas:
            self._on_delta(topic, delta)
            self._record_installed(topic, delta.version)
        return True

    def _record_installed(self, topic: str, version: Version) -> None:
        self.versions[topic] = version
        fetch = self._fetches.get(topic)
        if fetch is not None and fetch.version <= version:
            del self._fetches[topic]

    def remove_connection(self, connection: interfaces.Connection) -> None:
        """Forgets what a connection that ended announced, and outstanding fetches, which may have been lost with it."""
        for topic, announced in self._announced.items():
            if announced.pop(connection, None) is not None:
                self._fetches.pop(topic, None)
