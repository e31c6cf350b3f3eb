"""Calls on custody trails, for operators (design 10, docs/residency.md).

Where a trail has parts that replicas may still have in their caches, a proxy is queried which replicas do; the call is
answered with its reply, or without it if none arrives in time.
"""

import dataclasses
import http
import itertools
import typing

from ploverward.control_plane.audit.custody_service import CustodyService
from ploverward.control_plane.audit.trail_store import TrailPage
from ploverward.control_plane.operator_api.dependencies import Json
from ploverward.control_plane.operator_api.dependencies import NodeState
from ploverward.control_plane.operator_api.router import Call
from ploverward.control_plane.operator_api.router import Rule
from ploverward.transport import messages
from ploverward.transport.interfaces import Loop
from ploverward.transport.interfaces import Timer

TRAILS_PER_PAGE = 500
OWNER_REPLY_PARTS = 12  # a proxy has receiptMs / 12 to say which replicas have parts in their caches
MAX_OFFSET_DIGITS = 19  # of the offset in a query


class MissingTrailBody(typing.TypedDict):
    """No trail here; another node may have it."""

    error: str
    node: str


class TrailBody(typing.TypedDict):
    """The trails of one request. `kept_known`: whether it is known what replicas still have in their caches."""

    node: str
    trails: list[Json]
    kept_known: bool


class TrailsBody(typing.TypedDict):
    """One page of trails and what is missing of them. `last` is the offset of the next page."""

    node: str
    trails: list[Json]
    last: int
    has_more: bool
    coverage: list[Json]
    zones: dict[str, str]
    keep_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _OwnerQuery:
    """A call that waits for a proxy's reply."""

    call: Call
    trails: list[Json]
    trail: Json  # the one of them that the query is about
    timer: Timer


class CustodyHandlers:
    """Reads custody trails.

    Args:
        loop: the event loop.
        node: the state of this node.
        custody: the trails that proxies reported.
        receipt_s: `receiptMs` of the settings, in seconds.
    """

    def __init__(self, *, loop: Loop, node: NodeState, custody: CustodyService, receipt_s: float) -> None:
        self._loop = loop
        self._node = node
        self._custody = custody
        self._reply_timeout_s = receipt_s / OWNER_REPLY_PARTS
        self._queries: dict[int, _OwnerQuery] = {}
        self._numbers = itertools.count(1)

    def rules(self) -> list[Rule]:
        """The calls that are handled here."""
        return [
            Rule("GET", "/ploverward/custody/<request_id>", self.handle_get_trail),
            Rule("GET", "/ploverward/custody", self.handle_get_trails),
        ]

    def handle_get_trail(self, call: Call, request_id: str) -> None:
        """Answers with the trails of one request, and which replicas still have parts of its prompt cached."""
        self._custody.find(request_id=request_id, done=lambda trails: self._answer_found(call, request_id, trails))

    def _answer_found(self, call: Call, request_id: str, trails: list[Json]) -> None:
        if not trails:
            missing = MissingTrailBody(error=f"no trail of '{request_id}' here", node=self._node.settings().node)
            call.answer(status=http.HTTPStatus.NOT_FOUND, body=missing)
            return
        with_parts = [trail for trail in trails if trail["parts"]]
        if with_parts and self._node.proxies():
            self._find_owners(call, trails, with_parts[-1])
        else:
            self._answer_trail(call, trails, is_kept_known=not with_parts)

    def handle_cache_owners(self, message: messages.CacheOwners) -> None:
        """A proxy's reply: which replicas have parts of a trail in their caches."""
        query = self._queries.pop(message.number, None)
        if query is None:
            return  # it arrived too late
        self._loop.cancel(timer=query.timer)
        query.trail["kept"] = [{"replica": replica, "zone": zone} for replica, zone in message.owners]
        self._answer_trail(query.call, query.trails, is_kept_known=True)

    def handle_get_trails(self, call: Call) -> None:
        """Answers with a page of trails, from the offset in the query on."""
        after = _offset_in(call.query.get("after", "0"))
        self._custody.page(after=after, limit=TRAILS_PER_PAGE, done=lambda page: self._answer_page(call, page))

    def _answer_page(self, call: Call, page: TrailPage) -> None:
        live_incarnations = {proxy.incarnation for proxy in self._node.proxies(serving_only=False)}
        settings = self._node.settings()
        body = TrailsBody(
            node=settings.node,
            trails=page.trails,
            last=page.last,
            has_more=page.has_more,
            coverage=self._custody.coverage(live_incarnations=live_incarnations),
            zones=settings.zones,
            keep_s=self._custody.retention_s,
        )
        call.answer(status=http.HTTPStatus.OK, body=body)

    def _find_owners(self, call: Call, trails: list[Json], trail: Json) -> None:
        number = next(self._numbers)
        hashes = tuple(messages.PromptHash(full_hash=bytes.fromhex(part)) for part in trail["parts"])
        request = messages.FindCacheOwners(number=number, service=trail["service"], model=trail["model"], hashes=hashes)
        timer = self._loop.after(delay=self._reply_timeout_s, callback=lambda: self._give_up(number))
        self._queries[number] = _OwnerQuery(call=call, trails=trails, trail=trail, timer=timer)
        self._node.proxies()[0].connection.send(request)

    def _give_up(self, number: int) -> None:
        query = self._queries.pop(number, None)
        if query is not None:
            self._answer_trail(query.call, query.trails, is_kept_known=False)

    def _answer_trail(self, call: Call, trails: list[Json], *, is_kept_known: bool) -> None:
        body = TrailBody(node=self._node.settings().node, trails=trails, kept_known=is_kept_known)
        call.answer(status=http.HTTPStatus.OK, body=body)


def _offset_in(text: str) -> int:
    """The offset that a query names; 0 where it is none."""
    return int(text) if text.isascii() and text.isdecimal() and len(text) <= MAX_OFFSET_DIGITS else 0
