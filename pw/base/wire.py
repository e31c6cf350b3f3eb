"""Frames between our own processes (design 2, 4, 5): a length, a kind, fields by construct; messages are tuples."""
import construct

from pw.base import problems

SIZE_LIMIT = 24 * 1024 * 1024
TEXT = construct.PascalString(construct.VarInt, "utf8")
BLOB = construct.Prefixed(construct.VarInt, construct.GreedyBytes)
NUMBER = construct.VarInt
REAL = construct.Float64b
FLAG = construct.Flag


def rows(*fields):
    return construct.PrefixedArray(construct.VarInt, construct.Sequence(*fields))


_HEAD = construct.Struct("size" / construct.Int32ub, "kind" / construct.Int8ub)
HEAD_SIZE = 5
_BALLOT = (NUMBER, TEXT)
KINDS = {
    # both ways
    "hello": (1, (TEXT, TEXT, TEXT, TEXT, TEXT, TEXT)),  # role, address, zone, region, life, public address
    "beat": (2, (NUMBER,)),
    # core to core: registers
    "prepare": (10, (NUMBER, TEXT, *_BALLOT)),
    "promise": (11, (NUMBER, TEXT, FLAG, TEXT, *_BALLOT, *_BALLOT, NUMBER, BLOB)),
    "accept": (12, (NUMBER, TEXT, *_BALLOT, TEXT, NUMBER, BLOB)),
    "accepted": (13, (NUMBER, TEXT, FLAG, *_BALLOT)),
    "chosen": (14, (TEXT, *_BALLOT, NUMBER)),
    "peek": (17, (NUMBER, TEXT)),
    "peeked": (18, (NUMBER, TEXT, FLAG, *_BALLOT, *_BALLOT, NUMBER, BLOB)),
    "refill": (15, (NUMBER,)),
    "refilled": (16, (NUMBER, FLAG, rows(TEXT, *_BALLOT, *_BALLOT, NUMBER, BLOB))),
    # news
    "offer": (20, (rows(TEXT, NUMBER, NUMBER),)),
    "floor": (21, (rows(TEXT, NUMBER),)),
    "want": (22, (TEXT,)),
    "image": (23, (TEXT, NUMBER, NUMBER, BLOB)),
    "have": (24, (rows(TEXT, NUMBER, NUMBER),)),
    # leases and grants
    "state": (30, (FLAG, FLAG)),  # is ready, is leaving
    "entry": (31, (REAL, REAL, REAL)),  # share of slacks, share of rates, for how many seconds
    # custody
    "trails": (60, (TEXT, TEXT, NUMBER, FLAG, rows(TEXT, BLOB))),  # node, life, batch, is last, trails
    "keeps": (61, (NUMBER, TEXT, TEXT, rows(BLOB))),  # service, model, canonical hashes
    "kept": (62, (NUMBER, rows(TEXT, TEXT))),  # replica, zone
    # relay: proxies to the relay of the replica's region
    "sends": (40, (rows(TEXT, NUMBER, NUMBER, NUMBER),)),  # replica, kind, tokens, ask key
    "reads": (41, (rows(TEXT, TEXT, TEXT, rows(BLOB, NUMBER)),)),  # replica, service, model, parts
    # relay to its subscribers
    "subscribe": (50, (NUMBER, TEXT)),  # epoch, the subscriber's region
    "catalogue": (51, (NUMBER, rows(TEXT, TEXT, TEXT, NUMBER, rows(TEXT, NUMBER)))),
    "cut": (52, (TEXT, NUMBER, NUMBER, rows(NUMBER, NUMBER, BLOB))),
    "delta": (53, (TEXT, NUMBER, NUMBER, rows(NUMBER, NUMBER, BLOB))),
    "withdrawn": (54, (TEXT, NUMBER)),
    "busyness": (55, (NUMBER, rows(TEXT, NUMBER, NUMBER, FLAG))),
}
_BY_NAME = {name: (number, construct.Sequence(*fields)) for name, (number, fields) in KINDS.items()}
_BY_NUMBER = {number: (name, construct.Sequence(*fields)) for name, (number, fields) in KINDS.items()}


def pack(message: tuple) -> bytes:
    number, shape = _BY_NAME[message[0]]
    body = shape.build(message[1:])
    return _HEAD.build({"size": len(body), "kind": number}) + body


def _plain(value):
    if isinstance(value, list):
        return tuple(_plain(item) for item in value)
    return value


def unpack_from(buffer: bytearray) -> list:
    """Takes all whole frames off the front of the buffer."""
    messages = []
    while len(buffer) >= HEAD_SIZE:
        head = _HEAD.parse(bytes(buffer[:HEAD_SIZE]))
        if head.size > SIZE_LIMIT or head.kind not in _BY_NUMBER:
            raise problems.FrameProblem(f"kind {head.kind}, size {head.size}", step="frame")
        if len(buffer) < HEAD_SIZE + head.size:
            break
        body = bytes(buffer[HEAD_SIZE:HEAD_SIZE + head.size])
        del buffer[:HEAD_SIZE + head.size]
        name, shape = _BY_NUMBER[head.kind]
        try:
            fields = construct.Sequence(shape, construct.Terminated).parse(body)[0]
        except (construct.ConstructError, UnicodeDecodeError) as fault:
            raise problems.FrameProblem(f"{name}: {fault}", step="frame") from None
        messages.append((name, *_plain(list(fields))))
    return messages
