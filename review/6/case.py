"""Case 6: a few peers whose bodies come in chunks of one byte keep a proxy's event loop busy for seconds (rule CONFIG).

Requests of ordinary clients at that proxy get no final answer at the timeout of their route, nor half a second later.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import uuid

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "harness-2"))

import lab  # noqa: E402 - found through the path above

ZONES = {"merrimack-hall-a": "merrimack", "narragansett-hall-b": "narragansett", "housatonic-hall-c": "housatonic"}
HOST = "ficu95.example"
EXPIRY_S = 3.0
EXTRA_S = 0.5  # after which the rule wants an answer
RUDE_PEERS = int(os.environ.get("PEERS", "8"))
RUDE_S = float(os.environ.get("RUDE_S", "30"))
REQUEST_EVERY_S = 0.4
SLOW_S = 8.0  # a replica takes so long on the path of slow requests
ROUTE = {
    "host": HOST,
    "expiryMs": int(EXPIRY_S * 1000),
    "targetMs": 300,
    "urgency": 2,
    "destination": "portal",
    "tries": 1,
    "homeRegions": [],
}
CONFIGURATION = {
    "edition": 1,
    "routes": [
        {**ROUTE, "name": "doc", "pathLead": "/doc/", "kind": "retry_safe"},
        {**ROUTE, "name": "post", "pathLead": "/post/", "kind": "retry_unsafe"},
    ],
    "destinations": [
        {
            "name": "portal",
            "health": "/health",
            "maxConns": 370,
            "protocol": "h1",
            "tls": False,
            "warmupS": 0.0,
            "warmupPerS": 0.0,
        }
    ],
    "limits": lab.LIMITS,
}


async def handle(replica: lab.Replica, request: lab.Request, writer: asyncio.StreamWriter) -> None:
    """Runs a request: at once, or slowly on the path of slow requests."""
    await asyncio.sleep(SLOW_S if request.target.endswith("/slow") else 0.015)
    name = request.headers.get("x-attempt-id", "")
    writer.write(lab.answer(200, {"X-Attempt-Id": name, "X-Postmark": f"{replica.id}.{name}"}, b"done"))


async def ask(address: tuple[str, int], record: lab.Record, target: str) -> float | None:
    """Sends one ordinary request; returns the seconds until its final answer, or None without one in 12 s."""
    name = uuid.uuid4().hex[:16]
    start = record.now()
    status, _headers, _body = await lab.call(
        address,
        "POST",
        target,
        headers={"Host": HOST, "X-Attempt-Id": name, "X-Time-Left-Ms": "12000"},
        body=b"minutes",
        timeout_s=12.0,
    )
    took = record.now() - start
    record(f"request {name} {target} sent at {start:.3f}: {status or 'no answer'} after {took:.2f} s")
    return took if status else None


async def main(record: lab.Record, has_trouble: bool) -> bool:
    """Runs the case; returns whether the rule was broken."""
    deployment = lab.Lab(record=record, zones=ZONES, cores=list(ZONES), proxies=list(ZONES))
    rude = None
    try:
        for zone in ZONES:
            await deployment.add_replica(service="portal", zone=zone, handle=handle)
        await deployment.start_all()
        await deployment.configure(CONFIGURATION, base=0)
        await deployment.wait_ready()
        await asyncio.sleep(8.0)  # the machines are in touch
        address = deployment.proxy_address(0)
        if has_trouble:
            rude = subprocess.Popen(
                [sys.executable, os.path.join(FOLDER, "rude.py"), address[0], str(address[1]), str(RUDE_PEERS), "30"]
            )
            record(f"{RUDE_PEERS} rude peers at proxy-1 for {RUDE_S} s", is_shown=True)
        tasks = []
        misses, is_in_a_row, outages = 0, False, 0
        start = record.now()
        while record.now() - start < RUDE_S:
            target = "/post/slow" if len(tasks) % 2 else "/post/1"
            tasks.append(asyncio.create_task(ask(address, record, target)))
            await asyncio.sleep(REQUEST_EVERY_S)
            if len(tasks) % 3 == 0:
                status, _headers, _body = await lab.call(
                    (address[0], deployment.port + 3), "GET", "/ploverward/ready", timeout_s=0.8
                )
                misses += status != 200
                outages += status != 200 and is_in_a_row
                is_in_a_row = status != 200
        took = await asyncio.gather(*tasks)
        at_expiry = [value for value in took if value is None or value > EXPIRY_S - 0.05]
        late = [value for value in at_expiry if value is None or value > EXPIRY_S + EXTRA_S]
        record(
            f"{len(took)} ordinary requests; unanswered at {EXPIRY_S} s: {len(at_expiry)}, of these {EXTRA_S} s later:"
            f" {len(late)}, never answered: {took.count(None)}; readiness missed {misses} times, {outages} in a row",
            is_shown=True,
        )
        return len(late) >= 8 and len(late) > len(at_expiry) / 2
    finally:
        if rude is not None:
            rude.kill()
            rude.wait()
        deployment.stop()


if __name__ == "__main__":
    sys.exit(lab.run_case(main, folder=FOLDER))
