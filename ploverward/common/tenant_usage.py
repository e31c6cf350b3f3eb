"""Tenants on the way between nodes: names and keys by digest, counts and credits as fixed rows (docs/quotas.md, docs/keys.md).

Neither a key nor anything that it could be found by goes from one node to another.
"""

import dataclasses
import functools
import hashlib
import struct

from ploverward.transport import row_codec

NAME_DIGEST = 8
USAGE = struct.Struct(">8sHI")  # tenant, requests seen since the last report, requests admitted in this life
CREDIT = struct.Struct(">8sf")  # tenant, requests that may be admitted
MAX_DEMAND = 0xFFFF


@functools.lru_cache(maxsize=8192)
def tenant_key(name: str) -> bytes:
    """Eight bytes that stand for a tenant's name."""
    return hashlib.blake2b(name.encode(), digest_size=NAME_DIGEST).digest()


def key_digest(key: str) -> str:
    """What tools show and keep in place of a key."""
    return "digest:" + hashlib.blake2b(key.encode(), digest_size=NAME_DIGEST).hexdigest()


@dataclasses.dataclass(frozen=True)
class Limit:
    """A tenant's quota: requests a second, and how many at once beyond that. 0 a second: unlimited."""

    per_s: float
    burst: float


@dataclasses.dataclass(frozen=True)
class Usage:
    """What one life of a proxy saw of a tenant: `demand` since its last report, `admitted` since it started."""

    tenant: bytes
    demand: int
    admitted: int


@dataclasses.dataclass(frozen=True)
class Credit:
    """What a proxy may admit of a tenant that is close to its limit."""

    tenant: bytes
    tokens: float


def pack_usage(rows) -> bytes:
    return b"".join(USAGE.pack(row.tenant, min(MAX_DEMAND, row.demand), row.admitted) for row in rows)


def unpack_usage(data: bytes) -> list:
    """Raises FrameProblem where the bytes are no rows."""
    return [Usage(*row) for row in row_codec.rows(shape=USAGE, data=data)]


def pack_credits(rows) -> bytes:
    return b"".join(CREDIT.pack(row.tenant, row.tokens) for row in rows)


def unpack_credits(data: bytes) -> list:
    """Raises FrameProblem where the bytes are no rows."""
    return [Credit(*row) for row in row_codec.rows(shape=CREDIT, data=data)]


def limits_of(body) -> dict:
    """Tenant: its `Limit`, of those that have one."""
    found = {}
    for row in (body or {}).get("senders") or ():
        per_s = float(row.get("perS") or 0)
        if per_s > 0:
            found[tenant_key(row["name"])] = Limit(per_s=per_s, burst=float(row.get("burst") or 0))
    return found
