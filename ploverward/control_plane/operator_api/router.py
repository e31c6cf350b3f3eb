"""Maps calls to the published interfaces of a core node to their handlers, by werkzeug."""

import dataclasses
import json
import typing
import urllib.parse

import werkzeug.datastructures
import werkzeug.exceptions
import werkzeug.routing
import werkzeug.sansio.request

RETRY_AFTER = b"0.3"  # seconds: callers pause by themselves, this is for those that don't


@dataclasses.dataclass(frozen=True)
class Rule:
    """One address and method, and who handles it: `handler(call, **values)` with the values named in the path."""

    method: str
    path: str
    handler: typing.Callable


class Call:
    """One call of an operator, a tool or a user agent, and the way to answer it."""

    def __init__(self, *, request):
        self._request = request  # ploverward.transport.http_server's
        self._head = werkzeug.sansio.request.Request(
            request.method.decode("latin-1"),
            "http",
            None,
            "",
            *_split_target(request.target),
            werkzeug.datastructures.Headers(
                [(name.decode("latin-1"), value.decode("latin-1")) for name, value in request.headers]
            ),
            None,
        )

    @property
    def method(self) -> str:
        return self._head.method

    @property
    def path(self) -> str:
        return self._head.path

    @property
    def target(self) -> bytes:
        return self._request.target

    @property
    def query(self):
        return self._head.args

    @property
    def headers(self):
        return self._head.headers

    @property
    def body(self) -> bytes:
        return self._request.body

    def answer(self, *, status: int, body, headers=()) -> None:
        self._request.reply(
            status=status,
            headers=[(b"Content-Type", b"application/json"), *headers],
            body=json.dumps(body, separators=(",", ":")).encode(),
        )

    def unavailable(self, *, why: str) -> None:
        """No answer to what was asked: the caller tries again, here or at another node."""
        self.answer(status=503, body={"error": why}, headers=[(b"Retry-After", RETRY_AFTER)])

    def see_other_node(self, *, address: str) -> None:
        location = b"http://%s%s" % (address.encode(), self.target)
        self.answer(status=307, body={"location": address}, headers=[(b"Location", location)])


class Router:
    """Takes whole requests from the listeners and hands them on."""

    def __init__(self, *, rules):
        self._map = werkzeug.routing.Map(
            [werkzeug.routing.Rule(rule.path, endpoint=rule.handler, methods=[rule.method]) for rule in rules],
            merge_slashes=False,
        )

    def handle(self, request) -> None:
        call = Call(request=request)
        try:
            handler, values = self._map.bind("core").match(call.path, method=call.method)
        except werkzeug.exceptions.HTTPException as error:
            call.answer(status=error.code or 404, body={"error": error.name})
            return
        handler(call, **values)


def _split_target(target: bytes) -> tuple:
    path, _separator, query = target.partition(b"?")
    return urllib.parse.unquote(path.decode("latin-1")), query
