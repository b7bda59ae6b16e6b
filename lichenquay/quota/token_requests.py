"""The contents of a gateway's token requests: their rows, and how rows are split into requests."""

from collections.abc import Iterator
from typing import NamedTuple

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.escrow_demand import TenantDemand
from lichenquay.quota.escrow_holding import EscrowHolding, HoldingKey

ROWS_PER_REQUEST = 8  # fit in a datagram of 1,200 bytes
MAX_REQUESTS_AT_ONCE = 4
MAX_ROWS_AT_ONCE = ROWS_PER_REQUEST * MAX_REQUESTS_AT_ONCE


class HoldingTargets(NamedTuple):
    """Tokens (us) to hold: requests go up to `requested_us`, returns down to `retained_us`."""

    requested_us: int
    retained_us: int
    needed_us: int


def holding_targets(now_ms: float, demand: TenantDemand, leaving: bool) -> HoldingTargets:
    """Returns the targets: a debtor holds only what it needs now, and scarce tokens are not kept in stock."""
    if leaving:
        return HoldingTargets(0, 0, 0)
    if demand.is_in_debt(now_ms):
        borrowable_us = demand.borrowable_us(now_ms)
        return HoldingTargets(borrowable_us, borrowable_us, borrowable_us)
    needed_us = demand.needed_us(now_ms)
    if demand.is_scarce(now_ms):
        return HoldingTargets(2 * needed_us, needed_us, needed_us)
    stocked_us = 2 * needed_us + demand.idle_stock_us
    return HoldingTargets(stocked_us, stocked_us, needed_us)


def return_surplus_and_build_row(
    now_ms: float,
    key: HoldingKey,
    holding: EscrowHolding,
    demand: TenantDemand,
    leaving: bool,
    overrun_us: int,
) -> pb.Row:
    """Returns the surplus tokens of a holding of the current epoch to the ledger, and builds its row.

    Also updates the low watermark of the demand. `overrun_us`: work of ended queries that is not charged to
    any token yet.
    """
    targets = holding_targets(now_ms, demand, leaving)
    demand.low_water_us = targets.needed_us // 2
    if holding.free_us > targets.retained_us * 3 // 2:
        holding.returned_us += holding.free_us - targets.retained_us
    free_us = holding.free_us
    borrowable_us = min(targets.needed_us, demand.borrowable_us(now_ms))
    return pb.Row(
        tenant=key.tenant,
        book=key.epoch,
        known_us=holding.granted_us,
        spent_us=holding.spent_us,
        returned_us=holding.returned_us,
        upto_us=holding.granted_us + max(0, targets.requested_us - free_us) + overrun_us,
        need_us=max(0, targets.needed_us - free_us) + overrun_us,
        lack_us=max(0, borrowable_us - free_us) + overrun_us,
    )


def build_sealed_row(key: HoldingKey, holding: EscrowHolding) -> pb.Row:
    """Builds the row of a holding of a sealed epoch."""
    return pb.Row(
        tenant=key.tenant,
        book=key.epoch,
        known_us=holding.granted_us,
        spent_us=holding.spent_us,
        returned_us=holding.returned_us,
        sealed=True,
    )


def must_be_sent(row: pb.Row, holding: EscrowHolding) -> bool:
    """Returns whether a row of the current epoch has news for the leader.

    A request for tokens is retried until it is answered: the grant may have been made and its answer lost,
    and the gateway would never learn of the grant once it needs no more tokens.
    """
    if row.upto_us > row.known_us or holding.requested_at > holding.answered_at:
        return True
    return bool(row.known_us) and (row.spent_us, row.returned_us) != holding.acknowledged


def select_rows(rows: list[pb.Row], rotation: int) -> list[pb.Row]:
    """Returns at most `MAX_ROWS_AT_ONCE` rows, starting at `rotation`.

    Rows of tenants in need come first and take up to half of them.
    """
    start = rotation % len(rows)
    rotated = rows[start:] + rows[:start]
    first = [row for row in rotated if row.need_us][: MAX_ROWS_AT_ONCE // 2]
    others = [row for row in rotated if row not in first]
    return first + others[: MAX_ROWS_AT_ONCE - len(first)]


def split_into_requests(rows: list[pb.Row]) -> Iterator[list[pb.Row]]:
    """Yields the rows of each request; without rows, one empty request that serves as a heartbeat."""
    for start in range(0, max(1, len(rows)), ROWS_PER_REQUEST):
        yield rows[start : start + ROWS_PER_REQUEST]
