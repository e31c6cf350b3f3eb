"""The operator's calls: configurations and evacuations (design 5, 9)."""

import json

import werkzeug.exceptions
import werkzeug.routing
import werkzeug.sansio.request
import werkzeug.datastructures

from pw.base import inlet
from pw.base import problems
from pw.base import ring
from pw.ctl.spec import models


_URLS = werkzeug.routing.Map(
    [
        werkzeug.routing.Rule("/ploverward/configuration", endpoint="spec", methods=["GET", "PUT", "PATCH"]),
        werkzeug.routing.Rule("/ploverward/evacuation/<zone>", endpoint="evac", methods=["POST", "DELETE"]),
        werkzeug.routing.Rule("/ploverward/evacuation", endpoint="evacs", methods=["GET"]),
        werkzeug.routing.Rule("/ploverward/lookup", endpoint="lookup", methods=["GET"]),
        werkzeug.routing.Rule("/ploverward/custody/<ask_id>", endpoint="trail", methods=["GET"]),
        werkzeug.routing.Rule("/ploverward/custody", endpoint="trails", methods=["GET"]),
        werkzeug.routing.Rule("/ploverward/replicas", endpoint="replicas", methods=["GET"]),
        werkzeug.routing.Rule("/ploverward/adapters", endpoint="adapters", methods=["GET"]),
        werkzeug.routing.Rule("/ploverward/nodes", endpoint="nodes", methods=["GET"]),
    ]
)


class DispatchMixin:
    """The operator's calls (design 5, 9)."""

    def start_dispatch(self) -> None:
        self._waits = []  # (topic, rev, answer, deadline timer)
        bindings = self.settings.bindings
        limits = lambda: inlet.Limits(  # noqa: E731
            head_bytes=65536, body_bytes=16 * 1024 * 1024, head_s=self.contact_s, idle_s=self.contact_s * 4
        )
        self.halls = []
        for name in ("control", "directory"):
            if name in bindings:
                self.halls.append(
                    self.runtime.hall(
                        loop=self.loop,
                        address=bindings[name],
                        on_ask=self._on_ask,
                        limits=limits,
                        silence_s=self.contact_s,
                        most_doors=max(200, self.settings.handles // 2),
                    )
                )

    def _on_ask(self, ask) -> None:
        request = werkzeug.sansio.request.Request(
            ask.method.decode(),
            "http",
            None,
            "",
            *_split_target(ask.target),
            werkzeug.datastructures.Headers(
                [(name.decode("latin-1"), value.decode("latin-1")) for name, value in ask.headers]
            ),
            None,
        )
        try:
            endpoint, values = _URLS.bind("core").match(request.path, method=request.method)
        except werkzeug.exceptions.HTTPException as fault:
            self._json(ask, fault.code or 404, {"error": fault.name})
            return
        getattr(self, f"_{request.method.lower()}_{endpoint}")(ask, request, **values)

    def _json(self, ask, status: int, body, headers=()) -> None:
        ask.reply(
            status=status,
            headers=[(b"Content-Type", b"application/json"), *headers],
            body=json.dumps(body, separators=(",", ":")).encode(),
        )

    def _unavailable(self, ask, fault) -> None:
        self._json(ask, 503, {"error": str(fault)}, headers=[(b"Retry-After", b"0.3")])

    def _get_spec(self, ask, _request) -> None:
        def done(fault, _rev, payload, _result):
            if fault is not None:
                self._unavailable(ask, fault)
            elif not payload:
                self._json(ask, 404, {"error": "no configuration yet"})
            else:
                self._json(ask, 200, payload["body"], headers=[(b"ETag", b'"%d"' % payload["edition"])])

        self.proposer.read(name="spec", done=done)

    def _put_spec(self, ask, request) -> None:
        match = (request.headers.get("If-Match") or "").strip().strip('"')
        if not match.isdigit():
            self._json(ask, 400, {"error": "If-Match is missing or not a number", "place": "If-Match"})
            return
        base = int(match)
        data = ask.body
        method = request.method

        def checked(future):
            fault = future.exception()
            if fault is not None:
                self._reject(ask, fault)
                return
            edit = models.edit_for(method=method, base=base, data=data, body=future.result())
            self.proposer.change(
                name="spec",
                edit=edit,
                done=lambda problem, rev, _payload, _result: self._changed(ask, "spec", problem, rev),
            )

        def work():
            body = models.read_json(data=data)
            if method == "PUT":
                models.check(body=body)
            return body

        self.loop.offload(work=work, done=checked)

    _patch_spec = _put_spec

    def _reject(self, ask, fault) -> None:
        if isinstance(fault, problems.StaleBase):
            self._json(ask, 412, {"error": str(fault), "edition": fault.current})
        elif isinstance(fault, problems.SpecProblem):
            self._json(ask, 400, {"error": fault.text, "place": fault.place})
        elif isinstance(fault, problems.Problem):
            self._unavailable(ask, fault)
        else:
            ring.spill("a configuration broke the check", fault=fault)
            self._json(ask, 400, {"error": "not a configuration"})

    def _changed(self, ask, topic: str, fault, rev: int) -> None:
        if fault is not None:
            self._reject(ask, fault)
            return
        self._answer_when_applied(ask, topic, rev)

    def _answer_when_applied(self, ask, topic: str, rev: int) -> None:
        wait = [topic, rev, ask, None]
        wait[3] = self.loop.after(delay=self.receipt_s / 8, act=lambda: self._end_wait(wait))
        self._waits.append(wait)
        self._check_waits()

    def _check_waits(self) -> None:
        for wait in list(self._waits):
            topic, rev, _ask, _timer = wait
            proxy_links = [peer.link for peer in self.proxies(is_listed=False)]
            if not self.desk.lagging(topic=topic, serial=(0, rev), links=proxy_links):
                self._end_wait(wait)

    def _end_wait(self, wait) -> None:
        if wait not in self._waits:
            return
        self._waits.remove(wait)
        self.loop.cancel(timer=wait[3])
        self._json(wait[2], 200, {"serial": wait[1]})

    def _evacuate(self, ask, zone: str, is_out: bool) -> None:
        if zone not in self.settings.zones:
            self._json(ask, 404, {"error": f"unknown zone '{zone}'"})
            return

        def edit(payload):
            zones = set((payload or {}).get("zones", ()))
            wanted = zones | {zone} if is_out else zones - {zone}
            if payload is not None and wanted == zones:
                return payload, None
            return {"zones": sorted(wanted)}, None

        self.proposer.change(
            name="evac", edit=edit, done=lambda fault, rev, _payload, _result: self._changed(ask, "evac", fault, rev)
        )

    def _post_evac(self, ask, _request, zone: str) -> None:
        self._evacuate(ask, zone, True)

    def _delete_evac(self, ask, _request, zone: str) -> None:
        self._evacuate(ask, zone, False)

    def _get_evacs(self, ask, _request) -> None:
        self.proposer.read(
            name="evac",
            done=lambda fault, _rev, payload, _result: (
                self._unavailable(ask, fault) if fault is not None else self._json(ask, 200, payload or {"zones": []})
            ),
        )


def _split_target(target: bytes) -> tuple:
    path, _mark, query = target.partition(b"?")
    return path.decode("latin-1"), query
