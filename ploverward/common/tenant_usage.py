"""Tenants on the wire between nodes: names and keys by digest, counts and credits as fixed rows.

Invariant: neither a key, nor anything that it could be computed from, travels between nodes (docs/keys.md). Counts and
credits are explained in docs/quotas.md.
"""

import dataclasses
import functools
import hashlib
import struct
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from ploverward.transport import row_codec

NAME_DIGEST_BYTES = 8  # among 100,000 names two share a digest once in four billion configurations
DIGEST_CACHE_NAMES = 8192  # an evicted name is only hashed again
USAGE = struct.Struct(">8sHI")  # tenant, demand, admitted
CREDIT = struct.Struct(">8sf")  # tenant, tokens
MAX_DEMAND = 0xFFFF  # what the row's field can say; more demand than that counts as this


@functools.lru_cache(maxsize=DIGEST_CACHE_NAMES)
def tenant_key(name: str) -> bytes:
    """Returns the eight bytes that stand for a tenant's name."""
    return hashlib.blake2b(name.encode(), digest_size=NAME_DIGEST_BYTES).digest()


def key_digest(key: str) -> str:
    """Returns what tools show and keep in place of a tenant's key."""
    return "digest:" + hashlib.blake2b(key.encode(), digest_size=NAME_DIGEST_BYTES).hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A tenant's rate limit.

    Attributes:
        per_s: Requests a second; 0: unlimited.
        burst: Requests at once beyond that.
    """

    per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What one incarnation of a proxy counted of a tenant.

    Attributes:
        tenant: The tenant's digest (`tenant_key`).
        demand: Requests seen since its last report.
        admitted: Requests admitted since it started; a report that is lost or repeated changes nothing.
    """

    tenant: bytes
    demand: int
    admitted: int


@dataclasses.dataclass(frozen=True, slots=True)
class Credit:
    """What a proxy may admit of a tenant that is close to its limit.

    Attributes:
        tenant: The tenant's digest (`tenant_key`).
        tokens: Requests.
    """

    tenant: bytes
    tokens: float


def pack_usage(rows: Iterable[Usage]) -> bytes:
    """Packs usage rows for a report of a proxy."""
    return b"".join(USAGE.pack(row.tenant, min(MAX_DEMAND, row.demand), row.admitted) for row in rows)


def unpack_usage(data: bytes) -> list[Usage]:
    """Unpacks what `pack_usage` packed.

    Raises:
        FrameError: The bytes are no rows.
    """
    return [Usage(*row) for row in row_codec.rows(shape=USAGE, data=data)]


def pack_credits(rows: Iterable[Credit]) -> bytes:
    """Packs credit rows for a quota status of a core node."""
    return b"".join(CREDIT.pack(row.tenant, row.tokens) for row in rows)


def unpack_credits(data: bytes) -> list[Credit]:
    """Unpacks what `pack_credits` packed.

    Raises:
        FrameError: The bytes are no rows.
    """
    return [Credit(*row) for row in row_codec.rows(shape=CREDIT, data=data)]


def limits_of(body: Mapping[str, Any] | None) -> dict[bytes, Limit]:
    """Returns the limit of each tenant that has one, by the tenant's digest.

    Args:
        body: A configuration as operators send it; None where none is known.
    """
    limits = {}
    for row in (body or {}).get("senders") or ():
        per_s = float(row.get("perS") or 0)
        if per_s > 0:
            limits[tenant_key(row["name"])] = Limit(per_s=per_s, burst=float(row.get("burst") or 0))
    return limits
