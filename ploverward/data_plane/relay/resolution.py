"""Which pools there should be (docs/relay.md 1). Our replicas send no cards: the facts come from the
configuration, the platform's list, and the requests seen sent."""

import hashlib

IDENTITY_VERSION = 1
HASH_FORMAT = "part-id/blake2b-8/v1"


def domain_id(*, service: str, model: str) -> str:
    return hashlib.blake2b(f"{service}\0{model}\0{HASH_FORMAT}".encode(), digest_size=8).hexdigest()


def pool_id(*, service: str, model: str, region: str, domain=domain_id) -> tuple:
    return (IDENTITY_VERSION, domain(service=service, model=model), region)


def resolve(*, region: str, services: dict, replicas: list, sent: set, domain=domain_id) -> tuple:
    """(pools, conflicts). pools: PoolId -> (service, model, cache tokens, live replica ids).

    A pool is there where its identity resolves without conflict, its source is unambiguous (each
    replica id stands once, with one service and one address), and a live replica has been sent requests.
    """
    rows_by_id = {}
    for row in replicas:
        rows_by_id.setdefault(row["id"], []).append(row)
    expected = {}
    for replica, rows in rows_by_id.items():
        if len(rows) > 1 or rows[0]["region"] != region:
            continue
        row = rows[0]
        if row["service"] not in services:
            continue
        for model in row["models"]:
            if model in services[row["service"]]["models"]:
                expected.setdefault((row["service"], model), set()).add(replica)
    by_id = {}
    for service, model in expected:
        by_id.setdefault(pool_id(service=service, model=model, region=region, domain=domain), []).append(
            (service, model)
        )
    pools = {}
    conflicts = []
    for identity, owners in by_id.items():
        if len(owners) > 1:
            conflicts.append(identity)  # colliding live PoolIds are fenced, never merged
            continue
        service, model = owners[0]
        live = expected[owners[0]]
        if live & sent:
            pools[identity] = (service, model, services[service]["cache_tokens"], frozenset(live))
    return pools, tuple(conflicts)
