"""The allocation of tokens in one batch of changes: grants from pools, recalled loans, new loans."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.ledger import Ledger
from lichenquay.quota.pending_requests import GatewayRequest
from lichenquay.quota.tenant_account import EpochKey

MAX_GRANT_DIVISOR = 4  # one request is granted at most the bucket divided by this
MAX_LOANS_AT_ONCE = 4  # to one tenant in one batch, each from another lender


class ChangeBatch:
    """Changes decided one by one on a speculative ledger, to be committed as one record."""

    def __init__(self, ledger: Ledger):
        """Starts an empty batch. `ledger`: the speculative one, to which each change is applied at once."""
        self.ledger = ledger
        self.changes: list[pb.Change] = []

    def add(self, change: pb.Change | None) -> bool:
        """Adds a change; returns False if the change is None."""
        if change is None:
            return False
        self.ledger.apply_change(change)
        self.changes.append(change)
        return True


class DemandKind(StrEnum):
    """The part of a demand to serve; the values are names of attributes of TokenDemand."""

    REQUESTED = "requested_us"  # all of it, idle stock included
    NEEDED = "needed_us"  # for the expected queries
    BORROWABLE = "borrowable_us"  # for the queries of the last second; loans are granted for nothing else


@dataclass(slots=True)
class TokenDemand:
    """The open demand of one gateway for tokens of one tenant; each amount is part of the next one."""

    key: EpochKey
    under_pressure: bool
    borrowable_us: int = 0
    needed_us: int = 0
    requested_us: int = 0

    def amount_us(self, kind: DemandKind) -> int:
        """Returns the amount of a kind."""
        return getattr(self, kind)

    def raise_to(self, borrowable_us: int, needed_us: int, requested_us: int) -> None:
        """Adds another request of the same gateway: amounts are totals, so the larger ones count."""
        self.borrowable_us = max(self.borrowable_us, borrowable_us)
        self.needed_us = max(self.needed_us, needed_us)
        self.requested_us = max(self.requested_us, requested_us)

    def reduce_by(self, granted_us: int) -> None:
        """Subtracts granted tokens."""
        self.borrowable_us = max(0, self.borrowable_us - granted_us)
        self.needed_us = max(0, self.needed_us - granted_us)
        self.requested_us -= granted_us


def demands_of(ledger: Ledger, requests: Iterable[GatewayRequest]) -> dict[str, list[TokenDemand]]:
    """Returns the demands by tenant.

    Requests state the total that they need, so a request that is received twice is granted once.
    """
    demands: dict[str, dict[EpochKey, TokenDemand]] = {}
    for gateway, incarnation, request in requests:
        key = EpochKey(gateway, incarnation, request.book)
        if not ledger.may_grant(*key):
            continue
        for row in request.rows:
            account = ledger.accounts.get(row.tenant)
            if account is None or row.book != request.book or row.sealed:
                continue
            entry = ledger.epochs.get(key, {}).get(row.tenant)
            granted_us = entry.granted_us if entry else 0
            requested_us = min(max(0, row.upto_us - granted_us), account.terms.bucket_us // MAX_GRANT_DIVISOR)
            if not requested_us:
                continue
            needed_us = min(max(0, row.need_us - (granted_us - row.known_us)), requested_us)
            by_gateway = demands.setdefault(row.tenant, {})
            demand = by_gateway.setdefault(key, TokenDemand(key, request.pressed))
            demand.raise_to(min(row.lack_us, needed_us), needed_us, requested_us)
    return {tenant: list(by_gateway.values()) for tenant, by_gateway in demands.items()}


class TokenAllocation:
    """The allocation of one batch.

    Its results are the changes in the batch, `short_tenants`, `plentiful_tenants` and `loans_barred` (tenants
    that demanded loans while one was overdue).
    """

    def __init__(self, batch: ChangeBatch, demands: dict[str, list[TokenDemand]]):
        """Starts an allocation. `demands`: by tenant, from `demands_of`."""
        self.ledger = batch.ledger
        self.batch = batch
        self.demands = demands
        self.plentiful_tenants: list[str] = []
        self.loans_barred = 0

    @property
    def short_tenants(self) -> list[str]:
        """Tenants whose queries lack tokens."""
        return [
            tenant for tenant, demands in self.demands.items() if any(demand.needed_us for demand in demands)
        ]

    def grant_from_pools(self, elapsed_ms: int) -> None:
        """Serves needs, for which lenders that are short recall loans, and then idle stock.

        `elapsed_ms`: the time accrued in this batch.
        """
        retained_us = self._retained_by_debtors(elapsed_ms)
        for tenant in self.demands:
            self._recall_loans(tenant, retained_us)
        for tenant in self.demands:
            account = self.ledger.accounts[tenant]
            self._divide_pool(tenant, self.demands[tenant], DemandKind.NEEDED)
            if account.pool_us:
                self._divide_pool(tenant, self.demands[tenant], DemandKind.REQUESTED)
            if account.pool_us:
                self.plentiful_tenants.append(tenant)

    def _retained_by_debtors(self, elapsed_ms: int) -> dict[str, int]:
        """Returns what each short tenant keeps of its accrual, so that recalls never starve a debtor."""
        retained_us = {}
        for tenant in self.short_tenants:
            terms = self.ledger.accounts[tenant].terms
            retained_us[tenant] = terms.rate_us * elapsed_ms * (1000 - terms.repay_permille) // 1_000_000
        return retained_us

    def _recall_loans(self, tenant: str, retained_us: dict[str, int]) -> None:
        account = self.ledger.accounts[tenant]
        while account.receivable_us:
            missing_us = sum(demand.needed_us for demand in self.demands[tenant]) - account.pool_us
            if missing_us <= 0:
                return
            if not self.batch.add(self.ledger.decide_recall(tenant, missing_us, retained_us)):
                return

    def _divide_pool(self, tenant: str, demands: list[TokenDemand], kind: DemandKind) -> None:
        """Grants all demands, or divides a pool that is too small in proportion to them."""
        pool_us = self.ledger.accounts[tenant].pool_us
        amounts_us = [demand.amount_us(kind) for demand in demands]
        total_us = sum(amounts_us)
        for demand, amount_us in zip(demands, amounts_us, strict=True):
            granted_us = amount_us if total_us <= pool_us else amount_us * pool_us // total_us
            pool_us -= granted_us
            total_us -= amount_us
            if self.batch.add(self.ledger.decide_grant(tenant, *demand.key, granted_us)):
                demand.reduce_by(granted_us)

    def lend(self, tenants: Iterable[str]) -> None:
        """Makes loans to these tenants, and grants them to gateways that have room for work over quota."""
        for tenant in tenants:
            demands = [
                demand
                for demand in self.demands[tenant]
                if demand.borrowable_us and not demand.under_pressure
            ]
            if demands and self.ledger.is_overdue(tenant):
                self.loans_barred += 1
            for _ in range(MAX_LOANS_AT_ONCE):
                missing_us = sum(demand.borrowable_us for demand in demands)
                if not missing_us or not self.batch.add(self.ledger.decide_loan(tenant, missing_us)):
                    break
                self._divide_pool(tenant, demands, DemandKind.BORROWABLE)
