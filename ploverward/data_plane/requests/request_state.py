r"""The life of a request, as a state machine without I/O. `request_handler.RequestHandler` owns the state.

    ADMITTING --ADMITTED--> WAITING --ATTEMPT_STARTED--> ATTEMPTING
                               |   <--ATTEMPT_ENDED-----     |
                          HEAD_WRITTEN                  HEAD_WRITTEN
                               |                             |
                               v                             v
                            RESUMING --ATTEMPT_STARTED--> RESPONDING
                                    <--ATTEMPT_ENDED-----

    and from each of them --FINISHED--> OVER

* ADMITTING: the filters run. A refusal is the final answer.
* WAITING: no attempt is under way. A replica is being chosen; where none can be named, a timer chooses again for a
  short time, then the request is rejected.
* ATTEMPTING: one attempt is under way and the client has nothing of an answer: a failure can still become any status.
* RESPONDING: one attempt is under way and the client has the head. From here on the answer ends in order or the
  client's connection is closed; another replica can only continue the stream.
* RESUMING: the client has the head, and no attempt is under way: the stream looks for another replica, or its end is
  being written.
* OVER: the final answer was given, the connection was closed, or the client left. Nothing reaches the request any more.

What holds:

* At most one attempt is under way, and one that is given up loses its connection in the same step: nothing of it can
  come later.
* The client gets exactly one final answer. A status that promises that the request has not run (503, 429) is given only
  while `RetryPolicy.unresolved_attempts` is 0; else it is 502, or 504 at the deadline.
* A step that raises leaves the request to its deadline. What was known of its attempts until then still holds, so it
  ends without a promise (`test_a_fault_of_our_own_after_a_send_is_no_promise`).
"""

import enum


class RequestState(enum.Enum):
    """Where a request stands."""

    ADMITTING = "admitting"
    WAITING = "waiting"
    ATTEMPTING = "attempting"
    RESPONDING = "responding"
    RESUMING = "resuming"
    OVER = "over"

    __hash__ = object.__hash__  # by identity, as they compare: `next_state` is called several times for each request


class RequestEvent(enum.Enum):
    """What moves a request from one state to the next."""

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
        RequestState.WAITING: RequestState.RESUMING,  # a stream without an event: its head comes with its end
    },
    RequestEvent.FINISHED: {state: RequestState.OVER for state in RequestState if state is not RequestState.OVER},
}


class IllegalTransitionError(RuntimeError):
    """A fault of our own: an event came in a state in which it can't.

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
        IllegalTransitionError: The event can't come in this state.
    """
    following = TRANSITIONS[event].get(state)
    if following is None:
        raise IllegalTransitionError(state=state, event=event)
    return following
