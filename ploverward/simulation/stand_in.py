"""A small deployment on the loopback range, to try the programs by hand: python3 -m ploverward.simulation.stand_in [--folder F].

Three regions with a core node, a proxy and two stand-in replicas each, a stand-in platform, and a little
traffic. It stands in for a platform and model replicas; it measures nothing. Ends with Ctrl-C.
"""

import argparse
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import urllib.error
import urllib.request
import uuid

from ploverward.simulation import loopback
from ploverward.simulation import stand_in_versions
from ploverward.transport import event_loop
from ploverward.transport import http_server

REGIONS = ("north", "south", "west")
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 4000,
    "receiptMs": 5000,
    "catchUpS": 4,
    "drainMs": 4000,
    "graceS": 8,
    "lossSlackMs": 200,
    "applyMs": 2500,
    "revertSlackMs": 250,
    "stretchMaxMs": 6000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 50,
    "warmupExcess": 1.5,
    "warmupSlack": 5,
    "evacuateMs": 5000,
    "recoverS": 12,
    "passMs": 300,
    "ttl_max_s": 5,
    "exposureShare": 0.1,
    "exposureSlack": 50,
    "rollbackMs": 5000,
}
CONFIGURATION = {
    "edition": 1,
    "routes": [
        {
            "name": "chat",
            "host": "club.example",
            "pathLead": "/chat/",
            "kind": "streaming",
            "expiryMs": 10000,
            "targetMs": 600,
            "urgency": 0,
            "destination": "tutor",
            "tries": 2,
            "sticky": True,
            "resume": True,
            "gapTargetMs": 600,
            "homeRegions": ["north", "south"],
        },
        {
            "name": "board",
            "host": "club.example",
            "pathLead": "/board/",
            "kind": "retry_safe",
            "expiryMs": 3000,
            "targetMs": 300,
            "urgency": 2,
            "destination": "tutor",
            "tries": 2,
            "sticky": False,
        },
    ],
    "destinations": [
        {
            "name": "tutor",
            "health": "/health",
            "maxConns": 200,
            "warmupS": 0,
            "warmupPerS": 0,
            "engine": {
                "berths": 16,
                "cacheTokens": 20000,
                "models": [{"name": "m", "adapters": ["drafts", "hearings", "moves", "coach"]}],
            },
        }
    ],
    "limits": {"labelBytes": 16384, "parcelBytes": 1000000, "labelMs": 3000, "idleMs": 15000},
}


MAX_BUSY = 12  # requests under way
SLOWER = stand_in_versions.SLOW_TIMES
LOAD_S = 0.9  # an adapter's load
SLOTS = 2  # adapters that a replica holds
ADAPTERS = ("drafts", "hearings", "moves", "coach")


class FakeCluster:
    def __init__(self, *, folder: str, base_port: int):
        self.loop = event_loop.Loop()
        self.folder = folder
        self.base = base_port
        self.rows = []
        self.loaded = {}  # replica: {adapter: when it is loaded}, least lately used first
        self.nodes = []
        self.platform = f"127.0.100.1:{base_port + 50}"
        limits = lambda: loopback.limits(head_bytes=65536, body_bytes=10**6)  # noqa: E731
        http_server.HttpServer(
            loop=self.loop,
            address=("127.0.100.1", base_port + 50),
            on_request=self._list,
            limits=limits,
            peer_timeout_s=10.0,
        )
        self._limits = limits
        self._starts = 0  # of versions: each has addresses of its own
        self.editions = {}  # replica: (edition, when it started)
        self.start_version("v1")
        self.versions = stand_in_versions.FakeVersions(
            loop=self.loop,
            core=f"127.0.1.1:{base_port}",
            service="tutor",
            start=self.start_version,
            drain=self.drain_version,
            stop=self.stop_versions,
        )

    def start_version(self, edition: str) -> None:
        """Two replicas in each region."""
        self._starts += 1
        for index, region in enumerate(REGIONS):
            for number in (1, 2):
                address = (f"127.0.{index + 1}.{100 + number}", self.base + 60 + self._starts)
                name = f"i-{region}-{number}-{uuid.uuid4().hex[:4]}"
                self.rows.append(
                    {
                        "id": name,
                        "destination": "tutor",
                        "address": "%s:%d" % address,
                        "zone": f"z{region}",
                        "edition": edition,
                        "berths": 16,
                        "condition": "accepting",
                        "warmupLeftMs": 0,
                        "leg": "both",
                        "models": [{"name": "m", "edition": 1, "adapters": []}],
                    }
                )
                self.loaded[name] = {}
                self.editions[name] = (edition, self.loop.now())
                http_server.HttpServer(
                    loop=self.loop,
                    address=address,
                    limits=self._limits,
                    peer_timeout_s=10.0,
                    on_request=lambda request, name=name: self._serve(request, name),
                )

    def drain_version(self, edition: str) -> None:
        for row in self.rows:
            if row["edition"] == edition:
                row["condition"] = "clearing"

    def stop_versions(self, is_gone) -> None:
        """Replicas of these versions end: they answer nothing any more."""
        self.rows = [row for row in self.rows if not is_gone(row["edition"])]

    def _list(self, request):
        for row in self.rows:
            row["models"][0]["adapters"] = [
                name for name, at in self.loaded[row["id"]].items() if at <= self.loop.now()
            ]
        request.reply(
            status=200,
            headers=[(b"Content-Type", b"application/json")],
            body=json.dumps({"replicas": self.rows, "nextPage": None}).encode(),
        )

    def _serve(self, request, name):
        known = [(b"X-Attempt-Id", request.header(b"x-attempt-id")), (b"X-Postmark", uuid.uuid4().hex.encode())]
        edition, started_at = self.editions[name]
        bad = stand_in_versions.is_bad(
            edition=edition, target=request.target, age_s=self.loop.now() - started_at, chance=random.random()
        )
        slow = SLOWER if bad and stand_in_versions.is_slow(edition) else 1.0
        if all(row["id"] != name for row in self.rows):
            request.abort()
        elif bad and slow == 1.0:
            request.reply(status=500, headers=known)
        elif request.text(b"x-addressed-replica") != name:
            request.reply(status=421, headers=[(b"X-Replica-Id", name.encode())])
        elif not request.target.startswith(b"/chat/"):
            self.loop.after(delay=0.02 * slow, callback=lambda: request.reply(status=200, headers=known, body=b"done"))
        else:
            request.start(
                status=200,
                headers=[*known, (b"Content-Type", b"text/event-stream"), (b"Transfer-Encoding", b"chunked")],
            )
            number = int(request.text(b"last-event-id", "0") or 0) + 1
            self.loop.after(
                delay=self._load(name, request.text(b"x-model")), callback=lambda: self._event(request, number, slow)
            )

    def _load(self, name, adapter):
        """How long the first event waits for its adapter."""
        loaded = self.loaded[name]
        if adapter not in ADAPTERS:
            return 0.0
        at = loaded.pop(adapter, None)
        if at is None and len(loaded) >= SLOTS:
            del loaded[next(iter(loaded))]
        loaded[adapter] = at if at is not None else self.loop.now() + LOAD_S
        return max(0.0, loaded[adapter] - self.loop.now())

    def _event(self, request, number, slow):
        if not request.http_connection.is_open:
            return
        if number > 8:
            request.end()
            return
        request.data(b"id: %d\ndata: token\n\n" % number)
        self.loop.after(delay=0.05 * slow, callback=lambda: self._event(request, number + 1, slow))

    def start_nodes(self):
        for index, region in enumerate(REGIONS):
            for role, number in (("core", 1), ("proxy", 2)):
                self._start(role, f"127.0.{index + 1}.{number}", region)

    def _start(self, role, ip, region):
        lines = [
            f"node={role}-{region}",
            f"role={role}",
            f"ip={ip}",
            f"zone=z{region}",
            f"region={region}",
            "firstStart=true",
        ]
        lines += [f"zones.z{name}={name}" for name in REGIONS]
        lines += [
            f"innerPortRange={self.base + 20},{self.base + 35}",
            f"cloudApi.address={self.platform}",
            "cloudApi.perS=40",
        ]
        lines.append("seedNodes=" + ",".join(f"127.0.{index + 1}.1:{self.base}" for index in range(3)))
        if role == "core":
            data = os.path.join(self.folder, f"data-{region}")
            lines += [
                f"bindings.control={ip}:{self.base}",
                f"bindings.directory={ip}:{self.base + 1}",
                f"dataDir={data}",
                "limits.diskMb=64",
            ]
        else:
            lines += [f"bindings.counter={ip}:{self.base + 2}", f"bindings.readiness={ip}:{self.base + 3}"]
        lines += [f"bounds.{name}={value}" for name, value in BOUNDS.items()]
        path = os.path.join(self.folder, f"{role}-{region}.conf")
        with open(path, "w", encoding="utf-8") as handle:
            handle.write("\n".join(lines) + "\n")
        env = {**os.environ, "PLOVERWARD_NODE_FILE": path}
        self.nodes.append(subprocess.Popen([sys.executable, "-m", "ploverward", role], env=env))

    def configure(self):
        request = urllib.request.Request(
            f"http://127.0.1.1:{self.base}/ploverward/configuration",
            method="PUT",
            data=json.dumps(CONFIGURATION).encode(),
            headers={"If-Match": "0", "Content-Type": "application/json"},
        )
        try:
            with urllib.request.urlopen(request, timeout=3) as reply:
                return reply.status == 200
        except (urllib.error.URLError, OSError):
            return False

    def request(self, request_id=None):
        request_id = request_id or uuid.uuid4().hex[:16]
        lead = random.choice(("chat", "board"))
        request = urllib.request.Request(
            f"http://127.0.{random.randint(1, 3)}.2:{self.base + 2}/{lead}/x",
            method="POST",
            data=b"hello",
            headers={
                "Host": "club.example",
                "X-Attempt-Id": request_id,
                "X-Model": random.choice(ADAPTERS) if lead == "chat" else "m",
                "X-Token-Count": "120,40",
                "X-Prompt-Lead": f"aa{random.randint(1, 5)}:80,{request_id[:8]}:40",
                "X-Time-Left-Ms": "3000",
            },
        )
        try:
            with urllib.request.urlopen(request, timeout=4) as reply:
                reply.read()
                return request_id if reply.status == 200 else None
        except (urllib.error.URLError, OSError):
            return None

    def stop(self):
        for node in self.nodes:
            node.send_signal(signal.SIGTERM)
        for node in self.nodes:
            try:
                node.wait(timeout=12)
            except subprocess.TimeoutExpired:
                node.kill()


def main(arguments: list[str] | None = None) -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--folder", default="")
    parser.add_argument("--port", type=int, default=18100)
    parser.add_argument("--for_s", type=float, default=0.0, help="end by itself after so long")
    args = parser.parse_args(arguments)
    folder = args.folder or tempfile.mkdtemp(prefix="ploverward-")
    os.makedirs(folder, exist_ok=True)
    scene = FakeCluster(folder=folder, base_port=args.port)
    scene.start_nodes()
    is_on = [True]

    def stop(*_about):
        is_on[0] = False

    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGTERM, stop)
    state = {"is_configured": False, "busy": 0, "last": None}

    def tick():
        if not state["is_configured"]:
            if state["busy"] == 0:
                state["busy"] += 1
                scene.loop.offload(work=scene.configure, done=configured)
        elif state["busy"] < MAX_BUSY:
            state["busy"] += 1
            scene.loop.offload(work=scene.request, done=asked)
        scene.loop.after(delay=0.05 if state["is_configured"] else 0.2, callback=tick)

    def configured(future):
        state["busy"] -= 1
        state["is_configured"] = bool(future.result())
        if state["is_configured"]:
            print(
                f"up: --core 127.0.1.1:{args.port},127.0.2.1:{args.port},127.0.3.1:{args.port}; settings in {folder}",
                flush=True,
            )

    def asked(future):
        state["busy"] -= 1
        if future.result() and state["last"] is None:
            state["last"] = future.result()
            print(f"first request served: {state['last']}", flush=True)

    tick()
    begun = scene.loop.now()
    while is_on[0] and not (args.for_s and scene.loop.now() - begun > args.for_s):
        scene.loop.step()
    scene.stop()


if __name__ == "__main__":
    main()
