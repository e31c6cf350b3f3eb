"""Checks of each value that core nodes publish and proxies install (docs/simulate.md).

`ValueChecks` owns the known values of registers and topics and the known holders of singleton roles. It checks that:

- a version of a register has the same value everywhere;
- an edition belongs to one order;
- an epoch of a role has one holder;
- a version of a topic has one content and comes from the holder of its epoch;
- no proxy installs a version that is not newer than its own, or an older edition.
"""

from __future__ import annotations

import dataclasses
import functools
import json
from collections.abc import Mapping
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from ploverward.common.identifiers import NO_VERSION
from ploverward.common.identifiers import Version
from ploverward.control_plane.cluster import singleton_roles
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import register_names
from ploverward.simulation.control_plane import recorder as recorders
from ploverward.simulation.control_plane import simulated_clock

if TYPE_CHECKING:
    from ploverward.control_plane import core_node
    from ploverward.simulation.control_plane import proxies

CACHED_VALUES = 4096
unpack = functools.lru_cache(maxsize=CACHED_VALUES)(ballots.unpack)


class RegisterValue(NamedTuple):
    """A value of a register.

    Attributes:
        members: The core set that is stored with the value.
        payload: The content of the register.
    """

    members: tuple[str, ...]
    payload: Any


class SetChange(NamedTuple):
    """A change of a register's core set from one version to a newer one.

    Attributes:
        at: Time at which the newer value was first published, in seconds of simulated time.
        register: Name of the register.
        members: The new core set.
    """

    at: float
    register: str
    members: tuple[str, ...]


class Incarnation(NamedTuple):
    """One incarnation of a core node.

    Attributes:
        address: Address of the node.
        incarnation: Unique identifier of one start of the node.
    """

    address: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChosenConfiguration:
    """One value of the configuration register.

    Attributes:
        version: Version of the register.
        edition: Edition of the configuration.
        order_name: Name of the order that created it.
        seen_at: Time at which a core node first published it, in seconds of simulated time.
    """

    version: int
    edition: int
    order_name: str
    seen_at: float


def order_name_of(body: Mapping[str, Any]) -> str:
    """Returns the name of the order that created a configuration, from the note of its first route."""
    routes = body.get("routes") or [{}]
    return routes[0].get("note", "")


class ValueChecks:
    """Checks all values when they are published or installed.

    Attributes:
        values: Known values, by register and version.
        newest: The newest known version, by register.
        configurations: Chosen configurations in the order in which they were first seen.
        set_changes: Changes of the core set of any register, by time.
    """

    def __init__(self, *, clock: simulated_clock.Clock, recorder: recorders.Recorder) -> None:
        self.values: dict[tuple[str, int], RegisterValue] = {}
        self.newest: dict[str, int] = {}
        self.configurations: list[ChosenConfiguration] = []
        self.set_changes: list[SetChange] = []
        self._clock = clock
        self._recorder = recorder
        self._by_edition: dict[int, ChosenConfiguration] = {}
        self._holders: dict[tuple[str, int], Incarnation] = {}  # by role and epoch
        self._topics: dict[tuple[str, Version], bytes] = {}

    def watch(self, core: core_node.CoreNode) -> None:
        """Wraps the publisher of a core node, so that each new value that it publishes is checked."""
        publish = core.publisher.publish
        publisher = Incarnation(core.own, core.incarnation)

        def watched(*, topic: str, version: Version, data: bytes, delta: bytes | None = None) -> bool:
            is_new = publish(topic=topic, version=version, data=data, delta=delta)
            if is_new:
                self._handle_published(publisher, topic, version, data)
            return is_new

        core.publisher.publish = watched  # type: ignore[method-assign]

    def _handle_published(self, publisher: Incarnation, topic: str, version: Version, data: bytes) -> None:
        if topic in register_names.REGISTERS:
            self._handle_value(publisher.address, topic, version.number, data)
        else:
            self._handle_topic(publisher, topic, version, data)

    def _handle_value(self, node: str, name: str, version: int, data: bytes) -> None:
        value = RegisterValue(*unpack(data))
        known = self.values.get((name, version))
        if known is not None:
            if known != value:
                self._recorder.add_finding("agreement", f"{name} {version}: {node} has {value}, another has {known}")
            return
        self.values[name, version] = value
        self._recorder.record("chosen", register=name, version=version, node=node, members=",".join(value.members))
        if version > self.newest.get(name, 0):
            former = self.values.get((name, self.newest.get(name, 0)))
            if former is None or former.members != value.members:
                self.set_changes.append(SetChange(self._clock.time, name, value.members))
            self.newest[name] = version
        if name == register_names.CONFIGURATION and value.payload:
            self._handle_configuration(version, value.payload)
        elif name == register_names.SINGLETON_ROLES:
            self._check_role_holders(value.payload or {})

    def _handle_configuration(self, version: int, payload: Mapping[str, Any]) -> None:
        edition, order_name = payload["edition"], order_name_of(payload["body"])
        known = self._by_edition.get(edition)
        if known is not None:
            if known.order_name != order_name:
                self._recorder.add_finding(
                    "configurations", f"edition {edition} stands for {known.order_name} and for {order_name}"
                )
            return
        chosen = ChosenConfiguration(version=version, edition=edition, order_name=order_name, seen_at=self._clock.time)
        self._by_edition[edition] = chosen
        self.configurations.append(chosen)
        self._recorder.record("configuration chosen", edition=edition, order_name=order_name, version=version)

    def _check_role_holders(self, payload: Mapping[str, tuple[int, str, str]]) -> None:
        for role, (epoch, address, incarnation) in payload.items():
            holder = Incarnation(address, incarnation)
            known = self._holders.setdefault((role, epoch), holder)
            if known != holder:
                self._recorder.add_finding("duties", f"{role}, epoch {epoch}: {known} and {holder}")

    def _handle_topic(self, publisher: Incarnation, topic: str, version: Version, data: bytes) -> None:
        epoch, number = version
        known = self._topics.get((topic, version))
        if known is None:
            self._topics[topic, version] = data
            self._recorder.record("told", topic=topic, epoch=epoch, number=number, node=publisher.address)
            holder = self._holders.get((singleton_roles.COORDINATOR, epoch))
            if epoch and holder != publisher:
                self._recorder.add_finding(
                    "topics", f"{topic} of epoch {epoch} comes from {publisher}; the duty was held by {holder}"
                )
        elif known != data and epoch:
            self._recorder.add_finding("topics", f"{topic} ({epoch}, {number}) has two contents")

    def check_installed(self, proxy: proxies.Proxy, topic: str, version: Version, data: bytes) -> None:
        """Checks a value that a proxy installs, and records its version and edition in the proxy."""
        before = proxy.versions.get(topic, NO_VERSION)
        if version <= before:
            self._recorder.add_finding("back", f"{proxy.host} goes from {topic} {before} to {version}")
        proxy.versions[topic] = version
        if topic in register_names.REGISTERS:
            self._check_installed_register(proxy, topic, version.number, data)
        elif version.epoch and self._topics.get((topic, version)) != data:
            self._recorder.add_finding("topics", f"{proxy.host} has another {topic} {version} than was published")

    def _check_installed_register(self, proxy: proxies.Proxy, name: str, version: int, data: bytes) -> None:
        value = RegisterValue(*unpack(data))
        if self.values.get((name, version)) != value:
            self._recorder.add_finding("agreement", f"{proxy.host} has a {name} {version} that no core node has")
        payload = value.payload
        if name == register_names.CONFIGURATION and payload:
            if payload["edition"] < proxy.edition:
                self._recorder.add_finding(
                    "back", f"{proxy.host} goes from edition {proxy.edition} to {payload['edition']}"
                )
            proxy.edition = payload["edition"]
            self._recorder.record("applied", proxy=proxy.host, edition=proxy.edition)
        elif name == register_names.EVACUATIONS:
            self._recorder.record("applied", proxy=proxy.host, evacuations=json.dumps(payload))
