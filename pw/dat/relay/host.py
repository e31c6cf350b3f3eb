"""The relay of a region, while its proxy holds the duty (docs/relay.md 1, 5): ingest, publication, busyness beside the pools."""
from pw.dat.relay import ckf
from pw.dat.relay import pool_registry
from pw.dat.relay import resolution

FAR_TICKS = 2  # busyness crosses regions so much less often
SENT, READ, DONE, BROKEN = 0, 1, 2, 3


class Host:
    """Only lives under one epoch; a new epoch makes a new one, with new generations."""

    def __init__(self, *, region: str, epoch: int, now, suspect_s: float):
        self.region = region
        self.epoch = epoch
        self._now = now
        self._suspect_s = suspect_s
        self.registry = pool_registry.Registry(
            on_withdraw=self._withdrawn, on_catalogue=self._catalogue, first_generation=epoch * 1000000)
        self._links = {}  # subscriber link: last busyness told
        self._far = {}  # subscribers of other regions: ticks until they are told again
        self._sent = set()
        self._running = {}  # link: {(replica, key): tokens still to read}
        self._trouble = {}  # replica: {link: until}
        self._replicas = []
        self._services = {}
        self._is_dirty = False

    def sync(self, *, services: dict, replicas: list) -> None:
        self._services = services
        self._replicas = replicas
        live = {row["id"] for row in replicas}
        self._sent &= live
        self._resolve()

    def _resolve(self) -> None:
        pools, conflicts = resolution.resolve(
            region=self.region, services=self._services, replicas=self._replicas, sent=self._sent)
        known = set(self.registry.pools)
        self.registry.sync(resolved=pools, conflicts=conflicts)
        for identity in set(self.registry.pools) - known:
            for link in list(self._links):
                self.registry.join(pool=self.registry.pools[identity], link=link)

    def _withdrawn(self, pool) -> None:
        for link in list(self._links):
            link.send(("withdrawn", pool.name, pool.generation))

    def _catalogue(self) -> None:
        message = ("catalogue", self.epoch, self.registry.rows())
        for link in list(self._links):
            link.send(message)

    def subscribe(self, link, *, region: str) -> None:
        self._links[link] = None
        if region != self.region:
            self._far[link] = 0
        link.send(("catalogue", self.epoch, self.registry.rows()))
        self.registry.subscribe(link=link)
        self._is_dirty = True

    def end(self, link) -> None:
        self._links.pop(link, None)
        self._far.pop(link, None)
        for pool in self.registry.pools.values():
            if pool.hub is not None:
                pool.hub.leave(link)
        if self._running.pop(link, None):
            self._is_dirty = True
        for marks in self._trouble.values():
            marks.pop(link, None)

    def take_sends(self, link, message: tuple) -> None:
        table = self._running.setdefault(link, {})
        for replica, kind, tokens, key in message[1]:
            if kind == SENT:
                table[(replica, key)] = tokens
                if replica not in self._sent:
                    self._sent.add(replica)
                    self._resolve()
            elif kind == READ:
                if (replica, key) in table:
                    table[(replica, key)] = 0
            else:
                table.pop((replica, key), None)
                if kind == BROKEN:
                    self._trouble.setdefault(replica, {})[link] = self._now() + self._suspect_s
        self._is_dirty = True

    def take_reads(self, message: tuple) -> None:
        for replica, service, model, parts in message[1]:
            pool = self.registry.find(service=service, model=model)
            if pool is None or replica not in pool.actor.lanes:
                continue
            rows = ckf.chain(model=model, parts=tuple((part.decode("latin-1"), tokens) for part, tokens in parts))
            pool.actor.read(replica=replica, rows=rows)

    def tick(self) -> None:
        self.registry.flush()
        for link, ticks in self._far.items():
            self._far[link] = max(0, ticks - 1)
        if not self._is_dirty and not self._trouble:
            return
        self._is_dirty = any(self._far.values())
        now = self._now()
        for replica in list(self._trouble):
            marks = {link: until for link, until in self._trouble[replica].items() if until > now}
            if marks:
                self._trouble[replica] = marks
            else:
                del self._trouble[replica]
        totals = {}
        for table in self._running.values():
            for (replica, _key), tokens in table.items():
                count, pending = totals.get(replica, (0, 0))
                totals[replica] = (count + 1, pending + tokens)
        for link, told in list(self._links.items()):
            if self._far.get(link):
                continue
            rows = dict(totals)
            for (replica, _key), tokens in self._running.get(link, {}).items():
                count, pending = rows[replica]
                rows[replica] = (count - 1, pending - tokens)
            message = tuple(sorted(
                (replica, rows.get(replica, (0, 0))[0], max(0, rows.get(replica, (0, 0))[1]),
                 any(other is not link for other in self._trouble.get(replica, ())))
                for replica in set(rows) | set(self._trouble)
            ))
            if message != told:
                self._links[link] = message
                if link in self._far:
                    self._far[link] = FAR_TICKS
                link.send(("busyness", self.epoch, message))
