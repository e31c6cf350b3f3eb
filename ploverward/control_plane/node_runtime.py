"""A core node's access to its machine: loop, connections, disk, platform, randomness, signals, settings (design 2).

`NodeRuntime` uses the real machine. The simulation (ploverward/simulation/control_plane) replaces it by a class with
the same methods. Therefore nothing else under ploverward/control_plane may open a socket or a file, start a thread,
read a clock or draw a random number.
"""

import logging
import os
import random
import signal
import time
import uuid
from collections.abc import Callable
from collections.abc import Collection

from ploverward.common import settings
from ploverward.control_plane.consensus import disk
from ploverward.control_plane.discovery import endpoint_list_poller
from ploverward.control_plane.discovery import platform_calls
from ploverward.transport import event_loop
from ploverward.transport import http_server as http_servers
from ploverward.transport import peer_connection

_log = logging.getLogger(__name__)

DEFAULT_FOLDER = "/tmp"
ID_DIGITS = 12  # hexadecimal digits of a unique id: 48 random bits


class NodeRuntime:
    """Creates the components that use the real machine, and reads its clock and randomness."""

    def loop(self, *, on_error: Callable[[BaseException], None]) -> event_loop.Loop:
        """Creates the event loop; it calls `on_error` with the exception of a callback that failed."""
        return event_loop.Loop(on_error=on_error)

    def peer_listener(
        self,
        *,
        loop: event_loop.Loop,
        address: tuple[str, int],
        on_connection: Callable,
        on_message: Callable,
        on_end: Callable,
        peer_timeout_s: float,
    ) -> peer_connection.PeerListener:
        """Creates a listener for connections of other nodes; the arguments are those of `PeerListener`."""
        return peer_connection.PeerListener(
            loop=loop,
            address=address,
            on_connection=on_connection,
            on_message=on_message,
            on_end=on_end,
            peer_timeout_s=peer_timeout_s,
        )

    def connector(
        self,
        *,
        loop: event_loop.Loop,
        address: tuple[str, int],
        on_up: Callable,
        on_message: Callable,
        on_end: Callable,
        peer_timeout_s: float,
    ) -> peer_connection.Connector:
        """Creates a connector, which keeps a connection to an address open; the arguments are those of `Connector`."""
        return peer_connection.Connector(
            loop=loop, address=address, on_up=on_up, on_message=on_message, on_end=on_end, peer_timeout_s=peer_timeout_s
        )

    def http_server(
        self,
        *,
        loop: event_loop.Loop,
        address: tuple[str, int],
        on_request: Callable,
        limits: Callable,
        peer_timeout_s: float,
        max_connections: int,
    ) -> http_servers.HttpServer:
        """Creates an HTTP server; the arguments are those of `HttpServer`."""
        return http_servers.HttpServer(
            loop=loop,
            address=address,
            on_request=on_request,
            limits=limits,
            peer_timeout_s=peer_timeout_s,
            max_connections=max_connections,
        )

    def disk(self, *, folder: str) -> disk.Disk:
        """Opens the folder of the node's stored files, and creates it if it does not exist."""
        folder = folder or DEFAULT_FOLDER
        os.makedirs(folder, exist_ok=True)
        return disk.Disk(folder=folder)

    def platform_poller(
        self,
        *,
        loop: event_loop.Loop,
        address: str,
        poll_interval_s: float,
        timeout_s: float,
        on_list: Callable[[list, float], None],
        zones: Collection[str],
    ) -> endpoint_list_poller.EndpointListPoller:
        """Creates a poller of the platform's replica list; the arguments are those of `EndpointListPoller`."""
        return endpoint_list_poller.EndpointListPoller(
            loop=loop,
            address=address,
            poll_interval_s=poll_interval_s,
            timeout_s=timeout_s,
            on_list=on_list,
            zones=zones,
        )

    def platform_calls(self, *, loop: event_loop.Loop, address: str) -> platform_calls.PlatformCalls:
        """Creates a client for POST calls to the platform at an address."""
        return platform_calls.PlatformCalls(loop=loop, address=address)

    def file_watch(self) -> settings.FileWatch:
        """Creates a watch that detects changes of the settings file."""
        return settings.FileWatch()

    def load_settings(self) -> settings.Settings:
        """Reads the settings file.

        Raises:
            SettingsError: The file cannot be read or is not valid.
        """
        return settings.load()

    def chance(self) -> float:
        """Returns a random number in [0, 1)."""
        return random.random()

    def wall_time(self) -> float:
        """Returns the wall-clock time in seconds since 1970; it may jump."""
        return time.time()

    def unique_id(self) -> str:
        """Returns an identifier that is unique across machines and calls."""
        return uuid.uuid4().hex[:ID_DIGITS]

    def on_signals(
        self, *, loop: event_loop.Loop, on_terminate: Callable[[], None], on_reload: Callable[[], None]
    ) -> None:
        """Registers callbacks for SIGTERM and SIGHUP. The signal handlers only queue them; the loop calls them."""
        signal.signal(signal.SIGTERM, lambda *_: loop.call_soon_threadsafe(callback=on_terminate))
        signal.signal(signal.SIGHUP, lambda *_: loop.call_soon_threadsafe(callback=on_reload))
