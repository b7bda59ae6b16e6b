"""A gateway's escrow tokens: what it may spend of each tenant's quota without asking anybody. No I/O.

`reserve` when a query comes, `settle` when its work is known. `on_message`, `tick`, `due_ms` and
`outbox` are the exchange with the ledger's leader, which the host names (`leader`; None: not known).

The tokens of an epoch expire together, `term_ms` after the sending of the last request that was
answered, by this gateway's clock. An expired epoch is sealed: nothing is reserved from it any more, and
its totals are reported until the ledger has them. Tokens are whole microseconds of engine work, times
milliseconds.
"""

from collections.abc import Hashable, Mapping
from random import Random
from typing import NamedTuple

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.escrow_demand import TenantDemand
from lichenquay.quota.escrow_holding import EscrowHolding, HoldingKey, QueryReservation, ReportedTotals
from lichenquay.quota.messages import LeaderAddress, OutgoingMessage
from lichenquay.quota.token_requests import (
    MAX_ROWS_AT_ONCE,
    in_requests,
    must_be_sent,
    open_row,
    sealed_row,
    select_rows,
)

NEVER_MS = float("inf")
LONG_AGO_MS = float("-inf")
MAX_REQUESTS_REMEMBERED = 64  # with their sending times
HINT_PERIODS = 10  # how long scarcity and debt count after the leader's last answer
REQUESTS_PER_TERM = 4  # while there is nothing to request
URGENT_REQUESTS_PER_PERIOD = 4
MIN_PERIOD_JITTER = 0.9
PERIOD_JITTER_RANGE = 0.2


class TenantStatus(NamedTuple):
    """Of one tenant, in milliseconds of engine work: free and spent here; debt and limit in the fleet."""

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
        """`idle_stocks_us`: by tenant, the tokens that are held even without queries.

        `random`: jitter of requests.
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
        self.overruns_us: dict[str, int] = {}  # work that no token has paid yet
        self.demands = {tenant: TenantDemand(stock_us) for tenant, stock_us in idle_stocks_us.items()}
        self.under_pressure = False  # no room for work beyond quota; reported to the leader
        self.leaving = False
        self.outbox: list[OutgoingMessage] = []
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
        """Who leads the ledger. While it is not known, the tokens held are spent until they expire."""
        return self._leader

    @leader.setter
    def leader(self, leader: LeaderAddress | None) -> None:
        if leader != self._leader:
            self._leader = LeaderAddress(*leader) if leader else None
            self.due_ms = LONG_AGO_MS if leader else NEVER_MS

    # Queries.

    def reserve(self, now_ms: float, tenant: str, estimate_ms: float, ticket: Hashable) -> bool:
        """Whether the tokens held cover a query.

        If so, its estimate is reserved until its ticket is settled.
        """
        self.expire_if_due(now_ms)
        demand = self.demands.get(tenant)
        if demand is None or self.leaving:
            return False
        amount_us = max(1, round(estimate_ms * 1000))
        demand.record_query(now_ms, amount_us)
        holding = self.holdings.get(tenant)
        covered = (
            holding is not None
            and now_ms < self.expires_at_ms
            and not self.overruns_us.get(tenant)
            and holding.free_us >= amount_us
        )
        if covered:
            holding.reserved_us += amount_us
            self.reservations[ticket] = QueryReservation(tenant, holding, amount_us)
        if not covered or holding.free_us < demand.low_water_us:
            self._request_soon(now_ms)
        return covered

    def settle(self, now_ms: float, ticket: Hashable, work_ms: float) -> None:
        """A query ended with this work; 0 for one that no engine can have run.

        A ticket that is not known is ignored.

        The rest of its estimate is free again. Work over the estimate is paid from what is held, then by
        later grants.
        """
        self.expire_if_due(now_ms)
        reservation = self.reservations.pop(ticket, None)
        if reservation is None:
            return
        tenant = reservation.tenant
        unpaid_us = reservation.holding.settle(reservation.amount_us, max(0, round(work_ms * 1000)))
        if unpaid_us > 0:
            self.overruns_us[tenant] = self.overruns_us.get(tenant, 0) + unpaid_us
            self._pay_overrun(tenant)
            self._request_soon(now_ms)

    def settle_at_estimate(self, now_ms: float, ticket: Hashable) -> None:
        """A query may have run and its work will never be known, as it failed or its client left.

        Without this charge, clients that disconnect early would run for nothing.
        """
        reservation = self.reservations.get(ticket)
        self.settle(now_ms, ticket, reservation.amount_us / 1000 if reservation else 0)

    def _pay_overrun(self, tenant: str) -> None:
        holding = self.holdings.get(tenant)
        overrun_us = self.overruns_us.get(tenant, 0)
        if holding is not None and overrun_us:
            self.overruns_us[tenant] = overrun_us - holding.pay(overrun_us)

    # Epochs.

    def expire_if_due(self, now_ms: float) -> None:
        """Seals the epoch once its term has ended.

        Otherwise a gateway that was cut off or paused would spend what the leader has written off.
        """
        if self.expires_at_ms != LONG_AGO_MS and now_ms >= self.expires_at_ms:
            self.expiries += 1
            self.seal_epoch()
            if self._leader:
                self._request_soon(now_ms)

    def seal_epoch(self) -> None:
        """Begins the next epoch, without tokens; of this one, only totals are reported."""
        for tenant, holding in self.holdings.items():
            holding.seal(self.request_number)
            self.sealed_holdings[HoldingKey(self.epoch, tenant)] = holding
        self.holdings = {}
        self.expires_at_ms = LONG_AGO_MS
        self.epoch += 1

    def return_all(self, now_ms: float) -> None:
        """Before a shutdown: nothing is reserved any more, and what no open query has reserved is returned.

        Later grants pay overruns alone; without that, a tenant could overrun at a gateway and its debt would
        end with the process. `leaving` is set back when the gateway stays after all.
        """
        self.leaving = True
        self.seal_epoch()
        if self._leader:
            self.due_ms = now_ms

    @property
    def is_returned(self) -> bool:
        """After `return_all`: whether the ledger has all of it."""
        unfinished = self.sealed_holdings or self.holdings or self.reservations
        return self.leaving and not (unfinished or any(self.overruns_us.values()))

    # Exchange with the ledger's leader.

    def on_message(self, now_ms: float, sender, answer: pb.Answer) -> None:
        """The leader's answer. Totals only rise, so that a late or repeated answer changes nothing."""
        self.expire_if_due(now_ms)
        if not self._is_plausible(answer):
            self.implausible_answers += 1
            return
        current = answer.book == self.epoch
        if current and answer.closed:
            self.seal_epoch()
            current = False
        elif current:
            sent_ms = self.request_sent_ms.get(answer.no, LONG_AGO_MS)
            self.expires_at_ms = max(self.expires_at_ms, sent_ms + self.term_ms)
        for granted in answer.rows:
            if granted.book == self.epoch and current:
                self.apply_grant(now_ms, answer.no, granted)
            elif granted.book < self.epoch:
                self._apply_sealed(answer.no, granted)
        self.expire_if_due(now_ms)
        if self.leaving and self.holdings and not any(self.overruns_us.values()):
            self.seal_epoch()
        if current and self.due_ms > now_ms + self._jittered_period_ms():
            self.due_ms = now_ms + self._jittered_period_ms()

    def _is_plausible(self, answer: pb.Answer) -> bool:
        """Whether an answer is for this incarnation, and its rows are of epochs and tenants that it has."""
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
        """The leader's totals of a holding of the current epoch."""
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
        self._pay_overrun(tenant)

    def _apply_sealed(self, request_number: int, granted: pb.Granted) -> None:
        key = HoldingKey(granted.book, granted.tenant)
        holding = self.sealed_holdings.get(key)
        if granted.gone:
            # An answer to a request from before the sealing proves nothing: the entry may have been made
            # later.
            if holding is not None and request_number > holding.sealed_at:
                del self.sealed_holdings[key]
        elif holding is None:  # granted when the epoch was sealed already: all of it is returned
            self.sealed_holdings[key] = EscrowHolding(self.request_number)

    def tick(self, now_ms: float) -> None:
        """Sends token requests when they are due."""
        self.expire_if_due(now_ms)
        if self._leader is None or now_ms < self.due_ms:
            return
        self._last_request_ms = now_ms
        rows = self._rows_to_send(now_ms)
        for request_rows in in_requests(rows):
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
        self.outbox.append(OutgoingMessage(self._leader.name, request))
        self.request_sent_ms[self.request_number] = now_ms
        self.request_sent_ms.pop(self.request_number - MAX_REQUESTS_REMEMBERED, None)

    def _rows_to_send(self, now_ms: float) -> list[pb.Row]:
        """Needs, returns and totals that the ledger does not have yet; in turns if there are too many."""
        rows = []
        for tenant, demand in self.demands.items():
            overrun_us = self.overruns_us.get(tenant, 0)
            if self.leaving and not overrun_us:
                continue
            holding = self.holdings.setdefault(tenant, EscrowHolding())
            key = HoldingKey(self.epoch, tenant)
            row = open_row(now_ms, key, holding, demand, self.leaving, overrun_us)
            if must_be_sent(row, holding):
                rows.append(row)
        rows += [sealed_row(key, holding) for key, holding in self.sealed_holdings.items()]
        if len(rows) > MAX_ROWS_AT_ONCE:
            rows = select_rows(rows, self._rotation)
            self._rotation += MAX_ROWS_AT_ONCE // 2
        return rows

    def _jittered_period_ms(self) -> float:
        if self.random is None:
            return self.period_ms
        return self.period_ms * (MIN_PERIOD_JITTER + PERIOD_JITTER_RANGE * self.random.random())

    def _request_soon(self, now_ms: float) -> None:
        """A request at once, but at most `URGENT_REQUESTS_PER_PERIOD`."""
        if self._leader:
            earliest_ms = self._last_request_ms + self.period_ms / URGENT_REQUESTS_PER_PERIOD
            self.due_ms = min(self.due_ms, max(now_ms, earliest_ms))

    # For operators.

    def status(self, now_ms: float) -> dict[str, TenantStatus]:
        """Of each tenant with tokens here."""
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
