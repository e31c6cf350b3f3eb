"""Operators' calls on the state of this node: replicas, connected nodes and the core set (design 10)."""

import http
import typing

from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.operator_api.dependencies import Json
from ploverward.control_plane.operator_api.dependencies import NodeState
from ploverward.control_plane.operator_api.dependencies import Proxy
from ploverward.control_plane.operator_api.dependencies import Publisher
from ploverward.control_plane.operator_api.router import RETRY_LATER
from ploverward.control_plane.operator_api.router import Call
from ploverward.control_plane.operator_api.router import ErrorBody
from ploverward.control_plane.operator_api.router import Rule

ENDPOINT_LIST_TOPIC = "list"


class ReplicasBody(typing.TypedDict):
    """The newest endpoint list and its version."""

    epoch: int
    number: int
    replicas: list[Json]


class ProxyBody(typing.TypedDict):
    """A proxy that is connected to this node."""

    address: str
    counter: str  # ADDRESS:PORT that clients reach
    zone: str
    region: str
    ready: bool
    leaving: bool


class NodesBody(typing.TypedDict):
    """This node, its settings and the proxies connected to it."""

    node: str
    votes: bool
    members: list[str]
    zones: dict[str, str]
    duties: Json  # singleton roles
    bounds: dict[str, float]
    proxies: list[ProxyBody]


def listed_replicas(publisher: Publisher) -> list[Json]:
    """Returns the rows of the newest endpoint list, sorted by id; empty if there is no list yet."""
    current = publisher.get(ENDPOINT_LIST_TOPIC)
    return endpoint_list.unpack_list(current.data).sorted_rows() if current is not None else []


class NodeHandlers:
    """Answers from the local state of this node, without a read from a majority.

    Args:
        publisher: provides the newest endpoint list.
        node: the state of this node.
    """

    def __init__(self, *, publisher: Publisher, node: NodeState) -> None:
        self._publisher = publisher
        self._node = node

    def rules(self) -> list[Rule]:
        """Returns the routing rules of the calls that are handled here."""
        return [
            Rule("GET", "/ploverward/replicas", self.handle_get_replicas),
            Rule("GET", "/ploverward/nodes", self.handle_get_nodes),
            Rule("GET", "/ploverward/core-set", self.handle_get_core_set),
        ]

    def handle_get_replicas(self, call: Call) -> None:
        """Answers with the newest endpoint list, or 503 if there is none yet."""
        current = self._publisher.get(ENDPOINT_LIST_TOPIC)
        if current is None:
            error = ErrorBody(error="no list of replicas yet")
            call.answer(status=http.HTTPStatus.SERVICE_UNAVAILABLE, body=error, headers=RETRY_LATER)
            return
        rows = endpoint_list.unpack_list(current.data).sorted_rows()
        body = ReplicasBody(epoch=current.version.epoch, number=current.version.number, replicas=rows)
        call.answer(status=http.HTTPStatus.OK, body=body)

    def handle_get_nodes(self, call: Call) -> None:
        """Answers with this node and the proxies connected to it."""
        settings = self._node.settings()
        body = NodesBody(
            node=settings.node,
            votes=self._node.is_voting(),
            members=list(self._node.members()),
            zones=settings.zones,
            duties=self._node.singleton_roles(),
            bounds=settings.bounds,
            proxies=[_proxy_body(proxy) for proxy in self._node.proxies(serving_only=False)],
        )
        call.answer(status=http.HTTPStatus.OK, body=body)

    def handle_get_core_set(self, call: Call) -> None:
        """Answers with the status of the core set."""
        call.answer(status=http.HTTPStatus.OK, body=self._node.core_set())


def _proxy_body(proxy: Proxy) -> ProxyBody:
    return ProxyBody(
        address=proxy.address,
        counter=proxy.public_address,
        zone=proxy.zone,
        region=proxy.region,
        ready=proxy.is_ready,
        leaving=proxy.is_draining,
    )
