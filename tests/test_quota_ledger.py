"""The ledger's state machine: conservation of amounts, snapshots, write-offs, loans."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from quota_world import tenant_terms

from lichenquay.quota import ledger_records
from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.errors import ImplausibleReportError, LedgerError
from lichenquay.quota.ledger import Ledger
from lichenquay.quota.ledger_state import MAX_EXPIRED_EPOCHS

MS = 1000  # microseconds per millisecond


def ledger_of(*accounts):
    """Returns a ledger with these accounts, or by default with a and b."""
    ledger = Ledger()
    for terms in accounts or (tenant_terms("a"), tenant_terms("b")):
        ledger.apply_change(ledger.decide_account_terms(terms))
    return ledger


def commit(ledger, change):
    """Applies a record of the change unless it is None, checks the invariants, and returns the change."""
    if change is not None:
        ledger.apply(pb.Record(no=ledger.record_number + 1, changes=[change]))
        ledger.check()
    return change


def reported_row(tenant, known, spent, returned=0, sealed=False, epoch=1):
    """Returns a row of a request, with amounts in microseconds."""
    return pb.Row(
        tenant=tenant, book=epoch, known_us=known, spent_us=spent, returned_us=returned, sealed=sealed
    )


TENANTS = st.sampled_from("abc")
GATEWAYS = st.sampled_from(["f0", "f1"])
NUMBERS = st.integers(1, 3)  # of incarnations and epochs
AMOUNTS = st.integers(0, 300 * MS)
SHARES = st.floats(0, 1)
STEPS = st.one_of(
    st.tuples(st.just("accrual"), st.integers(0, 5000)),
    st.tuples(st.just("grant"), TENANTS, GATEWAYS, NUMBERS, NUMBERS, AMOUNTS),
    st.tuples(st.just("usage"), GATEWAYS, NUMBERS, NUMBERS, TENANTS, SHARES, SHARES, SHARES, st.booleans()),
    st.tuples(st.just("expiry"), GATEWAYS, NUMBERS, NUMBERS),
    st.tuples(st.just("loan"), TENANTS, AMOUNTS),
    st.tuples(st.just("recall"), TENANTS, AMOUNTS),
    st.tuples(st.just("terms"), TENANTS, st.integers(0, 300), st.integers(0, 300), st.integers(0, 200)),
)


def decide(ledger, step):
    """Returns the change of a step, or None."""
    kind, *arguments = step
    if kind == "usage":
        return decide_usage(ledger, *arguments)
    if kind == "recall":
        return ledger.decide_recall(*arguments, {})
    if kind == "terms":
        return ledger.decide_account_terms(tenant_terms(*arguments))
    return getattr(ledger, f"decide_{kind}")(*arguments)


def decide_usage(ledger, gateway, incarnation, epoch, tenant, known, spent, returned, sealed):
    """Returns the change for a report of these shares of a gateway's granted amount, or None."""
    entry = ledger.epochs.get((gateway, incarnation, epoch), {}).get(tenant)
    if entry is None:
        return ledger.decide_usage(gateway, incarnation, reported_row(tenant, 0, 0, 0, sealed, epoch))
    known_us = int(entry.granted_us * known)
    spent_us = int(known_us * spent)
    returned_us = int((known_us - spent_us) * returned)
    row = reported_row(tenant, known_us, spent_us, returned_us, sealed, epoch)
    try:
        return ledger.decide_usage(gateway, incarnation, row)
    except ImplausibleReportError:
        return None


@settings(max_examples=150, deadline=None)
@given(st.lists(STEPS, max_size=60))
def test_any_decisions_conserve_amounts_and_are_rebuilt_from_snapshot_and_records(steps):
    """Decisions come in any order, and every record is applied twice.

    A leader that reads a snapshot of any age, and the records after it, has the same ledger.
    """
    ledger = ledger_of(tenant_terms("a"), tenant_terms("b", limit=50), tenant_terms("c", rate=3))
    records = []
    states = []
    for step in steps:
        change = decide(ledger, step)
        if change is None:
            continue
        states.append(ledger.state())
        records.append(pb.Record(no=ledger.record_number + 1, changes=[change]))
        assert ledger.apply(records[-1])
        ledger.check()
        assert not ledger.apply(records[-1])
    for i in {0, len(states) // 2, len(states) - 1} & set(range(len(states))):
        later = [record.SerializeToString() for record in records[max(0, i - 2) :]]
        assert Ledger.load(states[i], later).state() == ledger.state()


def test_a_gap_in_the_records_and_a_newer_version_are_rejected():
    """So is a change of an unknown kind."""
    ledger = ledger_of()
    with pytest.raises(LedgerError, match="record 2 after 0"):
        ledger.apply(pb.Record(no=2))
    with pytest.raises(LedgerError, match="kind that is not known"):
        ledger.apply(pb.Record(no=1, changes=[pb.Change()]))
    with pytest.raises(LedgerError, match="version 9"):
        Ledger.load(pb.State(version=9).SerializeToString())


def test_written_off_tokens_are_returned_once_whatever_is_reported_and_how_often():
    """A report from before the expiry counts, and the last one returns the remaining tokens."""
    ledger = ledger_of()
    account = ledger.accounts["a"]
    commit(ledger, ledger.decide_grant("a", "f0", 1, 1, 60 * MS))
    commit(ledger, ledger.decide_expiry("f0", 1, 1))
    assert (account.held_us, account.written_off_us, account.pool_us) == (0, 60 * MS, 140 * MS)
    assert ledger.decide_grant("a", "f0", 1, 1, MS) is None  # the epoch is closed
    commit(ledger, ledger.decide_usage("f0", 1, reported_row("a", 40 * MS, 10 * MS)))
    assert (account.written_off_us, account.pool_us) == (50 * MS, 140 * MS)
    last = reported_row("a", 40 * MS, 25 * MS, 15 * MS, True)
    commit(ledger, ledger.decide_usage("f0", 1, last))
    assert (account.spent_us, account.written_off_us, account.pool_us) == (25 * MS, 0, 175 * MS)
    assert ledger.decide_usage("f0", 1, last) is None
    assert not ledger.epochs


def test_returned_written_off_tokens_do_not_exceed_the_bucket():
    """Tokens that do not fit count as overflow."""
    ledger = ledger_of()
    commit(ledger, ledger.decide_grant("a", "f0", 1, 1, 60 * MS))
    commit(ledger, ledger.decide_expiry("f0", 1, 1))
    commit(ledger, ledger.decide_accrual(10000))
    commit(ledger, ledger.decide_usage("f0", 1, reported_row("a", 60 * MS, 10 * MS, 50 * MS, True)))
    assert ledger.accounts["a"].pool_us == 200 * MS
    assert ledger.accounts["a"].overflowed_us == 50 * MS


def test_entries_of_a_gateway_that_restarts_often_are_bounded():
    """Tokens of the deleted entries are lost to the tenant."""
    ledger = ledger_of()
    for incarnation in range(1, MAX_EXPIRED_EPOCHS + 20):
        commit(ledger, ledger.decide_accrual(1000))
        commit(ledger, ledger.decide_grant("a", "f0", incarnation, 1, MS))
        commit(ledger, ledger.decide_expiry("f0", incarnation, 1))
    assert len(ledger.epochs) == MAX_EXPIRED_EPOCHS
    assert ledger.accounts["a"].lost_us == 19 * MS


def test_loans_require_an_empty_pool_stay_within_the_limit_and_are_repaid():
    """The lender is the tenant with the most unused tokens."""
    ledger = ledger_of(tenant_terms("a"), tenant_terms("b"), tenant_terms("c", bucket=1000))
    assert ledger.decide_loan("a", MS) is None  # its pool is not empty
    commit(ledger, ledger.decide_grant("a", "f0", 1, 1, 200 * MS))
    assert commit(ledger, ledger.decide_loan("a", 70 * MS)).loan.lender == "c"
    commit(ledger, ledger.decide_grant("a", "f0", 1, 1, 70 * MS))
    assert commit(ledger, ledger.decide_loan("a", 70 * MS)).loan.amount_us == 30 * MS
    commit(ledger, ledger.decide_grant("a", "f0", 1, 1, 30 * MS))
    assert ledger.decide_loan("a", MS) is None  # its debt has reached the limit
    account = ledger.accounts["a"]
    for _ in range(51):
        commit(ledger, ledger.decide_accrual(100))
        known_us = account.spent_us + account.held_us
        spent_us = account.spent_us + min(9 * MS, account.held_us)
        commit(ledger, ledger.decide_usage("f0", 1, reported_row("a", known_us, spent_us)))
        commit(ledger, ledger.decide_grant("a", "f0", 1, 1, account.pool_us))
    assert not ledger.loans  # half of 100 ms per second over 5 s repays the limit


def test_an_overdue_loan_bars_further_ones():
    """A loan is overdue once it is older than its term."""
    ledger = ledger_of(tenant_terms("a", term_ms=50), tenant_terms("b"))
    commit(ledger, ledger.decide_grant("a", "f0", 1, 1, 200 * MS))
    commit(ledger, ledger.decide_loan("a", 50 * MS))
    commit(ledger, ledger.decide_grant("a", "f0", 1, 1, 50 * MS))
    commit(ledger, ledger.decide_accrual(60))
    assert ledger.is_overdue("a")
    assert ledger.decide_loan("a", MS) is None


def test_repayment_takes_only_its_share_of_the_accrual_and_repays_the_oldest_loan_first():
    """The remaining accrual stays in the debtor's pool."""
    ledger = ledger_of(tenant_terms("a", repay=300), tenant_terms("b"), tenant_terms("c"))
    commit(ledger, ledger.decide_grant("a", "f0", 1, 1, 200 * MS))
    for amount_ms in (20, 30):
        commit(ledger, ledger.decide_loan("a", amount_ms * MS))
        commit(ledger, ledger.decide_grant("a", "f0", 1, 1, amount_ms * MS))
    commit(ledger, ledger.decide_usage("f0", 1, reported_row("a", 250 * MS, 250 * MS)))
    commit(ledger, ledger.decide_accrual(500))
    assert ledger.accounts["a"].repaid_us == 15 * MS
    assert ledger.accounts["a"].pool_us == 35 * MS
    assert (ledger.loans[1].repaid_us, ledger.loans[2].repaid_us) == (15 * MS, 0)
    commit(ledger, ledger.decide_accrual(500))
    assert list(ledger.loans) == [2]
    assert ledger.loans[2].repaid_us == 10 * MS


def test_a_lender_accrues_as_if_it_had_not_lent():
    """Its account accrues the same amount as in a ledger without the loan."""
    lending = ledger_of()
    without_loan = ledger_of()
    for ledger in (lending, without_loan):
        commit(ledger, ledger.decide_grant("a", "f0", 1, 1, 200 * MS))
        commit(ledger, ledger.decide_grant("b", "f0", 1, 1, 40 * MS))
        commit(ledger, ledger.decide_usage("f0", 1, reported_row("b", 40 * MS, 40 * MS)))
    commit(lending, lending.decide_loan("a", 60 * MS))
    for ledger in (lending, without_loan):
        for _ in range(100):
            commit(ledger, ledger.decide_accrual(100))
    assert not lending.loans
    assert lending.accounts["b"].issued_us == without_loan.accounts["b"].issued_us


def ledger_with_two_gateways():
    """Returns a ledger in which the epoch of f0 was written off and that of f1 is open."""
    ledger = ledger_of()
    for gateway in ("f0", "f1"):
        commit(ledger, ledger.decide_grant("a", gateway, 1, 1, 20 * MS))
    commit(ledger, ledger.decide_expiry("f0", 1, 1))
    commit(ledger, ledger.decide_loan("b", 5 * MS) or ledger.decide_accrual(10))
    return ledger


def cut_marks(state):
    """Drops the last mark whether a latest epoch is closed."""
    state.latest_closed.pop()


def cut_latest(state):
    """Drops the latest epoch of f1, and its mark."""
    del state.latest[-1], state.latest_closed[-1]


def repeat_latest(state):
    """Repeats a gateway's latest epoch."""
    state.latest.add(front="f0", incarnation=1, book=9)
    state.latest_closed.append(False)


def repeat_account(state):
    """Repeats an account."""
    state.accounts.add().CopyFrom(state.accounts[0])


def repeat_epoch(state):
    """Repeats an epoch."""
    state.books.add().CopyFrom(state.books[0])


def repeat_tenant(state):
    """Repeats a tenant in an epoch."""
    state.books[0].rows.add().CopyFrom(state.books[0].rows[0])


def drop_account(state):
    """Drops an account that has tokens in escrow."""
    del state.accounts[0]


def add_loan_of_nobody(state):
    """Adds a loan of tenants that have no account."""
    state.loans.add(id=99, lender="x", borrower="y", amount_us=5)


DAMAGES = (
    cut_marks,
    cut_latest,
    repeat_latest,
    repeat_account,
    repeat_epoch,
    repeat_tenant,
    drop_account,
    add_loan_of_nobody,
)


@pytest.mark.parametrize("damage", DAMAGES)
def test_a_damaged_snapshot_is_refused_in_one_line(damage):
    """Guards against a ledger that grants tokens again to an epoch that was written off."""
    state = pb.State.FromString(ledger_with_two_gateways().state())
    damage(state)
    with pytest.raises(LedgerError) as caught:
        Ledger.load(state.SerializeToString())
    assert "\n" not in str(caught.value)
    base = pb.Kept(state=state.SerializeToString()).SerializeToString()
    assert ledger_records.find_state_error(base, []) == str(caught.value)


def test_a_sound_snapshot_and_one_of_another_version_are_not_damaged():
    """A ledger of another version is stored and passed on as it is, but not led."""
    state = pb.State.FromString(ledger_with_two_gateways().state())
    sound = pb.Kept(state=state.SerializeToString()).SerializeToString()
    state.version = 7
    newer = pb.Kept(state=state.SerializeToString()).SerializeToString()
    assert ledger_records.find_state_error(sound, []) is None
    assert ledger_records.find_state_error(newer, []) is None
    assert ledger_records.find_state_error(b"", []) is None
    assert ledger_records.find_state_error(b"\xff", [])
