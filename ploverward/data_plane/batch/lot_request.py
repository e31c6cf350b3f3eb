"""Checks what a client hands in as a lot: bad input gets one clear error, and is not taken (docs/batch.md 5)."""

from __future__ import annotations

import binascii
import json
import re
import typing

from ploverward.common import errors

MAX_ITEMS = 200
MAX_ID_BYTES = 200
TOKEN_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # a header's name (RFC 9110, 5.6.2)
VALUE_PATTERN = re.compile(r"[^\x00-\x08\x0a-\x1f\x7f]*")  # a header's value
OWN_HEADERS = frozenset(
    (
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-attempt-id",
        "x-sender",
    )
)


class LotError(errors.PloverwardError):
    """A lot is malformed; the text names the first fault."""


def check(*, body: bytes, path_prefix: str) -> int:
    """Checks a lot.

    Args:
        body: As the client sent it.
        path_prefix: Of the lot's route: each item's path begins with it.

    Returns:
        How many items it has.

    Raises:
        LotError: It is malformed.
    """
    try:
        lot = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise LotError("the body is no JSON") from error
    rows = lot.get("requests") if isinstance(lot, dict) else None
    if not isinstance(rows, list) or not rows:
        raise LotError("'requests' is no list of items")
    if len(rows) > MAX_ITEMS:
        raise LotError(f"{len(rows)} items, {MAX_ITEMS} are allowed")
    seen: set[str] = set()
    for index, row in enumerate(rows):
        _check_item(row, where=f"requests[{index}]", path_prefix=path_prefix)
        if row["id"] in seen:
            raise LotError(f"requests[{index}].id: '{row['id']}' comes twice")
        seen.add(row["id"])
    return len(rows)


def _check_item(row: typing.Any, *, where: str, path_prefix: str) -> None:  # noqa: ANN401  # any JSON
    if not isinstance(row, dict):
        raise LotError(f"{where}: no item")
    item_id, path = row.get("id"), row.get("path")
    if not isinstance(item_id, str) or not 0 < len(item_id) <= MAX_ID_BYTES or not VALUE_PATTERN.fullmatch(item_id):
        raise LotError(f"{where}.id: no id")
    if not isinstance(path, str) or not path.startswith(path_prefix) or not path.isascii() or not path.isprintable():
        raise LotError(f"{where}.path: no path under {path_prefix}")
    if " " in path:
        raise LotError(f"{where}.path: has a space")
    tokens = row.get("tokens", 0)
    if isinstance(tokens, bool) or not isinstance(tokens, int) or tokens < 0:
        raise LotError(f"{where}.tokens: no count")
    _check_headers(row.get("envelope", {}), where=f"{where}.envelope")
    _check_parcel(row.get("parcel", ""), where=f"{where}.parcel")


def _check_headers(headers: typing.Any, *, where: str) -> None:  # noqa: ANN401  # any JSON
    if not isinstance(headers, dict):
        raise LotError(f"{where}: no headers")
    for name, value in headers.items():
        if not TOKEN_PATTERN.fullmatch(name) or name.lower() in OWN_HEADERS:
            raise LotError(f"{where}: '{name}' may not be a header")
        if not isinstance(value, str) or not VALUE_PATTERN.fullmatch(value):
            raise LotError(f"{where}.{name}: no value")


def _check_parcel(parcel: typing.Any, *, where: str) -> None:  # noqa: ANN401  # any JSON
    try:
        binascii.a2b_base64(parcel.encode("ascii"), strict_mode=True)
    except (AttributeError, UnicodeEncodeError, binascii.Error) as error:
        raise LotError(f"{where}: no base64") from error
