"""Validation of submitted jobs: a malformed job is rejected as a whole, with one clear error (docs/batch.md 5)."""

from __future__ import annotations

import binascii
import json
import re
import typing

from ploverward.common import errors
from ploverward.common import json_size

MAX_ITEMS = 200
MAX_VALUES = 100 * MAX_ITEMS  # fields and headers of all items
MAX_ID_BYTES = 200
HEADER_NAME_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # a token (RFC 9110, 5.6.2)
HEADER_VALUE_PATTERN = re.compile(r"[^\x00-\x08\x0a-\x1f\x7f]*")  # no control characters but tabs
RESERVED_HEADERS = frozenset(  # connection headers and headers that the proxy sets or reads itself
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
    """A job is malformed; the text describes the first error found."""


def validate(*, body: bytes, path_prefix: str) -> int:
    """Validates a job.

    Args:
        body: The body of the client's request.
        path_prefix: Path prefix of the job's route; the path of each item has to begin with it.

    Returns:
        The number of items in the job.

    Raises:
        JobError: The job is malformed.
    """
    values = json_size.max_values(body)
    if values > MAX_VALUES:
        raise JobError(f"up to {values} values in the body, {MAX_VALUES} are allowed")
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
        _validate_item(row, location=f"requests[{index}]", path_prefix=path_prefix)
        if row["id"] in seen:
            raise JobError(f"requests[{index}].id: '{row['id']}' comes twice")
        seen.add(row["id"])
    return len(rows)


def _validate_item(row: typing.Any, *, location: str, path_prefix: str) -> None:  # noqa: ANN401  # any JSON
    if not isinstance(row, dict):
        raise JobError(f"{location}: no item")
    item_id, path = row.get("id"), row.get("path")
    if (
        not isinstance(item_id, str)
        or not 0 < len(item_id) <= MAX_ID_BYTES
        or not HEADER_VALUE_PATTERN.fullmatch(item_id)
    ):
        raise JobError(f"{location}.id: no id")
    if not isinstance(path, str) or not path.startswith(path_prefix) or not path.isascii() or not path.isprintable():
        raise JobError(f"{location}.path: no path under {path_prefix}")
    if " " in path:
        raise JobError(f"{location}.path: has a space")
    tokens = row.get("tokens", 0)
    if isinstance(tokens, bool) or not isinstance(tokens, int) or tokens < 0:
        raise JobError(f"{location}.tokens: no count")
    _validate_headers(row.get("envelope", {}), location=f"{location}.envelope")
    _validate_parcel(row.get("parcel", ""), location=f"{location}.parcel")


def _validate_headers(headers: typing.Any, *, location: str) -> None:  # noqa: ANN401  # any JSON
    if not isinstance(headers, dict):
        raise JobError(f"{location}: no headers")
    for name, value in headers.items():
        if not HEADER_NAME_PATTERN.fullmatch(name) or name.lower() in RESERVED_HEADERS:
            raise JobError(f"{location}: '{name}' may not be a header")
        if not isinstance(value, str) or not HEADER_VALUE_PATTERN.fullmatch(value):
            raise JobError(f"{location}.{name}: no value")


def _validate_parcel(parcel: typing.Any, *, location: str) -> None:  # noqa: ANN401  # any JSON
    try:
        binascii.a2b_base64(parcel.encode("ascii"), strict_mode=True)
    except (AttributeError, UnicodeEncodeError, binascii.Error) as error:
        raise JobError(f"{location}: no base64") from error
