"""Rules of the quota broken on purpose; the audit of `quota_world` must detect each."""

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
    """Answers with decided amounts that are not committed yet."""

    def write_batch(self, now_ms):
        """Answers while the record is being written."""
        super().write_batch(now_ms)
        if self.pending_write:
            committed, self.committed = self.committed, self.speculative
            self.answer_requests(now_ms)
            self.committed = committed


class ExpiresTooSoon(LedgerLeader):
    """Writes an epoch off before its tokens have expired."""

    def __init__(self, *args):
        """Shortens the expiry time to a part of the term."""
        super().__init__(*args)
        self.expiry_ms = 0.3 * TERM_MS


class NewLeaderExpiresAtOnce(LedgerLeader):
    """Expires gateways at the start of its term if it has not received their requests."""

    def refresh_leadership(self, now_ms):
        """Pretends that the term started long ago."""
        leading = super().refresh_leadership(now_ms)
        self.term_started_ms = float("-inf")
        return leading


class TreatsUncertainAsCommitted(LedgerLeader):
    """Treats a write whose result is not known as committed."""

    def on_write_ended(self, now_ms, record, committed):
        """Reports every write as committed."""
        super().on_write_ended(now_ms, record, True)


class IgnoresIncarnation(LedgerLeader):
    """Attributes reports of older incarnations to the newest one."""

    def on_message(self, now_ms, sender, request):
        """Replaces the incarnation of the sender by the newest."""
        newest = self.pending.newest.get(sender[0], (0,))[0]
        super().on_message(now_ms, (sender[0], max(newest, sender[1])), request)


class AddsGrants(TokenEscrow):
    """Adds granted totals up, as if they were increments."""

    def apply_grant(self, now_ms, request_number, granted):
        """Adds the granted total."""
        holding = self.holdings.setdefault(granted.tenant, EscrowHolding())
        holding.granted_us += granted.granted_us


class NeverExpires(TokenEscrow):
    """Spends tokens after their term."""

    def expire_if_due(self, now_ms):
        """Extends the term instead of expiring it."""
        self.expires_at_ms = max(self.expires_at_ms, now_ms + 1)


class AcceptsAnyAnswer(TokenEscrow):
    """Accepts answers to other incarnations and other gateways."""

    def on_message(self, now_ms, sender, answer):
        """Readdresses the answer to this incarnation."""
        answer.front = self.gateway
        answer.incarnation = self.incarnation
        super().on_message(now_ms, sender, answer)


class ReusesEpoch(TokenEscrow):
    """Reuses an epoch that it has sealed."""

    def seal_epoch(self):
        """Seals the epoch, but keeps its number for the next one."""
        super().seal_epoch()
        self.epoch -= 1


def apply_repeatedly(self, record):
    """A `Ledger.apply` that applies repeated records again."""
    for change in record.changes:
        self.apply_change(change)
    self.record_number = max(self.record_number, record.no)
    return True


def add_returned(entry, row):
    """A `Ledger.merged_totals` that adds returned amounts instead of taking the larger total."""
    return EntryTotals(max(entry.spent_us, row.spent_us), entry.returned_us + row.returned_us, row.sealed)


def lend_without_limit(self, borrower, amount_us):
    """A `Ledger.decide_loan` that ignores the credit limit."""
    lenders = (tenant for tenant in self.accounts if tenant != borrower)
    lender = max(lenders, key=lambda tenant: self.accounts[tenant].lendable_us)
    loan_us = min(amount_us, self.accounts[lender].lendable_us)
    if loan_us <= 0 or self.accounts[borrower].pool_us:
        return None
    loan = pb.Loan(id=self.last_loan_id + 1, lender=lender, borrower=borrower, amount_us=loan_us)
    return pb.Change(loan=loan)


def return_expired(self, expiry):
    """A `Ledger.apply_expiry` that returns held tokens to the pool."""
    key = expiry.front, expiry.incarnation, expiry.book
    for tenant, entry in self.epochs.get(key, {}).items():
        account = self.accounts[tenant]
        unsettled_us = entry.unsettled_us
        entry.returned_us += unsettled_us
        account.held_us -= unsettled_us
        account.pool_us += unsettled_us


BROKEN_RULES = {
    "answers before the commit": {"leader": AnswersBeforeCommit},
    "an epoch expires before its term": {"leader": ExpiresTooSoon},
    "a new leader expires epochs at once": {"leader": NewLeaderExpiresAtOnce},
    "an uncertain write counts as committed": {"leader": TreatsUncertainAsCommitted},
    "a report of an older incarnation counts for the newest": {"leader": IgnoresIncarnation},
    "a granted total is added up": {"escrow": AddsGrants},
    "tokens are spent after their term": {"escrow": NeverExpires},
    "a closed epoch is granted tokens": {"ledger": {"may_grant": lambda self, *key: True}},
    "an answer to another gateway counts": {"escrow": AcceptsAnyAnswer},
    "a sealed epoch is reused": {"escrow": ReusesEpoch},
    "a repeated record is applied again": {"ledger": {"apply": apply_repeatedly}},
    "returned totals are added up": {"ledger": {"merged_totals": staticmethod(add_returned)}},
    "loans exceed the credit limit": {"ledger": {"decide_loan": lend_without_limit}},
    "an overdue loan does not bar further ones": {"ledger": {"is_overdue": lambda self, tenant: False}},
    "tokens of a silent gateway return to the pool": {"ledger": {"apply_expiry": return_expired}},
}


@contextmanager
def broken(leader=LedgerLeader, escrow=TokenEscrow, ledger=None):
    """Makes worlds use this leader and escrow, and replaces these attributes of Ledger."""
    make_world = World.__init__
    parts = {"make_leader": leader, "make_escrow": escrow}
    with (
        mock.patch.multiple(Ledger, **ledger or {"UNUSED": 1}, create=True),
        mock.patch.object(
            World, "__init__", lambda self, *args, **kwargs: make_world(self, *args, **{**kwargs, **parts})
        ),
    ):
        yield
