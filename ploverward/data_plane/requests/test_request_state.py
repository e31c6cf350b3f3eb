"""The states of a request, without a socket."""

import pytest

from ploverward.data_plane.requests.request_state import TRANSITIONS
from ploverward.data_plane.requests.request_state import IllegalTransitionError
from ploverward.data_plane.requests.request_state import RequestEvent as Event
from ploverward.data_plane.requests.request_state import RequestState as State
from ploverward.data_plane.requests.request_state import next_state


def after(*events):
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
def test_events_lead_from_state_to_state(events, state):
    assert after(*events) is state


def test_a_stream_that_continues_at_another_replica_keeps_its_head():
    began = (Event.ADMITTED, Event.ATTEMPT_STARTED, Event.HEAD_WRITTEN, Event.ATTEMPT_ENDED, Event.ATTEMPT_STARTED)
    assert after(*began) is State.RESPONDING
    with pytest.raises(IllegalTransitionError):
        after(*began, Event.HEAD_WRITTEN)


def test_a_request_may_end_in_every_state_but_only_once():
    assert all((state in TRANSITIONS[Event.FINISHED]) is (state is not State.OVER) for state in State)


@pytest.mark.parametrize("event", list(Event))
def test_nothing_follows_the_end(event):
    with pytest.raises(IllegalTransitionError) as raised:
        next_state(State.OVER, event)
    assert (raised.value.state, raised.value.event) == (State.OVER, event)


@pytest.mark.parametrize("state", [State.ADMITTING, State.ATTEMPTING, State.RESPONDING, State.OVER])
def test_an_attempt_starts_only_where_none_is_under_way(state):
    with pytest.raises(IllegalTransitionError):
        next_state(state, Event.ATTEMPT_STARTED)
