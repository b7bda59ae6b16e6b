"""The amounts that the ledger stores: of a tenant's account, and of one epoch of a gateway.

A token is one microsecond of engine work, so that sums are exact.
"""

from dataclasses import dataclass
from typing import NamedTuple

from lichenquay.quota import quota_pb2 as pb


@dataclass(slots=True)
class TenantAccount:
    """One tenant's account; `held_us` and `written_off_us` are running sums over its escrow entries.

    `terms`: rate, bucket size and credit, as configured.
    `debt_ceiling_us`: the credit limit, or the debt when the limit was lowered.
    `capacity_ceiling_us`: the bucket size, or the amount of the account when the bucket was made smaller.
    `pool_us`: unspent and not granted to any gateway.
    `held_us`: granted to open epochs of gateways, neither spent nor returned.
    `written_off_us`: granted to expired epochs, neither spent nor returned.
    `overflowed_us`: returned from an expired epoch when the bucket was full again.
    `lost_us`: written off, with the escrow entries forgotten.
    `collected_us`: repayments received as a lender.
    `accrual_remainder`, `repayment_remainder`: thousandths of a microsecond, carried to the next accrual.
    """

    terms: pb.Open
    debt_ceiling_us: int
    capacity_ceiling_us: int
    pool_us: int = 0
    held_us: int = 0
    written_off_us: int = 0
    issued_us: int = 0
    overflowed_us: int = 0
    spent_us: int = 0
    lent_us: int = 0
    collected_us: int = 0
    borrowed_us: int = 0
    repaid_us: int = 0
    lost_us: int = 0
    accrual_remainder: int = 0
    repayment_remainder: int = 0

    @classmethod
    def opened(cls, terms: pb.Open) -> "TenantAccount":
        """Returns an account with these terms, and all amounts zero."""
        return cls(terms, debt_ceiling_us=terms.limit_us, capacity_ceiling_us=terms.bucket_us)

    @property
    def debt_us(self) -> int:
        """The borrowed amount that is not repaid."""
        return self.borrowed_us - self.repaid_us

    @property
    def receivable_us(self) -> int:
        """The lent amount that is not collected."""
        return self.lent_us - self.collected_us

    @property
    def headroom_us(self) -> int:
        """The amount up to a full bucket; negative while the tenant has borrowed more than that.

        Lent tokens count as present, so that a lender accrues as if it had not lent.
        """
        return self.terms.bucket_us - self.pool_us - self.held_us - self.receivable_us

    @property
    def lendable_us(self) -> int:
        """The tokens of the pool beyond the part of the bucket that is never lent."""
        return max(0, self.pool_us - self.terms.bucket_us * self.terms.lend_permille // 1000)


class EpochKey(NamedTuple):
    """The key of an epoch of a gateway; the tokens of an epoch expire together."""

    gateway: str
    incarnation: int
    epoch: int


class LatestEpoch(NamedTuple):
    """The newest epoch of a gateway that was granted tokens; once closed, it is granted no more."""

    incarnation: int
    epoch: int
    closed: bool


class EntryTotals(NamedTuple):
    """The totals of an escrow entry after a gateway's report."""

    spent_us: int
    returned_us: int
    sealed: bool


@dataclass(slots=True)
class EscrowEntry:
    """One tenant's tokens in one epoch: totals since the epoch started.

    Nothing more is spent from a sealed entry.
    """

    granted_us: int = 0
    spent_us: int = 0
    returned_us: int = 0
    sealed: bool = False

    @property
    def unsettled_us(self) -> int:
        """The granted amount that is reported neither as spent nor as returned."""
        return self.granted_us - self.spent_us - self.returned_us
