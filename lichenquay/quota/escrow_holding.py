"""What one gateway holds of one tenant's tokens in one epoch, and the reservations of its queries."""

from dataclasses import dataclass
from typing import NamedTuple


class ReportedTotals(NamedTuple):
    """Spent and returned tokens, as the ledger has them."""

    spent_us: int = 0
    returned_us: int = 0


@dataclass(slots=True, eq=False)
class EscrowHolding:
    """Totals since the epoch began, in microseconds of engine work, and what open queries have reserved.

    `acknowledged`: the totals that the ledger is known to have.
    `sealed_at`: number of the last request before the epoch was sealed; None while it is open.
    `requested_at`, `answered_at`: numbers of the last request for more tokens, and of the last one whose
    answer says something of this holding.
    """

    sealed_at: int | None = None
    granted_us: int = 0
    spent_us: int = 0
    returned_us: int = 0
    reserved_us: int = 0
    acknowledged: ReportedTotals = ReportedTotals()
    requested_at: int = 0
    answered_at: int = 0

    @property
    def free_us(self) -> int:
        """Neither spent, nor returned, nor reserved."""
        return self.granted_us - self.spent_us - self.returned_us - self.reserved_us

    def seal(self, request_number: int) -> None:
        """Returns what is not reserved; what is reserved follows when its query ends."""
        self.sealed_at = request_number
        self.returned_us += self.free_us

    def pay(self, amount_us: int) -> int:
        """Spends the amount, or what is free of it; returns what was spent."""
        paid_us = min(amount_us, self.free_us)
        self.spent_us += paid_us
        return paid_us

    def settle(self, reserved_us: int, work_us: int) -> int:
        """Ends a reservation: spends the work, or what is free of it; returns what could not be spent."""
        self.reserved_us -= reserved_us
        paid_us = self.pay(work_us)
        if self.sealed_at is not None:
            self.returned_us += self.free_us
        return work_us - paid_us


class HoldingKey(NamedTuple):
    """A holding of an epoch that is sealed."""

    epoch: int
    tenant: str


class QueryReservation(NamedTuple):
    """What one admitted query has reserved."""

    tenant: str
    holding: EscrowHolding
    amount_us: int
