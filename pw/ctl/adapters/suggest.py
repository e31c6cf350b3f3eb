"""Which adapters each replica should keep pinned (docs/pins.md 4): from counts to a suggestion, without side effects."""
import collections

from pw.dat.adapters import counts

LEAST_ARRIVALS = 3  # fewer of an adapter in a region are no evidence
STAY = 1.2  # what is pinned by the suggestion before goes only for something worth so much more
SAFETY = 4.0  # the first copy and one in another zone count for so much


def demand(*, windows, routes: dict) -> dict:
    """{(service, model, adapter): {region: row}}: what arrived where, weighted by urgency and nearness to the aim."""
    table = {}
    for window in windows:
        for service, model, adapter, _replica, route, *numbers in window["rows"]:
            row = table.setdefault((service, model, adapter), {}).setdefault(window["region"], collections.Counter())
            fields = dict(zip(counts.FIELDS, numbers))
            most = max(row["most_wait_ms"], fields.pop("most_wait_ms"))
            row.update(fields)
            row["most_wait_ms"] = most
            about = routes.get(route, {})
            arrivals = fields["warm"] + fields["cold"] + fields["unknown"]
            near = min(1.0, fields["wait_ms"] / fields["waits"] / about["target_ms"]) if fields["waits"] and about.get("target_ms") else 0.0
            row["weight"] += arrivals * (10 - min(9, max(0, about.get("urgency", 5)))) / 10 * (1 + near)
    return table


def homes_of(*, windows, routes: dict) -> dict:
    """{(service, model, adapter): permitted regions, None for all}: of each route that asked for it."""
    table = {}
    for window in windows:
        for service, model, adapter, _replica, route, *_numbers in window["rows"]:
            homes = frozenset(routes.get(route, {}).get("homes") or ()) or None
            key = (service, model, adapter)
            if key not in table:
                table[key] = homes
            elif table[key] is not None:
                table[key] = None if homes is None else table[key] | homes
    return table


def arrivals(row) -> int:
    return row["warm"] + row["cold"] + row["unknown"]


def suggest(*, windows, replicas, routes: dict, capacity: dict, previous=None) -> dict:
    """`replicas`: id, service, zone, region, adapters (pairs, or None). `capacity`: pins a replica of each service.

    `previous`: {replica id: [(model, adapter)]} of the suggestion before.
    """
    wanted = demand(windows=windows, routes=routes)
    homes = homes_of(windows=windows, routes=routes)
    before = {replica: {tuple(pair) for pair in pairs} for replica, pairs in (previous or {}).items()}
    pins = {row["id"]: [] for row in replicas}
    missing, thin = [], []
    claims = []  # (service, pair, region, weight)
    for (service, model, adapter), regions in wanted.items():
        if not adapter:
            continue
        here = [row for row in replicas if row["service"] == service]
        permitted = homes[(service, model, adapter)]
        allowed = {row["region"] for row in here if permitted is None or row["region"] in permitted}
        pair = (model, adapter)
        weights = collections.Counter()
        for region, row in regions.items():
            is_old = any(pair in before.get(one["id"], ()) for one in here)
            if sum(arrivals(other) for other in regions.values()) < LEAST_ARRIVALS and not is_old:
                thin.append({"service": service, "model": model, "adapter": adapter, "region": region, "arrivals": arrivals(row)})
                continue
            if not row["cold"] and not row["unknown"] and not is_old and not any(
                    pair in (one["adapters"] or ()) for one in here):
                continue
            if region in allowed:
                weights[region] += row["weight"]
            else:  # its work runs wherever it may
                for other in allowed:
                    weights[other] += row["weight"] / len(allowed)
        if weights and not allowed:
            missing.append({"service": service, "model": model, "adapter": adapter, "region": "", "why": "no replica in a permitted region"})
        for region, weight in weights.items():
            claims.append((service, pair, region, weight, allowed))
    _place(claims, replicas, capacity, before, pins, missing)
    held = {row["id"]: set(row["adapters"] or ()) for row in replicas}
    return {
        "replicas": {
            row["id"]: {
                "service": row["service"], "zone": row["zone"], "region": row["region"],
                "pins": sorted(pins[row["id"]]), "is_known": row["adapters"] is not None,
                "to_load": sorted(set(pins[row["id"]]) - held[row["id"]]),
            } for row in replicas
        },
        "new": _for_new(replicas, pins, claims, capacity),
        "saving": _saving(wanted, pins, replicas),
        "missing": missing, "too_little_evidence": thin,
    }


def _place(claims, replicas, capacity, before, pins, missing) -> None:
    """Copies one by one to the claim with the highest average; each to the zone that has fewest of it."""
    copies = collections.Counter()  # (service, pair, region)
    zones = collections.defaultdict(set)  # (service, pair): zones with a copy
    open_claims = list(claims)
    while open_claims:
        def worth(claim):
            service, pair, region, weight, _allowed = claim
            count = copies[(service, pair, region)]
            is_safety = count == 0 or (count == 1 and len(zones[(service, pair)]) < 2)
            is_old = any(pair in before.get(row["id"], ()) for row in replicas if row["region"] == region)
            return weight / (count + 1) * (SAFETY if is_safety else 1.0) * (STAY if is_old else 1.0)

        claim = max(open_claims, key=lambda one: (worth(one), one[1], one[2]))
        service, pair, region, _weight, allowed = claim
        count = copies[(service, pair, region)]
        free = [row for row in replicas if row["service"] == service and row["region"] == region
                and len(pins[row["id"]]) < capacity.get(service, 0) and pair not in pins[row["id"]]]
        if count == 1 and len(zones[(service, pair)]) < 2 and not [row for row in free if row["zone"] not in zones[(service, pair)]]:
            # No other zone in this region: one elsewhere, where it may be, takes the second copy.
            other = [row for row in replicas if row["service"] == service and row["region"] in allowed
                     and row["zone"] not in zones[(service, pair)]
                     and len(pins[row["id"]]) < capacity.get(service, 0) and pair not in pins[row["id"]]]
            free = other or free
        if not free:
            if count == 0:
                missing.append({"service": service, "model": pair[0], "adapter": pair[1], "region": region,
                                "why": "no room: raise the capacity or add replicas"})
            open_claims.remove(claim)
            continue
        best = min(free, key=lambda row: (
            row["zone"] in zones[(service, pair)], pair not in before.get(row["id"], ()),
            pair not in (row["adapters"] or ()), len(pins[row["id"]]), row["id"]))
        pins[best["id"]].append(pair)
        zones[(service, pair)].add(best["zone"])
        copies[(service, pair, region)] += 1


def _for_new(replicas, pins, claims, capacity) -> dict:
    """What a replica that starts in a zone should load first: a new life holds nothing."""
    found = {}
    for row in replicas:
        weights = found.setdefault(row["service"], {}).setdefault(row["zone"], collections.Counter())
        for service, pair, region, weight, _allowed in claims:
            if service == row["service"] and pair in pins[row["id"]]:
                weights[pair] += weight if region == row["region"] else weight / 2
    return {
        service: {
            zone: [list(pair) for pair, _weight in sorted(weights.items(), key=lambda one: (-one[1], one[0]))[:capacity.get(service, 0)]]
            for zone, weights in sorted(by_zone.items())}
        for service, by_zone in sorted(found.items())}


def _saving(wanted, pins, replicas) -> dict:
    """Cold waits in the time looked at that a pinned copy in their region would have spared."""
    spared, spared_ms, all_waits = 0, 0, 0
    for (service, model, adapter), regions in wanted.items():
        for region, row in regions.items():
            all_waits += row["waits"]
            if any(one["region"] == region and one["service"] == service and (model, adapter) in pins[one["id"]] for one in replicas):
                spared += row["waits"]
                spared_ms += row["wait_ms"]
    return {"cold_waits": spared, "wait_ms": spared_ms, "of_cold_waits": all_waits}
