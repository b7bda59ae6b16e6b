"""The leader of the quota ledger, at the gateway that holds the ledger's replicated group. No I/O.

The host calls `on_message` and `tick` and delivers the answers in `outbox`. Requests are collected for a
period, decided as one record, committed by the group, and only then answered. `lease.leadership_term`
describes the two ledgers, committed and speculative.
"""

from collections.abc import Iterable
from typing import NamedTuple

from google.protobuf.message import DecodeError

from lichenquay.lease.leadership_term import ReplicatedGroup, StateMachineLeader
from lichenquay.lease.settings import CLOCK_DRIFT_BOUND
from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.errors import ImplausibleReportError, LedgerError
from lichenquay.quota.ledger import Ledger
from lichenquay.quota.messages import OutgoingQuotaMessage
from lichenquay.quota.pending_requests import GatewayRequest, PendingRequests, UsageReport, is_plausible
from lichenquay.quota.tenant_account import EpochKey
from lichenquay.quota.token_allocation import ChangeBatch, TokenAllocation, demands_of

IDLE_PERIODS = 5  # periods between records while no gateway sends a request
EXPIRIES_REMEMBERED = 2  # expiry times for which the last message of a gateway is remembered
SCARCE_PERIODS = 10  # periods for which a tenant is scarce after it was last short of tokens


class PendingLedgerWrite(NamedTuple):
    """A write whose result is not known yet, and the lease generation that started it."""

    record: pb.Record
    lease_generation: int


class TenantLedgerStatus(NamedTuple):
    """The status of one tenant's account, in milliseconds of engine work."""

    pool_ms: float
    held_ms: float
    spent_ms: float
    debt_ms: float
    limit_ms: float


class LedgerLeader(StateMachineLeader[Ledger]):
    """Leads the quota ledger while its gateway holds the replicated group."""

    load_errors = (LedgerError, DecodeError)

    def __init__(
        self, group: ReplicatedGroup, accounts: Iterable[pb.Open], term_ms: float, period_ms: float = 200.0
    ):
        """Creates a leader that does not lead yet.

        `accounts`: the terms of each tenant; `term_ms`: after which a gateway's tokens expire.
        """
        super().__init__(group, "the quota's ledger")
        self.accounts = list(accounts)
        self.period_ms = period_ms
        # After this time without a message, a gateway's tokens have expired, also by a slow clock.
        self.expiry_ms = term_ms * (1 + CLOCK_DRIFT_BOUND)
        self.outbox: list[OutgoingQuotaMessage] = []
        self.due_ms = 0.0
        self.accrued_until_ms = 0.0
        self.last_record_ms = 0.0
        self.implausible_messages = 0
        self.shed_requests = 0
        self.misdirected_requests = 0
        self.loans_barred = 0
        self.records_committed = 0
        self.forget_term(0.0)

    # Leadership.

    def load(self, state: bytes, records: list[bytes]) -> Ledger:
        """Returns the ledger of a snapshot and the records after it."""
        return Ledger.load(state, records)

    def forget_term(self, now_ms: float) -> None:
        """Discards the requests of the term and which tenants were short of tokens."""
        self.pending = PendingRequests()
        self.unanswered: list[GatewayRequest] = []
        self.scarce_since_ms: dict[str, float] = {}

    def on_term_started(self, now_ms: float) -> None:
        """Starts accrual at the beginning of the term: time without a leader is not accrued."""
        self.accrued_until_ms = now_ms
        self.last_record_ms = now_ms

    # Requests of gateways.

    def on_message(self, now_ms: float, sender, request: pb.Ask) -> None:
        """Adds a token request to the next batch. `sender`: (gateway, incarnation)."""
        if not self.refresh_leadership(now_ms):
            self.misdirected_requests += 1
            return
        if self.pending.is_full:
            self.shed_requests += 1
            return
        if not is_plausible(request):
            self.implausible_messages += 1
            return
        gateway, incarnation = sender
        if self.pending.add(now_ms, gateway, incarnation, request):
            urgent = any(row.need_us for row in request.rows)
            wait_ms = self.period_ms / 2 if urgent else self.period_ms
            self.due_ms = min(self.due_ms, max(now_ms, self.last_record_ms + wait_ms))

    def tick(self, now_ms: float) -> None:
        """Writes a batch of the collected requests, or now and then one of elapsed time only."""
        self.due_ms = now_ms + self.period_ms
        if not self.refresh_leadership(now_ms) or self.pending_write:
            return
        if self.pending or now_ms >= self.last_record_ms + IDLE_PERIODS * self.period_ms:
            self.write_batch(now_ms)

    # One batch is decided on the speculative ledger, committed by the group, then answered.

    def write_batch(self, now_ms: float) -> None:
        """Decides one record of changes and writes it; if nothing changes, answers at once."""
        self.last_record_ms = now_ms
        requests = self.pending.take_requests()
        batch = ChangeBatch(self.speculative)
        for terms in self.accounts:
            batch.add(self.speculative.decide_account_terms(terms))
        elapsed_ms = self._take_elapsed_ms(now_ms)
        batch.add(self.speculative.decide_accrual(elapsed_ms))
        self._add_usage(batch, self.pending.take_reports())
        self._add_expiries(now_ms, batch)
        self._allocate(now_ms, batch, requests, elapsed_ms)
        self.pending.forget_before(now_ms - EXPIRIES_REMEMBERED * self.expiry_ms, self.speculative.epochs)
        self.unanswered = requests
        if batch.changes:
            self._write(now_ms, batch.changes)
        else:
            self.answer_requests(now_ms)

    def _take_elapsed_ms(self, now_ms: float) -> int:
        """Returns the whole milliseconds since the last accrual; the fraction is left for the next."""
        elapsed_ms = int(now_ms - self.accrued_until_ms)
        self.accrued_until_ms += elapsed_ms
        return elapsed_ms

    def _add_usage(self, batch: ChangeBatch, reports: Iterable[UsageReport]) -> None:
        for report in reports:
            try:
                batch.add(self.speculative.decide_usage(*report))
            except ImplausibleReportError:
                self.implausible_messages += 1

    def _add_expiries(self, now_ms: float, batch: ChangeBatch) -> None:
        for key in [key for key in self.speculative.epochs if key not in self.speculative.expired]:
            # A gateway without a request in this term may have sent one to the previous leader.
            last_message_ms = self.pending.last_message_ms.get(key, self.term_started_ms)
            if now_ms >= last_message_ms + self.expiry_ms:
                batch.add(self.speculative.decide_expiry(*key))

    def _allocate(
        self, now_ms: float, batch: ChangeBatch, requests: list[GatewayRequest], elapsed_ms: int
    ) -> None:
        allocation = TokenAllocation(batch, demands_of(self.speculative, requests))
        allocation.grant_from_pools(elapsed_ms)
        short_tenants = allocation.short_tenants
        self._update_scarcity(now_ms, short_tenants, allocation.plentiful_tenants)
        if not self.pending.is_fleet_under_pressure(now_ms - self.expiry_ms):
            allocation.lend(short_tenants)
            self.loans_barred += allocation.loans_barred

    def _update_scarcity(
        self, now_ms: float, short_tenants: Iterable[str], plentiful_tenants: Iterable[str]
    ) -> None:
        oldest_ms = now_ms - SCARCE_PERIODS * self.period_ms
        self.scarce_since_ms = {
            tenant: since_ms
            for tenant, since_ms in self.scarce_since_ms.items()
            if since_ms > oldest_ms and tenant not in plentiful_tenants
        }
        self.scarce_since_ms |= dict.fromkeys(short_tenants, now_ms)

    def _write(self, now_ms: float, changes: list[pb.Change]) -> None:
        record = pb.Record(no=self.committed.record_number + 1, changes=changes)
        self.speculative.record_number = record.no
        self.pending_write = PendingLedgerWrite(record, self.generation)
        self.group.append(
            now_ms,
            record.SerializeToString(),
            lambda ended_ms, committed: self.on_write_ended(ended_ms, record, committed),
        )

    def on_write_ended(self, now_ms: float, record: pb.Record, committed: bool | None) -> None:
        """Applies the group's result of a write; see `ReplicatedGroup.append`."""
        if not self.pending_write or record is not self.pending_write.record:
            return
        lease_generation = self.pending_write.lease_generation
        self.pending_write = None
        if not committed:
            self.step_down_after_write(now_ms, committed, lease_generation)
        if self.committed is None or self.generation != lease_generation:
            return
        self.committed.apply(record)
        self.records_committed += 1
        if self.refresh_leadership(now_ms):
            self.answer_requests(now_ms)

    def answer_requests(self, now_ms: float) -> None:
        """Sends the committed totals to the gateways whose requests were decided."""
        requests, self.unanswered = self.unanswered, []
        for gateway, incarnation, request in requests:
            answer = pb.Answer(
                front=gateway,
                incarnation=incarnation,
                generation=self.generation,
                book=request.book,
                no=request.no,
                closed=not self.committed.may_grant(gateway, incarnation, request.book),
            )
            for row in request.rows:
                granted = answer.rows.add(tenant=row.tenant, book=row.book)
                self._fill_granted(granted, EpochKey(gateway, incarnation, row.book))
            self.outbox.append(OutgoingQuotaMessage(gateway, answer))

    def _fill_granted(self, granted: pb.Granted, key: EpochKey) -> None:
        """Fills in the committed totals of the epoch `key` for the tenant in `granted`."""
        tenant = granted.tenant
        entry = self.committed.epochs.get(key, {}).get(tenant)
        account = self.committed.accounts.get(tenant)
        granted.gone = entry is None
        granted.scarce = tenant in self.scarce_since_ms
        if account is not None:
            granted.owes_us = account.debt_us
            granted.limit_us = account.terms.limit_us
        if entry is not None:
            granted.granted_us = entry.granted_us
            granted.spent_us = entry.spent_us
            granted.returned_us = entry.returned_us

    # For operators.

    def status(self) -> dict[str, TenantLedgerStatus]:
        """Returns the status of each account by tenant; empty if this process does not lead."""
        accounts = self.committed.accounts if self.committed else {}
        return {
            tenant: TenantLedgerStatus(
                account.pool_us / 1000,
                account.held_us / 1000,
                account.spent_us / 1000,
                account.debt_us / 1000,
                account.terms.limit_us / 1000,
            )
            for tenant, account in accounts.items()
        }
