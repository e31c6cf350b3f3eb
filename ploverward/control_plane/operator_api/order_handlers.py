"""The operator's calls: configurations and evacuations (design 5, 9; docs/orders.md)."""

import logging
import re

from ploverward.common import errors
from ploverward.control_plane.configuration import evacuations
from ploverward.control_plane.configuration import order_archive
from ploverward.control_plane.configuration import orders as configuration_orders
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.operator_api import router
from ploverward.control_plane.rollouts import orders as rollout_orders
from ploverward.control_plane.rollouts import state

_log = logging.getLogger(__name__)

CALLER_TIMEOUT_S = 1.0  # after so long a silence a caller goes to another node (the protocol's figure)
ROUND_PART = 0.8  # of that silence: a round that has not ended by then is answered with 503
APPLIED_PART = 0.9  # of that silence: an order that is taken is acknowledged by then, whoever has not applied it
_VERSION = re.compile(r"[0-9]{1,19}")


class Reply:
    """The answer that a caller waits for: given once, at the latest when `limit_s` is over."""

    def __init__(self, *, loop, call, limit_s: float, at_limit):
        self._loop = loop
        self.call = call
        self.begun_at = loop.now()
        self.is_over = False
        self._timer = loop.after(delay=limit_s, callback=lambda: at_limit(self))

    def extend(self, *, until: float, at_limit) -> None:
        """Another limit in place of the one before."""
        self._loop.cancel(timer=self._timer)
        delay = max(0.0, until - self._loop.now())
        self._timer = self._loop.after(delay=delay, callback=lambda: at_limit(self))

    def claim(self):
        """The call, to be answered now, or None where it has its answer."""
        if self.is_over:
            return None
        self.is_over = True
        self._loop.cancel(timer=self._timer)
        return self.call


class Applying:
    """Holds acknowledgements until the proxies in touch have applied what is acknowledged."""

    def __init__(self, *, publisher, proxies):
        self._publisher = publisher
        self._proxies = proxies
        self._waiting = []  # (topic, version, reply)

    def wait(self, *, reply, topic: str, version: int, until: float) -> None:
        if reply.is_over:
            return
        row = (topic, version, reply)
        reply.extend(until=until, at_limit=lambda _reply: self._end(row))
        self._waiting.append(row)
        self.check()

    def check(self) -> None:
        """To be called when a proxy has applied something or is gone."""
        for row in list(self._waiting):
            topic, version, _reply = row
            links = [peer.link for peer in self._proxies(is_listed=False)]
            if not self._publisher.lagging(topic=topic, version=(0, version), links=links):
                self._end(row)

    def _end(self, row) -> None:
        if row in self._waiting:
            self._waiting.remove(row)
        _topic, version, reply = row
        call = reply.claim()
        if call is not None:
            call.answer(status=200, body={"serial": version})


class Redirect:
    """Names another core node to callers of a node that can't answer."""

    def __init__(self, *, own: str, port: int, members, is_live):
        self._own = own
        self._port = port
        self._members = members
        self._is_live = is_live
        self._rotation = 0

    def pick(self, *, is_isolated: bool) -> str:
        """An address, or "". A node that is cut off from the most names first one that it has no link to."""
        others = [host for host in self._members() if host != self._own]
        preferred = [host for host in others if self._is_live(host) != is_isolated]
        chosen = preferred or others
        if not chosen:
            return ""
        self._rotation += 1
        return f"{chosen[self._rotation % len(chosen)]}:{self._port}"


class Dispatch:
    """Takes configurations and evacuations, and reads them back.

    `registers`: change and read of the replicated registers. `applied()`: the body of the configuration that this node
    knows to be chosen, or None. `is_learned()`: whether this node holds its state and votes.
    """

    def __init__(
        self,
        *,
        loop,
        registers,
        applying,
        redirect,
        applied,
        zones,
        receipt_s: float,
        is_learned,
        has_majority_contact,
    ):
        self._loop = loop
        self._registers = registers
        self._applying = applying
        self._redirect = redirect
        self._applied = applied
        self._zones = zones
        self._is_learned = is_learned
        self._has_majority_contact = has_majority_contact
        self._round_s = min(receipt_s / 8, CALLER_TIMEOUT_S * ROUND_PART)
        self._is_leaving = False
        self._waiting_replies = {}  # mark: replies that wait for the order's round
        self._archived = 0
        self._is_archiving = False

    def rules(self) -> list:
        return [
            router.Rule("GET", "/ploverward/configuration", self._get_configuration),
            router.Rule("PUT", "/ploverward/configuration", self._change_configuration),
            router.Rule("PATCH", "/ploverward/configuration", self._change_configuration),
            router.Rule("GET", "/ploverward/evacuation", self._get_evacuations),
            router.Rule("POST", "/ploverward/evacuation/<zone>", self._post_evacuation),
            router.Rule("DELETE", "/ploverward/evacuation/<zone>", self._delete_evacuation),
            router.Rule("POST", "/ploverward/rollouts", self._post_rollout),
            router.Rule("GET", "/ploverward/rollouts", self._get_rollouts),
            router.Rule("GET", "/ploverward/rollouts/<path:service>", self._get_rollout),
        ]

    def leave(self) -> None:
        """This node ends: new calls are sent on, those under way come to their answer or are left."""
        self._is_leaving = True

    def learn_archive(self, payload) -> None:
        """The archive as it was chosen; called for each version that this node gets to know."""
        self._archived = max(self._archived, order_archive.archived_through(payload))

    # Calls that this node can't answer.

    def _is_sent_on(self, call) -> bool:
        has_contact = self._has_majority_contact()
        if has_contact and self._is_learned() and not self._is_leaving:
            return False
        self._send_on(call, is_isolated=not has_contact)
        return True

    def _send_on(self, call, *, is_isolated: bool) -> None:
        address = self._redirect.pick(is_isolated=is_isolated)
        if address:
            call.see_other_node(address=address)
        else:
            call.unavailable(why="no other core node is known")

    def _reply_to(self, call) -> Reply:
        return Reply(loop=self._loop, call=call, limit_s=self._round_s, at_limit=self._give_up)

    def _give_up(self, reply) -> None:
        """The round has not ended in time; it may go on, and the call sent again is known."""
        call = reply.claim()
        if call is None:
            return
        if self._has_majority_contact():
            call.unavailable(why="no majority answered in time")
        else:
            self._send_on(call, is_isolated=True)

    def _refuse(self, reply, error) -> None:
        call = reply.claim()
        if call is None:
            return
        if isinstance(error, errors.StaleVersionError):
            call.answer(status=412, body={"error": str(error), "edition": error.current})
        elif isinstance(error, errors.RolloutInProgressError):
            call.answer(status=409, body={"error": str(error), "targetEdition": error.target})
        elif isinstance(error, errors.InvalidConfigurationError):
            call.answer(status=400, body={"error": error.text, "place": error.field_path})
        else:
            if not isinstance(error, errors.PloverwardError):
                _log.error("order_failed", exc_info=error)
            call.unavailable(why=str(error))

    # Reading back.

    def _get_configuration(self, call) -> None:
        self._read_back(call, name=register_names.CONFIGURATION, answer=_answer_configuration)

    def _get_evacuations(self, call) -> None:
        self._read_back(call, name=register_names.EVACUATIONS, answer=_answer_evacuations)

    def _read_back(self, call, *, name: str, answer) -> None:
        """Reads a register at a majority; `answer` (call, payload) tells it to the caller."""
        if self._is_sent_on(call):
            return
        reply = self._reply_to(call)

        def done(error, _version, payload, _result):
            if error is not None:
                self._refuse(reply, error)
                return
            waiting = reply.claim()
            if waiting is not None:
                answer(waiting, payload)

        self._registers.read(name=name, done=done)

    # Configurations.

    def _change_configuration(self, call) -> None:
        base = _version_of(call.headers.get("If-Match"))
        if base is None:
            call.answer(status=400, body={"error": "If-Match is missing or not a version", "place": "If-Match"})
            return
        if self._is_sent_on(call):
            return
        reply = self._reply_to(call)
        method, data = call.method, call.body
        self._offload(
            work=lambda: configuration_orders.read(method=method, base=base, data=data),
            reply=reply,
            then=lambda order: self._take_order(order, reply),
        )

    def _offload(self, *, work, reply, then) -> None:
        def done(future):
            error = future.exception()
            if error is not None:
                self._refuse(reply, error)
            else:
                then(future.result())

        self._loop.offload(work=work, done=done)

    def _take_order(self, order, reply) -> None:
        """One round an order: the same call that comes again meanwhile waits for the round under way."""
        waiting = self._waiting_replies.get(order.order_id)
        if waiting is not None:
            waiting.append(reply)
            return
        self._waiting_replies[order.order_id] = [reply]
        if order.candidate is not None:
            self._start_round(order)
        else:
            self._build(order)

    def _build(self, order) -> None:
        """A PATCH is merged and checked off the loop, against the version it builds on."""
        base_body = self._applied()
        current = base_body["edition"] if base_body else 0
        if current == order.base:
            self._build_on(order, base_body or {})
        elif current > order.base:
            self._start_round(order)
        else:
            self._registers.read(
                name=register_names.CONFIGURATION,
                done=lambda error, _version, payload, _result: self._build_on_read(order, error, payload),
            )

    def _build_on_read(self, order, error, payload) -> None:
        if error is not None:
            self._end_order(order, error, 0)
        elif configuration_orders.edition_of(payload) == order.base:
            self._build_on(order, payload["body"] if payload else {})
        else:
            self._start_round(order)

    def _build_on(self, order, base_body: dict) -> None:
        def done(future):
            error = future.exception()
            if error is not None:
                self._end_order(order, error, 0)
            else:
                self._start_round(future.result())

        self._loop.offload(work=lambda: configuration_orders.build(order=order, base_body=base_body), done=done)

    def _start_round(self, order) -> None:
        self._registers.change(
            name=register_names.CONFIGURATION,
            edit=configuration_orders.edit_for(order=order, archived=self._archived),
            done=lambda error, version, payload, _result: self._round_ended(order, error, version, payload),
            is_wanted=lambda: any(not reply.is_over for reply in self._waiting_replies.get(order.order_id, ())),
        )

    def _round_ended(self, order, error, version: int, payload) -> None:
        if isinstance(error, errors.StaleVersionError) and order.base < error.current:
            self._look_up(order, error)
            return
        self._end_order(order, error, version)
        if error is None:
            self._reconcile_archive(payload)

    def _look_up(self, order, stale) -> None:
        """Whether an order on an older version was taken so long ago that only the archive knows."""

        def done(error, _version, payload, _result):
            if error is not None:
                self._end_order(order, error, 0)
            elif order_archive.has(payload=payload, order_id=order.order_id):
                self._end_order(order, None, 0)
            else:
                self._end_order(order, stale, 0)

        self._registers.read(name=register_names.ARCHIVE, done=done)

    def _end_order(self, order, error, version: int) -> None:
        first, *later = self._waiting_replies.pop(order.order_id)
        if error is None:
            for reply in (first, *later):
                self._acknowledge(reply, register_names.CONFIGURATION, version)
            return
        self._refuse(first, error)
        # Those that came later may ask about a later state than the one that refused.
        for reply in later:
            if not reply.is_over:
                self._take_order(order, reply)

    def _acknowledge(self, reply, topic: str, version: int) -> None:
        until = reply.begun_at + CALLER_TIMEOUT_S * APPLIED_PART
        self._applying.wait(reply=reply, topic=topic, version=version, until=until)

    def _reconcile_archive(self, payload) -> None:
        """Puts the marks of a chosen value into the archive once there are many that it lacks."""
        rows = [row for row in configuration_orders.recent_of(payload) if row[0] > self._archived]
        if self._is_archiving or len(rows) < configuration_orders.ARCHIVE_FROM:
            return
        self._is_archiving = True

        def done(error, _version, payload, _result):
            self._is_archiving = False
            if error is None:
                self.learn_archive(payload)

        self._registers.change(name=register_names.ARCHIVE, edit=order_archive.edit_for(rows=rows), done=done)

    # Evacuations.

    def _post_evacuation(self, call, zone: str) -> None:
        self._evacuate(call, zone, is_out=True)

    def _delete_evacuation(self, call, zone: str) -> None:
        self._evacuate(call, zone, is_out=False)

    def _evacuate(self, call, zone: str, *, is_out: bool) -> None:
        if zone not in self._zones():
            call.answer(status=404, body={"error": f"unknown zone '{zone}'", "place": "zone"})
            return
        if self._is_sent_on(call):
            return
        reply = self._reply_to(call)

        def done(error, version, _payload, _result):
            if error is not None:
                self._refuse(reply, error)
            else:
                self._acknowledge(reply, register_names.EVACUATIONS, version)

        edit = evacuations.edit_for(zone=zone, is_out=is_out, is_late=lambda: reply.is_over)
        self._registers.change(
            name=register_names.EVACUATIONS, edit=edit, done=done, is_wanted=lambda: not reply.is_over
        )

    # Roll-outs.

    def _get_rollouts(self, call) -> None:
        self._read_back(call, name=register_names.ROLLOUTS, answer=_answer_rollouts)

    def _get_rollout(self, call, service: str) -> None:
        def answer(waiting, payload):
            _answer_rollout(waiting, payload, service)

        self._read_back(call, name=register_names.ROLLOUTS, answer=answer)

    def _post_rollout(self, call) -> None:
        try:
            order = rollout_orders.read(data=call.body)
        except errors.InvalidConfigurationError as error:
            call.answer(status=400, body={"error": error.text, "place": error.field_path})
            return
        if self._is_sent_on(call):
            return
        reply = self._reply_to(call)
        if _has_service(self._applied(), order.service):
            self._begin_rollout(order, reply)
            return

        def read(error, _version, payload, _result):
            if error is not None:
                self._refuse(reply, error)
            elif _has_service(payload["body"] if payload else None, order.service):
                self._begin_rollout(order, reply)
            else:
                text = f"unknown service '{order.service}'"
                self._refuse(reply, errors.InvalidConfigurationError(text, field_path="destination"))

        self._registers.read(name=register_names.CONFIGURATION, done=read)

    def _begin_rollout(self, order, reply) -> None:
        def done(error, version, _payload, _result):
            if error is not None:
                self._refuse(reply, error)
            else:
                self._acknowledge(reply, register_names.ROLLOUTS, version)

        edit = rollout_orders.edit_for(order=order, is_late=lambda: reply.is_over)
        self._registers.change(name=register_names.ROLLOUTS, edit=edit, done=done, is_wanted=lambda: not reply.is_over)


def _has_service(body, name: str) -> bool:
    """Whether a configuration names this service."""
    return any(row["name"] == name for row in (body or {}).get("destinations", ()))


def _rollout_view(rollout) -> dict:
    """The protocol's two fields, and what operators want to know besides."""
    return {
        "condition": rollout.condition,
        "targetEdition": rollout.target,
        "stage": str(rollout.stage),
        "overS": rollout.over_s,
        "admitted": list(rollout.admitted),
        "reason": rollout.reason,
        "ageS": round(rollout.age_s, 3),
        "number": rollout.number,
        "record": list(rollout.record),
    }


def _answer_rollout(call, payload, service: str) -> None:
    rollout = state.rollouts_of(payload).get(service)
    if rollout is None or not rollout.number:
        call.answer(status=404, body={"error": f"no roll-out of '{service}'"})
        return
    call.answer(status=200, body=_rollout_view(rollout))


def _answer_rollouts(call, payload) -> None:
    rollouts = state.rollouts_of(payload)
    call.answer(status=200, body={"rollouts": {name: _rollout_view(row) for name, row in sorted(rollouts.items())}})


def _answer_configuration(call, payload) -> None:
    if not payload:
        call.answer(status=404, body={"error": "no configuration yet"})
        return
    call.answer(status=200, body=payload["body"], headers=[(b"ETag", b'"%d"' % payload["edition"])])


def _answer_evacuations(call, payload) -> None:
    call.answer(status=200, body={"zones": sorted(evacuations.zones_of(payload))})


def _version_of(text) -> int | None:
    """The version that If-Match names, with or without quotes."""
    text = (text or "").strip()
    if len(text) >= 2 and text[0] == text[-1] == '"':
        text = text[1:-1]
    return int(text) if _VERSION.fullmatch(text) else None
