"""A small deployment for the review's scripts: the project's programs as processes, with stand-ins around them.

The stand-ins (platform, replicas) run in the event loop of the script; nodes are separate processes with settings files
as the operators' deployment page describes them. All addresses are loopback addresses. `Lab.stop` ends all processes.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing
import uuid
from collections.abc import Awaitable
from collections.abc import Callable

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
MAX_HEAD_BYTES = 1 << 20
BOUNDS: dict[str, object] = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 5000,
    "receiptMs": 6000,
    "catchUpS": 4,
    "drainMs": 5000,
    "graceS": 8,
    "lossSlackMs": 200,
    "applyMs": 3000,
    "revertSlackMs": 250,
    "stretchMaxMs": 8000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 58,
    "warmupExcess": 1.5,
    "warmupSlack": 5,
    "evacuateMs": 5000,
    "recoverS": 12,
    "passMs": 600,
    "ttl_max_s": 5,
}
LIMITS = {"labelBytes": 16384, "parcelBytes": 4194304, "labelMs": 3000, "idleMs": 15000}


class Record:
    """The record of a run: `record.txt` in the case's folder, one line an event, with seconds since the start."""

    def __init__(self, folder: str) -> None:
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")  # noqa: SIM115 - open for the run
        self._start = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._start

    def __call__(self, text: str, *, is_shown: bool = False) -> None:
        """Writes one line; `is_shown` also prints it."""
        line = f"{self.now():8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        if is_shown:
            print(line, flush=True)


@dataclasses.dataclass(slots=True)
class Request:
    """A request that a stand-in received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads one request with a length or chunks; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rows = head.decode("latin-1").split("\r\n")
    method, target, _version = first.split(" ", 2)
    headers = {}
    for row in rows:
        name, colon, value = row.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns the bytes of a complete response."""
    rows = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    rows.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(rows) + "\r\n\r\n").encode() + body


class Replica:
    """A stand-in replica: accepts connections and passes each request to `handle`, which writes the answer."""

    def __init__(self, *, service: str, zone: str, host: str, handle: Callable[..., Awaitable[None]]) -> None:
        self.id = f"i-{uuid.uuid4().hex[:8]}"
        self.service = service
        self.zone = zone
        self.host = host
        self.port = 0
        self.berths = 64
        self.condition = "accepting"
        self.handle = handle
        self.server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int) -> None:
        """Starts to listen."""
        self.port = port
        self.server = await asyncio.start_server(self._serve, self.host, port, limit=MAX_HEAD_BYTES)

    async def crash(self) -> None:
        """Ends it: open connections are reset, new ones are refused."""
        assert self.server is not None
        self.server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (request := await read_request(reader)) is not None:
                if request.headers.get("x-addressed-replica", self.id) != self.id:
                    writer.write(answer(421, {"X-Attempt-Id": request.headers.get("x-attempt-id", "")}, b""))
                    await writer.drain()
                    continue
                await self.handle(self, request, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    def row(self) -> dict[str, typing.Any]:
        """Returns its row of the platform's list."""
        return {
            "id": self.id,
            "destination": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "edition": "v1",
            "berths": self.berths,
            "condition": self.condition,
            "warmupLeftMs": 0,
            "leg": "both",
            "models": [{"name": "m", "edition": 1, "adapters": []}],
        }


@dataclasses.dataclass(slots=True)
class Node:
    """One process of the system."""

    name: str
    role: str
    ip: str
    zone: str
    region: str
    path: str
    process: subprocess.Popen[bytes] | None = None


class Lab:
    """The nodes and stand-ins of one run."""

    def __init__(
        self,
        *,
        record: Record,
        zones: dict[str, str],
        cores: list[str],
        proxies: list[str],
        stores: list[str] = (),  # type: ignore[assignment]
        bounds: dict[str, object] | None = None,
        settings: dict[str, object] | None = None,
        tolerate: int | None = None,
    ) -> None:
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.zones = zones
        self.settings = settings or {}
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.tolerate = (len(cores) - 1) // 2 if tolerate is None else tolerate
        self.net = random.randrange(20, 250)
        self.port = self._free_base()
        self.replicas: list[Replica] = []
        self.nodes: dict[str, Node] = {}
        for role, places in (("core", cores), ("proxy", proxies), ("store", stores)):
            for index, zone in enumerate(places):
                name = f"{role}-{index + 1}"
                ip = f"127.{self.net}.{ {'core': 1, 'proxy': 2, 'store': 3}[role] }.{index + 1}"
                path = os.path.join(self.folder, f"{name}.conf")
                self.nodes[name] = Node(name, role, ip, zone, zones[zone], path)
        self.platform = f"127.{self.net}.9.1:{self.port + 9}"
        self.platform_calls: list[tuple[float, Request]] = []
        self._platform_server: asyncio.Server | None = None

    def _free_base(self) -> int:
        while True:
            base = random.randrange(20000, 32000, 50)
            try:
                for offset in range(40):
                    with socket.socket() as probe:
                        probe.bind((f"127.{self.net}.1.1", base + offset))
            except OSError:
                continue
            return base

    def of(self, role: str) -> list[Node]:
        """Returns the nodes of a role."""
        return [node for node in self.nodes.values() if node.role == role]

    def write_settings(self, node: Node, *, is_first: bool) -> None:
        """Writes the settings file of a node."""
        base = self.port
        seeds = ",".join(f"{core.ip}:{base}" for core in self.of("core")[:3])
        fields: dict[str, object] = {
            "node": node.name,
            "role": node.role,
            "ip": node.ip,
            "zone": node.zone,
            "region": node.region,
            **{f"zones.{zone}": region for zone, region in self.zones.items()},
            "innerPortRange": f"{base + 20},{base + 35}",
            "seedNodes": seeds,
            "firstStart": str(is_first).lower(),
            "counted": str(node.role != "proxy").lower(),
            "limits.cpuShare": 0.86,
            "limits.cores": 2,
            "limits.memoryMb": 300,
            "limits.fileHandles": 4100,
            "limits.linkMbps": 1000.0,
            "limits.diskMb": 0 if node.role == "proxy" else 430 if node.role == "store" else 128,
            "discovery": "platform",
            "entry": "directory",
            "beatIntervalMs": 1200,
            "tolerate.machines": self.tolerate,
            "tolerate.zones": 1,
            "tolerate.regions": 1,
            "cloudApi.address": self.platform,
            "cloudApi.perS": 47.0,
            "cloudApi.duties": "",
            "cloudApi.lagMs": 800,
            **{
                f"bounds.{name}": str(value).lower() if isinstance(value, bool) else value
                for name, value in self.bounds.items()
            },
            **self.settings,
        }
        if node.role == "proxy":
            fields["bindings.counter"] = f"{node.ip}:{base + 2}"
            fields["bindings.readiness"] = f"{node.ip}:{base + 3}"
        if node.role == "core":
            fields["bindings.control"] = f"{node.ip}:{base}"
            fields["bindings.directory"] = f"{node.ip}:{base + 1}"
        if node.role != "proxy":
            fields["dataDir"] = os.path.join(self.folder, f"data-{node.name}")
            os.makedirs(str(fields["dataDir"]), exist_ok=True)
        with open(node.path, "w", encoding="utf-8") as file:
            file.writelines(f"{name}={value}\n" for name, value in fields.items())

    def start(self, name: str, *, is_first: bool = False) -> None:
        """Starts the process of a node with the command of the deploy file."""
        node = self.nodes[name]
        self.write_settings(node, is_first=is_first)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": os.path.join(ROOT, "target", "deps"),
            "PLOVERWARD_NODE_FILE": node.path,
        }
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")  # noqa: SIM115 - open while the process runs
        node.process = subprocess.Popen(
            ["python3", "-m", "ploverward", node.role], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to the process of a node."""
        process = self.nodes[name].process
        if process is not None:
            process.send_signal(number)
        self.record(f"signal {signal.Signals(number).name} to {name}")

    def kill(self, name: str, *, is_wiped: bool = False) -> None:
        """Kills a node at once; with `is_wiped` its disk is emptied."""
        self.signal(name, signal.SIGKILL)
        process = self.nodes[name].process
        if process is not None:
            process.wait()
        if is_wiped:
            shutil.rmtree(os.path.join(self.folder, f"data-{name}"), ignore_errors=True)

    async def start_platform(self) -> None:
        """Starts the stand-in platform."""
        host, port = self.platform.rsplit(":", 1)
        self._platform_server = await asyncio.start_server(self._serve_platform, host, int(port))

    async def _serve_platform(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (request := await read_request(reader)) is not None:
                path, _mark, query = request.target.partition("?")
                if path == "/replicas":
                    zone = next((part[5:] for part in query.split("&") if part.startswith("zone=")), "")
                    rows = [replica.row() for replica in self.replicas if not zone or replica.zone == zone]
                    body = json.dumps({"replicas": rows, "nextPage": None}).encode()
                else:
                    self.platform_calls.append((self.record.now(), request))
                    body = b"{}"
                writer.write(answer(200, {"Content-Type": "application/json"}, body))
                await writer.drain()
        writer.close()

    async def add_replica(
        self, *, service: str, zone: str, handle: Callable[..., Awaitable[None]], berths: int = 64
    ) -> Replica:
        """Starts a stand-in replica and lists it."""
        host = f"127.{self.net}.8.{len(self.replicas) + 1}"
        replica = Replica(service=service, zone=zone, host=host, handle=handle)
        replica.berths = berths
        await replica.start(self.port + 10)
        self.replicas.append(replica)
        return replica

    async def start_all(self) -> None:
        """Starts the platform and all nodes."""
        await self.start_platform()
        for name in self.nodes:
            self.start(name, is_first=True)

    def core_address(self, index: int = 0) -> tuple[str, int]:
        """Returns the control address of a core node."""
        return self.of("core")[index].ip, self.port

    def proxy_address(self, index: int = 0) -> tuple[str, int]:
        """Returns the address of a proxy for clients."""
        return self.of("proxy")[index].ip, self.port + 2

    async def configure(self, body: dict[str, typing.Any], *, base: int, timeout_s: float = 25.0) -> None:
        """Sends a configuration until it is taken, as the operator does."""
        until = time.monotonic() + timeout_s
        index = 0
        while time.monotonic() < until:
            status, _headers, text = await call(
                self.core_address(index % len(self.of("core"))),
                "PUT",
                "/ploverward/configuration",
                headers={"If-Match": str(base), "Content-Type": "application/json"},
                body=json.dumps(body).encode(),
                timeout_s=1.5,
            )
            index += 1
            if status == 200:
                self.record(f"configuration {body['edition']} acknowledged")
                return
            if status in (400, 409, 412, 413, 422):
                raise RuntimeError(f"configuration refused: {status} {text!r}")
            await asyncio.sleep(0.3)
        raise RuntimeError("configuration not acknowledged in time")

    async def wait_ready(self, *, timeout_s: float = 25.0) -> None:
        """Waits until all proxies say that they are ready."""
        until = time.monotonic() + timeout_s
        for node in self.of("proxy"):
            while True:
                status, _headers, _body = await call((node.ip, self.port + 3), "GET", "/ploverward/ready")
                if status == 200:
                    break
                if time.monotonic() > until:
                    raise RuntimeError(f"{node.name} is not ready in time")
                await asyncio.sleep(0.2)
        self.record("all proxies are ready")

    def memory_mb(self, name: str) -> float:
        """Returns the resident memory of a node's process in MiB."""
        process = self.nodes[name].process
        assert process is not None
        with open(f"/proc/{process.pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20

    def stop(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for node in self.nodes.values():
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes.values():
            if node.process is not None:
                node.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder)


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 2.0,
) -> tuple[int, dict[str, str], bytes]:
    """Sends one request on a new connection; returns status 0 without a complete answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            rows = {"Host": address[0], **(headers or {}), "Content-Length": str(len(body))}
            head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in rows.items())
            writer.write(head.encode() + b"\r\n" + body)
            return await read_response(reader)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


async def read_response(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Reads one complete response with a length or chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rows = head.decode("latin-1").split("\r\n")
    headers = {}
    for row in rows:
        name, colon, value = row.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(first.split(" ")[1]), headers, body


def run_case(main: Callable[[Record, bool], Awaitable[bool]], *, folder: str, limit_s: float = 115.0) -> int:
    """Runs a case; returns 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {has_trouble}", is_shown=True)

    async def limited() -> bool:
        # A stand-in that is cancelled at the end of the run is no error.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        async with asyncio.timeout(limit_s):
            return await main(record, has_trouble)

    try:
        is_broken = asyncio.run(limited())
    except Exception as error:  # noqa: BLE001 - any error means that the case could not run
        record(f"could not run: {type(error).__name__} {error}", is_shown=True)
        return 2
    record("RULE BROKEN" if is_broken else "the rule held", is_shown=True)
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit("a library of the review's cases")
