"""Operators' calls on custody trails (design 10, docs/residency.md).

Replicas may still have parts of a trail's prompt in their caches. If a trail lists such parts, this node asks a proxy
which replicas hold them. The call is answered with the proxy's reply, or without it if none arrives in time.
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
OWNER_REPLY_RECEIPT_DIVISOR = 12  # a proxy has receiptMs / 12 to reply which replicas hold parts in their caches
MAX_OFFSET_DIGITS = 19  # longer offsets in a query are read as 0


class MissingTrailBody(typing.TypedDict):
    """The body if this node has no trail of a request; another node may have one."""

    error: str
    node: str


class TrailBody(typing.TypedDict):
    """The trails of one request. `kept_known` tells if it is known which replicas still hold parts in their caches."""

    node: str
    trails: list[Json]
    kept_known: bool


class TrailsBody(typing.TypedDict):
    """A page of trails, and how complete they are. The next page begins after `last`."""

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
    trail: Json  # the one of `trails` whose parts the proxy looks for
    timer: Timer


class CustodyHandlers:
    """Answers with custody trails.

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
        self._reply_timeout_s = receipt_s / OWNER_REPLY_RECEIPT_DIVISOR
        self._queries: dict[int, _OwnerQuery] = {}
        self._query_numbers = itertools.count(1)

    def rules(self) -> list[Rule]:
        """Returns the routing rules of the calls that are handled here."""
        return [
            Rule("GET", "/ploverward/custody/<request_id>", self.handle_get_trail),
            Rule("GET", "/ploverward/custody", self.handle_get_trails),
        ]

    def handle_get_trail(self, call: Call, request_id: str) -> None:
        """Answers with the trails of one request and the replicas that still have parts of its prompt cached."""
        self._custody.find(request_id=request_id, done=lambda trails: self._answer_found(call, request_id, trails))

    def _answer_found(self, call: Call, request_id: str, trails: list[Json]) -> None:
        if not trails:
            missing = MissingTrailBody(error=f"no trail of '{request_id}' here", node=self._node.settings().node)
            call.answer(status=http.HTTPStatus.NOT_FOUND, body=missing)
            return
        with_parts = [trail for trail in trails if trail["parts"]]
        if with_parts and self._node.proxies():
            self._query_cache_owners(call, trails, with_parts[-1])
        else:
            self._answer_trail(call, trails, is_kept_known=not with_parts)

    def handle_cache_owners(self, message: messages.CacheOwners) -> None:
        """Completes a call with a proxy's reply about the replicas that hold parts of a trail in their caches."""
        query = self._queries.pop(message.number, None)
        if query is None:
            return  # the call was answered without the reply, which arrived too late
        self._loop.cancel(timer=query.timer)
        query.trail["kept"] = [{"replica": replica, "zone": zone} for replica, zone in message.owners]
        self._answer_trail(query.call, query.trails, is_kept_known=True)

    def handle_get_trails(self, call: Call) -> None:
        """Answers with the page of trails that begins after the offset in the query."""
        after = _parse_offset(call.query.get("after", "0"))
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

    def _query_cache_owners(self, call: Call, trails: list[Json], trail: Json) -> None:
        number = next(self._query_numbers)
        hashes = tuple(messages.PromptHash(full_hash=bytes.fromhex(part)) for part in trail["parts"])
        request = messages.FindCacheOwners(number=number, service=trail["service"], model=trail["model"], hashes=hashes)
        timer = self._loop.after(delay=self._reply_timeout_s, callback=lambda: self._time_out_query(number))
        self._queries[number] = _OwnerQuery(call=call, trails=trails, trail=trail, timer=timer)
        self._node.proxies()[0].connection.send(request)

    def _time_out_query(self, number: int) -> None:
        query = self._queries.pop(number, None)
        if query is not None:
            self._answer_trail(query.call, query.trails, is_kept_known=False)

    def _answer_trail(self, call: Call, trails: list[Json], *, is_kept_known: bool) -> None:
        body = TrailBody(node=self._node.settings().node, trails=trails, kept_known=is_kept_known)
        call.answer(status=http.HTTPStatus.OK, body=body)


def _parse_offset(text: str) -> int:
    """Returns the offset in a query, or 0 if the text is not a valid offset."""
    return int(text) if text.isascii() and text.isdecimal() and len(text) <= MAX_OFFSET_DIGITS else 0
