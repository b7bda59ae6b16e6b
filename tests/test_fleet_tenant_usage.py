"""Which queries reserve quota, and at what they are settled when they end."""

from types import SimpleNamespace

import pytest
from admission_fakes import group

from lichenquay.admission import domain
from lichenquay.fleet.tenant_usage import TenantUsage

WORK_MS = 40.0  # estimated, of each query


class RecordingQuotaParticipant:
    """Quota participant and escrow in one; `calls` records all calls in order."""

    def __init__(self, is_within, tenants=("north",)):
        """Starts without calls.

        is_within: the answer to each reservation. tenants: those that have an account, in this order.
        """
        self.is_within = is_within
        self.account_terms = [SimpleNamespace(tenant=tenant) for tenant in tenants]
        self.escrow = self
        self.calls = []

    def reserve(self, now_ms, query, work_ms):
        """Records a call of `QuotaParticipant.reserve`."""
        self.calls.append(("reserve", work_ms))
        return self.is_within

    def settle(self, now_ms, query, work_ms):
        """Records a call of `TokenEscrow.settle`."""
        self.calls.append(("settle", work_ms))

    def settle_at_estimate(self, now_ms, query):
        """Records a call of `TokenEscrow.settle_at_estimate`."""
        self.calls.append(("settle at estimate",))


def usage_of(quota_participant):
    """Returns a TenantUsage whose clock stands at 0."""
    return TenantUsage(quota_participant, lambda: 0.0, lambda: None)


def query_of(tenant_name):
    """Returns a query of a tenant; None: of no tenant."""
    tenant = tenant_name and domain.Tenant(tenant_name, 0.5, 1.0, 0.1)
    return domain.Query(1, group("report"), 0.0, 1000.0, tenant, estimated_work_ms=WORK_MS)


@pytest.mark.parametrize(
    "is_within, tenant, over_quota",
    [(True, "north", False), (False, "north", True), (True, "south", None), (False, None, None)],
)
def test_only_queries_of_a_tenant_with_an_account_are_reserved(is_within, tenant, over_quota):
    """A tenant without an account has no quota to exceed."""
    quota_participant = RecordingQuotaParticipant(is_within)
    assert usage_of(quota_participant).reserve_unless_over_quota(query_of(tenant)) is over_quota
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
    """An attempt without an outcome may still be running."""
    quota_participant = RecordingQuotaParticipant(True)
    query = query_of("north")
    query.attempts = [
        domain.Attempt(query, number, None, 0.0, outcome) for number, outcome in enumerate(outcomes)
    ]
    usage_of(quota_participant).settle_not_completed(query)
    assert quota_participant.calls == [call]


def test_a_completed_query_is_settled_at_its_reported_work_or_else_at_its_estimate():
    """Engines may not report a query's cost."""
    quota_participant = RecordingQuotaParticipant(True)
    query = query_of("north")
    usage = usage_of(quota_participant)
    usage.settle_completed(query, (33.0, 1.0))
    usage.settle_completed(query, None)
    assert quota_participant.calls == [("settle", 33.0), ("settle at estimate",)]


def test_status_lines_are_sorted_by_tenant_name():
    """The order does not depend on the order of the accounts in the settings."""
    usage = usage_of(RecordingQuotaParticipant(True, ("south", "north")))
    usage.reserve_unless_over_quota(query_of("south"))
    assert usage.lines() == [
        "taken north within 0 of 0.0 ms, beyond 0",
        "taken south within 1 of 40.0 ms, beyond 0",
    ]
