"""Measures the processor time and bytes of an order, by the number of routes and of archived order identifiers.

Run with `python3 -m ploverward.simulation.order_costs`; docs/orders.md lists the figures.
"""

from __future__ import annotations

import hashlib
import json
import statistics
import sys
import time
from collections.abc import Callable
from typing import Any

from ploverward.control_plane.configuration import order_archive
from ploverward.control_plane.configuration import orders
from ploverward.control_plane.configuration import parser
from ploverward.control_plane.configuration import schema
from ploverward.control_plane.consensus import ballots

MEMBERS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
REPEATS = 7  # repetitions of each measurement, of which the median is reported
ROUTES = (10, 260, 2000)
ORDER_ID_COUNTS = (64, 4096, order_archive.MAX_ARCHIVED_IDS)
SERVICES = 40
WINDOW = 128  # recent orders stored with a configuration


def make_configuration(*, routes: int, edition: int) -> dict[str, Any]:
    """Returns a configuration with this number of routes and the fields that operators use."""
    return {
        "edition": edition,
        "routes": [_route(number) for number in range(routes)],
        "destinations": [
            {"name": f"d{number}", "health": "/health", "maxConns": 360, "warmupS": 3.0, "warmupPerS": 9.8}
            for number in range(SERVICES)
        ],
        "limits": {"labelBytes": 16384, "parcelBytes": 4194304, "labelMs": 3000, "idleMs": 15000},
    }


def _route(number: int) -> dict[str, Any]:
    shares = [
        {"destination": f"d{number % SERVICES}", "share": 90},
        {"destination": f"d{(number + 1) % SERVICES}", "share": 10},
    ]
    return {
        "name": f"r-{number:06x}",
        "host": f"h{number % 50}.example",
        "pathLead": f"/p{number}/",
        "kind": "streaming",
        "expiryMs": 5000,
        "targetMs": 800,
        "urgency": 1,
        "apportion": shares,
        "tries": 1,
        "sticky": True,
        "resume": False,
        "gapTargetMs": 600,
        "homeRegions": ["north", "south"],
    }


def recent_orders(count: int) -> list[Any]:
    """Returns this number of rows (edition, identifier) of accepted orders."""
    return [
        [number + 1, hashlib.sha256(b"%d" % number).hexdigest()[: orders.ORDER_ID_DIGITS]] for number in range(count)
    ]


def median_ms(callback: Callable[[], object]) -> float:
    """Returns the median processor time of a call in milliseconds."""
    times = []
    for _ in range(REPEATS):
        begun = time.process_time()
        callback()
        times.append((time.process_time() - begun) * 1000)
    return round(statistics.median(times), 2)


def costs_by_routes(routes: int) -> dict[str, Any]:
    """Returns the costs of a configuration with this number of routes."""
    body = make_configuration(routes=routes, edition=7)
    data = json.dumps(make_configuration(routes=routes, edition=9)).encode()
    patch = json.dumps({"edition": 9, "upsert": {"routes": [{**body["routes"][0], "expiryMs": 4000}]}}).encode()
    put_order = orders.read(method="PUT", base=7, data=data)
    patch_order = orders.read(method="PATCH", base=7, data=patch)
    base_body = {"edition": 7, "body": body, "recent": recent_orders(WINDOW)}
    edit = orders.edit_for(order=put_order, archived=0)
    value = ballots.pack(members=MEMBERS, payload=base_body)
    bare = ballots.pack(members=MEMBERS, payload={**base_body, "recent": []})
    return {
        "routes": routes,
        "body_bytes": len(data),
        "read_ms": median_ms(lambda: parser.read_json(data=data)),
        "check_ms": median_ms(lambda: schema.check(body=body)),
        "put_off_loop_ms": median_ms(lambda: orders.read(method="PUT", base=7, data=data)),
        "patch_off_loop_ms": median_ms(lambda: orders.merge_patch(order=patch_order, base_body=body)),
        "edit_on_loop_ms": median_ms(lambda: edit(base_body)),
        "pack_on_loop_ms": median_ms(lambda: ballots.pack(members=MEMBERS, payload=base_body)),
        "unpack_on_loop_ms": median_ms(lambda: ballots.unpack(value)),
        "get_on_loop_ms": median_ms(lambda: json.dumps(body)),
        "value_bytes": len(value),
        "marks_bytes": len(value) - len(bare),
    }


def costs_by_order_ids(count: int) -> dict[str, Any]:
    """Returns the costs of an archive with this number of order identifiers."""
    rows = recent_orders(count + orders.MIN_ARCHIVE_BATCH)
    payload, _through = order_archive.edit_for(rows=rows[:count])(None)
    value = ballots.pack(members=MEMBERS, payload=payload)
    return {
        "marks": count,
        "value_bytes": len(value),
        "append_ms": median_ms(lambda: order_archive.edit_for(rows=rows[count:])(payload)),
        "pack_ms": median_ms(lambda: ballots.pack(members=MEMBERS, payload=payload)),
        "unpack_ms": median_ms(lambda: ballots.unpack(value)),
        "miss_ms": median_ms(lambda: order_archive.contains(payload=payload, order_id="f" * orders.ORDER_ID_DIGITS)),
        "bytes_a_change": round(len(value) / orders.MIN_ARCHIVE_BATCH),
    }


def main() -> int:
    """Prints the results as JSON lines."""
    for row in [*map(costs_by_routes, ROUTES), *map(costs_by_order_ids, ORDER_ID_COUNTS)]:
        print(json.dumps(row))
    return 0


if __name__ == "__main__":
    sys.exit(main())
