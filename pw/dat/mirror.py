"""A proxy's mirror of the pools of all regions (docs/relay.md 5). Frames are checked and installed whole."""

from pw.base import problems
from pw.base import records
from pw.dat.relay import actor as actors
from pw.dat.relay import ckf
from pw.dat.relay import hub as hubs

MOST_WORDS = 512


class Mirror:
    """One pool generation as this proxy sees it. Bucket images are read only where a prompt asks for them."""

    def __init__(self, *, name: str, service: str, model: str, generation: int):
        self.name = name
        self.service = service
        self.model = model
        self.generation = generation
        self.lanes = {}  # replica key: lane
        self.words = 1
        self.buckets = None  # images
        self.versions = None

    def _rows(self, data: bytes, *, size: int, bucket_count: int, step: str) -> list:
        width = hubs.ROW.size + size
        if len(data) % width:
            raise problems.FrameProblem(f"{len(data)} bytes of rows", step=step, peer=self.name)
        rows = []
        for place in range(0, len(data), width):
            index, version = hubs.ROW.unpack_from(data, place)
            if index >= bucket_count:
                raise problems.FrameProblem(f"bucket {index}", step=step, peer=self.name)
            rows.append((index, version, data[place + hubs.ROW.size : place + width]))
        return rows

    def install_cut(self, *, bucket_count: int, words: int, data: bytes) -> None:
        if (
            bucket_count < 1
            or bucket_count & (bucket_count - 1)
            or bucket_count > actors.MOST_BUCKETS
            or not 0 < words <= MOST_WORDS
        ):
            raise problems.FrameProblem("bucket count", step="cut", peer=self.name)
        blank = ckf.empty_image(words=words)
        buckets = [blank] * bucket_count
        versions = [0] * bucket_count
        for index, version, image in self._rows(data, size=len(blank), bucket_count=bucket_count, step="cut"):
            buckets[index] = image
            versions[index] = version
        self.words, self.buckets, self.versions = words, buckets, versions

    def install_delta(self, *, data: bytes) -> None:
        """Every bucket is checked before any is exposed."""
        if self.buckets is None:
            raise problems.FrameProblem("a delta before the cut", step="delta", peer=self.name)
        rows = self._rows(
            data, size=len(ckf.empty_image(words=self.words)), bucket_count=len(self.buckets), step="delta"
        )
        for index, version, _image in rows:
            if version != self.versions[index] + 1:
                raise problems.FrameProblem(f"bucket {index} at {version}", step="delta", peer=self.name)
        for index, version, image in rows:
            self.buckets[index] = image
            self.versions[index] = version

    def frame(self) -> tuple:
        """A cut as of now, for a member of the zone that joins later: its own, with the same sequences."""
        blank = ckf.empty_image(words=self.words)
        rows = b"".join(
            hubs.ROW.pack(index, version) + image
            for index, (version, image) in enumerate(zip(self.versions, self.buckets, strict=False))
            if version or image != blank
        )
        return ("cut", self.name, self.generation, len(self.buckets), self.words, rows)

    def bits(self, full_hash: bytes) -> int:
        return ckf.find_in_images(images=self.buckets, words=self.words, full_hash=full_hash)


class Region:
    """What one region's relay publishes. Broken, it keeps deciding for `trust_s`, then counts as unknown."""

    def __init__(self, *, now, trust_s: float):
        self._now = now
        self._trust_s = trust_s
        self.epoch = 0
        self.mirrors = {}  # pool name: Mirror
        self.load = {}  # replica key: (running, tokens to read, marks, is failing), of all proxies
        self.broken_at = now()
        self._staged = None

    @property
    def is_trusted(self) -> bool:
        return self.broken_at is None or self._now() - self.broken_at <= self._trust_s

    @property
    def is_fresh(self) -> bool:
        """Load ages much faster than what is kept."""
        return self.broken_at is None or self._now() - self.broken_at <= self._trust_s / 10

    def take(self, message: tuple) -> None:
        kind = message[0]
        if kind == "catalogue":
            self._take_catalogue(message)
        elif kind in ("cut", "delta"):
            mirror = self.mirrors.get(message[1])
            if mirror is None or mirror.generation != message[2]:
                return
            if kind == "cut":
                mirror.install_cut(bucket_count=message[3], words=message[4], data=message[5])
            else:
                mirror.install_delta(data=message[3])
        elif kind == "withdrawn":
            mirror = self.mirrors.get(message[1])
            if mirror is not None and mirror.generation == message[2]:
                del self.mirrors[message[1]]
        elif kind == "load":
            self._take_load(message)

    def _take_load(self, message: tuple) -> None:
        _kind, epoch, is_whole, data = message
        if epoch != self.epoch:
            return
        rows = records.rows(shape=records.LOAD, data=data)
        if is_whole:
            self.load = {}
        for key, *load in rows:
            if any(load):
                self.load[key] = tuple(load)
            else:
                self.load.pop(key, None)

    def frames(self) -> list:
        """All that a later member of the zone needs to stand where this one stands."""
        rows = tuple(
            (
                mirror.name,
                mirror.service,
                mirror.model,
                mirror.generation,
                b"".join(records.LANE.pack(key, lane) for key, lane in mirror.lanes.items()),
            )
            for mirror in self.mirrors.values()
        )
        frames = [("catalogue", self.epoch, rows)]
        frames += [mirror.frame() for mirror in self.mirrors.values() if mirror.buckets is not None]
        frames.append(
            ("load", self.epoch, True, b"".join(records.LOAD.pack(key, *load) for key, load in self.load.items()))
        )
        return frames

    def _take_catalogue(self, message: tuple) -> None:
        _kind, epoch, rows = message
        if epoch < self.epoch:
            raise problems.FrameProblem(f"epoch {epoch} is below {self.epoch}", step="catalogue")
        checked = [(row, dict(records.rows(shape=records.LANE, data=row[4]))) for row in rows]
        if epoch != self.epoch:
            self.load = {}
        self.epoch = epoch
        self.broken_at = None
        mirrors = {}
        for (name, service, model, generation, _data), lanes in checked:
            mirror = self.mirrors.get(name)
            if mirror is None or mirror.generation != generation:
                mirror = Mirror(name=name, service=service, model=model, generation=generation)
            mirror.lanes = lanes
            mirrors[name] = mirror
        self.mirrors = mirrors

    def fail(self) -> None:
        if self.broken_at is None:
            self.broken_at = self._now()

    def _mirror(self, *, service: str, model: str):
        for mirror in self.mirrors.values():
            if mirror.service == service and mirror.model == model and mirror.buckets is not None:
                return mirror
        return None

    def owners(self, *, service: str, model: str, full_hash: bytes) -> set:
        """Keys of the replicas that keep this part."""
        mirror = self._mirror(service=service, model=model)
        if mirror is None:
            return set()
        bits = mirror.bits(full_hash)
        return {key for key, lane in mirror.lanes.items() if bits >> lane & 1}

    def kept(self, *, service: str, model: str, chain, replicas) -> dict:
        """Tokens of the prompt that each replica keeps already, by the mirror: a run from the front."""
        mirror = self._mirror(service=service, model=model) if self.is_trusted else None
        if mirror is None:
            return {}
        lanes = {}
        for replica in replicas:
            lane = mirror.lanes.get(records.key_of(replica))
            if lane is not None:
                lanes[replica] = 1 << lane
        found = dict.fromkeys(lanes, 0)
        alive = list(lanes)
        for full_hash, tokens in chain:
            bits = mirror.bits(full_hash)
            alive = [replica for replica in alive if bits & lanes[replica]] if bits else ()
            if not alive:
                break
            for replica in alive:
                found[replica] += tokens
        return found
