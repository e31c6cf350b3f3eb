"""The common handling of calls that need the replicated registers (docs/orders.md 5).

A call is either redirected to another core node or started here, and is then answered in time. Invariant: a call that
this node has started is answered within `CALLER_TIMEOUT_S`, after which callers try another node. After a 503 the
outcome of the order is open: its round may continue, and the order is recognised if it is resent.
"""

import collections.abc
import http
import logging
import typing

from ploverward.common import errors
from ploverward.control_plane.configuration.register_payloads import Edit
from ploverward.control_plane.configuration.register_payloads import Payload
from ploverward.control_plane.operator_api.apply_barrier import ApplyBarrier
from ploverward.control_plane.operator_api.dependencies import Registers
from ploverward.control_plane.operator_api.pending_response import PendingResponse
from ploverward.control_plane.operator_api.redirector import Redirector
from ploverward.control_plane.operator_api.router import Call
from ploverward.control_plane.operator_api.router import ErrorBody
from ploverward.transport.interfaces import Loop
from ploverward.transport.interfaces import Outcome

_log = logging.getLogger(__name__)

CALLER_TIMEOUT_S = 1.0  # without a response for so long, a caller tries another node; set by the protocol
ROUND_TIMEOUT_SHARE = 0.8  # a call whose round has not ended after this share of CALLER_TIMEOUT_S gets 503
# After this share of CALLER_TIMEOUT_S an accepted order is acknowledged even if some proxies have not applied it.
APPLY_TIMEOUT_SHARE = 0.9
ROUND_RECEIPT_DIVISOR = 8  # a round lasts at most receiptMs / 8, also if that is below the limit by ROUND_TIMEOUT_SHARE


class FieldErrorBody(typing.TypedDict):
    """The body of a refusal that names the invalid field."""

    error: str
    place: str


class StaleVersionBody(typing.TypedDict):
    """The body of a refusal of an order that builds on another edition; it names the edition in force."""

    error: str
    edition: int


class RolloutInProgressBody(typing.TypedDict):
    """The body of a refusal of a second roll-out; it names the target of the one in progress."""

    error: str
    targetEdition: str


def answer_field_error(call: Call, error: errors.InvalidConfigurationError) -> None:
    """Answers 400 to a call whose content is invalid."""
    body = FieldErrorBody(error=error.text, place=error.field_path)
    call.answer(status=http.HTTPStatus.BAD_REQUEST, body=body)


def _answer_error(call: Call, error: BaseException) -> None:
    """Answers a failed call. An error that is not a `PloverwardError` is a defect, and the only kind that is logged."""
    match error:
        case errors.StaleVersionError():
            stale_body = StaleVersionBody(error=str(error), edition=error.current)
            call.answer(status=http.HTTPStatus.PRECONDITION_FAILED, body=stale_body)
        case errors.RolloutInProgressError():
            rollout_body = RolloutInProgressBody(error=str(error), targetEdition=error.target)
            call.answer(status=http.HTTPStatus.CONFLICT, body=rollout_body)
        case errors.InvalidConfigurationError():
            answer_field_error(call, error)
        case errors.TooFewStoresError():
            call.answer(status=http.HTTPStatus.CONFLICT, body=ErrorBody(error=error.text))
        case errors.PloverwardError():
            call.answer_unavailable(reason=str(error))
        case _:
            _log.error("order_failed", exc_info=error)
            call.answer_unavailable(reason=str(error))


class CallLifecycle:
    """Starts, redirects, times and answers the calls on all registers.

    Args:
        loop: the event loop.
        registers: the replicated registers.
        apply_barrier: sends the acknowledgements.
        redirector: chooses the node to which a call is redirected.
        receipt_s: `receiptMs` of the settings, in seconds.
        is_voting: returns whether this node has the registers' values and votes.
        has_majority_contact: returns whether this node is in contact with a majority of the voting nodes.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        registers: Registers,
        apply_barrier: ApplyBarrier,
        redirector: Redirector,
        receipt_s: float,
        is_voting: collections.abc.Callable[[], bool],
        has_majority_contact: collections.abc.Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._registers = registers
        self._apply_barrier = apply_barrier
        self._redirector = redirector
        self._is_voting = is_voting
        self._has_majority_contact = has_majority_contact
        self._round_limit_s = min(receipt_s / ROUND_RECEIPT_DIVISOR, CALLER_TIMEOUT_S * ROUND_TIMEOUT_SHARE)
        self._is_shutting_down = False

    def shut_down(self) -> None:
        """Redirects all further calls. Calls in progress are still answered, unless the process ends first."""
        self._is_shutting_down = True

    def begin(self, call: Call) -> PendingResponse | None:
        """Starts a call, or redirects it if this node can't answer it.

        Returns:
            The pending response, or None if the call was redirected.
        """
        has_contact = self._has_majority_contact()
        if not has_contact or not self._is_voting() or self._is_shutting_down:
            self._forward(call, is_isolated=not has_contact)
            return None
        return PendingResponse(loop=self._loop, call=call, limit_s=self._round_limit_s, on_timeout=self._time_out)

    def fail(self, response: PendingResponse, error: BaseException) -> None:
        """Answers with the status of an error, unless the call was answered before."""
        call = response.claim()
        if call is not None:
            _answer_error(call, error)

    def acknowledge(self, response: PendingResponse, *, register: str, number: int) -> None:
        """Acknowledges a change once the proxies have applied it.

        It is acknowledged at the latest after `APPLY_TIMEOUT_SHARE` of the caller's timeout.

        Args:
            response: the pending response.
            register: the register that was changed.
            number: the version that contains the change.
        """
        until = response.started_at + CALLER_TIMEOUT_S * APPLY_TIMEOUT_SHARE
        self._apply_barrier.wait(response=response, topic=register, number=number, until=until)

    def change(self, response: PendingResponse, *, register: str, edit: Edit) -> None:
        """Changes a register and acknowledges the change.

        Once the call was answered, for example by its timeout, the round makes no further attempt.
        """

        def done(error: Exception | None, number: int, _payload: Payload, _result: object) -> None:
            if error is not None:
                self.fail(response, error)
            else:
                self.acknowledge(response, register=register, number=number)

        self._registers.change(name=register, edit=edit, done=done, is_wanted=lambda: not response.is_claimed)

    def read(
        self, response: PendingResponse, *, register: str, then: collections.abc.Callable[[Payload], None]
    ) -> None:
        """Reads a register from a majority of the voting nodes.

        Args:
            response: the pending response; if the read fails, it is answered here with the error.
            register: the register.
            then: called with the payload.
        """

        def done(error: Exception | None, _number: int, payload: Payload, _result: object) -> None:
            if error is not None:
                self.fail(response, error)
            else:
                then(payload)

        self._registers.read(name=register, done=done)

    def answer_with_register(
        self, call: Call, *, register: str, answer: collections.abc.Callable[[Call, Payload], None]
    ) -> None:
        """Answers a call that reads a register.

        Args:
            call: the call.
            register: the register.
            answer: called with the call and the payload; it answers the call.
        """
        response = self.begin(call)
        if response is None:
            return

        def respond(payload: Payload) -> None:
            claimed = response.claim()
            if claimed is not None:
                answer(claimed, payload)

        self.read(response, register=register, then=respond)

    def offload(
        self,
        response: PendingResponse,
        *,
        work: collections.abc.Callable[[], typing.Any],
        then: collections.abc.Callable[[typing.Any], None],
    ) -> None:
        """Runs a slow function on another thread.

        Args:
            response: the pending response; if the function fails, it is answered here with the error.
            work: the function.
            then: called on the event loop with the function's result.
        """

        def done(future: Outcome) -> None:
            error = future.exception()
            if error is not None:
                self.fail(response, error)
            else:
                then(future.result())

        self._loop.offload(work=work, done=done)

    def _forward(self, call: Call, *, is_isolated: bool) -> None:
        address = self._redirector.choose_address(is_isolated=is_isolated)
        if address is not None:
            call.redirect(address=address)
        else:
            call.answer_unavailable(reason="no other core node is known")

    def _time_out(self, response: PendingResponse) -> None:
        call = response.claim()
        if call is None:
            return
        if self._has_majority_contact():
            call.answer_unavailable(reason="no majority answered in time")
        else:
            self._forward(call, is_isolated=True)
