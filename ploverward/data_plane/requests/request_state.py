r"""State machine of a request, without I/O. `request_handler.RequestHandler` owns the state.

    ADMITTING --ADMITTED--> WAITING --ATTEMPT_STARTED--> ATTEMPTING
                               |   <--ATTEMPT_ENDED-----     |
                          HEAD_WRITTEN                  HEAD_WRITTEN
                               |                             |
                               v                             v
                            RESUMING --ATTEMPT_STARTED--> RESPONDING
                                    <--ATTEMPT_ENDED-----

    and from each of them --FINISHED--> OVER

* ADMITTING: the admission filters run. A refusal is the final response.
* WAITING: no attempt is in progress. A replica is being chosen; if none is available, the choice is repeated on a timer
  for a short time, then the request is rejected.
* ATTEMPTING: one attempt is in progress and the client has received nothing, so any status can still be sent.
* RESPONDING: one attempt is in progress and the client has the head. From here on either the response is completed or
  the client's connection is closed; another replica can only continue the stream.
* RESUMING: the client has the head and no attempt is in progress: the stream waits for another replica, or its end is
  being written.
* OVER: the final response was written, the connection was closed, or the client disconnected. No further event reaches
  the request.

Invariants:

* At most one attempt is in progress. The connection of an abandoned attempt is closed in the same step, so that none of
  its data can arrive later.
* The client gets exactly one final response. A status that guarantees that the request has not run (503, 429) is sent
  only while `RetryPolicy.unresolved_attempts` is 0; otherwise the status is 502, or 504 at the deadline.
* If a step raises, the request ends at its deadline. The counts of its attempts are kept, so that it does not end with
  such a status (`test_internal_error_after_send_is_not_answered_as_not_run`).
"""

import enum


class RequestState(enum.Enum):
    """State of a request."""

    ADMITTING = "admitting"
    WAITING = "waiting"
    ATTEMPTING = "attempting"
    RESPONDING = "responding"
    RESUMING = "resuming"
    OVER = "over"

    __hash__ = object.__hash__  # by identity, like their equality: `next_state` runs several times per request


class RequestEvent(enum.Enum):
    """Event that causes a transition."""

    ADMITTED = "admitted"
    ATTEMPT_STARTED = "attempt started"
    ATTEMPT_ENDED = "attempt ended"
    HEAD_WRITTEN = "head written"
    FINISHED = "finished"

    __hash__ = object.__hash__


TRANSITIONS: dict[RequestEvent, dict[RequestState, RequestState]] = {
    RequestEvent.ADMITTED: {RequestState.ADMITTING: RequestState.WAITING},
    RequestEvent.ATTEMPT_STARTED: {
        RequestState.WAITING: RequestState.ATTEMPTING,
        RequestState.RESUMING: RequestState.RESPONDING,
    },
    RequestEvent.ATTEMPT_ENDED: {
        RequestState.ATTEMPTING: RequestState.WAITING,
        RequestState.RESPONDING: RequestState.RESUMING,
    },
    RequestEvent.HEAD_WRITTEN: {
        RequestState.ATTEMPTING: RequestState.RESPONDING,
        RequestState.WAITING: RequestState.RESUMING,  # a stream without events: its head is written at its end
    },
    RequestEvent.FINISHED: {state: RequestState.OVER for state in RequestState if state is not RequestState.OVER},
}


class IllegalTransitionError(RuntimeError):
    """Internal error: an event occurred in a state that does not allow it.

    Attributes:
        state: The state of the request, which does not change.
        event: The event that was not allowed.
    """

    def __init__(self, *, state: RequestState, event: RequestEvent) -> None:
        super().__init__(f"request event {event.value!r} is not allowed in state {state.value!r}")
        self.state = state
        self.event = event


def next_state(state: RequestState, event: RequestEvent) -> RequestState:
    """Returns the state after an event.

    Raises:
        IllegalTransitionError: The event is not allowed in this state.
    """
    new_state = TRANSITIONS[event].get(state)
    if new_state is None:
        raise IllegalTransitionError(state=state, event=event)
    return new_state
