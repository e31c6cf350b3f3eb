"""Frames between our own processes (design 2, 4, 5): a length, a kind, fields by construct; messages are tuples."""

import functools
import struct

import construct

from ploverward.common import errors

MAX_FRAME_BYTES = 24 * 1024 * 1024
TEXT = construct.PascalString(construct.VarInt, "utf8")
BLOB = construct.Prefixed(construct.VarInt, construct.GreedyBytes)
NUMBER = construct.VarInt
REAL = construct.Float64b
FLAG = construct.Flag


def rows(*fields):
    return construct.PrefixedArray(construct.VarInt, construct.Sequence(*fields))


_HEAD = struct.Struct(">IB")  # size, kind
HEAD_SIZE = _HEAD.size
_BALLOT = (NUMBER, TEXT)
KINDS = {
    # both ways
    "hello": (1, (TEXT, TEXT, TEXT, TEXT, TEXT, TEXT)),  # role, address, zone, region, life, public address
    "beat": (2, (NUMBER,)),
    # core to core: registers; prepare and peek name the accepted ballot whose value the proposer holds already
    "prepare": (10, (NUMBER, TEXT, *_BALLOT, *_BALLOT)),
    "promise": (11, (NUMBER, TEXT, FLAG, TEXT, *_BALLOT, *_BALLOT, NUMBER, BLOB)),
    "accept": (12, (NUMBER, TEXT, *_BALLOT, TEXT, NUMBER, BLOB)),
    "accepted": (13, (NUMBER, TEXT, FLAG, *_BALLOT)),
    "chosen": (14, (TEXT, *_BALLOT, NUMBER)),
    "peek": (17, (NUMBER, TEXT, *_BALLOT)),
    "peeked": (18, (NUMBER, TEXT, FLAG, *_BALLOT, *_BALLOT, NUMBER, BLOB)),
    "refill": (15, (NUMBER, rows(TEXT, *_BALLOT, *_BALLOT))),  # number; a register: ballot to promise, ballot known
    "refilled": (16, (NUMBER, FLAG, rows(TEXT, *_BALLOT, *_BALLOT, NUMBER, BLOB))),
    # news
    "offer": (20, (rows(TEXT, NUMBER, NUMBER),)),
    "floor": (21, (rows(TEXT, NUMBER),)),
    "want": (22, (TEXT, NUMBER, NUMBER)),  # topic, version that the asker has; 0, 0: none
    "image": (23, (TEXT, NUMBER, NUMBER, BLOB)),
    # topic, version that the steps start from, and each step with the version that it leads to
    "changes": (25, (TEXT, NUMBER, NUMBER, rows(NUMBER, NUMBER, BLOB))),
    "have": (24, (rows(TEXT, NUMBER, NUMBER),)),
    # leases and grants
    "state": (30, (FLAG, FLAG)),  # is ready, is leaving
    # share of slacks, share of rates, for how many seconds, the core node's own part, slot and slots (0: none), and the
    # number of the renewal that it answers: the seconds run from when that was sent
    "entry": (31, (REAL, REAL, REAL, REAL, NUMBER, NUMBER, NUMBER)),
    "renew": (
        32,
        (NUMBER, BLOB),
    ),  # a proxy asks for its entry, and tells what it admitted of tenants (ploverward/common/tenant_usage.py)
    # core to core: contact with a majority (ploverward/control_plane/cluster/majority_lease.py); number, version of the core set
    "heartbeat": (33, (NUMBER, NUMBER)),
    "heartbeat_answer": (34, (NUMBER, NUMBER, NUMBER)),  # and the newest version of the configuration that it accepted
    # how a proxy stands: the renewal answered, the newest configuration chosen, for how many seconds none may have been
    # newer, proxies that count, credits for tenants close to their limits
    "standing": (37, (NUMBER, NUMBER, REAL, NUMBER, BLOB)),
    # roll-outs: a proxy's evidence to the holder of the watch duty (ploverward/common/rollout_evidence.py), which asks for leases, and these
    "evidence": (35, (NUMBER, BLOB)),  # number, reports
    "leases": (
        36,
        (NUMBER, REAL, NUMBER, BLOB),
    ),  # number answered, for how many seconds, beats between reports, leases
    # custody
    "trails": (60, (TEXT, TEXT, NUMBER, FLAG, rows(TEXT, BLOB))),  # node, life, batch, is last, trails
    "keeps": (61, (NUMBER, TEXT, TEXT, rows(BLOB))),  # service, model, canonical hashes
    "kept": (62, (NUMBER, rows(TEXT, TEXT))),  # replica, zone
    # digest: proxies to the digest of their zone, and back (docs/digest.md); blobs hold rows of ploverward/transport/row_codec.py
    "enroll": (40, (NUMBER, TEXT)),  # epoch, address
    "enrolled": (41, (NUMBER,)),
    "report": (42, (NUMBER, BLOB, BLOB)),  # number, loads, reads
    "credited": (43, (TEXT, NUMBER)),  # region, number of the report that its sums hold
    "relayed": (44, (TEXT, BLOB)),  # region, a frame of its relay, unchanged
    "broke": (45, (TEXT,)),  # region whose stream broke at the digest
    "follow": (47, (FLAG, BLOB)),  # a member's wish: loads of all replicas, or of these (keys)
    "enroll_digest": (48, (NUMBER, TEXT, NUMBER)),  # to the gateway: epoch of the relay, duty of the digest, its epoch
    # adapters, by way of the digest to a core node (docs/pins.md): node, zone, region, life, window, number, counts
    "adapters": (46, (rows(TEXT, TEXT, TEXT, TEXT, NUMBER, NUMBER, BLOB),)),
    # digests to the relay of a region
    "subscribe": (50, (NUMBER, TEXT, TEXT, NUMBER)),  # epoch, region, zone, epoch of the zone's digest
    "sums": (56, (NUMBER, BLOB, BLOB)),  # number, loads, reads
    # the relay to its subscribers
    "catalogue": (51, (NUMBER, rows(TEXT, TEXT, TEXT, NUMBER, BLOB))),
    "cut": (52, (TEXT, NUMBER, NUMBER, NUMBER, BLOB)),
    "delta": (53, (TEXT, NUMBER, BLOB)),
    "withdrawn": (54, (TEXT, NUMBER)),
    "load": (55, (NUMBER, FLAG, BLOB)),  # epoch, is whole, rows
    "counted": (57, (NUMBER,)),  # number of the subscriber's last sums that the load holds
}


@functools.cache
def _builder(name: str):
    """A kind's number and its compiled shape: a third of the time to pack; made when the kind is first sent."""
    number, fields = KINDS[name]
    return number, construct.Sequence(*fields).compile()


_BY_NUMBER = {
    number: (name, construct.Sequence(*fields, construct.Terminated)) for name, (number, fields) in KINDS.items()
}


def pack(message: tuple) -> bytes:
    number, shape = _builder(message[0])
    body = shape.build(message[1:])
    return _HEAD.pack(len(body), number) + body


def _plain(value):
    if isinstance(value, list):
        return tuple(_plain(item) for item in value)
    return value


def split(buffer: bytearray) -> list:
    """Takes all whole frames off the front of the buffer, as bytes."""
    frames = []
    while len(buffer) >= HEAD_SIZE:
        size, kind = _HEAD.unpack_from(buffer, 0)
        if size > MAX_FRAME_BYTES or kind not in _BY_NUMBER:
            raise errors.FrameError(f"kind {kind}, size {size}", step="frame")
        if len(buffer) < HEAD_SIZE + size:
            break
        frames.append(bytes(buffer[: HEAD_SIZE + size]))
        del buffer[: HEAD_SIZE + size]
    return frames


def unpack(frame: bytes) -> tuple:
    """One whole frame."""
    if len(frame) < HEAD_SIZE or frame[4] not in _BY_NUMBER or _HEAD.unpack_from(frame, 0)[0] != len(frame) - HEAD_SIZE:
        raise errors.FrameError("no whole frame", step="frame")
    name, shape = _BY_NUMBER[frame[4]]
    try:
        fields = shape.parse(frame[HEAD_SIZE:])
    except (construct.ConstructError, UnicodeDecodeError) as fault:
        raise errors.FrameError(f"{name}: {fault}", step="frame") from None
    return (name, *_plain(list(fields[:-1])))


def unpack_from(buffer: bytearray) -> list:
    """Takes all whole frames off the front of the buffer."""
    return [unpack(frame) for frame in split(buffer)]
