"""What a proxy admits of a tenant: free, by credits, and isolated."""

from ploverward.common import tenant_usage
from ploverward.data_plane.quotas import quota_allowance as quota_allowances

LIMITED = {"senders": [{"name": "a", "perS": 10, "burst": 10}]}
KEY = tenant_usage.tenant_key("a")


def quota_allowance():
    clock = [100.0]
    made = quota_allowances.QuotaAllowance(now=lambda: clock[0], lease_s=1.2)
    made.install(LIMITED)
    return made, clock


def scarce(made, clock, *, core="k", tokens=0.0, proxy_count=10):
    made.record(core=core, asked_at=clock[0], proxy_count=proxy_count, credits=[tenant_usage.Credit(KEY, tokens)])


def test_parts_of_a_credit_add_up_and_are_spent_once():
    made, clock = quota_allowance()
    for _heartbeat_number in range(5):
        clock[0] += 0.4
        scarce(made, clock, tokens=0.25)
    assert [made.admit(KEY) for _index in range(3)] == [True, False, False]


def test_most_core_nodes_decide_whether_credits_are_wanted():
    made, clock = quota_allowance()
    scarce(made, clock, core="new")
    for core in ("k1", "k2"):
        made.record(core=core, asked_at=clock[0], proxy_count=10, credits=[])
    assert made.admit(KEY)
    clock[0] += 0.1
    scarce(made, clock, core="k1")
    assert not made.admit(KEY)


def test_out_of_touch_a_proxy_lets_in_an_even_part():
    made, clock = quota_allowance()
    made.record(core="k", asked_at=clock[0], proxy_count=100, credits=[])
    clock[0] += 2.0
    let_in = 0
    for _index in range(1000):
        clock[0] += 0.1
        let_in += made.admit(KEY)
    assert let_in <= 1 + 100.0 * 10 / 100


def test_a_proxy_that_was_never_in_touch_lets_in_next_to_nothing():
    made, clock = quota_allowance()
    assert sum(made.admit(KEY) for _index in range(50)) <= 1


def test_what_was_let_in_and_did_not_run_is_let_in_once_more():
    made, clock = quota_allowance()
    scarce(made, clock, tokens=1.0)
    assert made.admit(KEY) and not made.admit(KEY)
    made.return_admission(KEY)
    assert made.admit(KEY) and not made.admit(KEY)
    made.return_admission(KEY)
    clock[0] += 5.0
    scarce(made, clock)
    assert not made.admit(KEY)  # too long ago


def test_a_report_names_what_changed_and_all_of_it_after_a_lost_link():
    made, clock = quota_allowance()
    made.record(core="k", asked_at=clock[0], proxy_count=10, credits=[])
    made.admit(KEY)
    first = tenant_usage.unpack_usage(made.report(core="k"))
    made.end_report()
    assert [(row.demand, row.admitted) for row in first] == [(1, 1)]
    assert made.report(core="k") == b""
    made.forget(core="k")
    assert [row.admitted for row in tenant_usage.unpack_usage(made.report(core="k"))] == [1]
