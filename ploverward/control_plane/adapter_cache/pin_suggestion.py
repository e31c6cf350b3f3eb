"""Which adapters each replica should keep pinned (docs/pins.md 4): from counts to a suggestion, without side effects."""

import collections

from ploverward.data_plane.adapter_cache import adapter_counts

LEAST_ARRIVALS = 3  # fewer of an adapter in a region are no evidence
STAY = 3.0  # what the suggestion before pinned goes only for something worth so much more
SAFETY = 4.0  # the first copy and one in another zone count for so much


def demand(*, windows, routes: dict) -> dict:
    """{(service, model, adapter): {region: row}}: what arrived where, weighted by urgency and nearness to the aim."""
    table = {}
    for window in windows:
        for service, model, adapter, _replica, route, *numbers in window["rows"]:
            row = table.setdefault((service, model, adapter), {}).setdefault(window["region"], collections.Counter())
            fields = dict(zip(adapter_counts.FIELDS, numbers, strict=False))
            most = max(row["most_wait_ms"], fields.pop("most_wait_ms"))
            row.update(fields)
            row["most_wait_ms"] = most
            about = routes.get(route, {})
            arrivals = fields["warm"] + fields["cold"] + fields["unknown"]
            near = (
                min(1.0, fields["wait_ms"] / fields["waits"] / about["target_ms"])
                if fields["waits"] and about.get("target_ms")
                else 0.0
            )
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

    `previous`: the suggestion before. What it pinned stays where it can: a pin that moves leaves a copy behind that is
    pushed out later, and a list that lags sends somebody there.
    """
    wanted = demand(windows=windows, routes=routes)
    homes = homes_of(windows=windows, routes=routes)
    before = _before(replicas, previous)
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
                thin.append(
                    {
                        "service": service,
                        "model": model,
                        "adapter": adapter,
                        "region": region,
                        "arrivals": arrivals(row),
                    }
                )
                continue
            if (
                not row["cold"]
                and not row["unknown"]
                and not is_old
                and not any(pair in (one["adapters"] or ()) for one in here)
            ):
                continue
            if region in allowed:
                weights[region] += row["weight"]
            else:  # its work runs wherever it may
                for other in allowed:
                    weights[other] += row["weight"] / len(allowed)
        if weights and not allowed:
            missing.append(
                {
                    "service": service,
                    "model": model,
                    "adapter": adapter,
                    "region": "",
                    "why": "no replica in a permitted region",
                }
            )
        for region, weight in weights.items():
            claims.append((service, pair, region, weight, allowed))
    _assign(claims, replicas, capacity, before, pins, missing)
    loaded = {row["id"]: set(row["adapters"] or ()) for row in replicas}
    return {
        "replicas": {
            row["id"]: {
                "service": row["service"],
                "zone": row["zone"],
                "region": row["region"],
                "pins": sorted(pins[row["id"]]),
                "is_known": row["adapters"] is not None,
                "to_load": sorted(set(pins[row["id"]]) - loaded[row["id"]]),
            }
            for row in replicas
        },
        "new": _for_new(replicas, pins, claims, capacity),
        "saving": _saving(wanted, pins, replicas),
        "missing": missing,
        "too_little_evidence": thin,
    }


def _before(replicas, previous) -> dict:
    """What each replica was to keep; a new one keeps what it holds, first what new ones of its zone were to load."""
    if not previous:
        return {}
    found = {}
    for row in replicas:
        known = previous["replicas"].get(row["id"])
        if known is not None:
            found[row["id"]] = [tuple(pair) for pair in known["pins"]]
            continue
        first = [tuple(pair) for pair in previous.get("new", {}).get(row["service"], {}).get(row["zone"], ())]
        found[row["id"]] = sorted(row["adapters"] or (), key=lambda pair: (pair not in first, pair))
    return found


class _Board:
    """The pins as they are being dealt out."""

    def __init__(self, *, claims, replicas, capacity, pins):
        self.replicas = replicas
        self.pins = pins
        self._capacity = capacity
        self._weights = {(service, pair, region): weight for service, pair, region, weight, _allowed in claims}
        self._allowed = {(service, pair): allowed for service, pair, _region, _weight, allowed in claims}
        self.claims = list(self._weights)

    def copies(self, service, pair, region=None) -> list:
        return [
            row
            for row in self.replicas
            if row["service"] == service and pair in self.pins[row["id"]] and region in (None, row["region"])
        ]

    def may_hold(self, row, pair) -> bool:
        return row["region"] in self._allowed.get((row["service"], pair), ())

    def has_capacity(self, row) -> bool:
        return len(self.pins[row["id"]]) < self._capacity.get(row["service"], 0)

    def is_safety(self, service, pair, region) -> bool:
        """The first copy of a region, and a second one in another zone."""
        here = self.copies(service, pair, region)
        return not here or (len(here) == 1 and len({row["zone"] for row in self.copies(service, pair)}) < 2)

    def value(self, service, pair, region) -> float:
        weight = self._weights.get((service, pair, region), 0.0)
        return (
            weight
            / (len(self.copies(service, pair, region)) + 1)
            * (SAFETY if self.is_safety(service, pair, region) else 1.0)
        )

    def loss(self, row, pair) -> float:
        """What goes with this copy; without end for one that is needed for safety."""
        here = self.copies(row["service"], pair, row["region"])
        zones = {other["zone"] for other in self.copies(row["service"], pair) if other is not row}
        if len(here) <= 1 or len(zones) < 2:
            return self._weights.get((row["service"], pair, row["region"]), 0.0) * SAFETY
        return self._weights.get((row["service"], pair, row["region"]), 0.0) / len(here)

    def rows_for(self, service, pair, region) -> list:
        """Where a copy may go: in the region; for a second one without another zone there, elsewhere too."""
        rows = [row for row in self.replicas if row["service"] == service and row["region"] == region]
        zones = {row["zone"] for row in self.copies(service, pair)}
        if self.copies(service, pair, region) and self.is_safety(service, pair, region):
            apart = [row for row in self.replicas if row["service"] == service and row["zone"] not in zones]
            rows = [row for row in rows if row["zone"] not in zones] or apart or rows
        return [row for row in rows if pair not in self.pins[row["id"]] and self.may_hold(row, pair)]


def _assign(claims, replicas, capacity, before, pins, missing) -> None:
    """What was pinned stays; then copy by copy to the claim with the highest average, each to the zone that has fewest."""
    board = _Board(claims=claims, replicas=replicas, capacity=capacity, pins=pins)
    for row in replicas:
        known = [pair for pair in before.get(row["id"], ()) if board.may_hold(row, pair)]
        pins[row["id"]].extend(known[: capacity.get(row["service"], 0)])
    waiting = set(board.claims)
    settled = set()  # pins of this look: none of them is displaced again
    while waiting:
        claim = max(waiting, key=lambda one: (board.value(*one), one[1], one[2]))
        service, pair, region = claim
        value = board.value(*claim)
        rows = board.rows_for(*claim)
        zones = {row["zone"] for row in board.copies(service, pair)}
        free = [row for row in rows if board.has_capacity(row)]
        if free:
            best = min(
                free,
                key=lambda row: (
                    row["zone"] in zones,
                    pair not in (row["adapters"] or ()),
                    len(pins[row["id"]]),
                    row["id"],
                ),
            )
            pins[best["id"]].append(pair)
            settled.add((best["id"], pair))
            continue
        # A pin that moves costs waits of its own, so one gives way only for a copy that safety needs.
        taken = (
            []
            if not board.is_safety(*claim)
            else [
                (board.loss(row, other), row["id"], other)
                for row in rows
                for other in pins[row["id"]]
                if (row["id"], other) not in settled
            ]
        )
        if taken and min(taken)[0] * STAY < value:
            _loss, name, other = min(taken)
            pins[name].remove(other)
            pins[name].append(pair)
            settled.add((name, pair))
            continue
        waiting.discard(claim)
        if not board.copies(service, pair, region) and board.rows_for(*claim):
            missing.append(
                {
                    "service": service,
                    "model": pair[0],
                    "adapter": pair[1],
                    "region": region,
                    "why": "no room: raise the capacity or add replicas",
                }
            )


def _for_new(replicas, pins, claims, capacity) -> dict:
    """What a replica that starts in a zone should load first: a new life holds nothing. What has the fewest copies for its
    weight comes first, so that replicas that are exchanged one by one do not all come to hold the same."""
    board = _Board(claims=claims, replicas=replicas, capacity=capacity, pins=pins)
    found = {}
    for row in replicas:
        zones = found.setdefault(row["service"], {})
        if row["zone"] in zones:
            continue
        worths = {}
        for service, pair, region in board.claims:
            if service == row["service"] and board.may_hold(row, pair):
                here = [other for other in board.copies(service, pair, region) if other["zone"] == row["zone"]]
                value = board.value(service, pair, region) * (SAFETY if len(here) <= 1 else 1.0)
                worths[pair] = max(worths.get(pair, 0.0), value if region == row["region"] else value / 8)
        zones[row["zone"]] = [
            list(pair)
            for pair, _value in sorted(worths.items(), key=lambda one: (-one[1], one[0]))[
                : capacity.get(row["service"], 0)
            ]
        ]
    return {service: dict(sorted(zones.items())) for service, zones in sorted(found.items())}


def _saving(wanted, pins, replicas) -> dict:
    """Cold waits in the time looked at that a pinned copy in their region would have spared."""
    spared, spared_ms, all_waits = 0, 0, 0
    for (service, model, adapter), regions in wanted.items():
        for region, row in regions.items():
            all_waits += row["waits"]
            if any(
                one["region"] == region and one["service"] == service and (model, adapter) in pins[one["id"]]
                for one in replicas
            ):
                spared += row["waits"]
                spared_ms += row["wait_ms"]
    return {"cold_waits": spared, "wait_ms": spared_ms, "of_cold_waits": all_waits}
