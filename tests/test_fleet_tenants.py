"""What queries tell an account, and what it tells of them; no processes."""

from types import SimpleNamespace

import pytest
from standins import group

from lichenquay.admission import domain
from lichenquay.fleet.tenant_usage import Tenants


class Account:
    def __init__(self, within):
        self.within, self.figures, self.told, self.rights = (
            within,
            [SimpleNamespace(tenant="north")],
            [],
            self,
        )

    def take(self, now_ms, q, work_ms):
        self.told.append(("take", work_ms))
        return self.within

    def settle(self, now_ms, q, work_ms):
        self.told.append(("settle", work_ms))

    def settle_at_estimate(self, now_ms, q):
        self.told.append(("drop",))


def query(tenant):
    return domain.Query(
        1,
        group("report"),
        0.0,
        1000.0,
        tenant and domain.Tenant(tenant, 0.5, 1.0, 0.1),
        estimated_work_ms=40.0,
    )


@pytest.mark.parametrize(
    "within, tenant, beyond",
    [(True, "north", False), (False, "north", True), (True, "south", None), (False, None, None)],
)
def test_only_a_tenant_with_an_account_is_told_of(within, tenant, beyond):
    account = Account(within)
    tenants = Tenants(account, lambda: 0.0, lambda: None)
    assert tenants.beyond(query(tenant)) is beyond
    assert account.told == ([("take", 40.0)] if tenant == "north" else [])


@pytest.mark.parametrize(
    "endings, told",
    [
        ([], ("settle", 0.0)),
        ([domain.Outcome.OVERLOADED, domain.Outcome.NOT_CONNECTED], ("settle", 0.0)),
        ([domain.Outcome.OVERLOADED, None], ("drop",)),
        ([domain.Outcome.FAILED], ("drop",)),
    ],
)
def test_what_never_ran_costs_nothing_and_what_may_have_its_estimate(endings, told):
    account, q = Account(True), query("north")
    q.attempts = [domain.Attempt(q, i, None, 0.0, e) for i, e in enumerate(endings)]
    Tenants(account, lambda: 0.0, lambda: None).over(q)
    assert account.told == [told]


def test_work_told_at_the_end_counts_and_where_none_is_told_the_estimate():
    account, q = Account(True), query("north")
    tenants = Tenants(account, lambda: 0.0, lambda: None)
    tenants.finished(q, (33.0, 1.0))
    tenants.finished(q, None)
    assert account.told == [("settle", 33.0), ("drop",)]
