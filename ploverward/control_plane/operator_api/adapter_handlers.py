"""Operators' calls on adapters: which replicas hold them, and how often each was loaded (docs/pins.md 3)."""

import http
import typing

from ploverward.control_plane.adapter_cache.adapter_usage import AdapterUsageStore
from ploverward.control_plane.operator_api import node_handlers
from ploverward.control_plane.operator_api.dependencies import Json
from ploverward.control_plane.operator_api.dependencies import NodeState
from ploverward.control_plane.operator_api.dependencies import Publisher
from ploverward.control_plane.operator_api.router import Call
from ploverward.control_plane.operator_api.router import Rule
from ploverward.transport.interfaces import Loop

WINDOW_CONTACTS = 6  # length of a window in which adapter requests are counted, in multiples of contactMs


class ReplicaBody(typing.TypedDict):
    """A replica and the adapters that it has loaded; `adapters` is None if that is unknown."""

    id: str
    service: str
    zone: str
    region: str
    is_clearing: bool
    models: list[str]
    adapters: list[list[str]] | None


class ProxyBody(typing.TypedDict):
    """A proxy that reports to this node."""

    address: str
    life: str
    zone: str


class AdaptersBody(typing.TypedDict):
    """The data from which pins are suggested (`ploverward.control_plane.adapter_cache.pin_suggestion`)."""

    node: str
    window_s: float
    windows: list[Json]
    malformed: int
    malformed_replicas: list[str]
    zones: dict[str, str]
    replicas: list[ReplicaBody]
    proxies: list[ProxyBody]


class AdapterHandlers:
    """Reports the adapter counts that proxies sent to this node.

    Attributes:
        usage_store: the adapter counts that proxies reported.

    Args:
        loop: the event loop.
        publisher: provides the newest endpoint list.
        node: the state of this node.
        contact_s: `contactMs` of the settings, in seconds.
    """

    def __init__(self, *, loop: Loop, publisher: Publisher, node: NodeState, contact_s: float) -> None:
        self._publisher = publisher
        self._node = node
        self._window_s = contact_s * WINDOW_CONTACTS
        self.usage_store = AdapterUsageStore(now=loop.now, window_s=self._window_s)

    def rules(self) -> list[Rule]:
        """Returns the routing rules of the calls that are handled here."""
        return [Rule("GET", "/ploverward/adapters", self.handle_get)]

    def handle_get(self, call: Call) -> None:
        """Answers with the adapter counts, the replicas and the connected proxies."""
        replicas = node_handlers.listed_replicas(self._publisher)
        settings = self._node.settings()
        body = AdaptersBody(
            node=settings.node,
            window_s=self._window_s,
            windows=self.usage_store.rows(),
            malformed=self.usage_store.malformed,
            malformed_replicas=[row["id"] for row in replicas if row.get("is_malformed")],
            zones=settings.zones,
            replicas=[_replica_body(row, settings.zones) for row in replicas],
            proxies=[
                ProxyBody(address=proxy.address, life=proxy.incarnation, zone=proxy.zone)
                for proxy in self._node.proxies(serving_only=False)
            ],
        )
        call.answer(status=http.HTTPStatus.OK, body=body)


def _replica_body(row: Json, region_by_zone: dict[str, str]) -> ReplicaBody:
    return ReplicaBody(
        id=row["id"],
        service=row["service"],
        zone=row["zone"],
        region=region_by_zone.get(row["zone"], ""),
        is_clearing=row["is_clearing"],
        models=row["models"],
        adapters=row.get("adapters", []),
    )
