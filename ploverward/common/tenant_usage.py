"""Encoding of tenants between nodes: names as digests, usage counts and credits as rows of fixed size.

Invariant: neither keys nor data from which a key could be computed are sent between nodes (docs/keys.md). Usage counts
and credits are explained in docs/quotas.md.
"""

import dataclasses
import functools
import hashlib
import struct
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from ploverward.transport import row_codec

NAME_DIGEST_BYTES = 8  # with 100,000 names, one configuration in four billion has two names with the same digest
DIGEST_CACHE_NAMES = 8192  # names evicted from the cache are hashed again
USAGE = struct.Struct(">8sHI")  # tenant, demand, admitted
CREDIT = struct.Struct(">8sf")  # tenant, tokens
MAX_DEMAND = 0xFFFF  # largest value of the row's field; higher demand is clamped to it


@functools.lru_cache(maxsize=DIGEST_CACHE_NAMES)
def tenant_key(name: str) -> bytes:
    """Returns the digest that identifies a tenant by name, eight bytes long."""
    return hashlib.blake2b(name.encode(), digest_size=NAME_DIGEST_BYTES).digest()


def key_digest(key: str) -> str:
    """Returns the digest that tools show and store instead of a tenant's key."""
    return "digest:" + hashlib.blake2b(key.encode(), digest_size=NAME_DIGEST_BYTES).hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A tenant's rate limit.

    Attributes:
        per_s: Requests per second; 0 if unlimited.
        burst: Additional requests that may come at once.
    """

    per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Requests of a tenant that one incarnation of a proxy counted.

    Attributes:
        tenant: Digest of the tenant (`tenant_key`).
        demand: Requests received since the last report of the proxy.
        admitted: Requests admitted since the proxy started; cumulative, so lost and repeated reports do no harm.
    """

    tenant: bytes
    demand: int
    admitted: int


@dataclasses.dataclass(frozen=True, slots=True)
class Credit:
    """Requests that a proxy may admit of a tenant that is close to its rate limit.

    Attributes:
        tenant: Digest of the tenant (`tenant_key`).
        tokens: Number of requests.
    """

    tenant: bytes
    tokens: float


def pack_usage(rows: Iterable[Usage]) -> bytes:
    """Encodes usage rows for a report of a proxy."""
    return b"".join(USAGE.pack(row.tenant, min(MAX_DEMAND, row.demand), row.admitted) for row in rows)


def unpack_usage(data: bytes) -> list[Usage]:
    """Decodes rows that `pack_usage` encoded.

    Raises:
        FrameError: The bytes are not a sequence of rows.
    """
    return [Usage(*row) for row in row_codec.rows(shape=USAGE, data=data)]


def pack_credits(rows: Iterable[Credit]) -> bytes:
    """Encodes credit rows for a quota status of a core node."""
    return b"".join(CREDIT.pack(row.tenant, row.tokens) for row in rows)


def unpack_credits(data: bytes) -> list[Credit]:
    """Decodes rows that `pack_credits` encoded.

    Raises:
        FrameError: The bytes are not a sequence of rows.
    """
    return [Credit(*row) for row in row_codec.rows(shape=CREDIT, data=data)]


def limits_of(body: Mapping[str, Any] | None) -> dict[bytes, Limit]:
    """Returns the rate limit of each tenant that has one, by digest of the tenant.

    Args:
        body: A configuration in the form that operators send; None if none is known.
    """
    limits = {}
    for row in (body or {}).get("senders") or ():
        per_s = float(row.get("perS") or 0)
        if per_s > 0:
            limits[tenant_key(row["name"])] = Limit(per_s=per_s, burst=float(row.get("burst") or 0))
    return limits
