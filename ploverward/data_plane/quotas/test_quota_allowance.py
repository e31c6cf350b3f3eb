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
    made.record(core=core, sent_at=clock[0], proxy_count=proxy_count, credits=[tenant_usage.Credit(KEY, tokens)])


def test_fractional_credits_accumulate_and_are_spent_once():
    made, clock = quota_allowance()
    for _heartbeat_number in range(5):
        clock[0] += 0.4
        scarce(made, clock, tokens=0.25)
    assert [made.admit(KEY) for _index in range(3)] == [True, False, False]


def test_majority_of_core_nodes_decides_whether_credits_are_required():
    made, clock = quota_allowance()
    scarce(made, clock, core="new")
    for core in ("k1", "k2"):
        made.record(core=core, sent_at=clock[0], proxy_count=10, credits=[])
    assert made.admit(KEY)
    clock[0] += 0.1
    scarce(made, clock, core="k1")
    assert not made.admit(KEY)


def test_isolated_proxy_admits_at_most_its_even_share():
    made, clock = quota_allowance()
    made.record(core="k", sent_at=clock[0], proxy_count=100, credits=[])
    clock[0] += 2.0
    let_in = 0
    for _index in range(1000):
        clock[0] += 0.1
        let_in += made.admit(KEY)
    assert let_in <= 1 + 100.0 * 10 / 100


def test_proxy_never_in_contact_admits_at_most_one_request():
    made, clock = quota_allowance()
    assert sum(made.admit(KEY) for _index in range(50)) <= 1


def test_returned_admission_is_reused_once_and_expires():
    made, clock = quota_allowance()
    scarce(made, clock, tokens=1.0)
    assert made.admit(KEY) and not made.admit(KEY)
    made.return_admission(KEY)
    assert made.admit(KEY) and not made.admit(KEY)
    made.return_admission(KEY)
    clock[0] += 5.0
    scarce(made, clock)
    assert not made.admit(KEY)  # too long ago


def test_report_has_changed_rows_and_all_rows_after_a_lost_connection():
    made, clock = quota_allowance()
    made.record(core="k", sent_at=clock[0], proxy_count=10, credits=[])
    made.admit(KEY)
    first = tenant_usage.unpack_usage(made.report(core="k"))
    made.end_report()
    assert [(row.demand, row.admitted) for row in first] == [(1, 1)]
    assert made.report(core="k") == b""
    made.clear_reported(core="k")
    assert [row.admitted for row in tenant_usage.unpack_usage(made.report(core="k"))] == [1]
