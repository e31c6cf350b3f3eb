"""Links that keep what they are told, and frames as digests send them, for tests."""

from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import resolution
from ploverward.transport import frames
from ploverward.transport import legacy_messages
from ploverward.transport import row_codec


class RecordingLink:
    """A link that keeps what it is told."""

    def __init__(self):
        self.sent = []
        self.is_open = True
        self.queue = 0

    def send(self, message):
        self.send_bytes(frames.pack(message))

    def send_bytes(self, data):
        self.sent.append(legacy_messages.unpack(data))

    def queued(self):
        return self.queue

    def close(self, *, reason=""):
        self.is_open = False

    def kinds(self):
        return [message[0] for message in self.sent]


def load_row(name, running=0, tokens=0, suspect_count=0, ended=0, failed=0, region=0):
    return row_codec.REPORTED.pack(row_codec.key_of(name), region, running, tokens, suspect_count, ended, failed)


def read_row(name, *parts, service="llm", model="m", region=0):
    return row_codec.pack_read(
        replica=row_codec.key_of(name),
        region=region,
        domain=bytes.fromhex(resolution.domain_id(service=service, model=model)),
        parts=tuple(
            (cuckoo_filter.token_hash(model=model, part=part, tokens=tokens), tokens) for part, tokens in parts
        ),
    )


def aggregates_message(number, *, loads=(), reads=()):
    return ("sums", number, b"".join(loads), b"".join(reads))


def loads_of(message):
    """{replica key: (running, tokens, marks, is failing)} of a load frame."""
    return {key: tuple(load) for key, *load in row_codec.rows(shape=row_codec.LOAD, data=message[3])}
