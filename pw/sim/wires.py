"""Links that keep what they are told, and frames as digests send them, for tests."""

from pw.base import records
from pw.base import wire
from pw.dat.relay import ckf
from pw.dat.relay import resolution


class Wire:
    """A link that keeps what it is told."""

    def __init__(self):
        self.told = []
        self.is_open = True
        self.queue = 0

    def send(self, message):
        self.send_bytes(wire.pack(message))

    def send_bytes(self, data):
        self.told.append(wire.unpack(data))

    def queued(self):
        return self.queue

    def close(self, *, reason=""):
        self.is_open = False

    def kinds(self):
        return [message[0] for message in self.told]


def load_row(name, running=0, tokens=0, marks=0, ended=0, failed=0, region=0):
    return records.REPORTED.pack(records.key_of(name), region, running, tokens, marks, ended, failed)


def read_row(name, *parts, service="llm", model="m", region=0):
    return records.pack_read(
        replica=records.key_of(name),
        region=region,
        domain=bytes.fromhex(resolution.domain_id(service=service, model=model)),
        parts=tuple((ckf.token_hash(model=model, part=part, tokens=tokens), tokens) for part, tokens in parts),
    )


def sums(number, *, loads=(), reads=()):
    return ("sums", number, b"".join(loads), b"".join(reads))


def loads_of(message):
    """{replica key: (running, tokens, marks, is failing)} of a load frame."""
    return {key: tuple(load) for key, *load in records.rows(shape=records.LOAD, data=message[3])}
