"""Admission of a tenant's requests at a proxy: without a check, by credits, and while isolated."""

from ploverward.common import tenant_usage
from ploverward.data_plane.quotas import quota_allowance

CONFIGURATION = {"senders": [{"name": "a", "perS": 10, "burst": 10}]}
TENANT_KEY = tenant_usage.tenant_key("a")


def make_allowance():
    clock = [100.0]
    allowance = quota_allowance.QuotaAllowance(now=lambda: clock[0], lease_s=1.2)
    allowance.install(CONFIGURATION)
    return allowance, clock


def record_scarce(allowance, clock, *, core="k", tokens=0.0, proxy_count=10):
    allowance.record(
        core=core, sent_at=clock[0], proxy_count=proxy_count, credits=[tenant_usage.Credit(TENANT_KEY, tokens)]
    )


def test_fractional_credits_accumulate_and_are_spent_once():
    allowance, clock = make_allowance()
    for _heartbeat_number in range(5):
        clock[0] += 0.4
        record_scarce(allowance, clock, tokens=0.25)
    assert [allowance.admit(TENANT_KEY) for _index in range(3)] == [True, False, False]


def test_majority_of_core_nodes_decides_whether_credits_are_required():
    allowance, clock = make_allowance()
    record_scarce(allowance, clock, core="new")
    for core in ("k1", "k2"):
        allowance.record(core=core, sent_at=clock[0], proxy_count=10, credits=[])
    assert allowance.admit(TENANT_KEY)
    clock[0] += 0.1
    record_scarce(allowance, clock, core="k1")
    assert not allowance.admit(TENANT_KEY)


def test_isolated_proxy_admits_at_most_its_even_share():
    allowance, clock = make_allowance()
    allowance.record(core="k", sent_at=clock[0], proxy_count=100, credits=[])
    clock[0] += 2.0
    admitted = 0
    for _index in range(1000):
        clock[0] += 0.1
        admitted += allowance.admit(TENANT_KEY)
    assert admitted <= 1 + 100.0 * 10 / 100


def test_proxy_never_in_contact_admits_at_most_one_request():
    allowance, clock = make_allowance()
    assert sum(allowance.admit(TENANT_KEY) for _index in range(50)) <= 1


def test_returned_admission_is_reused_once_and_expires():
    allowance, clock = make_allowance()
    record_scarce(allowance, clock, tokens=1.0)
    assert allowance.admit(TENANT_KEY) and not allowance.admit(TENANT_KEY)
    allowance.return_admission(TENANT_KEY)
    assert allowance.admit(TENANT_KEY) and not allowance.admit(TENANT_KEY)
    allowance.return_admission(TENANT_KEY)
    clock[0] += 5.0
    record_scarce(allowance, clock)
    assert not allowance.admit(TENANT_KEY)  # the returned admission has expired


def test_report_has_changed_rows_and_all_rows_after_a_lost_connection():
    allowance, clock = make_allowance()
    allowance.record(core="k", sent_at=clock[0], proxy_count=10, credits=[])
    allowance.admit(TENANT_KEY)
    first = tenant_usage.unpack_usage(allowance.report(core="k"))
    allowance.end_report()
    assert [(row.demand, row.admitted) for row in first] == [(1, 1)]
    assert allowance.report(core="k") == b""
    allowance.clear_reported(core="k")
    assert [row.admitted for row in tenant_usage.unpack_usage(allowance.report(core="k"))] == [1]
