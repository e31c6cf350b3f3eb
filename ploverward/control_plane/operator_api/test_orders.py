"""Orders in seeded histories of several core nodes and operators.

The histories contain lost answers, restarts, wiped disks, network cuts and moves of the core set. The properties that
must hold are checked by ploverward/simulation/order_history.py and described in docs/orders.md. All histories run in
simulated time.
"""

import pytest

from ploverward.control_plane.configuration import evacuations
from ploverward.control_plane.configuration import order_archive
from ploverward.control_plane.configuration import orders
from ploverward.control_plane.configuration import schema
from ploverward.control_plane.consensus import proposer
from ploverward.simulation import order_history
from ploverward.simulation import order_nodes
from ploverward.simulation import order_simulation


@pytest.mark.parametrize("seed", range(6))
def test_concurrent_orders_stay_consistent_through_faults(seed):
    simulation = order_simulation.run_simulation(seed=seed, operators=3, count=60)
    assert simulation.violations() == []
    assert len(simulation.chosen) > 40
    again = [order for order in simulation.sent if order.is_again]
    assert len(again) > 40 and all(order.status == 200 for order in again if order.begun >= 400.0)
    assert simulation.read[-1].edition == max(simulation.chosen)


@pytest.mark.parametrize("seed", range(2))
def test_hundreds_of_orders_are_acknowledged_again_when_resent(seed):
    simulation = order_simulation.run_simulation(seed=seed, operators=2, count=220, again=0.1)
    assert simulation.violations() == []
    assert len(simulation.chosen) > 250
    assert all(order.status == 200 for order in simulation.sent if order.begun >= 400.0)
    payload = simulation.nodes["a"].configuration
    assert payload is not None


def test_unaccepted_order_returns_412_however_old_its_base_is():
    simulation = order_simulation.run_simulation(seed=1, operators=1, count=150, loss=0.0, fault_count=0, again=0.0)
    outcome = []
    for base in (0, sorted(simulation.chosen)[3], sorted(simulation.chosen)[-2]):
        data = order_simulation.encode(order_simulation.configuration(edition=base + 1, wait_ms=0.5))
        simulation.send(method="PUT", base=base, data=data, done=lambda order, _body: outcome.append(order.status))
    simulation.world.run(until=520.0)
    assert outcome == [412, 412, 412]
    assert simulation.violations() == []


@pytest.mark.parametrize("seed", range(3))
def test_old_orders_are_recognised_after_a_core_set_move_and_a_wiped_disk(seed):
    simulation = order_simulation.OrderSimulation(seed=seed, names=("a", "b", "c", "d"))
    simulation.world.delay = (0.001, 0.01)
    operator = order_simulation.Operator(simulation=simulation, count=150, again=0.0)
    simulation.world.run(until=60.0)
    ends = []
    simulation.move_registers(by="a", to=("a", "b", "d"), done=ends.append)
    simulation.world.run(until=70.0)
    assert ends == [None]
    simulation.nodes["c"].stop(is_wiped=True)
    simulation.nodes["b"].stop(is_wiped=True)
    simulation.world.later(1.0, simulation.nodes["b"].start)
    simulation.world.run(until=90.0)
    assert simulation.nodes["b"].acceptor.votes
    for order, data in operator.ended:
        simulation.send(method=order.method, base=order.base, data=data, is_again=True)
    simulation.world.run(until=130.0)
    assert len(operator.ended) == 150
    assert simulation.violations() == []
    assert all(order.status == 200 for order in simulation.sent if order.is_again)


@pytest.mark.parametrize("seed", range(10))
def test_exactly_one_of_several_orders_on_one_base_is_accepted(seed):
    simulation = order_simulation.OrderSimulation(seed=seed)
    simulation.world.loss = 0.05
    for number in range(8):
        data = order_simulation.encode(order_simulation.configuration(edition=3, wait_ms=number + 1))
        simulation.send(method="PUT", base=0, data=data)
    simulation.world.run(until=60.0)
    assert simulation.violations() == []
    assert sorted(order.status for order in simulation.sent) == [200] + [412] * 7


def test_duplicate_orders_join_the_round_in_progress():
    simulation = order_simulation.OrderSimulation(seed=4, names=("a", "b", "c"))
    node = simulation.nodes["a"]
    changes = []
    change = node.proposer.change
    node.registers.change = lambda **arguments: (changes.append(arguments["name"]), change(**arguments))
    data = order_simulation.encode(order_simulation.configuration(edition=1))
    outcome = []
    for _copy in range(4):
        call = order_nodes.Call(
            method="PUT",
            target="/ploverward/configuration",
            body=data,
            headers={"If-Match": "0"},
            on_answer=lambda status, body, address: outcome.append(status),
        )
        node.handle_call(call)
    simulation.world.run(until=5.0)
    assert outcome == [200] * 4 and changes == ["spec"]


def _isolate(simulation, name):
    for other in simulation.nodes:
        simulation.world.partitions |= {(name, other), (other, name)}


def _call_node(simulation, name, *, method="PUT", target="/ploverward/configuration", data=b"", base=0):
    """Calls a node and returns the answers as (status, address of a redirect, seconds until the answer)."""
    outcome = []
    begun = simulation.world.now()
    call = order_nodes.Call(
        method=method,
        target=target,
        body=data,
        headers={"If-Match": str(base)},
        on_answer=lambda status, body, address: outcome.append((status, address, simulation.world.now() - begun)),
    )
    simulation.nodes[name].handle_call(call)
    simulation.world.run(until=begun + 10.0)
    return outcome


CALLS = (
    {"data": order_simulation.encode(order_simulation.configuration(edition=9))},
    {"method": "PATCH", "data": order_simulation.encode({"edition": 9, "upsert": order_simulation.PARTS})},
    {"method": "GET"},
    {"method": "POST", "target": "/ploverward/evacuation/za"},
    {"method": "DELETE", "target": "/ploverward/evacuation/za"},
    {"method": "GET", "target": "/ploverward/evacuation"},
)


@pytest.mark.parametrize("arguments", CALLS)
def test_isolated_node_redirects_calls_to_another_node(arguments):
    simulation = order_simulation.OrderSimulation(seed=2)
    simulation.world.run(until=1.0)
    _isolate(simulation, "a")
    ((status, address, seconds),) = _call_node(simulation, "a", **arguments)
    assert status == 307 and address in ("b", "c") and seconds < 0.1


@pytest.mark.parametrize("arguments", CALLS)
def test_node_unaware_of_its_isolation_answers_503_within_the_caller_timeout(arguments):
    simulation = order_simulation.OrderSimulation(seed=2)
    simulation.nodes["a"].has_majority_contact = lambda: True
    _isolate(simulation, "a")
    ((status, _address, seconds),) = _call_node(simulation, "a", **arguments)
    assert status == 503 and 0.5 < seconds < 0.9


@pytest.mark.parametrize("arguments", CALLS)
def test_non_voting_or_shutting_down_node_redirects_calls(arguments):
    simulation = order_simulation.OrderSimulation(seed=2)
    simulation.nodes["b"].stop()
    simulation.nodes["a"].stop(is_wiped=True)
    simulation.nodes["a"].start()
    ((status, address, _seconds),) = _call_node(simulation, "a", **arguments)
    assert not simulation.nodes["a"].acceptor.votes and status == 307 and address in ("b", "c")
    simulation = order_simulation.OrderSimulation(seed=2)
    simulation.nodes["a"].order_api.shut_down()
    ((status, address, _seconds),) = _call_node(simulation, "a", **arguments)
    assert status == 307 and address in ("b", "c")


@pytest.mark.parametrize("seed", range(10))
def test_order_in_progress_during_a_shutdown_is_accepted_or_can_be_resent(seed):
    simulation = order_simulation.OrderSimulation(seed=seed)
    simulation.world.delay = (0.01, 0.2)
    outcome = []
    data = order_simulation.encode(order_simulation.configuration(edition=4))
    arguments = {"method": "PUT", "target": "/ploverward/configuration", "body": data, "headers": {"If-Match": "0"}}
    simulation.nodes["a"].handle_call(
        order_nodes.Call(**arguments, on_answer=lambda status, *_arguments: outcome.append(status))
    )
    simulation.world.later(simulation.world.chance.uniform(0.0, 0.6), simulation.nodes["a"].order_api.shut_down)
    simulation.world.later(0.65, simulation.nodes["a"].stop)
    simulation.world.run(until=3.0)
    assert outcome in ([], [200], [503])
    # As the protocol says, the operator resends the order to any node until the answer is clear.
    simulation.send(method="PUT", base=0, data=data)
    simulation.world.run(until=40.0)
    assert [order.status for order in simulation.sent] == [200] and simulation.violations() == []


def test_schema_check_runs_off_the_event_loop(monkeypatch):
    simulation = order_simulation.OrderSimulation(seed=1)
    loop = simulation.nodes["a"].loop
    locations = []
    offload, check = loop.offload, schema.check

    def marking_offload(*, work, done):
        def run():
            locations.append("off")
            try:
                return work()
            finally:
                locations.pop()

        offload(work=run, done=done)

    def checking_location(*, body):
        assert locations == ["off"]
        return check(body=body)

    loop.offload = marking_offload
    monkeypatch.setattr(schema, "check", checking_location)
    first = _call_node(simulation, "a", data=order_simulation.encode(order_simulation.configuration(edition=4)))
    patch = order_simulation.encode(
        {"edition": 6, "upsert": {"routes": [{**order_simulation.ROUTE_PATCH, "expiryMs": 5}]}}
    )
    second = _call_node(simulation, "a", method="PATCH", base=4, data=patch)
    assert [first[0][0], second[0][0]] == [200, 200]


def test_orders_that_time_out_in_the_queue_do_not_block_later_orders():
    """Eight orders wait at a node that is cut off; after the cut it must accept orders again.

    The fault is described in docs/incidents/queue-stuck.md.
    """
    simulation = order_simulation.OrderSimulation(seed=5)
    simulation.nodes["a"].has_majority_contact = lambda: True
    _isolate(simulation, "a")
    for number in range(8):
        data = order_simulation.encode(order_simulation.configuration(edition=3, wait_ms=number + 1))
        arguments = {"method": "PUT", "target": "/ploverward/configuration", "body": data, "headers": {"If-Match": "0"}}
        simulation.nodes["a"].handle_call(order_nodes.Call(**arguments, on_answer=lambda *_arguments: None))
    simulation.world.run(until=8.0)
    simulation.world.partitions.clear()
    ((status, _address, _seconds),) = _call_node(simulation, "a", **CALLS[0])
    assert status == 200 and simulation.nodes["a"].order_api.rounds.is_idle


@pytest.mark.parametrize("seed", range(12))
def test_evacuations_match_the_last_acknowledged_order(seed):
    """One operator sends one order at a time and resends it until it is acknowledged or its time is over."""
    outcome = order_simulation.run_evacuations(seed=seed)
    assert outcome.mismatched_orders == [] and outcome.acknowledged > 20


def test_late_attempt_of_an_evacuation_does_not_undo_the_opposite_order():
    first = evacuations.edit_for(zone="za", is_evacuated=True, is_late=lambda: False)
    evacuated, _result = first(None)
    back, _result = evacuations.edit_for(zone="za", is_evacuated=False, is_late=lambda: False)(evacuated)
    assert first(back) == (back, None)  # a further attempt of the first round
    assert first(evacuated) == (evacuated, None)
    again, _result = evacuations.edit_for(zone="za", is_evacuated=True, is_late=lambda: False)(back)
    assert again["zones"] == ["za"]


def test_edits_accept_payloads_without_archive_and_turns():
    older = {"edition": 9, "body": order_simulation.configuration(edition=9), "recent": [[9, "0" * 20]]}
    data = order_simulation.encode(order_simulation.configuration(edition=12))
    order = orders.read(method="PUT", base=9, data=data)
    new, outcome = orders.edit_for(order=order, archived=0)(older)
    assert outcome == orders.Outcome.ACCEPTED and new["recent"] == [[9, "0" * 20], [12, order.order_id]]
    assert (
        not order_archive.contains(payload=None, order_id=order.order_id) and order_archive.archived_through(None) == 0
    )
    back, _result = evacuations.edit_for(zone="za", is_evacuated=False, is_late=lambda: False)({"zones": ["za", "zb"]})
    assert back["zones"] == ["zb"]


def test_archive_stores_each_order_id_once_and_tracks_the_newest_edition():
    rows = [[edition * 3, "%020x" % (edition * 2654435761)] for edition in range(1, 401)]
    payload = None
    for end in (100, 90, 260, 260, 400):
        payload, _last = order_archive.edit_for(rows=rows[max(0, end - 200) : end])(payload)
    assert order_archive.archived_through(payload) == 1200
    assert all(order_archive.contains(payload=payload, order_id=order_id) for _edition, order_id in rows)
    assert len(order_archive._short_ids(payload)) == 400 * order_archive.SHORT_ID_BYTES
    assert not order_archive.contains(payload=payload, order_id=f"{7:020x}")
    assert order_archive.edit_for(rows=rows)(payload)[0] is payload


# The tests below plant faults and check that the checker and the histories above detect them.


def test_checker_detects_a_window_of_48_orders_without_an_archive(monkeypatch):
    monkeypatch.setattr(orders, "trimmed", lambda *, rows, archived: rows[-48:])
    monkeypatch.setattr(order_archive, "contains", lambda *, payload, order_id: False)
    simulation = order_simulation.run_simulation(seed=0, operators=1, count=80, fault_count=0, again=0.0)
    assert any("refused with 412" in line for line in simulation.violations())


def test_checker_detects_order_ids_dropped_before_they_are_archived(monkeypatch):
    monkeypatch.setattr(orders, "trimmed", lambda *, rows, archived: rows[-orders.MIN_RECENT_ORDERS :])
    monkeypatch.setattr(orders, "MIN_ARCHIVE_BATCH", 10**6)
    simulation = order_simulation.run_simulation(seed=0, operators=1, count=120, fault_count=0, again=0.0)
    assert any("refused with 412" in line for line in simulation.violations())


def test_checker_detects_orders_accepted_on_any_base(monkeypatch):
    def edit_for(*, order, archived):
        def edit(payload):
            rows = [*orders.recent_of(payload), [order.candidate.edition, order.order_id]]
            return {"edition": order.candidate.edition, "body": order.body, "recent": rows}, orders.Outcome.ACCEPTED

        return edit

    monkeypatch.setattr(orders, "edit_for", edit_for)
    simulation = order_simulation.OrderSimulation(seed=1)
    for number in range(3):
        data = order_simulation.encode(order_simulation.configuration(edition=3 + number))
        simulation.send(method="PUT", base=0, data=data)
    simulation.world.run(until=60.0)
    assert any("two orders were confirmed on 0" in line for line in simulation.violations())


def test_histories_detect_late_evacuation_attempts_that_undo_other_orders(monkeypatch):
    """Plants the former edit, of which each attempt set the zone again (docs/incidents/evacuation-undone.md).

    A late attempt then undid an opposite order that was acknowledged in the meantime.
    """

    def edit_for(*, zone, is_evacuated, is_late):
        def edit(payload):
            zones = evacuations.zones_of(payload)
            if payload is not None and (zone in zones) == is_evacuated:
                return payload, None
            wanted = zones | {zone} if is_evacuated else zones - {zone}
            return {"zones": sorted(wanted)}, None

        return edit

    change = proposer.Proposer.change

    def change_without_is_wanted(self, *, is_wanted=None, **arguments):
        change(self, **arguments)  # former rounds continued after their callers were answered

    monkeypatch.setattr(evacuations, "edit_for", edit_for)
    monkeypatch.setattr(proposer.Proposer, "change", change_without_is_wanted)
    assert any(order_simulation.run_evacuations(seed=seed).mismatched_orders for seed in range(60))


def test_checker_detects_lost_and_altered_configurations():
    order = order_history.SentOrder(method="PUT", base=0, order_id="m", begun=0.0, ended=1.0, status=200)
    chosen = [order_history.ChosenConfiguration(base=0, edition=2, order_id="m", body={"edition": 2})]
    older = order_history.ConfigurationRead(begun=2.0, ended=3.0, edition=0, body=None)
    altered = order_history.ConfigurationRead(begun=2.0, ended=3.0, edition=2, body={"edition": 2, "x": 1})
    good = order_history.ConfigurationRead(begun=2.0, ended=3.0, edition=2, body={"edition": 2})
    assert order_history.violations(sent=[order], read=[good], chosen=chosen) == []
    assert order_history.violations(sent=[order], read=[older], chosen=chosen)
    assert order_history.violations(sent=[order], read=[altered], chosen=chosen)
    assert order_history.violations(sent=[order], read=[], chosen=[])
