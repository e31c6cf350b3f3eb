"""A deployment with stores, and clients that hand lots in and read them."""

from __future__ import annotations

import json
import pathlib
import random
import signal
import sys
import time

from harness import client
from harness import nodes
from harness import records
from harness import stand_ins

ZONES = {f"kennebec-hall-{letter}": "kennebec" for letter in "abcde"}
HOST = "ledger.example"
LOT_ROUTE = {
    "name": "lots",
    "host": HOST,
    "pathLead": "/lots/",
    "kind": "batch",
    "expiryMs": 15000,
    "targetMs": 1200,
    "urgency": 2,
    "destination": "ledger",
    "tries": 3,
    "sticky": True,
    "resume": True,
    "deadlineMs": 15000,
    "maxWaitS": 40,
    "maxQueuedTokens": 0,
}
# A stream that can't be continued, so a request of it may run once only.
STREAM_ROUTE = {
    "name": "query",
    "host": HOST,
    "pathLead": "/query/",
    "kind": "streaming",
    "expiryMs": 12000,
    "targetMs": 600,
    "urgency": 0,
    "destination": "ledger",
    "tries": 2,
    "sticky": True,
    "resume": False,
    "gapTargetMs": 300,
}


def configuration(*, tenants: int) -> dict:
    """Returns the first configuration, with as many tenants of one key each."""
    return {
        "edition": 1,
        "routes": [LOT_ROUTE, STREAM_ROUTE],
        "destinations": [{"name": "ledger", "health": "/health", "maxConns": 190, "warmupS": 0, "warmupPerS": 0}],
        "limits": {"labelBytes": 16384, "parcelBytes": 4194304, "labelMs": 3000, "idleMs": 15000},
        "senders": [{"name": f"town{number}", "apiKeys": [f"key-{number}"]} for number in range(tenants)],
    }


def lot_of(tenant: int, number: int = 0) -> str:
    """Returns the id of a lot of a tenant."""
    return f"{0x7C41E09B52D60000 + 256 * tenant + number:016x}"


class LotCase:
    """A deployment of five core nodes, five stores, two proxies and some replicas, which may lose two disks at once.

    Args:
        folder: A temporary folder.
        record_path: The record to write.
        tenants: The number of tenants; each has a key of its own.
        replicas: The number of replicas.

    Attributes:
        record: The record.
        fleet: The node processes.
        operator: The operator.
        replicas: The replicas.
        results: The results of lots as they were read when the lot was complete, by tenant.
    """

    def __init__(self, *, folder: pathlib.Path, record_path: pathlib.Path, tenants: int, replicas: int = 5) -> None:
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that the processes of the case end with it
        self.record = records.Record(record_path)
        self._tenants = tenants
        net = random.randrange(30, 240)
        self.replicas = [
            stand_ins.Replica(f"127.{net}.200.{number + 1}", "ledger", [*ZONES][number % len(ZONES)], self.record)
            for number in range(replicas)
        ]
        platform = stand_ins.Platform(f"127.{net}.201.1", self.replicas)
        for part in (*self.replicas, platform):
            part.start()
        self.fleet = nodes.Deployment(
            folder=folder,
            record=self.record,
            net=net,
            zones=ZONES,
            platform=f"{platform.host}:{platform.port}",
            tolerated=2,
            extra={"deployment": "batch"},
        )
        for zone in ZONES:
            self.fleet.add("core", zone)
            self.fleet.add("store", zone)
        for zone in list(ZONES)[:2]:
            self.fleet.add("proxy", zone)
        addresses = [self.fleet.control(core) for core in self.fleet.by_role("core")]
        self.operator = client.Operator(self.record, addresses)
        self.results: dict[int, list] = {}

    def start(self) -> bool:
        """Starts the deployment and configures it; returns whether the configuration was acknowledged."""
        self.fleet.start_all()
        body = configuration(tenants=self._tenants)
        headers = {"If-Match": "0"}
        return self.operator.order("PUT", "/ploverward/configuration", body=body, headers=headers).status == 200

    def lot_call(self, tenant: int, method: str, path: str, *, body: bytes = b"", lot: str = "") -> client.Answer:
        """Sends a call of a tenant's client to either proxy."""
        headers = {"Host": HOST, "Authorization": f"Bearer key-{tenant}"}
        if lot:
            headers |= {"X-Attempt-Id": lot, "Content-Type": "application/json"}
        proxy = random.choice(self.fleet.by_role("proxy"))
        return client.call(self.record, self.fleet.counter(proxy), method, path, headers=headers, body=body)

    def hand_in(self, tenant: int, *, number: int = 0, items: int = 2, size: int = 20) -> bool:
        """Hands in a lot of a tenant until it is accepted; returns whether it was.

        Args:
            tenant: The tenant.
            number: The number of its lot.
            items: How many items the lot has.
            size: The size of the body of each, in bytes.
        """
        rows = [
            client.batch_item(f"{tenant:04x}{number:02x}{index:02x}", f"/lots/3/{index}", size=size)
            for index in range(items)
        ]
        body = json.dumps({"requests": rows}).encode()

        def is_accepted() -> bool:
            return self.lot_call(tenant, "POST", "/lots/x", body=body, lot=lot_of(tenant, number)).status == 202

        return client.until(is_accepted, seconds=20)

    def read(self, tenant: int, *, number: int = 0) -> client.Answer:
        """Reads a lot of a tenant from the start."""
        return self.lot_call(tenant, "GET", f"/ploverward/lots/{lot_of(tenant, number)}?afterRevision=0")

    def is_read_whole(self, tenant: int) -> bool:
        """Reads the lot of a tenant, and returns whether all its items are listed; keeps what was read."""
        answer = self.read(tenant)
        if answer.status != 200 or len(answer.json["results"]) != answer.json["total"]:
            return False
        self.results[tenant] = answer.json["results"]
        return True

    def unread_lots(self, *, seconds: float) -> list[int]:
        """Reads the lots again for some time, and returns the tenants whose results did not come again."""
        end = self.record.now() + seconds
        left = set(self.results)
        while left and self.record.now() < end:
            for tenant in sorted(left):
                answer = self.read(tenant)
                if answer.status == 200 and answer.json["results"] == self.results[tenant]:
                    left.discard(tenant)
            time.sleep(0.5)
        return sorted(left)
