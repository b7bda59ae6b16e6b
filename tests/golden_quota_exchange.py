"""A scripted exchange of the quota protocol between three gateways, with every message and record as bytes.

The clock, the network and the random source are deterministic, so revisions with the same behaviour produce
the same transcript. `golden/quota/transcript.json` was written by revision 0018238.
"""

from random import Random

from replicated_group import StableGroup

from lichenquay.quota import ledger_records
from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.escrow import TokenEscrow
from lichenquay.quota.ledger_leader import LedgerLeader

TERM_MS = 2_000.0
PERIOD_MS = 200.0
STEP_MS = 50
GENERATION = 3  # of the ledger's group
LEADER = "gateway-0"
GATEWAYS = (LEADER, "gateway-1", "gateway-2")
ACCOUNTS = tuple(
    pb.Open(
        tenant=tenant,
        rate_us=100_000,
        bucket_us=200_000,
        limit_us=100_000,
        term_ms=5_000,
        repay_permille=500,
        lend_permille=250,
    )
    for tenant in ("north", "south")
)
# (from ms, until ms, gateway, tenant, queries per second)
TRAFFIC = (
    (500, 3_000, "gateway-0", "north", 4),
    (500, 4_500, "gateway-1", "north", 16),
    (3_000, 4_500, "gateway-2", "south", 16),
    (4_500, 9_000, "gateway-1", "south", 4),
)
CUT_FROM_MS, CUT_UNTIL_MS = 5_000, 9_000  # all messages to and from gateway-2 are lost
SNAPSHOT_MS = 8_000  # by when the tokens held by gateway-2 are written off
END_MS = 12_000
QUERY_MS = 20.0
QUERY_DURATION_STEPS = 4


class Exchange:
    """The gateways, their messages in order, and the records of the ledger."""

    def __init__(self):
        """Starts at 0 ms, before the first message."""
        self.random = Random(11)
        self.group = StableGroup(GENERATION)
        self.leader = LedgerLeader(self.group, ACCOUNTS, TERM_MS, PERIOD_MS)
        stocks = {account.tenant: account.bucket_us // 12 for account in ACCOUNTS}
        self.escrows = {
            name: TokenEscrow(name, 1, stocks, TERM_MS, PERIOD_MS, Random(index))
            for index, name in enumerate(GATEWAYS)
        }
        for escrow in self.escrows.values():
            escrow.leader = LEADER, self.group.generation
        self.messages = []
        self.running_queries = []  # (end ms, gateway, ticket, work ms)
        self.admitted = 0
        self.state_with_expired_rows = b""

    def run(self):
        """Runs the whole script and returns self."""
        for now_ms in range(0, END_MS, STEP_MS):
            self.group.complete_writes(now_ms)
            if now_ms == SNAPSHOT_MS:
                self.state_with_expired_rows = self.leader.committed.state()
            self._send_queries(now_ms)
            for name, escrow in self.escrows.items():
                if now_ms >= escrow.due_ms:
                    escrow.tick(now_ms)
                self._deliver(now_ms, name, escrow)
            if now_ms >= self.leader.due_ms:
                self.leader.tick(now_ms)
            self._deliver(now_ms, LEADER, self.leader)
        return self

    def _send_queries(self, now_ms):
        ended = [query for query in self.running_queries if query[0] <= now_ms]
        self.running_queries = [query for query in self.running_queries if query[0] > now_ms]
        for _, name, ticket, work_ms in ended:
            self.escrows[name].settle(now_ms, ticket, work_ms)
        for from_ms, until_ms, name, tenant, rate in TRAFFIC:
            if not from_ms <= now_ms < until_ms or self.random.random() >= rate * STEP_MS / 1_000:
                continue
            ticket = (name, now_ms, tenant)
            if self.escrows[name].reserve(now_ms, tenant, QUERY_MS, ticket):
                self.admitted += 1
                work_ms = QUERY_MS * self.random.uniform(0.5, 1.5)
                self.running_queries.append((now_ms + QUERY_DURATION_STEPS * STEP_MS, name, ticket, work_ms))

    def _deliver(self, now_ms, sender, part):
        outbox, part.outbox[:] = list(part.outbox), []
        for to, body in outbox:
            message = pb.Message(answer=body) if part is self.leader else pb.Message(ask=body)
            self.messages.append(message.SerializeToString())
            if "gateway-2" in (sender, to) and CUT_FROM_MS <= now_ms < CUT_UNTIL_MS:
                continue
            if message.HasField("ask"):
                self.leader.on_message(now_ms, (sender, 1), message.ask)
            else:
                self.escrows[to].on_message(now_ms, (sender, self.group.generation), message.answer)

    def transcript(self):
        """Returns what is compared with the golden file: bytes as hexadecimal digits, amounts in us."""
        records = self.group.records
        pieces = [piece for record in records for piece in ledger_records.split(record)]
        half = len(pieces) // 2
        large_record = pb.Record(no=1, changes=[pb.Change(open=account) for account in ACCOUNTS] * 30)
        large_pieces = ledger_records.split(large_record.SerializeToString())
        base_after_half = ledger_records.fold(b"", pieces[:half])
        return {
            "admitted": self.admitted,
            "messages": [message.hex() for message in self.messages],
            "records": [record.hex() for record in records],
            "base_after_half": base_after_half.hex(),
            "base_at_end": ledger_records.fold(base_after_half, pieces[half:]).hex(),
            "state": self.leader.committed.state().hex(),
            "state_with_expired_rows": self.state_with_expired_rows.hex(),
            "accounts": amounts_of(self.leader.committed),
            "large_record_pieces": [piece.hex() for piece in large_pieces],
            "base_amid_a_record": ledger_records.fold(b"", large_pieces[:2]).hex(),
        }


def amounts_of(ledger):
    """Returns the amounts of each tenant in a ledger, by the names in the golden file."""
    return {
        tenant: {
            "pool": account.pool_us,
            "held": account.held_us,
            "spent": account.spent_us,
            "issued": account.issued_us,
            "lent": account.lent_us,
            "borrowed": account.borrowed_us,
            "repaid": account.repaid_us,
            "returned to the lender": account.collected_us,
            "written off": account.written_off_us,
            "overflowed": account.overflowed_us,
            "lost": account.lost_us,
            "outstanding": account.debt_us,
            "limit": account.terms.limit_us,
        }
        for tenant, account in ledger.accounts.items()
    }
