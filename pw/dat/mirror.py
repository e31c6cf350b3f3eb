"""A proxy's mirror of the pools of all regions (docs/relay.md 5). Frames are checked and installed whole."""
from pw.base import problems
from pw.dat.relay import ckf


class Mirror:
    """One pool generation as this proxy sees it."""

    def __init__(self, *, name: str, service: str, model: str, generation: int):
        self.name = name
        self.service = service
        self.model = model
        self.generation = generation
        self.lanes = {}  # replica id: lane
        self.buckets = None
        self.serials = None

    def install_cut(self, *, bucket_count: int, rows) -> None:
        if bucket_count < 1 or bucket_count & (bucket_count - 1):
            raise problems.FrameProblem("bucket count", step="cut", peer=self.name)
        blank = ckf.read_image(ckf.EMPTY_IMAGE)
        buckets = [blank] * bucket_count
        serials = [0] * bucket_count
        for index, serial, image in rows:
            self._check(index, image, bucket_count)
            buckets[index] = ckf.read_image(image)
            serials[index] = serial
        self.buckets, self.serials = buckets, serials

    def _check(self, index, image, bucket_count) -> None:
        if index >= bucket_count or len(image) != len(ckf.EMPTY_IMAGE):
            raise problems.FrameProblem(f"bucket {index}", step="frame", peer=self.name)

    def install_delta(self, *, rows) -> None:
        """Every bucket is checked before any is exposed."""
        if self.buckets is None:
            raise problems.FrameProblem("a delta before the cut", step="delta", peer=self.name)
        for index, serial, image in rows:
            self._check(index, image, len(self.buckets))
            if serial != self.serials[index] + 1:
                raise problems.FrameProblem(f"bucket {index} at {serial}", step="delta", peer=self.name)
        for index, serial, image in rows:
            self.buckets[index] = ckf.read_image(image)
            self.serials[index] = serial


class Region:
    """What one region's relay publishes. Broken, it keeps deciding for `trust_s`, then counts as unknown."""

    def __init__(self, *, now, trust_s: float):
        self._now = now
        self._trust_s = trust_s
        self.epoch = 0
        self.mirrors = {}  # pool name: Mirror
        self.busyness = {}  # replica id: (running, tokens to read, is suspect)
        self.broken_at = now()
        self._staged = None

    @property
    def is_trusted(self) -> bool:
        return self.broken_at is None or self._now() - self.broken_at <= self._trust_s

    @property
    def is_fresh(self) -> bool:
        """Busyness ages much faster than what is kept."""
        return self.broken_at is None or self._now() - self.broken_at <= self._trust_s / 10

    def take(self, message: tuple) -> None:
        kind = message[0]
        if kind == "catalogue":
            self._take_catalogue(message)
        elif kind in ("cut", "delta"):
            _kind, name, generation, count, rows = message
            mirror = self.mirrors.get(name)
            if mirror is None or mirror.generation != generation:
                return
            if kind == "cut":
                mirror.install_cut(bucket_count=count, rows=rows)
            else:
                mirror.install_delta(rows=rows)
        elif kind == "withdrawn":
            mirror = self.mirrors.get(message[1])
            if mirror is not None and mirror.generation == message[2]:
                del self.mirrors[message[1]]
        elif kind == "busyness" and message[1] >= self.epoch:
            self.busyness = {replica: (running, tokens, is_bad) for replica, running, tokens, is_bad in message[2]}

    def _take_catalogue(self, message: tuple) -> None:
        _kind, epoch, rows = message
        if epoch < self.epoch:
            raise problems.FrameProblem(f"epoch {epoch} is below {self.epoch}", step="catalogue")
        self.epoch = epoch
        self.broken_at = None
        mirrors = {}
        for name, service, model, generation, lanes in rows:
            mirror = self.mirrors.get(name)
            if mirror is None or mirror.generation != generation:
                mirror = Mirror(name=name, service=service, model=model, generation=generation)
            mirror.lanes = dict(lanes)
            mirrors[name] = mirror
        self.mirrors = mirrors

    def fail(self) -> None:
        if self.broken_at is None:
            self.broken_at = self._now()

    def owners(self, *, service: str, model: str, full_hash: bytes) -> set:
        for mirror in self.mirrors.values():
            if mirror.service == service and mirror.model == model and mirror.buckets is not None:
                bits = ckf.find(buckets=mirror.buckets, full_hash=full_hash)
                return {replica for replica, lane in mirror.lanes.items() if bits >> lane & 1}
        return set()

    def kept(self, *, service: str, model: str, chain, replicas) -> dict:
        """Tokens of the prompt that each replica keeps already, by the mirror: a run from the front."""
        if not self.is_trusted:
            return {}
        for mirror in self.mirrors.values():
            if mirror.service == service and mirror.model == model and mirror.buckets is not None:
                break
        else:
            return {}
        found = dict.fromkeys((replica for replica in replicas if replica in mirror.lanes), 0)
        alive = set(found)
        for full_hash, tokens in chain:
            if not alive:
                break
            bits = ckf.find(buckets=mirror.buckets, full_hash=full_hash)
            alive = {replica for replica in alive if bits >> mirror.lanes[replica] & 1}
            for replica in alive:
                found[replica] += tokens
        return found
