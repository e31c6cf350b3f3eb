"""Reads the body of an operator's call: strict JSON whose meaning every node and every reader agrees on."""

import json
import math

from ploverward.common import errors

MAX_NESTING_DEPTH = 64  # far below what the encoder bears, so that a stored body can always be written again
BODY_PATH = "body"


def read_json(*, data: bytes) -> dict:
    """The object that `data` holds. Raises InvalidConfiguration, and nothing else, for anything that is not one."""
    try:
        text = data.decode("utf-8")
        body = json.loads(text, object_pairs_hook=_object, parse_constant=_constant, parse_float=_fraction)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidConfigurationError(f"not readable as JSON: {error}", field_path=BODY_PATH) from None
    if not isinstance(body, dict):
        raise errors.InvalidConfigurationError("not an object", field_path=BODY_PATH)
    _check_levels(body)
    if "\\u" in text:
        _check_characters(body)
    return body


def _object(pairs: list) -> dict:
    table = dict(pairs)
    if len(table) != len(pairs):
        names = [name for name, _value in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise errors.InvalidConfigurationError(f"the key '{twice}' stands twice in one object", field_path=twice)
    return table


def _constant(name: str):
    raise ValueError(f"{name} is not a number of JSON")


def _fraction(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text[:20]} is too large a number")
    return number


def _check_levels(body) -> None:
    level = [body]
    for _depth in range(MAX_NESTING_DEPTH):
        below = []
        for item in level:
            values = item.values() if isinstance(item, dict) else item
            below += [value for value in values if isinstance(value, (dict, list))]
        if not below:
            return
        level = below
    raise errors.InvalidConfigurationError(f"nested in more than {MAX_NESTING_DEPTH} levels", field_path=BODY_PATH)


def _check_characters(body) -> None:
    """Half a pair of surrogates can be written in JSON, but no text with it can be sent or compared."""
    try:
        json.dumps(body, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        raise errors.InvalidConfigurationError("half of a surrogate pair", field_path=BODY_PATH) from None
