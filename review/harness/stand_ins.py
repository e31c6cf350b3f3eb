"""Stand-ins for the platform and for model replicas, as threads of the case's own process.

The platform answers `GET /replicas` with one page. A replica answers 421 to a request for another replica, and streams
the events that the case asks for, after `Last-Event-Id` if that is given.
"""

from __future__ import annotations

import dataclasses
import http.server
import json
import threading
import time
import uuid
from collections.abc import Callable
from typing import Any

from harness import records


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: object, client_address: object) -> None:
        """Does nothing: the other end has closed its connection, as a killed process does."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002  # the name is that of the base class
        """Writes nothing: the case has a record of its own."""

    def answer(self, status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        """Sends a complete response."""
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def body(self) -> bytes:
        """Reads the body of the request."""
        return self.rfile.read(int(self.headers.get("Content-Length", "0")))


def _serve(address: tuple[str, int], handler: type[_Handler]) -> tuple[str, int]:
    server = _Server(address, handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    host, port = server.server_address[:2]
    return str(host), int(port)


@dataclasses.dataclass
class Replica:
    """A model replica.

    Attributes:
        host: Its loopback address.
        service: The service that it belongs to.
        zone: Its zone.
        record: The record of the case.
        answer_s: Seconds until it answers a request.
        events: The data of the events of each answer.
        berths: The number of requests that it works on at once, as the platform lists it.
        name: Its id.
        port: Its port.
        runs: The requests that it began to run: (id, X-Sender, seconds of the record).
    """

    host: str
    service: str
    zone: str
    record: records.Record
    answer_s: Callable[[str], float] = lambda _request_id: 0.05
    events: tuple[bytes, ...] = (b"one", b"two")
    berths: int = 16
    name: str = dataclasses.field(default_factory=lambda: f"i-{uuid.uuid4().hex[:8]}")
    port: int = 0
    runs: list[tuple[str, str, float]] = dataclasses.field(default_factory=list)

    def start(self) -> None:
        """Starts to listen."""
        replica = self

        class Handler(_Handler):
            def do_GET(self) -> None:  # noqa: N802  # the name is that of the base class
                self.answer(200, headers={"X-Replica-Id": replica.name})

            def do_POST(self) -> None:  # noqa: N802  # the name is that of the base class
                replica.run(self)

        self.host, self.port = _serve((self.host, 0), Handler)

    def run(self, call: _Handler) -> None:
        """Answers one request."""
        call.body()
        request_id = call.headers.get("X-Attempt-Id", "")
        if call.headers.get("X-Addressed-Replica", self.name) != self.name:
            call.answer(421, headers={"X-Attempt-Id": request_id, "X-Not-Run": "1"})
            return
        sender = call.headers.get("X-Sender", "-")
        self.runs.append((request_id, sender, self.record.now()))
        self.record.write(f"replica {self.name}: {request_id} runs, X-Sender {sender}, Host {call.headers['Host']}")
        time.sleep(self.answer_s(request_id))
        call.send_response(200)
        for name, value in (
            ("X-Attempt-Id", request_id),
            ("X-Postmark", uuid.uuid4().hex),
            ("X-Weight-Editions", "1"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ):
            call.send_header(name, value)
        call.end_headers()
        first = int(call.headers.get("Last-Event-Id") or 0)
        try:
            for number, text in enumerate(self.events[first:], first + 1):
                event = b"id: %d\ndata: %s\n\n" % (number, text)
                call.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            call.wfile.write(b"0\r\n\r\n")
        except OSError:
            self.record.write(f"replica {self.name}: {request_id} dropped, the connection was closed")
            return
        self.record.write(f"replica {self.name}: {request_id} answered")

    def row(self) -> dict[str, Any]:
        """Returns its entry of the platform's list."""
        return {
            "id": self.name,
            "destination": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "edition": "v1",
            "berths": self.berths,
            "condition": "accepting",
            "warmupLeftMs": 0,
            "leg": "both",
            "models": [{"name": "m", "edition": 1, "adapters": []}],
        }


@dataclasses.dataclass
class Platform:
    """The platform's list of replicas.

    Attributes:
        host: Its loopback address.
        replicas: The replicas that it lists.
        port: Its port.
    """

    host: str
    replicas: list[Replica]
    port: int = 0

    def start(self) -> None:
        """Starts to listen."""
        platform = self

        class Handler(_Handler):
            def do_GET(self) -> None:  # noqa: N802  # the name is that of the base class
                rows = [replica.row() for replica in platform.replicas]
                body = json.dumps({"replicas": rows, "nextPage": None}).encode()
                self.answer(200, body, {"Content-Type": "application/json"})

        self.host, self.port = _serve((self.host, 0), Handler)
