r"""The states of a request, a state machine without I/O. `request_handler.RequestHandler` owns the state.

    ADMITTING --ADMITTED--> WAITING --ATTEMPT_STARTED--> ATTEMPTING
                               |   <--ATTEMPT_ENDED-----     |
                          HEAD_WRITTEN                  HEAD_WRITTEN
                               |                             |
                               v                             v
                            RESUMING --ATTEMPT_STARTED--> RESPONDING
                                    <--ATTEMPT_ENDED-----

    and from each of them --FINISHED--> OVER

* ADMITTING: the filters run. A refusal is the final answer.
* WAITING: no attempt is in progress. A replica is being chosen; if none is available, a timer chooses again for a
  short time, then the request is rejected.
* ATTEMPTING: one attempt is in progress and the client has nothing of an answer: any status can still be sent.
* RESPONDING: one attempt is in progress and the client has the head. From here on the answer is completed or the
  client's connection is closed; another replica can only continue the stream.
* RESUMING: the client has the head, and no attempt is in progress: the stream waits for another replica, or its end is
  being written.
* OVER: the final answer was given, the connection was closed, or the client left. Nothing reaches the request any more.

Invariants:

* At most one attempt is in progress, and the connection of one that is given up is closed in the same step: nothing
  of it can arrive later.
* The client gets exactly one final answer. A status that promises that the request has not run (503, 429) is given only
  while `RetryPolicy.unresolved_attempts` is 0; else it is 502, or 504 at the deadline.
* If a step raises, the request ends at its deadline. What was known of its attempts until then is kept, so it ends
  without a promise (`test_internal_error_after_send_is_not_answered_as_not_run`).
"""

import enum


class RequestState(enum.Enum):
    """The states of a request."""

    ADMITTING = "admitting"
    WAITING = "waiting"
    ATTEMPTING = "attempting"
    RESPONDING = "responding"
    RESUMING = "resuming"
    OVER = "over"

    __hash__ = object.__hash__  # by identity, as they compare: `next_state` is called several times for each request


class RequestEvent(enum.Enum):
    """The events that cause transitions."""

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
        RequestState.WAITING: RequestState.RESUMING,  # a stream without an event: its head is written with its end
    },
    RequestEvent.FINISHED: {state: RequestState.OVER for state in RequestState if state is not RequestState.OVER},
}


class IllegalTransitionError(RuntimeError):
    """A bug of this program: an event occurred in a state in which it cannot.

    Attributes:
        state: The state that the request stays in.
        event: The event.
    """

    def __init__(self, *, state: RequestState, event: RequestEvent) -> None:
        super().__init__(f"{event.value} while {state.value}")
        self.state = state
        self.event = event


def next_state(state: RequestState, event: RequestEvent) -> RequestState:
    """Returns the state that follows.

    Raises:
        IllegalTransitionError: The event cannot occur in this state.
    """
    following = TRANSITIONS[event].get(state)
    if following is None:
        raise IllegalTransitionError(state=state, event=event)
    return following
