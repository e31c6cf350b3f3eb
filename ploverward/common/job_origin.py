"""Origin of a batch job: the host and the path prefix of the route on which it was submitted (docs/batch.md 4).

A configuration may rename the route, move it, withdraw it, or use its name for another one while items of the job still
wait. Therefore an item is routed by its host and path, as a request of a client is, and not by the name of a route.

The proxy that accepts a job appends the origin to the job's body, which is stored and replicated as it is. Earlier
versions of this software ignore it there, and their jobs have none.
"""

from __future__ import annotations

import json
import typing
from collections.abc import Mapping

ORIGIN_FIELD = "origin"
JSON_SPACE = b" \t\n\r"


class JobOrigin(typing.NamedTuple):
    """Where a job was submitted.

    Attributes:
        host: Host of the route; empty if it is not known.
        prefix: Path prefix of the route.
        edition: Version of the configuration by which the job was accepted.
    """

    host: str
    prefix: str
    edition: int


UNKNOWN_ORIGIN = JobOrigin("", "", 0)


def is_same_place(one: JobOrigin, other: JobOrigin) -> bool:
    """Returns whether two origins have the same host and path prefix; False if one is not known."""
    return bool(one.host) and (one.host, one.prefix) == (other.host, other.prefix)


def append_origin(body: bytes, origin: JobOrigin) -> bytes:
    """Returns the body of a job with its origin as the last field, which overrides a field of that name.

    Args:
        body: A JSON object with at least one field, in any encoding that JSON allows.
        origin: The origin.
    """
    encoding = json.detect_encoding(body)
    if not encoding.startswith("utf-8"):
        body = body.decode(encoding, "surrogatepass").encode("utf-8", "surrogatepass")
    stored = {"host": origin.host, "prefix": origin.prefix, "edition": origin.edition}
    field = json.dumps({ORIGIN_FIELD: stored}, separators=(",", ":")).encode()
    return body.rstrip(JSON_SPACE)[:-1] + b"," + field[1:]


def origin_of(job: Mapping[str, typing.Any]) -> JobOrigin:
    """Returns the origin in the parsed body of a job; `UNKNOWN_ORIGIN` if it has none or a malformed one."""
    stored = job.get(ORIGIN_FIELD)
    if not isinstance(stored, dict):
        return UNKNOWN_ORIGIN
    host, prefix, edition = stored.get("host"), stored.get("prefix"), stored.get("edition")
    if not isinstance(host, str) or not isinstance(prefix, str) or not isinstance(edition, int):
        return UNKNOWN_ORIGIN
    return JobOrigin(host, prefix, edition)
