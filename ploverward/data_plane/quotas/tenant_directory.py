"""The tenants of a configuration, looked up by the API key of a request (docs/keys.md 1).

`TenantDirectory` stores no keys. It looks them up by a keyed digest, with a new random salt for each configuration and
process, so that nothing in memory, in logs or on the wire reveals a key.
"""

import dataclasses
import hashlib
import os
from collections.abc import Mapping
from typing import Any

from ploverward.common import tenant_usage

BEARER = b"bearer "
DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True)
class Tenant:
    """A tenant of the configuration.

    Attributes:
        name: The tenant's name, which is sent to replicas.
        priority: Overrides the priority of the route; None: the route's is used.
        homes: Regions that the tenant's requests may be sent to; empty: all.
        limit: The tenant's quota; None: unlimited.
    """

    name: str
    priority: int | None
    homes: tuple[str, ...]
    limit: tenant_usage.Limit | None

    @property
    def key(self) -> bytes:
        """The digest of eight bytes that stands for the tenant's name in messages between nodes."""
        return tenant_usage.tenant_key(self.name)


def bearer_key(header: bytes) -> bytes:
    """Returns the bearer token in the value of an Authorization header; empty if there is none."""
    text = header.strip()
    if text[: len(BEARER)].lower() != BEARER:
        return b""
    return text[len(BEARER) :].strip()


class TenantDirectory:
    """The tenants of one configuration.

    Attributes:
        by_name: All tenants, by their names.
    """

    def __init__(self, *, configuration: Mapping[str, Any]) -> None:
        self.by_name: dict[str, Tenant] = {}
        self._salt = os.urandom(16)
        self._by_digest: dict[bytes, Tenant] = {}
        for row in configuration["senders"]:
            tenant = _tenant(row)
            self.by_name[tenant.name] = tenant
            for key in row.get("apiKeys") or ():
                self._by_digest[self._digest(key.encode())] = tenant

    def _digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=self._salt).digest()

    def find(self, key: bytes) -> Tenant | None:
        """Returns the tenant that has this key; None if no tenant has it."""
        return self._by_digest.get(self._digest(key))


def _tenant(row: Mapping[str, Any]) -> Tenant:
    per_s = float(row.get("perS") or 0)
    priority = row.get("urgency")
    return Tenant(
        name=row["name"],
        priority=None if priority is None else int(priority),
        homes=tuple(row.get("homeRegions") or ()),
        limit=tenant_usage.Limit(per_s=per_s, burst=float(row.get("burst") or 0)) if per_s > 0 else None,
    )


def build_tenant_directory(configuration: Mapping[str, Any] | None) -> TenantDirectory | None:
    """Returns the directory of a configuration; None if it has no list of tenants, so that requests need no key."""
    if not configuration or configuration.get("senders") is None:
        return None
    return TenantDirectory(configuration=configuration)
