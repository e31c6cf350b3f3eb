"""Numbered changes, pushed down held connections and counted (design 5)."""


class Desk:
    """Topics with their newest image. A serial is (epoch, number); it only rises.

    An image goes only to who wants it: a link is offered the serial and asks, so that a proxy
    with three core nodes takes a large configuration once.
    """

    def __init__(self):
        self.topics = {}  # name: (epoch, number, data)
        self._links = {}  # link: {topic: (epoch, number)} that it has

    def get(self, topic: str):
        return self.topics.get(topic)

    def serial(self, topic: str) -> tuple:
        held = self.topics.get(topic)
        return held[:2] if held else (0, 0)

    def publish(self, *, topic: str, epoch: int, number: int, data: bytes) -> bool:
        if (epoch, number) <= self.serial(topic):
            return False
        self.topics[topic] = (epoch, number, data)
        for link, has in list(self._links.items()):
            if has.get(topic, (0, 0)) < (epoch, number):
                link.send(("offer", ((topic, epoch, number),)))
        return True

    def join(self, link) -> None:
        self._links[link] = {}
        if self.topics:
            link.send(("offer", tuple((topic, *held[:2]) for topic, held in self.topics.items())))

    def leave(self, link) -> None:
        self._links.pop(link, None)

    def take_want(self, link, message: tuple) -> None:
        held = self.topics.get(message[1])
        if held is not None:
            link.send(("image", message[1], *held))

    def take_have(self, link, message: tuple) -> None:
        has = self._links.get(link)
        if has is None:
            return
        for topic, epoch, number in message[1]:
            has[topic] = max(has.get(topic, (0, 0)), (epoch, number))

    def lagging(self, *, topic: str, serial: tuple, links) -> list:
        return [link for link in links if self._links.get(link, {}).get(topic, (0, 0)) < serial]


class Follower:
    """The other end: asks one teller at a time for what it lacks, never goes back."""

    def __init__(self, *, now, patience_s: float, on_image, is_near=None, unwanted=()):
        self._now = now
        self._patience_s = patience_s
        self._is_near = is_near  # whether a link's images come cheaply
        self._unwanted = frozenset(unwanted)  # topics that are never asked for
        self._on_image = on_image  # (topic, epoch, number, data)
        self.serials = {}
        self._offered = {}  # topic: {link: serial}
        self._asked = {}  # topic: (when, serial)

    def take_offer(self, link, message: tuple) -> None:
        for topic, epoch, number in message[1]:
            if topic in self._unwanted:
                continue
            if (epoch, number) <= self.serials.get(topic, (0, 0)):
                link.send(("have", ((topic, *self.serials[topic]),)))
                continue
            self._offered.setdefault(topic, {})[link] = (epoch, number)
            if self._is_near is None or self._is_near(link):
                self._ask(topic, link)
            else:
                # A nearer teller offers it in a moment; else the next tick asks here.
                self._asked.setdefault(topic, (self._now() - self._patience_s * 0.5, (0, 0)))

    def _ask(self, topic: str, link) -> None:
        asked = self._asked.get(topic)
        wanted = self._offered[topic][link]
        if asked is not None and asked[1] >= wanted and self._now() - asked[0] < self._patience_s:
            return
        self._asked[topic] = (self._now(), wanted)
        link.send(("want", topic))

    def tick(self) -> None:
        """Asks again where a teller did not tell."""
        for topic, offers in self._offered.items():
            serial = self.serials.get(topic, (0, 0))
            newer = [link for link, offered in offers.items() if offered > serial and link.is_open]
            if newer:
                asked = self._asked.get(topic)
                if asked is None or self._now() - asked[0] >= self._patience_s:
                    near = [link for link in newer if self._is_near is not None and self._is_near(link)]
                    if near and (asked is None or asked[1] < serial):
                        newer = near
                    link = newer[int(self._now() / self._patience_s) % len(newer)]
                    self._asked[topic] = (self._now(), offers[link])
                    link.send(("want", topic))

    def take_image(self, link, message: tuple) -> bool:
        _kind, topic, epoch, number, data = message
        if (epoch, number) <= self.serials.get(topic, (0, 0)):
            return False
        self._on_image(topic, epoch, number, data)
        self.serials[topic] = (epoch, number)
        asked = self._asked.get(topic)
        if asked is not None and asked[1] <= (epoch, number):
            self._asked.pop(topic, None)
        return True

    def drop(self, link) -> None:
        for topic, offers in self._offered.items():
            if offers.pop(link, None) is not None and topic in self._asked:
                self._asked.pop(topic, None)
