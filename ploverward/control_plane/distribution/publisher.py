"""Numbered news, pushed down held connections and counted (design 5, docs/scale.md 2)."""

import collections
import dataclasses

from ploverward.common import errors

CHANGES_KEPT = 64  # of a topic: a follower that is further behind takes the whole value
NOTHING = (0, 0)  # the version of a topic that a follower has none of


@dataclasses.dataclass(frozen=True)
class Step:
    """How the value of one version became that of the next; `data` is for the topic's followers to read."""

    base: tuple  # (epoch, number)
    version: tuple
    data: bytes


class Publisher:
    """Topics with their newest value. A version is (epoch, number); it only rises.

    A value goes only to who wants it: a link is offered the version and asks, naming the version that it has, so
    that a proxy with three core nodes takes a large configuration once, and only what changed where that is known.
    """

    def __init__(self):
        self.topics = {}  # name: (epoch, number, data)
        self._steps = {}  # name: the newest steps, each from where the one before it ended
        self._links = {}  # link: {topic: (epoch, number)} that it has

    def get(self, topic: str):
        return self.topics.get(topic)

    def version(self, topic: str) -> tuple:
        current = self.topics.get(topic)
        return current[:2] if current else NOTHING

    def publish(self, *, topic: str, epoch: int, number: int, data: bytes, change: bytes | None = None) -> bool:
        """`change`: what leads from the value that this desk holds to this one, where that is known."""
        base = self.version(topic)
        if (epoch, number) <= base:
            return False
        steps = self._steps.setdefault(topic, collections.deque(maxlen=CHANGES_KEPT))
        if change is None:
            steps.clear()
        else:
            steps.append(Step(base=base, version=(epoch, number), data=change))
        self.topics[topic] = (epoch, number, data)
        for link, has in list(self._links.items()):
            if has.get(topic, NOTHING) < (epoch, number):
                link.send(("offer", ((topic, epoch, number),)))
        return True

    def join(self, link) -> None:
        self._links[link] = {}
        if self.topics:
            link.send(("offer", tuple((topic, *current[:2]) for topic, current in self.topics.items())))

    def leave(self, link) -> None:
        self._links.pop(link, None)

    def handle_fetch(self, link, message: tuple) -> None:
        _kind, topic, epoch, number = message
        current = self.topics.get(topic)
        if current is None:
            return
        steps = self._steps_from(topic, (epoch, number))
        if steps and sum(len(step.data) for step in steps) < len(current[2]):
            link.send(("changes", topic, epoch, number, tuple((*step.version, step.data) for step in steps)))
        else:
            link.send(("image", topic, *current))

    def _steps_from(self, topic: str, base: tuple) -> list:
        """The steps that lead from this version to the newest; empty where they are not all known."""
        steps = list(self._steps.get(topic, ()))
        for index, step in enumerate(steps):
            if step.base == base:
                return steps[index:]
        return []

    def handle_acknowledgement(self, link, message: tuple) -> None:
        has = self._links.get(link)
        if has is None:
            return
        for topic, epoch, number in message[1]:
            has[topic] = max(has.get(topic, NOTHING), (epoch, number))

    def lagging(self, *, topic: str, version: tuple, links) -> list:
        return [link for link in links if self._links.get(link, {}).get(topic, NOTHING) < version]


class Subscriber:
    """The other end: asks one teller at a time for what it lacks, never goes back.

    `on_change` (topic, epoch, number, data) takes each step that leads from the version held to a newer one; it is
    called for `stepwise` topics alone, of others whole values are asked for. `holds` (topic) tells the version held
    where that is not simply the last one taken here.
    """

    def __init__(
        self,
        *,
        now,
        fetch_timeout_s: float,
        on_snapshot,
        is_near=None,
        unwanted=(),
        on_change=None,
        stepwise=(),
        holds=None,
    ):
        self._now = now
        self._fetch_timeout_s = fetch_timeout_s
        self._is_near = is_near  # whether a link's values come cheaply
        self._unwanted = frozenset(unwanted)  # topics that are never asked for
        self._on_snapshot = on_snapshot  # (topic, epoch, number, data)
        self._on_change = on_change
        self._stepwise = frozenset(stepwise)
        self.versions = {}
        self._holds = holds if holds is not None else lambda topic: self.versions.get(topic, NOTHING)
        self._offered = {}  # topic: {link: version}
        self._asked = {}  # topic: (when, version)

    def handle_announcement(self, link, message: tuple) -> None:
        for topic, epoch, number in message[1]:
            if topic in self._unwanted:
                continue
            if (epoch, number) <= self.versions.get(topic, NOTHING):
                link.send(("have", ((topic, *self.versions[topic]),)))
                continue
            self._offered.setdefault(topic, {})[link] = (epoch, number)
            if self._is_near is None or self._is_near(link):
                self._request_value(topic, link)
            else:
                # A nearer teller offers it in a moment; else the next tick asks here.
                self._asked.setdefault(topic, (self._now() - self._fetch_timeout_s * 0.5, NOTHING))

    def _request_value(self, topic: str, link) -> None:
        asked = self._asked.get(topic)
        wanted = self._offered[topic][link]
        if asked is not None and asked[1] >= wanted and self._now() - asked[0] < self._fetch_timeout_s:
            return
        self._asked[topic] = (self._now(), wanted)
        self._fetch(topic, link)

    def _fetch(self, topic: str, link) -> None:
        has = self._holds(topic) if topic in self._stepwise else NOTHING
        link.send(("want", topic, *has))

    def tick(self) -> None:
        """Asks again where a teller did not tell."""
        for topic, offers in self._offered.items():
            version = self.versions.get(topic, NOTHING)
            newer = [link for link, offered in offers.items() if offered > version and link.is_open]
            if newer:
                asked = self._asked.get(topic)
                if asked is None or self._now() - asked[0] >= self._fetch_timeout_s:
                    near = [link for link in newer if self._is_near is not None and self._is_near(link)]
                    if near and (asked is None or asked[1] < version):
                        newer = near
                    link = newer[int(self._now() / self._fetch_timeout_s) % len(newer)]
                    self._asked[topic] = (self._now(), offers[link])
                    self._fetch(topic, link)

    def handle_snapshot(self, link, message: tuple) -> bool:
        _kind, topic, epoch, number, data = message
        if (epoch, number) <= self.versions.get(topic, NOTHING):
            return False
        self._on_snapshot(topic, epoch, number, data)
        self._has(topic, (epoch, number))
        return True

    def handle_deltas(self, link, message: tuple) -> bool:
        """Steps count only on the very version that they start from; any others change nothing."""
        _kind, topic, base_epoch, base_number, steps = message
        base = (base_epoch, base_number)
        versions = [base, *((epoch, number) for epoch, number, _data in steps)]
        if not steps or versions != sorted(set(versions)):
            raise errors.FrameError(f"steps {versions}", step="changes")
        if topic not in self._stepwise or self._holds(topic) != base:
            return False
        if versions[-1] <= self.versions.get(topic, NOTHING):
            return False
        for epoch, number, data in steps:
            self._on_change(topic, epoch, number, data)
            self._has(topic, (epoch, number))
        return True

    def _has(self, topic: str, version: tuple) -> None:
        self.versions[topic] = version
        asked = self._asked.get(topic)
        if asked is not None and asked[1] <= version:
            self._asked.pop(topic, None)

    def drop(self, link) -> None:
        for topic, offers in self._offered.items():
            if offers.pop(link, None) is not None and topic in self._asked:
                self._asked.pop(topic, None)
