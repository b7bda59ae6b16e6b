"""Which queries are reserved in the quota, and what they are settled at when they end."""

from types import SimpleNamespace

import pytest
from admission_fakes import group

from lichenquay.admission import domain
from lichenquay.fleet.tenant_usage import TenantUsage

WORK_MS = 40.0  # estimated, of each query


class RecordingQuotaPart:
    """Quota part and escrow in one; `calls` are all calls in order."""

    def __init__(self, is_within, tenants=("north",)):
        """is_within: the answer to each reservation. tenants: that have an account, in this order."""
        self.is_within = is_within
        self.account_terms = [SimpleNamespace(tenant=tenant) for tenant in tenants]
        self.escrow = self
        self.calls = []

    def reserve(self, now_ms, query, work_ms):
        """As `QuotaPart.reserve`."""
        self.calls.append(("reserve", work_ms))
        return self.is_within

    def settle(self, now_ms, query, work_ms):
        """As `TokenEscrow.settle`."""
        self.calls.append(("settle", work_ms))

    def settle_at_estimate(self, now_ms, query):
        """As `TokenEscrow.settle_at_estimate`."""
        self.calls.append(("settle at estimate",))


def usage_of(quota_participant):
    """At a clock that stands at 0."""
    return TenantUsage(quota_participant, lambda: 0.0, lambda: None)


def query_of(tenant_name):
    """A query of this tenant; None: of no tenant."""
    tenant = tenant_name and domain.Tenant(tenant_name, 0.5, 1.0, 0.1)
    return domain.Query(1, group("report"), 0.0, 1000.0, tenant, estimated_work_ms=WORK_MS)


@pytest.mark.parametrize(
    "is_within, tenant, reserve_unless_over_quota",
    [(True, "north", False), (False, "north", True), (True, "south", None), (False, None, None)],
)
def test_only_queries_of_a_tenant_with_an_account_are_reserved(is_within, tenant, reserve_unless_over_quota):
    """A tenant without an account has no quota to be over."""
    quota_participant = RecordingQuotaPart(is_within)
    assert (
        usage_of(quota_participant).reserve_unless_over_quota(query_of(tenant)) is reserve_unless_over_quota
    )
    assert quota_participant.calls == ([("reserve", WORK_MS)] if tenant == "north" else [])


@pytest.mark.parametrize(
    "outcomes, call",
    [
        ([], ("settle", 0.0)),
        ([domain.Outcome.OVERLOADED, domain.Outcome.NOT_CONNECTED], ("settle", 0.0)),
        ([domain.Outcome.OVERLOADED, None], ("settle at estimate",)),
        ([domain.Outcome.FAILED], ("settle at estimate",)),
    ],
)
def test_a_query_that_never_ran_costs_nothing_and_one_that_may_have_run_its_estimate(outcomes, call):
    """An attempt without an outcome may still run."""
    quota_participant = RecordingQuotaPart(True)
    query = query_of("north")
    query.attempts = [
        domain.Attempt(query, number, None, 0.0, outcome) for number, outcome in enumerate(outcomes)
    ]
    usage_of(quota_participant).settle_not_completed(query)
    assert quota_participant.calls == [call]


def test_a_completed_query_is_settled_at_its_reported_work_or_else_at_its_estimate():
    """Engines may report no cost."""
    quota_participant = RecordingQuotaPart(True)
    query = query_of("north")
    usage = usage_of(quota_participant)
    usage.settle_completed(query, (33.0, 1.0))
    usage.settle_completed(query, None)
    assert quota_participant.calls == [("settle", 33.0), ("settle at estimate",)]


def test_status_lines_are_in_the_order_of_the_names_of_the_tenants():
    """Whatever the order of the accounts in the settings."""
    usage = usage_of(RecordingQuotaPart(True, ("south", "north")))
    usage.reserve_unless_over_quota(query_of("south"))
    assert usage.lines() == [
        "taken north within 0 of 0.0 ms, beyond 0",
        "taken south within 1 of 40.0 ms, beyond 0",
    ]
