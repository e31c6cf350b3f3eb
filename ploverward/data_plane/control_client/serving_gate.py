"""Decides when a starting proxy may serve (docs/design.md 5).

A proxy must not start serving with a configuration older than one that was acknowledged to an operator. Each core
node sends the revisions on its disk. Every acknowledged revision is on the disks of a majority, so the highest
revision within any majority is at least as new. Once open, the gate stays open: a proxy that loses contact with the
core nodes continues to serve with its installed configuration.
"""

import logging
from collections.abc import Collection
from collections.abc import Mapping

from ploverward.common.identifiers import NO_VERSION
from ploverward.common.identifiers import Version
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.distribution import endpoint_list
from ploverward.transport import messages

_log = logging.getLogger(__name__)


class ServingGate:
    """Opens once this proxy has installed every revision that a majority of the core may have acknowledged.

    Attributes:
        is_open: Whether the proxy may serve.
    """

    def __init__(self) -> None:
        self.is_open = False
        self._minimum_versions: dict[str, dict[str, int]] = {}  # by core node: revisions of the registers on its disk

    def handle_minimum_versions(self, host: str, message: messages.MinimumVersions) -> None:
        """Records the revisions on the disk of a core node."""
        if host not in self._minimum_versions:
            _log.debug("minimum_version_received", extra={"host": host})
        self._minimum_versions[host] = {row.register: row.revision for row in message.revisions}

    def open_if_ready(self, *, members: Collection[str], versions: Mapping[str, Version]) -> bool:
        """Opens the gate if the installed versions are new enough.

        Args:
            members: Addresses of the core set.
            versions: The installed version of each topic.

        Returns:
            Whether this call opened the gate.
        """
        if self.is_open or not self._is_ready(members, versions):
            return False
        self.is_open = True
        return True

    def _is_ready(self, members: Collection[str], versions: Mapping[str, Version]) -> bool:
        if not ballots.has_majority(of=members, among=self._minimum_versions):
            return False
        for register in register_names.MINIMUM_VERSION_REGISTERS:
            minimum = max(revisions.get(register, 0) for revisions in self._minimum_versions.values())
            if versions.get(register, NO_VERSION).number < minimum:
                return False
        if versions.get(register_names.CONFIGURATION, NO_VERSION).number < 1 or endpoint_list.TOPIC not in versions:
            return False
        # Without an installed core set the minimum versions may come from seeds that no longer vote.
        return register_names.CORE_SET in versions
