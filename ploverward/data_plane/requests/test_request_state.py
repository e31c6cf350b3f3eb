"""Tests the state machine of a request, without sockets."""

import pytest

from ploverward.data_plane.requests.request_state import TRANSITIONS
from ploverward.data_plane.requests.request_state import IllegalTransitionError
from ploverward.data_plane.requests.request_state import RequestEvent as Event
from ploverward.data_plane.requests.request_state import RequestState as State
from ploverward.data_plane.requests.request_state import next_state


def state_after(*events):
    state = State.ADMITTING
    for event in events:
        state = next_state(state, event)
    return state


@pytest.mark.parametrize(
    "events, state",
    [
        ((), State.ADMITTING),
        ((Event.FINISHED,), State.OVER),
        ((Event.ADMITTED,), State.WAITING),
        ((Event.ADMITTED, Event.ATTEMPT_STARTED), State.ATTEMPTING),
        ((Event.ADMITTED, Event.ATTEMPT_STARTED, Event.ATTEMPT_ENDED), State.WAITING),
        ((Event.ADMITTED, Event.ATTEMPT_STARTED, Event.HEAD_WRITTEN), State.RESPONDING),
        ((Event.ADMITTED, Event.ATTEMPT_STARTED, Event.ATTEMPT_ENDED, Event.HEAD_WRITTEN), State.RESUMING),
        ((Event.ADMITTED, Event.ATTEMPT_STARTED, Event.HEAD_WRITTEN, Event.ATTEMPT_ENDED), State.RESUMING),
    ],
)
def test_event_sequence_leads_to_expected_state(events, state):
    assert state_after(*events) is state


def test_resumed_stream_cannot_write_a_second_head():
    resumed = (Event.ADMITTED, Event.ATTEMPT_STARTED, Event.HEAD_WRITTEN, Event.ATTEMPT_ENDED, Event.ATTEMPT_STARTED)
    assert state_after(*resumed) is State.RESPONDING
    with pytest.raises(IllegalTransitionError):
        state_after(*resumed, Event.HEAD_WRITTEN)


def test_request_can_finish_in_every_state_except_over():
    assert all((state in TRANSITIONS[Event.FINISHED]) is (state is not State.OVER) for state in State)


@pytest.mark.parametrize("event", list(Event))
def test_every_event_is_illegal_after_the_end(event):
    with pytest.raises(IllegalTransitionError) as raised:
        next_state(State.OVER, event)
    assert (raised.value.state, raised.value.event) == (State.OVER, event)


@pytest.mark.parametrize("state", [State.ADMITTING, State.ATTEMPTING, State.RESPONDING, State.OVER])
def test_attempt_can_start_only_while_waiting_or_resuming(state):
    with pytest.raises(IllegalTransitionError):
        next_state(state, Event.ATTEMPT_STARTED)
