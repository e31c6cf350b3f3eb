"""What a core node takes from its machine: loop, links, disk, platform, randomness, signals (design 2).

`Runtime` is the real one. The model world (ploverward/simulation/control_plane) puts a simulated one with the same methods in its place, so
nothing else under ploverward/control_plane makes a socket, a file, a thread, a clock or a random number of its own.
"""

import os
import random
import signal
import uuid

from ploverward.common import settings
from ploverward.control_plane.consensus import disk
from ploverward.control_plane.discovery import endpoint_list_poller
from ploverward.transport import event_loop
from ploverward.transport import http_server as http_servers
from ploverward.transport import peer_connection

DEFAULT_FOLDER = "/tmp"
ID_DIGITS = 12


class Runtime:
    """The real machine."""

    def loop(self, *, on_fault):
        return event_loop.Loop(on_fault=on_fault)

    def port(self, **about):
        """Takes links from others: the arguments of `ploverward.transport.peer_connection.PeerListener`."""
        return peer_connection.PeerListener(**about)

    def connector(self, **about):
        """Keeps one link to an address: the arguments of `ploverward.transport.peer_connection.Connector`."""
        return peer_connection.Connector(**about)

    def http_server(self, **about):
        """Listens for calls: the arguments of `ploverward.transport.http_server.HttpServer`."""
        return http_servers.HttpServer(**about)

    def disk(self, *, folder: str):
        """The folder of the register's files; it is made where it is missing."""
        folder = folder or DEFAULT_FOLDER
        os.makedirs(folder, exist_ok=True)
        return disk.Disk(folder=folder)

    def watch(self, **about):
        """Reads the platform's list: the arguments of `EndpointListPoller`."""
        return endpoint_list_poller.EndpointListPoller(**about)

    def file_watch(self):
        return settings.FileWatch()

    def load_settings(self):
        return settings.load()

    def chance(self) -> float:
        """A random number from 0 to below 1."""
        return random.random()

    def unique_id(self) -> str:
        return uuid.uuid4().hex[:ID_DIGITS]

    def on_signals(self, *, loop, on_terminate, on_reread) -> None:
        """The handlers only hand commands to the loop."""
        signal.signal(signal.SIGTERM, lambda *_: loop.command(callback=on_terminate))
        signal.signal(signal.SIGHUP, lambda *_: loop.command(callback=on_reread))
