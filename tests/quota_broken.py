"""Rules of the quota broken on purpose: the audit of `quota_world` must find each."""

from contextlib import contextmanager
from unittest import mock

from quota_world import TERM_MS, World

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.escrow import TokenEscrow
from lichenquay.quota.escrow_holding import EscrowHolding
from lichenquay.quota.ledger import Ledger
from lichenquay.quota.ledger_leader import LedgerLeader
from lichenquay.quota.tenant_account import EntryTotals


class AnswersBeforeCommit(LedgerLeader):
    """Answers with what was decided, not with what is committed."""

    def write_batch(self, now_ms):
        """As it is written."""
        super().write_batch(now_ms)
        if self.pending_write:
            committed, self.committed = self.committed, self.speculative
            self.answer_requests(now_ms)
            self.committed = committed


class ExpiresTooSoon(LedgerLeader):
    """Writes an epoch off before its tokens have expired."""

    def __init__(self, *args):
        """After a part of the term."""
        super().__init__(*args)
        self.expiry_ms = 0.3 * TERM_MS


class NewLeaderExpiresAtOnce(LedgerLeader):
    """Takes gateways that it has not heard for silent when its term begins."""

    def refresh_leadership(self, now_ms):
        """As if its term had begun long ago."""
        leading = super().refresh_leadership(now_ms)
        self.term_started_ms = float("-inf")
        return leading


class TakesUncertainForCommitted(LedgerLeader):
    """Takes a write whose result is not known for committed."""

    def on_write_ended(self, now_ms, record, committed):
        """Whatever the result."""
        super().on_write_ended(now_ms, record, True)


class IgnoresIncarnation(LedgerLeader):
    """Takes what older incarnations report for the newest one's."""

    def on_message(self, now_ms, sender, request):
        """From the newest."""
        newest = self.pending.newest.get(sender[0], (0,))[0]
        super().on_message(now_ms, (sender[0], max(newest, sender[1])), request)


class AddsGrants(TokenEscrow):
    """Takes totals for further grants."""

    def apply_grant(self, now_ms, request_number, granted):
        """Adds them."""
        holding = self.holdings.setdefault(granted.tenant, EscrowHolding())
        holding.granted_us += granted.granted_us


class NeverExpires(TokenEscrow):
    """Spends tokens after their term."""

    def expire_if_due(self, now_ms):
        """Prolongs the term."""
        self.expires_at_ms = max(self.expires_at_ms, now_ms + 1)


class TakesAnyAnswer(TokenEscrow):
    """Counts answers to older incarnations, and to other gateways."""

    def on_message(self, now_ms, sender, answer):
        """As if it were for this one."""
        answer.front = self.gateway
        answer.incarnation = self.incarnation
        super().on_message(now_ms, sender, answer)


class ReusesEpoch(TokenEscrow):
    """Uses an epoch again that it has sealed."""

    def seal_epoch(self):
        """And goes on with the same number."""
        super().seal_epoch()
        self.epoch -= 1


def apply_repeatedly(self, record):
    """A `Ledger.apply` for records that come twice."""
    for change in record.changes:
        self.apply_change(change)
    self.record_number = max(self.record_number, record.no)
    return True


def add_returned(entry, row):
    """A `Ledger.merged_totals` that adds."""
    return EntryTotals(max(entry.spent_us, row.spent_us), entry.returned_us + row.returned_us, row.sealed)


def lend_without_limit(self, borrower, amount_us):
    """A `Ledger.decide_loan` that knows no limit."""
    lenders = (tenant for tenant in self.accounts if tenant != borrower)
    lender = max(lenders, key=lambda tenant: self.accounts[tenant].lendable_us)
    loan_us = min(amount_us, self.accounts[lender].lendable_us)
    if loan_us <= 0 or self.accounts[borrower].pool_us:
        return None
    loan = pb.Loan(id=self.last_loan_id + 1, lender=lender, borrower=borrower, amount_us=loan_us)
    return pb.Change(loan=loan)


def return_expired(self, expiry):
    """A `Ledger.apply_expiry` that gives back what the gateway held."""
    key = expiry.front, expiry.incarnation, expiry.book
    for tenant, entry in self.epochs.get(key, {}).items():
        account = self.accounts[tenant]
        unsettled_us = entry.unsettled_us
        entry.returned_us += unsettled_us
        account.held_us -= unsettled_us
        account.pool_us += unsettled_us


BROKEN_RULES = {
    "answered before it is committed": {"leader": AnswersBeforeCommit},
    "no wait for the term": {"leader": ExpiresTooSoon},
    "no wait of a new leader": {"leader": NewLeaderExpiresAtOnce},
    "uncertain taken for committed": {"leader": TakesUncertainForCommitted},
    "older incarnation's report counted": {"leader": IgnoresIncarnation},
    "grant counted twice": {"escrow": AddsGrants},
    "spent past the term": {"escrow": NeverExpires},
    "a closed epoch granted again": {"ledger": {"may_grant": lambda self, *key: True}},
    "another's answer counted": {"escrow": TakesAnyAnswer},
    "a sealed epoch used again": {"escrow": ReusesEpoch},
    "records and repayments not idempotent": {"ledger": {"apply": apply_repeatedly}},
    "returns added, not the larger total": {"ledger": {"merged_totals": staticmethod(add_returned)}},
    "limit not of the whole fleet": {"ledger": {"decide_loan": lend_without_limit}},
    "overdue does not bar": {"ledger": {"is_overdue": lambda self, tenant: False}},
    "what a silent gateway held is given back": {"ledger": {"apply_expiry": return_expired}},
}


@contextmanager
def broken(leader=LedgerLeader, escrow=TokenEscrow, ledger=None):
    """Worlds with this leader and escrow, and a ledger with these attributes replaced."""
    make_world = World.__init__
    parts = {"make_leader": leader, "make_escrow": escrow}
    with (
        mock.patch.multiple(Ledger, **ledger or {"UNUSED": 1}, create=True),
        mock.patch.object(
            World, "__init__", lambda self, *args, **kwargs: make_world(self, *args, **{**kwargs, **parts})
        ),
    ):
        yield
