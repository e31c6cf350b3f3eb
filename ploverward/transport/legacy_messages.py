"""Messages as tuples that begin with their kind: what code still uses that was not yet moved to typed messages.

This module goes once nothing imports it.
"""

from ploverward.transport import frames

_NUMBERS = {
    "hello": 1,
    "beat": 2,
    "prepare": 10,
    "promise": 11,
    "accept": 12,
    "accepted": 13,
    "chosen": 14,
    "refill": 15,
    "refilled": 16,
    "peek": 17,
    "peeked": 18,
    "offer": 20,
    "floor": 21,
    "want": 22,
    "image": 23,
    "have": 24,
    "changes": 25,
    "state": 30,
    "entry": 31,
    "heartbeat": 33,
    "heartbeat_answer": 34,
    "renew": 32,
    "leases": 36,
    "evidence": 35,
    "standing": 37,
    "enroll": 40,
    "enrolled": 41,
    "report": 42,
    "credited": 43,
    "relayed": 44,
    "broke": 45,
    "adapters": 46,
    "follow": 47,
    "enroll_digest": 48,
    "subscribe": 50,
    "catalogue": 51,
    "cut": 52,
    "delta": 53,
    "withdrawn": 54,
    "load": 55,
    "sums": 56,
    "counted": 57,
    "trails": 60,
    "keeps": 61,
    "kept": 62,
}
KINDS = frozenset(_NUMBERS)
_NAMES = {number: name for name, number in _NUMBERS.items()}


def to_typed(message: tuple) -> tuple:
    """The typed message; one that is typed already is returned as it is."""
    if type(message) is not tuple:
        return message
    kind = frames._BY_NUMBER[_NUMBERS[message[0]]]
    return frames._assemble(kind.message_type, kind.fields, message[1:])


def to_tuple(message: tuple) -> tuple:
    """The tuple of a typed message; one that is a tuple already is returned as it is."""
    if type(message) is tuple:
        return message
    kind = frames._BY_TYPE[type(message)]
    return (_NAMES[kind.number], *_plain(frames._flatten(kind.fields, message)))


def _plain(values: list) -> tuple:
    return tuple(_plain(value) if isinstance(value, list) else value for value in values)


def unpack(frame: bytes) -> tuple:
    """The message of a frame, as a tuple."""
    return to_tuple(frames.unpack(frame))


def unpack_from(buffer: bytearray) -> list:
    """Takes all complete frames off the front of the buffer; their messages, as tuples."""
    return [to_tuple(message) for message in frames.unpack_from(buffer)]
