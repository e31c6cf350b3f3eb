"""Resolution of the pools that should exist in a region (docs/relay.md 1).

It is a pure function of the configuration, the endpoint list and the replicas that were sent requests. In the paper
replicas send cards that describe them; replicas of this system do not, so the same facts are derived.
"""

import hashlib
import typing
from collections.abc import Callable
from collections.abc import Collection

IDENTITY_VERSION = 1
HASH_FORMAT = "part-id/blake2b-8/v1"  # hashed into every domain, so that pools of two hash formats never mix


class PoolId(typing.NamedTuple):
    """The identity of a pool."""

    version: int  # version of the identity's own format
    domain: str  # indexer domain: a hash of service, model and hash format
    region: str


class ResolvedPool(typing.NamedTuple):
    """A pool that should exist."""

    service: str
    model: str
    cache_tokens: int  # tokens that the cache of each replica holds
    replicas: frozenset[str]  # ids of the live replicas


class Resolution(typing.NamedTuple):
    """All pools that should exist, and the conflicts between them."""

    pools: dict[PoolId, ResolvedPool]
    conflicts: tuple[PoolId, ...]  # identities that several pools would share


def domain_id(*, service: str, model: str) -> str:
    """Returns the indexer domain of a service and a model, in hex."""
    return hashlib.blake2b(f"{service}\0{model}\0{HASH_FORMAT}".encode(), digest_size=8).hexdigest()


def pool_id(*, service: str, model: str, region: str, domain: Callable[..., str] = domain_id) -> PoolId:
    """Returns the identity of the pool of a service and a model in a region."""
    return PoolId(IDENTITY_VERSION, domain(service=service, model=model), region)


def resolve(
    *,
    region: str,
    services: dict[str, dict],
    replicas: list[dict],
    sent: Collection[str],
    domain: Callable[..., str] = domain_id,
) -> Resolution:
    """Returns the pools of a region.

    A pool exists if its identity resolves without conflict, its source is unambiguous (each replica id is listed
    once, with one service and one address), and a live replica has been sent requests.

    Args:
        region: Region of the relay.
        services: Services of the configuration by name, each with `models` and `cache_tokens`.
        replicas: Rows of the endpoint list.
        sent: Ids of the replicas that were sent requests.
        domain: Returns the indexer domain of a service and a model.
    """
    expected = _expected_replicas(region, services, replicas)
    by_id: dict[PoolId, list[tuple[str, str]]] = {}
    for service, model in expected:
        identity = pool_id(service=service, model=model, region=region, domain=domain)
        by_id.setdefault(identity, []).append((service, model))
    pools = {}
    conflicts = []
    for identity, owners in by_id.items():
        if len(owners) > 1:
            conflicts.append(identity)  # colliding live PoolIds are fenced, never merged
            continue
        service, model = owners[0]
        live = expected[service, model]
        if not live.isdisjoint(sent):
            pools[identity] = ResolvedPool(service, model, services[service]["cache_tokens"], frozenset(live))
    return Resolution(pools, tuple(conflicts))


def _expected_replicas(region: str, services: dict[str, dict], replicas: list[dict]) -> dict[tuple[str, str], set[str]]:
    """Returns the ids of the region's replicas by service and model; a replica that is listed twice is omitted."""
    rows_by_id: dict[str, list[dict]] = {}
    for row in replicas:
        rows_by_id.setdefault(row["id"], []).append(row)
    expected: dict[tuple[str, str], set[str]] = {}
    for replica_id, rows in rows_by_id.items():
        row = rows[0]
        if len(rows) > 1 or row["region"] != region or row["service"] not in services:
            continue
        for model in row["models"]:
            if model in services[row["service"]]["models"]:
                expected.setdefault((row["service"], model), set()).add(replica_id)
    return expected
