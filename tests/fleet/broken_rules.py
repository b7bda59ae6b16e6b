"""Rules of the fleet's layers, each broken on purpose: RULES maps a name to a function that returns a context
in which the rule is broken.

FOUND has, for each rule, the mutant of the scenario (seed SEED) that finds it: (number of the message, its
kind, mutation); 0 means that every run finds it, without a mutation. Rules that are not in FOUND were found
by no single mutation of those tried (some 200 each), as other rules compensate for them; no test breaks them,
and no figure counts them.
"""

from contextlib import ExitStack
from unittest.mock import patch

from lichenquay.fleet.errors import DroppedDatagramError
from lichenquay.fleet.message_envelope import CHECKSUM, MessageEnvelope, OpenedDatagram
from lichenquay.lease.leadership import Leadership
from lichenquay.lease.messages import AppendReply
from lichenquay.lease.voter import Voter
from lichenquay.membership.member_state import MemberState
from lichenquay.membership.member_table import MemberTable
from lichenquay.membership.message_handling import MessageHandler
from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.escrow import TokenEscrow
from lichenquay.quota.ledger import Ledger
from lichenquay.quota.ledger_leader import LedgerLeader
from lichenquay.quota.tenant_account import EntryTotals

RULES = {}


def rule(name):
    """Registers the decorated function, which returns [(class, attribute, replacement)], as a broken rule."""

    def register(make_patches):
        def patched():
            stack = ExitStack()
            for target, attribute, new in make_patches():
                stack.enter_context(patch.object(target, attribute, new))
            return stack

        RULES[name] = patched
        return make_patches

    return register


# the envelope


def without_check(check):
    """Returns the patches that make the envelope accept datagrams which this check rejects."""
    real = MessageEnvelope.open

    def open_(self, data):
        from lichenquay.fleet import fleet_pb2

        try:
            return real(self, data)
        except DroppedDatagramError as error:
            if str(error) != check:
                raise
            datagram = fleet_pb2.Datagram.FromString(bytes(data[CHECKSUM.size :]))
            return OpenedDatagram(datagram.sender, datagram.incarnation, datagram.layer, datagram.body)

    return [(MessageEnvelope, "open", open_)]


@rule("receiver not checked")
def _():
    return without_check("for another")


@rule("checksum not checked")
def _():
    return without_check("unreadable")


# members


@rule("members: no incarnation check")
def _():
    real = MessageHandler.handle

    def handle(self, name, incarnation, message):
        member = self.table.get(name)
        return real(
            self,
            name,
            max(incarnation, member.incarnation) if member and name != self.name else incarnation,
            message,
        )

    return [(MessageHandler, "handle", handle)]


@rule("members: an older claim is accepted")
def _():
    real = MemberTable.apply

    def apply(self, now_ms, record):
        member = self.members.get(record.name)
        if member and record.incarnation == member.incarnation and record.precedence < member.precedence:
            member.refutation = 0
            if not member.state.is_live:
                member.state = MemberState.SUSPECT
        return real(self, now_ms, record)

    return [(MemberTable, "apply", apply)]


# owner


@rule("owner: no generation fence")
def _():
    def reply_to_append(self, now_ms):
        append = self.last_append
        self.supported_leader = self._promised_process
        self.no_grants_until_ms = now_ms + self.settings.expiry_wait_ms
        reply = AppendReply(append.generation, append.number, append.echo_token, self.log.position)
        self.send(append.leader, reply)

    return [
        (Voter, "_is_outdated", lambda self, sender, message: False),
        (Voter, "_reply_to_append", reply_to_append),
    ]


@rule("owner: one generation promised to two")
def _():
    real = Voter.on_acquire_request

    def on_acquire_request(self, now_ms, sender, request):
        is_promised = request.generation == self.promise.generation
        if not self.is_writing and not self.is_recovering and is_promised:
            self._grant(sender, request)
        else:
            real(self, now_ms, sender, request)

    return [(Voter, "on_acquire_request", on_acquire_request)]


@rule("owner: a promise is not stored")
def _():
    real = Voter._write

    def write(self, pending):
        store = self.store

        def store_without_promise(changes):
            if pending.request is not None and self.promise.generation:
                changes["promise"] = self.promise.SerializeToString()
            store(changes)

        self.store = store_without_promise
        try:
            real(self, pending)
        finally:
            self.store = store

    return [(Voter, "_write", write)]


@rule("owner: appends are acknowledged before they are stored")
def _():
    real = Voter._write

    def write(self, pending):
        real(self, pending)
        if pending.request is None and self.last_append and not self.is_recovering:
            old_log, self.log = self.log, pending.log
            self._reply_to_append(0)
            self.log = old_log

    reply = Voter._reply_to_append

    def reply_and_keep_later_limit(self, now_ms):
        no_grants_until_ms = self.no_grants_until_ms
        reply(self, now_ms)
        self.no_grants_until_ms = max(no_grants_until_ms, self.no_grants_until_ms)

    return [(Voter, "_write", write), (Voter, "_reply_to_append", reply_and_keep_later_limit)]


@rule("owner: no wait after a start")
def _():
    real = Voter.__init__

    def init(self, rng, settings, now_ms, *extra):
        real(self, rng, settings, now_ms, *extra)
        self.no_grants_until_ms = now_ms

    return [(Voter, "__init__", init)]


@rule("owner: no wait for another's lease")
def _():
    real = Voter._reply_to_append

    def reply(self, now_ms):
        real(self, now_ms)
        self.no_grants_until_ms = now_ms

    return [(Voter, "_reply_to_append", reply)]


@rule("owner: the lease counts from the reply")
def _():
    real = Leadership.on_append_reply

    def on_append_reply(self, now_ms, sender, reply):
        if self._is_current(sender.name, reply):
            voter = self.quorum.voters[sender.name]
            append = voter.sent_appends.get(reply.number)
            if append and append.echo_token == reply.echo_token and reply.position:
                voter.supports_since_ms = max(voter.supports_since_ms, now_ms)
        real(self, now_ms, sender, reply)

    return [(Leadership, "on_append_reply", on_append_reply)]


# quota


@rule("quota: a grant counts twice")
def _():
    """As if an answer contained the increase of a grant, not its total."""
    real, tick = TokenEscrow.apply_grant, TokenEscrow.tick

    def tick_and_record(self, now_ms):
        """Keeps what was granted at each request."""
        before = self.request_number
        tick(self, now_ms)
        for number in range(before + 1, self.request_number + 1):
            granted_us = {tenant: holding.granted_us for tenant, holding in self.holdings.items()}
            self.__dict__.setdefault("granted_at", {})[number] = granted_us

    def apply_grant(self, now_ms, number, granted):
        tenant = granted.tenant
        holding = self.holdings.get(tenant)
        more_us = granted.granted_us - self.__dict__.get("granted_at", {}).get(number, {}).get(tenant, 0)
        granted_us = (holding.granted_us if holding else 0) + max(0, more_us)
        real(self, now_ms, number, granted)
        if tenant in self.holdings and not granted.gone:
            self.holdings[tenant].granted_us = granted_us

    return [(TokenEscrow, "apply_grant", apply_grant), (TokenEscrow, "tick", tick_and_record)]


@rule("quota: the last total counts, not the largest")
def _():
    def merged_totals(entry, row):
        never_received_us = entry.granted_us - row.known_us if row.sealed else 0
        return EntryTotals(row.spent_us, row.returned_us + never_received_us, entry.sealed or row.sealed)

    return [(Ledger, "merged_totals", staticmethod(merged_totals))]


@rule("quota: expired tokens are returned twice")
def _():
    real = Ledger.apply_usage

    def apply_usage(self, report):
        key = report.front, report.incarnation, report.row.book
        entry = self.epochs.get(key, {}).get(report.row.tenant)
        expired, before_us = key in self.expired, entry and entry.returned_us
        real(self, report)
        if entry is not None and expired and entry.returned_us > before_us:
            account = self.accounts[report.row.tenant]
            account.pool_us += entry.returned_us - before_us
            account.issued_us += entry.returned_us - before_us

    return [(Ledger, "apply_usage", apply_usage)]


@rule("quota: the term counts from the answer")
def _():
    real = TokenEscrow.on_message

    def on_message(self, now_ms, sender, answer):
        real(self, now_ms, sender, answer)
        known = answer.book == self.epoch and answer.no in self.request_sent_ms
        if known and self.holdings and not answer.closed:
            self.expires_at_ms = max(self.expires_at_ms, now_ms + self.term_ms)

    return [(TokenEscrow, "on_message", on_message)]


@rule("quota: spends after the term")
def _():
    def expire_if_due(self, now_ms):
        if self.expires_at_ms != float("-inf"):
            self.expires_at_ms = max(self.expires_at_ms, now_ms + 1)

    return [(TokenEscrow, "expire_if_due", expire_if_due)]


@rule("quota: answered before the record is committed")
def _():
    real = LedgerLeader.write_batch

    def write_batch(self, now_ms):
        real(self, now_ms)
        if self.pending_write:
            committed, self.committed = self.committed, self.speculative
            self.answer_requests(now_ms)
            self.committed = committed

    return [(LedgerLeader, "write_batch", write_batch)]


@rule("quota: an answer to another incarnation counts")
def _():
    real = TokenEscrow.on_message

    def on_message(self, now_ms, sender, answer):
        readdressed = pb.Answer()
        readdressed.CopyFrom(answer)
        readdressed.incarnation = self.incarnation
        real(self, now_ms, sender, readdressed)

    return [(TokenEscrow, "on_message", on_message)]


@rule("quota: a closed epoch gets grants")
def _():
    real = LedgerLeader.on_message

    def on_message(self, now_ms, sender, request):
        self.pending.newest.pop(sender[0], None)
        real(self, now_ms, sender, request)

    return [
        (Ledger, "may_grant", lambda self, gateway, incarnation, epoch: True),
        (LedgerLeader, "on_message", on_message),
    ]


@rule("quota: a new leader does not wait")
def _():
    real = LedgerLeader.write_batch

    def write_batch(self, now_ms):
        self.term_started_ms = float("-inf")
        real(self, now_ms)

    return [(LedgerLeader, "write_batch", write_batch)]


@rule("quota: a debt limit for each gateway")
def _():
    real = Ledger.apply_account_terms

    def apply_account_terms(self, terms):
        tripled = pb.Open()
        tripled.CopyFrom(terms)
        tripled.limit_us *= 3
        real(self, tripled)

    return [(Ledger, "apply_account_terms", apply_account_terms)]


@rule("quota: a repayment counts twice")
def _():
    real = Ledger._repay_loan

    def repay_loan(self, loan, amount_us):
        lender = self.accounts[loan.lender]
        real(self, loan, amount_us)
        lender.pool_us += amount_us

    return [(Ledger, "_repay_loan", repay_loan)]


SEED = 12
FOUND = {
    "receiver not checked": (192, "members ack", "to another"),
    "checksum not checked": (111, "quota ask", "flipped"),
    "members: no incarnation check": (1242, "members leave", "late past its sender"),
    "members: an older claim is accepted": (156, "members ping", "late past its sender"),
    "owner: appends are acknowledged before they are stored": (1109, "owner round", "lost"),
    "owner: no wait after a start": (1264, "members ack", "late past the next"),
    "owner: no wait for another's lease": (0, "", "none"),
    "owner: the lease counts from the reply": (492, "owner ack", "late past the next"),
    "quota: a grant counts twice": (0, "", "none"),
    "quota: the last total counts, not the largest": (280, "quota ask", "doubled, late"),
    "quota: expired tokens are returned twice": (433, "quota ask", "late past its receiver"),
    "quota: spends after the term": (433, "quota ask", "late past its receiver"),
    "quota: answered before the record is committed": (0, "", "none"),
    "quota: an answer to another incarnation counts": (203, "quota answer", "late past its receiver"),
    "quota: a closed epoch gets grants": (831, "quota ask", "late past its sender"),
    "quota: a new leader does not wait": (0, "", "none"),
    "quota: a debt limit for each gateway": (0, "", "none"),
    "quota: a repayment counts twice": (0, "", "none"),
}
