"""What a core node takes from its machine: loop, links, disk, platform, randomness, signals (design 2).

`Runtime` is the real one. The model world (pw/sim/control) puts a simulated one with the same methods in its place, so
nothing else under pw/ctl makes a socket, a file, a thread, a clock or a random number of its own.
"""

import os
import random
import signal
import uuid

from pw.base import inlet
from pw.base import link as links
from pw.base import loop as loops
from pw.base import settings as settings_files
from pw.ctl import platform
from pw.ctl.register import store as stores

DEFAULT_FOLDER = "/tmp"
ID_DIGITS = 12


class Runtime:
    """The real machine."""

    def loop(self, *, on_fault):
        return loops.Loop(on_fault=on_fault)

    def port(self, **about):
        """Takes links from others: the arguments of `pw.base.link.Port`."""
        return links.Port(**about)

    def dialer(self, **about):
        """Keeps one link to an address: the arguments of `pw.base.link.Dialer`."""
        return links.Dialer(**about)

    def hall(self, **about):
        """Listens for calls: the arguments of `pw.base.inlet.Hall`."""
        return inlet.Hall(**about)

    def disk(self, *, folder: str):
        """The folder of the register's files; it is made where it is missing."""
        folder = folder or DEFAULT_FOLDER
        os.makedirs(folder, exist_ok=True)
        return stores.Disk(folder=folder)

    def watch(self, **about):
        """Reads the platform's list: the arguments of `pw.ctl.platform.Watch`."""
        return platform.Watch(**about)

    def file_watch(self):
        return settings_files.FileWatch()

    def load_settings(self):
        return settings_files.load()

    def chance(self) -> float:
        """A random number from 0 to below 1."""
        return random.random()

    def unique_id(self) -> str:
        return uuid.uuid4().hex[:ID_DIGITS]

    def on_signals(self, *, loop, on_terminate, on_reread) -> None:
        """The handlers only hand commands to the loop."""
        signal.signal(signal.SIGTERM, lambda *_: loop.command(act=on_terminate))
        signal.signal(signal.SIGHUP, lambda *_: loop.command(act=on_reread))
