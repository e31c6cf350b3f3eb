"""The HTTP API by which clients submit, read and end batch jobs (docs/batch.md 5).

`BatchApi` handles a request if its route is a batch route, or if its path names a job or an item; all other requests
are left to the request handlers. A call that names a job needs no route: a job stays readable, and can be ended, after
the configuration has withdrawn the route on which it was submitted. If the store cannot be reached, or cannot answer
for the tenant's jobs yet, the response is 503, which guarantees that nothing was done. If it is unknown whether a
change took effect, the response is 504, also if a store rejected the last attempt but an earlier attempt may have taken
effect.
"""

from __future__ import annotations

import binascii
import functools
import http
import json
import typing
import urllib.parse
from collections.abc import Callable

from ploverward.common import job_origin
from ploverward.data_plane.batch import job_request
from ploverward.data_plane.batch import store_client
from ploverward.data_plane.quotas import tenant_directory
from ploverward.data_plane.requests import admission_filters
from ploverward.data_plane.requests import handler_context
from ploverward.data_plane.requests import route_table
from ploverward.transport import batch_messages
from ploverward.transport import http_request
from ploverward.transport.batch_messages import Outcome

JOBS_PATH = "/ploverward/lots/"  # a batch job is called a "lot" in paths
ITEMS_PATH = "/ploverward/items/"
CHANGE_TIMEOUT_S = 2.0  # for submitting or ending a job, retries included
READ_TIMEOUT_S = 1.2
MAX_WAIT_S = 5.0  # longest wait of a read for the first new result (long polling)
POLL_INTERVAL_S = 0.2  # between two requests to the store while a read waits
RETRY_AFTER_S = 0.2
MAX_NUMBER_DIGITS = 9
CONDITIONS = {
    batch_messages.Condition.DELIVERED: "delivered",
    batch_messages.Condition.DEAD_LETTER: "dead_letter",
}
STATUS_BY_OUTCOME = {
    Outcome.OVER_QUOTA: http.HTTPStatus.TOO_MANY_REQUESTS,
    Outcome.NOT_FOUND: http.HTTPStatus.NOT_FOUND,
    Outcome.NOT_OWNER: http.HTTPStatus.SERVICE_UNAVAILABLE,
}

Reply = typing.Any  # a reply message from a store; None if no reply arrived


class JobCall(typing.NamedTuple):
    """An admitted API call.

    Attributes:
        request: The client's request.
        tenant: Name of the tenant; empty if no tenants are configured.
    """

    request: http_request.Request
    tenant: str


class BatchApi:
    """Handles the API calls for batch jobs.

    Args:
        node: The proxy.
        stores: The client for the stores.
    """

    def __init__(self, *, node: handler_context.HandlerContext, stores: store_client.StoreClient) -> None:
        self._node = node
        self._stores = stores

    def handle(self, request: http_request.Request) -> bool:
        """Handles the request if it is an API call for batch jobs; returns whether it is."""
        url = urllib.parse.urlsplit(request.target.decode("latin-1"))
        if url.path.startswith((JOBS_PATH, ITEMS_PATH)):
            self._handle_resource(request, url)
            return True
        route = self._node.routes.find(host=request.text(b"host"), target=request.target)
        if route is None or route.batch is None:
            return False
        if request.method != b"POST":
            _reply_error(request, http.HTTPStatus.METHOD_NOT_ALLOWED, "a job is handed in with POST")
        else:
            self._submit(request, route)
        return True

    # Admission.
    def _admit(self, request: http_request.Request, *, is_keyless: bool) -> JobCall | None:
        """Returns the admitted call; None if the request was rejected and answered."""
        if not self._node.is_serving:
            _reply_error(request, http.HTTPStatus.SERVICE_UNAVAILABLE, "not ready")
            return None
        tenant = admission_filters.authenticate_tenant(request=request, is_keyless=is_keyless, context=self._node)
        if isinstance(tenant, admission_filters.Rejection):
            _reply_error(request, http.HTTPStatus(tenant.status), "no key of a tenant")
            return None
        return JobCall(request, tenant.name if isinstance(tenant, tenant_directory.Tenant) else "")

    def _send_change(
        self, call: JobCall, make_message: store_client.MakeMessage, *, done_status: http.HTTPStatus
    ) -> None:
        self._stores.call_owner(
            tenant=call.tenant,
            make_message=make_message,
            timeout_s=CHANGE_TIMEOUT_S,
            done=functools.partial(self._answer_outcome, call, done_status),
        )

    def _send_read(
        self, call: JobCall, make_message: store_client.MakeMessage, done: Callable[[Reply], object]
    ) -> None:
        self._stores.call_owner(
            tenant=call.tenant,
            make_message=make_message,
            timeout_s=READ_TIMEOUT_S,
            done=lambda reply, _is_uncertain: done(reply),
        )

    # Submission.
    def _submit(self, request: http_request.Request, route: route_table.Route) -> None:
        host, prefix = self._node.routes.host_and_prefix_of(route.name)
        job_id = request.text(b"x-attempt-id")
        if not job_id:
            _reply_error(request, http.HTTPStatus.BAD_REQUEST, "X-Attempt-Id gives the job's id")
            return
        call = self._admit(request, is_keyless=route.is_keyless)
        limits = route.batch
        if call is None or limits is None:
            return
        try:
            job_request.validate(body=request.body, path_prefix=prefix)
        except job_request.JobError as error:
            _reply_error(request, http.HTTPStatus.BAD_REQUEST, error.text)
            return
        due_ms = int(limits.deadline_s * 1000)
        body = job_origin.append_origin(
            request.body, job_origin.JobOrigin(host=host, prefix=prefix, edition=self._node.routes.edition)
        )
        self._send_change(
            call,
            lambda number: batch_messages.SubmitJob(
                number,
                call.tenant,
                job_id,
                route.name,
                due_ms,
                route.max_attempts,
                limits.max_queued_tokens,
                body,
            ),
            done_status=http.HTTPStatus.ACCEPTED,
        )

    @staticmethod
    def _answer_outcome(call: JobCall, done_status: http.HTTPStatus, reply: Reply, is_uncertain: bool) -> None:
        if reply is not None and reply.outcome == Outcome.DONE:
            call.request.reply(status=done_status)
        elif is_uncertain:
            _reply_error(call.request, http.HTTPStatus.GATEWAY_TIMEOUT, "not known what became of it")
        elif reply is None:
            _reply_error(call.request, http.HTTPStatus.SERVICE_UNAVAILABLE, "no store can answer for it")
        else:
            _reply_outcome_error(call.request, Outcome(reply.outcome))

    # Jobs and items.
    def _handle_resource(self, request: http_request.Request, url: urllib.parse.SplitResult) -> None:
        call = self._admit(request, is_keyless=self._is_keyless(request))
        if call is None:
            return
        query = {name: values[-1] for name, values in urllib.parse.parse_qs(url.query).items()}
        is_item = url.path.startswith(ITEMS_PATH)
        job_id = urllib.parse.unquote(url.path.removeprefix(ITEMS_PATH if is_item else JOBS_PATH))
        if is_item and request.method == b"GET":
            self._read_item(call, job_id, query.get("id", ""))
        elif not is_item and request.method == b"GET":
            wait_s = min(MAX_WAIT_S, _parse_number(request.text(b"x-wait-ms")) / 1000)
            until = self._node.loop.now() + wait_s
            self._read_job(call, job_id, after=_parse_number(query.get("afterRevision", "0")), until=until)
        elif not is_item and request.method == b"DELETE":
            self._send_change(
                call,
                lambda number: batch_messages.EndJob(number, call.tenant, job_id),
                done_status=http.HTTPStatus.OK,
            )
        else:
            _reply_error(request, http.HTTPStatus.METHOD_NOT_ALLOWED, "no such call")

    def _is_keyless(self, request: http_request.Request) -> bool:
        """Whether a call on a job needs no key: the job may have been submitted on a route without keys.

        If the host has no batch route any more, a call without a key can only concern the jobs of such a route.
        """
        route = self._node.routes.find_batch_route(host=request.text(b"host"))
        return route.is_keyless if route is not None else not request.text(b"authorization")

    def _read_job(self, call: JobCall, job_id: str, *, after: int, until: float) -> None:
        self._send_read(
            call,
            lambda number: batch_messages.ReadJob(number, call.tenant, job_id, after),
            lambda reply: self._answer_page(call, job_id, after, until, reply),
        )

    def _answer_page(self, call: JobCall, job_id: str, after: int, until: float, reply: Reply) -> None:
        if reply is None:
            _reply_error(call.request, http.HTTPStatus.SERVICE_UNAVAILABLE, "the store did not answer")
        elif reply.outcome != Outcome.DONE:
            _reply_outcome_error(call.request, Outcome(reply.outcome))
        elif not reply.results and after < reply.total and self._node.loop.now() + POLL_INTERVAL_S <= until:
            self._node.loop.after(
                delay=POLL_INTERVAL_S, callback=lambda: self._read_job(call, job_id, after=after, until=until)
            )
        else:
            results = [
                {"id": item_id, "condition": CONDITIONS[condition], "text": text.decode("utf-8", "replace")}
                for item_id, condition, text in reply.results
            ]
            body = {"total": reply.total, "nextPage": after + len(results), "results": results}
            _reply_json(call.request, http.HTTPStatus.OK, body)

    def _read_item(self, call: JobCall, job_id: str, item_id: str) -> None:
        self._send_read(
            call,
            lambda number: batch_messages.ReadItem(number, call.tenant, job_id, item_id),
            lambda reply: self._answer_item(call, reply),
        )

    @staticmethod
    def _answer_item(call: JobCall, reply: Reply) -> None:
        if reply is None:
            _reply_error(call.request, http.HTTPStatus.SERVICE_UNAVAILABLE, "the store did not answer")
        elif reply.outcome != Outcome.DONE:
            _reply_outcome_error(call.request, Outcome(reply.outcome))
        else:
            headers = [(b"Content-Type", b"application/octet-stream")]
            call.request.reply(status=http.HTTPStatus.OK, headers=headers, body=binascii.a2b_base64(reply.parcel))


def _parse_number(text: str) -> int:
    """Returns the number in a query parameter or header; 0 if it is missing or malformed."""
    return int(text) if text.isascii() and text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS else 0


def _reply_outcome_error(request: http_request.Request, outcome: Outcome) -> None:
    _reply_error(request, STATUS_BY_OUTCOME[outcome], outcome.name.lower().replace("_", " "))


def _reply_error(request: http_request.Request, status: http.HTTPStatus, text: str) -> None:
    _reply_json(request, status, {"error": text})


def _reply_json(request: http_request.Request, status: http.HTTPStatus, body: dict) -> None:
    headers = [(b"Content-Type", b"application/json")]
    if status in (http.HTTPStatus.SERVICE_UNAVAILABLE, http.HTTPStatus.TOO_MANY_REQUESTS):
        headers.append((b"Retry-After", b"%.1f" % RETRY_AFTER_S))
    request.reply(status=status, headers=headers, body=json.dumps(body, separators=(",", ":")).encode())
