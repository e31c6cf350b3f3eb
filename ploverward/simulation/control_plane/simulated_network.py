"""Simulated links between processes: the interfaces of ploverward/transport/peer_connection.py and ploverward/transport/http_server.py without sockets.

A connection keeps the order of what is sent and loses nothing while it lives: what a cut holds back comes when the cut
ends. The system of a machine takes connections and data while its process is frozen, answers for a dead process with a
reset, and is silent while the machine is down.
"""

import functools
import math

from ploverward.simulation.control_plane import simulated_clock
from ploverward.transport import frames
from ploverward.transport import messages

HostPair = tuple[str, str]  # (source, target) of one direction
OPEN, OPENED, END, RESET = "open", "opened", "end", "reset"
NEAR_S = (0.0005, 0.004)
FAR_S = (0.01, 0.05)
GRAIN_S = 1e-6
RETRY_S = (0.0, 0.2)  # what a cut held back is sent again
pack = functools.lru_cache(maxsize=8192, typed=True)(frames.pack)
unpack = functools.lru_cache(maxsize=8192)(frames.unpack)


class Network:
    """Which machines there are, which ways are cut or slow, and the connections between them."""

    def __init__(self, *, clock):
        self.clock = clock
        self.machines = {}  # host: Machine
        self.partitions = {}  # (source, target): how many troubles cut it
        self.added_delays_s = {}  # host: delay added to each way
        self._connections = {}  # (source, target): connections that a cut may hold, in the order of their making

    def is_partitioned(self, source: str, target: str) -> bool:
        return bool(self.partitions) and self.partitions.get((source, target), 0) > 0

    def delay(self, source: str, target: str) -> float:
        one, other = self.machines.get(source), self.machines.get(target)
        is_near = one is not None and other is not None and one.region == other.region
        delay = self.clock.chance.uniform(*(NEAR_S if is_near else FAR_S))
        if self.added_delays_s:
            delay += self.added_delays_s.get(source, 0.0) + self.added_delays_s.get(target, 0.0)
        return delay

    def partition(self, *, pairs, is_reset: bool) -> None:
        for pair in pairs:
            self.partitions[pair] = self.partitions.get(pair, 0) + 1
        if is_reset:
            self.reset(pairs=pairs)

    def join(self, *, pairs) -> None:
        for pair in pairs:
            self.partitions[pair] -= 1
            if not self.partitions[pair]:
                del self.partitions[pair]
        for source, target in pairs:
            for connection in self.between(source, target):
                connection.flush()

    def between(self, source: str, target: str) -> list:
        found = self._connections.get((source, target), []) + self._connections.get((target, source), [])
        return list(found)

    def reset(self, *, pairs) -> None:
        for source, target in pairs:
            for connection in self.between(source, target):
                connection.reset()

    def add(self, connection) -> None:
        self._connections.setdefault(connection.hosts, []).append(connection)

    def drop(self, connection) -> None:
        open_connections = self._connections.get(connection.hosts, [])
        if connection in open_connections:
            open_connections.remove(connection)


class Connection:
    """One connection; direction 0 is from its dialer."""

    __slots__ = ("network", "hosts", "ends", "port", "_stuck", "_last", "_early", "is_over")

    def __init__(self, *, network, dialer_end, source: str, target: str, port: int):
        self.network = network
        self.hosts = (source, target)
        self.ends = [dialer_end, None]
        self.port = port
        self._stuck = ([], [])
        self._last = [0.0, 0.0]
        self._early = []  # what came before the process took the connection
        self.is_over = False
        network.add(self)

    def transmit(self, direction: int, item) -> None:
        if self.is_over:
            return
        clock = self.network.clock
        source, target = self.hosts if direction == 0 else self.hosts[::-1]
        if self._stuck[direction] or self.network.is_partitioned(source, target):
            if not self._stuck[direction] and self.ends[direction] is not None:
                self.ends[direction].watch_stuck()
            self._stuck[direction].append((clock.time, item))
            return
        when = max(clock.time + self.network.delay(source, target), self._last[direction])
        self._last[direction] = when
        clock.schedule(when=when, callback=lambda: self._arrive(direction, item))

    def stuck_for(self, direction: int) -> float:
        """How long the oldest data of this way has been held back: TCP_USER_TIMEOUT ends it."""
        stuck = self._stuck[direction]
        return self.network.clock.time - stuck[0][0] if stuck else 0.0

    def flush(self) -> None:
        clock = self.network.clock
        for direction in (0, 1):
            source, target = self.hosts if direction == 0 else self.hosts[::-1]
            if not self._stuck[direction] or self.network.is_partitioned(source, target):
                continue
            items = [item for _when, item in self._stuck[direction]]
            self._stuck[direction].clear()
            pause = clock.chance.uniform(*RETRY_S)
            self._last[direction] = max(self._last[direction], clock.time + pause)
            for item in items:
                self.transmit(direction, item)

    def reset(self) -> None:
        for direction in (0, 1):
            self._arrive(direction, RESET)
        self.finish()

    def finish(self) -> None:
        self.is_over = True
        self.network.drop(self)

    def _arrive(self, direction: int, item) -> None:
        target = self.network.machines.get(self.hosts[1 - direction])
        if self.is_over or target is None or not target.is_powered:
            return
        end = self.ends[1 - direction]
        if direction == 0 and item is OPEN:
            self._accept(target)
        elif end is None and direction == 0:
            self._early.append(item)
        elif end is None or not end.is_open or not end.process.is_alive:
            if item not in (END, RESET):
                self.transmit(1 - direction, RESET)
            if item in (END, RESET):
                self.finish()
        else:
            clock = self.network.clock
            clock.schedule(
                when=clock.time,
                callback=lambda: end.arrived(item),
                process=end.process,
                kind=simulated_clock.EventKind.DELIVERY,
            ) if end.process.is_frozen else end.process.guard(lambda: end.arrived(item))

    def _accept(self, machine) -> None:
        port = machine.ports.get(self.port)
        if port is None:
            self.transmit(1, RESET)
            return
        self.transmit(1, OPENED)
        clock = self.network.clock
        clock.later(
            delay=0.0, callback=lambda: self._taken(port), process=port.process, kind=simulated_clock.EventKind.DELIVERY
        )

    def _taken(self, port) -> None:
        self.ends[1] = port.handle(self)
        early, self._early = self._early, []
        for item in early:
            if self.ends[1].is_open:
                self.ends[1].arrived(item)

    def left(self, end, *, item) -> None:
        """An end was closed by its process, or its process died on a living machine."""
        direction = 0 if end is self.ends[0] else 1
        self.transmit(direction, item)


class PeerConnection:
    """One end, with the interface of ploverward.transport.peer_connection.PeerConnection."""

    def __init__(self, *, process, loop, on_message, on_end, peer_timeout_s, is_connecting, peer):
        self.process = process
        self.loop = loop
        self.peer = peer
        self.hello = None
        self.is_open = True
        self.is_up = not is_connecting
        self.heard_at = loop.now()
        self.has_heard = False
        self.opened_at = loop.now()
        self.peer_timeout_s = peer_timeout_s
        self.frame = b""
        self.connection = None
        self._direction = 0 if is_connecting else 1
        self._on_message = on_message
        self._on_end = on_end
        self._unsent = []
        process.links.add(self)
        self._check = loop.after(delay=peer_timeout_s / 2, callback=self._check_peer_timeout)

    def _check_peer_timeout(self) -> None:
        if not self.is_open:
            return
        if self.loop.now() - self.heard_at > self.peer_timeout_s:
            self.close(reason="silent")
            return
        # The real one looks each quarter; the looks that can find nothing are left out.
        quarter = self.peer_timeout_s / 4
        left = self.peer_timeout_s - (self.loop.now() - self.heard_at)
        self._check = self.loop.after(
            delay=quarter * max(1, math.ceil(left / quarter)), callback=self._check_peer_timeout
        )

    def watch_stuck(self) -> None:
        """What was sent does not arrive: TCP_USER_TIMEOUT ends the connection unless it does in time."""
        if self.is_open:
            self.loop.after(delay=self.peer_timeout_s, callback=self._check_stuck)

    def _check_stuck(self) -> None:
        stuck_s = self.connection.stuck_for(self._direction)
        if self.is_open and stuck_s >= self.peer_timeout_s - GRAIN_S:
            self.close(reason="ETIMEDOUT")
        elif self.is_open and stuck_s:
            self.loop.after(delay=self.peer_timeout_s - stuck_s, callback=self._check_stuck)

    def queued(self) -> int:
        return sum(len(frame) for frame in self._unsent)

    def send(self, message: tuple) -> None:
        self.send_bytes(pack(message))

    def send_bytes(self, data: bytes) -> None:
        if not self.is_open:
            return
        if self.is_up:
            self.connection.transmit(self._direction, data)
        else:
            self._unsent.append(data)

    def arrived(self, item) -> None:
        if not self.is_open:
            return
        if item is OPENED:
            self.is_up = True
            self.heard_at = self.loop.now()
            unsent, self._unsent = self._unsent, []
            for data in unsent:
                self.connection.transmit(self._direction, data)
            return
        if item is END or item is RESET:
            self.close(reason="closed" if item is END else "ECONNRESET")
            return
        self.heard_at = self.loop.now()
        self.has_heard = True
        message = unpack(item)
        if type(message) is messages.KeepAlive:
            return
        self.frame = item
        self._on_message(self, message)

    def close(self, *, reason: str = "") -> None:
        if not self.is_open:
            return
        self.is_open = False
        self.loop.cancel(timer=self._check)
        self.process.links.discard(self)
        self.connection.left(self, item=END)
        self._on_end(self, reason)


class Connector:
    """The interface of ploverward.transport.peer_connection.Connector."""

    def __init__(self, *, runtime, loop, address, on_up, on_message, on_end, peer_timeout_s):
        self.loop = loop
        self.address = address
        self.link = None
        self._runtime = runtime
        self._on_up = on_up
        self._on_message = on_message
        self._on_end = on_end
        self._peer_timeout_s = peer_timeout_s
        self._pause_s = peer_timeout_s / 40
        self._is_stopped = False
        self._connect()

    def _connect(self) -> None:
        if self._is_stopped:
            return
        host, port = self.address
        self.link = PeerConnection(
            process=self._runtime.process,
            loop=self.loop,
            on_message=self._take,
            on_end=self._ended,
            peer_timeout_s=self._peer_timeout_s,
            is_connecting=True,
            peer="%s:%d" % self.address,
        )
        own = self._runtime.machine.host
        self.link.connection = Connection(
            network=self._runtime.network, dialer_end=self.link, source=own, target=host, port=port
        )
        self.link.connection.transmit(0, OPEN)
        self._on_up(self.link)

    def _take(self, link, message) -> None:
        self._pause_s = self._peer_timeout_s / 40
        self._on_message(link, message)

    def _ended(self, link, reason) -> None:
        if self.link is link:
            self.link = None
        self._on_end(link, reason)
        self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        if self._is_stopped:
            return
        self._pause_s = min(self._pause_s * 1.6, self._peer_timeout_s / 4)
        pause = self._pause_s * (0.5 + 0.5 * self._runtime.chance())
        self.loop.after(delay=pause, callback=self._connect)

    def stop(self) -> None:
        self._is_stopped = True
        if self.link is not None:
            self.link.close(reason="stopped")


class PeerListener:
    """The interface of ploverward.transport.peer_connection.PeerListener."""

    def __init__(self, *, runtime, loop, address, on_link, on_message, on_end, peer_timeout_s):
        self.process = runtime.process
        self._loop = loop
        self._on_link = on_link
        self._on_message = on_message
        self._on_end = on_end
        self._peer_timeout_s = peer_timeout_s
        runtime.machine.ports[address[1]] = self

    def handle(self, connection) -> PeerConnection:
        link = PeerConnection(
            process=self.process,
            loop=self._loop,
            on_message=self._on_message,
            on_end=self._on_end,
            peer_timeout_s=self._peer_timeout_s,
            is_connecting=False,
            peer=connection.hosts[0],
        )
        link.connection = connection
        self._on_link(link)
        return link


class Request:
    """One call at a node's request handler, with the parts of ploverward.transport.http_request.Request that handlers use."""

    def __init__(self, *, method: str, target: str, headers: tuple, body: bytes, at: float, on_reply):
        self.method = method.encode()
        self.target = target.encode()
        self.headers = [(name.lower().encode(), value.encode()) for name, value in headers]
        self.body = body
        self.at = at
        self.begun_at = at
        self.on_gone = None
        self.on_drain = None
        self.is_answered = False
        self.is_started = False
        self.record = None
        self.http_connection = self
        self.is_open = True
        self._on_reply = on_reply  # (status, headers, body), or None where the connection ends without an answer

    def header(self, name: bytes, default: bytes = b"") -> bytes:
        for key, value in self.headers:
            if key == name:
                return value
        return default

    def text(self, name: bytes, default: str = "") -> str:
        return self.header(name, default.encode()).decode("latin-1")

    def reply(self, *, status: int, headers=(), body: bytes = b"", is_last=False) -> None:
        if self.is_answered or self.is_started:
            return
        self.is_started = self.is_answered = True
        reply_headers = {name.decode().lower(): value.decode() for name, value in headers}
        self._on_reply((status, reply_headers, body))

    def abort(self) -> None:
        if not self.is_answered:
            self.is_answered = True
            self._on_reply(None)

    def close(self, *, is_hard=False) -> None:
        self.abort()

    def gone(self) -> None:
        """The caller closed its connection."""
        self.is_open = False
        if self.on_gone is not None and not self.is_answered:
            self.on_gone()


class HttpServer:
    """The interface of ploverward.transport.http_server.HttpServer, as far as a core node uses it."""

    def __init__(
        self, *, runtime, loop, address, on_request, limits=None, peer_timeout_s=0.0, max_connections=0, max_bytes=0
    ):
        self.loop = loop
        self.process = runtime.process
        self.is_draining = False
        self.connections = set()
        self._ports = runtime.machine.ports
        self._address = address
        self._on_request = on_request
        self._ports[address[1]] = self

    def handle(self, request) -> None:
        self._on_request(request)

    def leave(self) -> None:
        self.is_draining = True

    def close_idle(self) -> None:
        """Calls have a connection each here; none is idle."""

    def stop_listening(self) -> None:
        if self._ports.get(self._address[1]) is self:
            del self._ports[self._address[1]]


class Caller:
    """Calls from outside the system: one connection each, whose answer may be lost."""

    def __init__(self, *, network, host: str):
        self._network = network
        self._clock = network.clock
        self.host = host

    def call(self, *, host, port, method, target, headers=(), body=b"", limit_s, done, on_lost=None) -> None:
        """`done(answer)`: (status, headers, body), or None where the connection ends without one or `limit_s` is over.

        `on_lost(answer)`, where it is given: answers are lost on their way, and it is told of them.
        """
        state = {"is_over": False, "request": None}

        def finish(answer):
            if not state["is_over"]:
                state["is_over"] = True
                done(answer)

        def give_up():
            finish(None)
            request = state["request"]
            if request is not None and not request.is_answered and not self._network.is_partitioned(self.host, host):
                process = state["process"]
                self._clock.later(
                    delay=self._network.delay(self.host, host),
                    callback=request.gone,
                    process=process,
                    kind=simulated_clock.EventKind.DELIVERY,
                )

        def reply(answer):
            if self._network.is_partitioned(host, self.host):
                return
            if on_lost is not None:
                on_lost(answer)
                return
            self._clock.later(delay=self._network.delay(host, self.host), callback=lambda: finish(answer))

        def arrive():
            machine = self._network.machines.get(host)
            if machine is None or not machine.is_powered or self._network.is_partitioned(self.host, host):
                return
            server = machine.ports.get(port)
            if server is None:
                reply(None)
                return
            state["process"] = server.process

            def handle():
                state["request"] = Request(
                    method=method, target=target, headers=headers, body=body, at=server.loop.now(), on_reply=reply
                )
                server.handle(state["request"])
                if state["is_over"]:
                    state["request"].gone()

            self._clock.later(
                delay=0.0, callback=handle, process=server.process, kind=simulated_clock.EventKind.DELIVERY
            )

        self._clock.later(delay=self._network.delay(self.host, host), callback=arrive)
        self._clock.later(delay=limit_s, callback=give_up)
