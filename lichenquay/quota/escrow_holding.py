"""The tokens of one tenant that a gateway holds in one epoch, and the reservations of its queries."""

from dataclasses import dataclass
from typing import NamedTuple


class ReportedTotals(NamedTuple):
    """Totals of spent and returned tokens that the ledger has."""

    spent_us: int = 0
    returned_us: int = 0


@dataclass(slots=True, eq=False)
class EscrowHolding:
    """Totals since the epoch started, in microseconds of engine work, and the reservations of open queries.

    `acknowledged`: the totals that the ledger is known to have.
    `sealed_at`: the number of the last request before the epoch was sealed; None while it is open.
    `requested_at`, `answered_at`: the numbers of the last request for more tokens, and of the last request
    whose answer covers this holding.
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
        """Tokens that are neither spent, nor returned, nor reserved."""
        return self.granted_us - self.spent_us - self.returned_us - self.reserved_us

    def seal(self, request_number: int) -> None:
        """Gives back all tokens that are not reserved; the others follow when their queries end."""
        self.sealed_at = request_number
        self.returned_us += self.free_us

    def charge(self, amount_us: int) -> int:
        """Spends up to `amount_us` of the free tokens; returns the spent amount."""
        charged_us = min(amount_us, self.free_us)
        self.spent_us += charged_us
        return charged_us

    def settle(self, reserved_us: int, work_us: int) -> int:
        """Ends a reservation and charges the work to free tokens; returns the work that they do not cover."""
        self.reserved_us -= reserved_us
        charged_us = self.charge(work_us)
        if self.sealed_at is not None:
            self.returned_us += self.free_us
        return work_us - charged_us


class HoldingKey(NamedTuple):
    """The key of a holding."""

    epoch: int
    tenant: str


class QueryReservation(NamedTuple):
    """The reservation of one admitted query."""

    tenant: str
    holding: EscrowHolding
    amount_us: int
