"""A gateway's escrow tokens: what it may spend of each tenant's quota without a request. No I/O.

The host calls `reserve` when a query arrives and `settle` when its work is known. `on_message`, `tick`,
`due_ms` and `outbox` are the exchange with the ledger's leader, which the host sets (`leader`; None: not
known).

The tokens of an epoch expire together, `term_ms` after the last answered request was sent, by this gateway's
clock. An expired epoch is sealed: nothing is reserved from it any more, and its totals are reported until the
ledger has them. Tokens are whole microseconds of engine work; times are in milliseconds.
"""

from collections.abc import Hashable, Mapping
from random import Random
from typing import NamedTuple

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.escrow_demand import TenantDemand
from lichenquay.quota.escrow_holding import EscrowHolding, HoldingKey, QueryReservation, ReportedTotals
from lichenquay.quota.messages import LeaderAddress, OutgoingQuotaMessage
from lichenquay.quota.token_requests import (
    MAX_ROWS_AT_ONCE,
    build_sealed_row,
    must_be_sent,
    return_surplus_and_build_row,
    select_rows,
    split_into_requests,
)

NEVER_MS = float("inf")
LONG_AGO_MS = float("-inf")
MAX_REQUESTS_REMEMBERED = 64  # requests whose sending times are stored
HINT_PERIODS = 10  # periods for which scarcity and debt apply after the leader's last answer
REQUESTS_PER_TERM = 4  # that renew the term while there is nothing to request
URGENT_REQUESTS_PER_PERIOD = 4
MIN_PERIOD_JITTER = 0.9
PERIOD_JITTER_RANGE = 0.2


class TenantStatus(NamedTuple):
    """The status of a tenant, in ms of engine work: free and spent here, debt and limit in the fleet."""

    free_ms: float
    spent_ms: float
    debt_ms: float
    limit_ms: float


class TokenEscrow:
    """The tokens of one incarnation of a gateway."""

    def __init__(
        self,
        gateway: str,
        incarnation: int,
        idle_stocks_us: Mapping[str, int],
        term_ms: float,
        period_ms: float = 250.0,
        random: Random | None = None,
    ):
        """Starts without tokens.

        `idle_stocks_us`: by tenant, the tokens to hold even without queries. `random`: for the jitter of
        requests; None: no jitter.
        """
        self.gateway = gateway
        self.incarnation = incarnation
        self.term_ms = term_ms
        self.period_ms = period_ms
        self.random = random
        self.epoch = 1
        self.expires_at_ms = LONG_AGO_MS
        self.holdings: dict[str, EscrowHolding] = {}
        self.sealed_holdings: dict[HoldingKey, EscrowHolding] = {}
        self.reservations: dict[Hashable, QueryReservation] = {}
        self.overruns_us: dict[str, int] = {}  # work that is not charged to any token yet
        self.demands = {tenant: TenantDemand(stock_us) for tenant, stock_us in idle_stocks_us.items()}
        self.under_pressure = False  # no room for work over quota; reported to the leader
        self.leaving = False
        self.outbox: list[OutgoingQuotaMessage] = []
        self.due_ms = NEVER_MS
        self.expiries = 0
        self.implausible_answers = 0
        self.request_number = 0
        self.request_sent_ms: dict[int, float] = {}
        self._rotation = 0
        self._last_request_ms = LONG_AGO_MS
        self._leader: LeaderAddress | None = None

    @property
    def leader(self) -> LeaderAddress | None:
        """The leader of the ledger. While it is not known, held tokens can be spent until they expire."""
        return self._leader

    @leader.setter
    def leader(self, leader: LeaderAddress | None) -> None:
        if leader != self._leader:
            self._leader = LeaderAddress(*leader) if leader else None
            self.due_ms = LONG_AGO_MS if leader else NEVER_MS

    # Queries.

    def reserve(self, now_ms: float, tenant: str, estimate_ms: float, ticket: Hashable) -> bool:
        """Reserves the estimate of a query until its ticket is settled.

        Returns False, and reserves nothing, if the held tokens do not cover it.
        """
        self.expire_if_due(now_ms)
        demand = self.demands.get(tenant)
        if demand is None or self.leaving:
            return False
        amount_us = max(1, round(estimate_ms * 1000))
        demand.record_query(now_ms, amount_us)
        holding = self.holdings.get(tenant)
        is_covered = (
            holding is not None
            and now_ms < self.expires_at_ms
            and not self.overruns_us.get(tenant)
            and holding.free_us >= amount_us
        )
        if is_covered:
            holding.reserved_us += amount_us
            self.reservations[ticket] = QueryReservation(tenant, holding, amount_us)
        if not is_covered or holding.free_us < demand.low_water_us:
            self._request_soon(now_ms)
        return is_covered

    def settle(self, now_ms: float, ticket: Hashable, work_ms: float) -> None:
        """Charges the work of a query that ended; 0 if no engine can have run it.

        The rest of its estimate becomes free. Work over the estimate is charged to free tokens, then to later
        grants. An unknown ticket is ignored.
        """
        self.expire_if_due(now_ms)
        reservation = self.reservations.pop(ticket, None)
        if reservation is None:
            return
        tenant = reservation.tenant
        overrun_us = reservation.holding.settle(reservation.amount_us, max(0, round(work_ms * 1000)))
        if overrun_us > 0:
            self.overruns_us[tenant] = self.overruns_us.get(tenant, 0) + overrun_us
            self._charge_overrun(tenant)
            self._request_soon(now_ms)

    def settle_at_estimate(self, now_ms: float, ticket: Hashable) -> None:
        """Charges its estimate to a query that may have run and whose work will never be known.

        Such a query failed, or its client disconnected. Without this charge, clients that disconnect early
        would pay nothing for queries that run.
        """
        reservation = self.reservations.get(ticket)
        self.settle(now_ms, ticket, reservation.amount_us / 1000 if reservation else 0)

    def _charge_overrun(self, tenant: str) -> None:
        holding = self.holdings.get(tenant)
        overrun_us = self.overruns_us.get(tenant, 0)
        if holding is not None and overrun_us:
            self.overruns_us[tenant] = overrun_us - holding.charge(overrun_us)

    # Epochs.

    def expire_if_due(self, now_ms: float) -> None:
        """Seals the epoch once its term has ended.

        Otherwise a gateway that was partitioned or paused would spend tokens that the leader has written off.
        """
        if self.expires_at_ms != LONG_AGO_MS and now_ms >= self.expires_at_ms:
            self.expiries += 1
            self.seal_epoch()
            if self._leader:
                self._request_soon(now_ms)

    def seal_epoch(self) -> None:
        """Starts the next epoch, without tokens; of the sealed one, only totals are reported."""
        for tenant, holding in self.holdings.items():
            holding.seal(self.request_number)
            self.sealed_holdings[HoldingKey(self.epoch, tenant)] = holding
        self.holdings = {}
        self.expires_at_ms = LONG_AGO_MS
        self.epoch += 1

    def return_all(self, now_ms: float) -> None:
        """Stops reservations before a shutdown, and returns all tokens that no open query has reserved.

        Overruns are still charged to later grants; otherwise a tenant's overrun would be forgiven when the
        process ends. The host resets `leaving` if the gateway stays after all.
        """
        self.leaving = True
        self.seal_epoch()
        if self._leader:
            self.due_ms = now_ms

    @property
    def is_returned(self) -> bool:
        """Whether, after `return_all`, all tokens are returned and all work is reported to the ledger."""
        unfinished = self.sealed_holdings or self.holdings or self.reservations
        return self.leaving and not (unfinished or any(self.overruns_us.values()))

    # Exchange with the ledger's leader.

    def on_message(self, now_ms: float, sender, answer: pb.Answer) -> None:
        """Applies the leader's answer. Totals only rise, so a late or repeated answer changes nothing."""
        self.expire_if_due(now_ms)
        if not self._is_plausible(answer):
            self.implausible_answers += 1
            return
        is_current = answer.book == self.epoch
        if is_current and answer.closed:
            self.seal_epoch()
            is_current = False
        elif is_current:
            sent_ms = self.request_sent_ms.get(answer.no, LONG_AGO_MS)
            self.expires_at_ms = max(self.expires_at_ms, sent_ms + self.term_ms)
        for granted in answer.rows:
            if granted.book == self.epoch and is_current:
                self.apply_grant(now_ms, answer.no, granted)
            elif granted.book < self.epoch:
                self._apply_sealed(answer.no, granted)
        self.expire_if_due(now_ms)
        if self.leaving and self.holdings and not any(self.overruns_us.values()):
            self.seal_epoch()
        if is_current and self.due_ms > now_ms + self._jittered_period_ms():
            self.due_ms = now_ms + self._jittered_period_ms()

    def _is_plausible(self, answer: pb.Answer) -> bool:
        """Returns whether an answer is for this incarnation, with rows of known epochs and tenants only."""
        if (answer.front, answer.incarnation) != (self.gateway, self.incarnation):
            return False
        if answer.book > self.epoch:
            return False
        return all(
            row.tenant in self.demands
            and 0 < row.book <= answer.book
            and row.spent_us + row.returned_us <= row.granted_us
            for row in answer.rows
        )

    def apply_grant(self, now_ms: float, request_number: int, granted: pb.Granted) -> None:
        """Applies the leader's totals for a holding of the current epoch."""
        tenant = granted.tenant
        self.demands[tenant].record_grant(now_ms, now_ms + HINT_PERIODS * self.period_ms, granted)
        if granted.gone:
            holding = self.holdings.get(tenant)
        else:
            holding = self.holdings.setdefault(tenant, EscrowHolding())
        if holding is not None:
            holding.answered_at = max(holding.answered_at, request_number)
        if granted.gone:
            return
        holding.granted_us = max(holding.granted_us, granted.granted_us)
        totals = ReportedTotals(granted.spent_us, granted.returned_us)
        holding.acknowledged = max(holding.acknowledged, totals)
        self._charge_overrun(tenant)

    def _apply_sealed(self, request_number: int, granted: pb.Granted) -> None:
        key = HoldingKey(granted.book, granted.tenant)
        holding = self.sealed_holdings.get(key)
        if granted.gone:
            # An answer to a request sent before the sealing proves nothing: the entry may have been made
            # later.
            if holding is not None and request_number > holding.sealed_at:
                del self.sealed_holdings[key]
        elif holding is None:  # granted after the epoch was sealed here: all of it is returned
            self.sealed_holdings[key] = EscrowHolding(self.request_number)

    def tick(self, now_ms: float) -> None:
        """Sends the token requests that are due."""
        self.expire_if_due(now_ms)
        if self._leader is None or now_ms < self.due_ms:
            return
        self._last_request_ms = now_ms
        rows = self._collect_rows(now_ms)
        for request_rows in split_into_requests(rows):
            self._send_request(now_ms, request_rows)
        if rows or self.leaving:
            self.due_ms = now_ms + self._jittered_period_ms()
        else:
            self.due_ms = now_ms + self.term_ms / REQUESTS_PER_TERM

    def _send_request(self, now_ms: float, rows: list[pb.Row]) -> None:
        self.request_number += 1
        for row in rows:
            if row.book == self.epoch and row.upto_us > row.known_us:
                self.holdings[row.tenant].requested_at = self.request_number
        request = pb.Ask(book=self.epoch, no=self.request_number, pressed=self.under_pressure, rows=rows)
        self.outbox.append(OutgoingQuotaMessage(self._leader.name, request))
        self.request_sent_ms[self.request_number] = now_ms
        self.request_sent_ms.pop(self.request_number - MAX_REQUESTS_REMEMBERED, None)

    def _collect_rows(self, now_ms: float) -> list[pb.Row]:
        """Returns rows for what the ledger does not have yet; too many rows take turns over several ticks."""
        rows = []
        for tenant, demand in self.demands.items():
            overrun_us = self.overruns_us.get(tenant, 0)
            if self.leaving and not overrun_us:
                continue
            holding = self.holdings.setdefault(tenant, EscrowHolding())
            key = HoldingKey(self.epoch, tenant)
            row = return_surplus_and_build_row(now_ms, key, holding, demand, self.leaving, overrun_us)
            if must_be_sent(row, holding):
                rows.append(row)
        rows += [build_sealed_row(key, holding) for key, holding in self.sealed_holdings.items()]
        if len(rows) > MAX_ROWS_AT_ONCE:
            rows = select_rows(rows, self._rotation)
            self._rotation += MAX_ROWS_AT_ONCE // 2
        return rows

    def _jittered_period_ms(self) -> float:
        if self.random is None:
            return self.period_ms
        return self.period_ms * (MIN_PERIOD_JITTER + PERIOD_JITTER_RANGE * self.random.random())

    def _request_soon(self, now_ms: float) -> None:
        """Schedules a request for now, or for when `URGENT_REQUESTS_PER_PERIOD` allows it."""
        if self._leader:
            earliest_ms = self._last_request_ms + self.period_ms / URGENT_REQUESTS_PER_PERIOD
            self.due_ms = min(self.due_ms, max(now_ms, earliest_ms))

    # For operators.

    def status(self, now_ms: float) -> dict[str, TenantStatus]:
        """Returns the status of each tenant with a holding here, by name."""
        self.expire_if_due(now_ms)
        return {
            tenant: TenantStatus(
                holding.free_us / 1000,
                holding.spent_us / 1000,
                self.demands[tenant].debt_ms,
                self.demands[tenant].limit_ms,
            )
            for tenant, holding in self.holdings.items()
        }
