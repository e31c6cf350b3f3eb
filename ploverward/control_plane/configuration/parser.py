"""A strict JSON parser for the bodies of operators' calls (docs/orders.md 6).

It rejects input that two parsers may interpret differently or that can't be encoded again: duplicate keys, NaN,
infinite numbers, deep nesting and lone surrogates.
"""

import json
import math
import typing

from ploverward.common import errors
from ploverward.common import json_size

MAX_VALUES = 400_000  # a configuration of 2,000 routes has 44,000
MAX_NESTING_DEPTH = 64  # levels; far below the encoder's limit, so a stored body can always be encoded again
BODY_PATH = "body"  # the field path in errors that concern the whole body


def read_json(*, data: bytes) -> dict[str, typing.Any]:
    """Parses a JSON object.

    Args:
        data: The bytes of a call's body.

    Raises:
        InvalidConfigurationError: The bytes are not a strict JSON object. No other exception leaves this function.
    """
    values = json_size.max_values(data)
    if values > MAX_VALUES:
        text = f"up to {values} values, {MAX_VALUES} are allowed"
        raise errors.InvalidConfigurationError(text, field_path=BODY_PATH)
    try:
        text = data.decode("utf-8")
        body = json.loads(
            text, object_pairs_hook=_unique_keys, parse_constant=_reject_constant, parse_float=_finite_float
        )
    except (ValueError, RecursionError) as error:
        raise errors.InvalidConfigurationError(f"not readable as JSON: {error}", field_path=BODY_PATH) from None
    if not isinstance(body, dict):
        raise errors.InvalidConfigurationError("not an object", field_path=BODY_PATH)
    _check_nesting(body)
    if "\\u" in text:
        _check_surrogates(body)
    return body


def _unique_keys(pairs: list[tuple[str, typing.Any]]) -> dict[str, typing.Any]:
    fields = dict(pairs)
    if len(fields) != len(pairs):
        names = [name for name, _value in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise errors.InvalidConfigurationError(
            f"the key '{duplicate}' stands twice in one object", field_path=duplicate
        )
    return fields


def _reject_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is not a number of JSON")


def _finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text[:20]} is too large a number")
    return number


def _check_nesting(body: dict[str, typing.Any]) -> None:
    level: list[typing.Any] = [body]
    for _depth in range(MAX_NESTING_DEPTH):
        next_level: list[typing.Any] = []
        for item in level:
            values = item.values() if isinstance(item, dict) else item
            next_level += [value for value in values if isinstance(value, (dict, list))]
        if not next_level:
            return
        level = next_level
    raise errors.InvalidConfigurationError(f"nested in more than {MAX_NESTING_DEPTH} levels", field_path=BODY_PATH)


def _check_surrogates(body: dict[str, typing.Any]) -> None:
    """Rejects lone surrogates, which JSON can escape although the text can then be neither encoded nor compared."""
    try:
        json.dumps(body, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        raise errors.InvalidConfigurationError("half of a surrogate pair", field_path=BODY_PATH) from None
