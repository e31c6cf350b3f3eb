"""Checks what a client hands in as a job: bad input gets one clear error, and is not taken (docs/batch.md 5)."""

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


class JobError(errors.PloverwardError):
    """A job is malformed; the text names the first fault."""


def check(*, body: bytes, path_prefix: str) -> int:
    """Checks a job.

    Args:
        body: As the client sent it.
        path_prefix: Of the job's route: each item's path begins with it.

    Returns:
        How many items it has.

    Raises:
        JobError: It is malformed.
    """
    try:
        job = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise JobError("the body is no JSON") from error
    rows = job.get("requests") if isinstance(job, dict) else None
    if not isinstance(rows, list) or not rows:
        raise JobError("'requests' is no list of items")
    if len(rows) > MAX_ITEMS:
        raise JobError(f"{len(rows)} items, {MAX_ITEMS} are allowed")
    seen: set[str] = set()
    for index, row in enumerate(rows):
        _check_item(row, where=f"requests[{index}]", path_prefix=path_prefix)
        if row["id"] in seen:
            raise JobError(f"requests[{index}].id: '{row['id']}' comes twice")
        seen.add(row["id"])
    return len(rows)


def _check_item(row: typing.Any, *, where: str, path_prefix: str) -> None:  # noqa: ANN401  # any JSON
    if not isinstance(row, dict):
        raise JobError(f"{where}: no item")
    item_id, path = row.get("id"), row.get("path")
    if not isinstance(item_id, str) or not 0 < len(item_id) <= MAX_ID_BYTES or not VALUE_PATTERN.fullmatch(item_id):
        raise JobError(f"{where}.id: no id")
    if not isinstance(path, str) or not path.startswith(path_prefix) or not path.isascii() or not path.isprintable():
        raise JobError(f"{where}.path: no path under {path_prefix}")
    if " " in path:
        raise JobError(f"{where}.path: has a space")
    tokens = row.get("tokens", 0)
    if isinstance(tokens, bool) or not isinstance(tokens, int) or tokens < 0:
        raise JobError(f"{where}.tokens: no count")
    _check_headers(row.get("envelope", {}), where=f"{where}.envelope")
    _check_parcel(row.get("parcel", ""), where=f"{where}.parcel")


def _check_headers(headers: typing.Any, *, where: str) -> None:  # noqa: ANN401  # any JSON
    if not isinstance(headers, dict):
        raise JobError(f"{where}: no headers")
    for name, value in headers.items():
        if not TOKEN_PATTERN.fullmatch(name) or name.lower() in OWN_HEADERS:
            raise JobError(f"{where}: '{name}' may not be a header")
        if not isinstance(value, str) or not VALUE_PATTERN.fullmatch(value):
            raise JobError(f"{where}.{name}: no value")


def _check_parcel(parcel: typing.Any, *, where: str) -> None:  # noqa: ANN401  # any JSON
    try:
        binascii.a2b_base64(parcel.encode("ascii"), strict_mode=True)
    except (AttributeError, UnicodeEncodeError, binascii.Error) as error:
        raise JobError(f"{where}: no base64") from error
