import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from quota_world import figures

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.errors import ImplausibleReportError, LedgerError
from lichenquay.quota.ledger import Ledger
from lichenquay.quota.ledger_state import MAX_EXPIRED_EPOCHS

MS = 1000


def ledger(*accounts):
    out = Ledger()
    for f in accounts or (figures("a"), figures("b")):
        out.apply_change(out.decide_account_terms(f))
    return out


def do(led, change):
    if change is not None:
        led.apply(pb.Record(no=led.record_number + 1, changes=[change]))
        led.check()
    return change


def word(tenant, known, spent, returned=0, sealed=False, book=1):
    return pb.Row(
        tenant=tenant, book=book, known_us=known, spent_us=spent, returned_us=returned, sealed=sealed
    )


NAMES, FRONTS = st.sampled_from("abc"), st.sampled_from(["f0", "f1"])
WORK = st.integers(0, 300 * MS)
STEPS = st.one_of(
    st.tuples(st.just("accrual"), st.integers(0, 5000)),
    st.tuples(st.just("grant"), NAMES, FRONTS, st.integers(1, 3), st.integers(1, 3), WORK),
    st.tuples(
        st.just("usage"),
        FRONTS,
        st.integers(1, 3),
        st.integers(1, 3),
        NAMES,
        st.floats(0, 1),
        st.floats(0, 1),
        st.floats(0, 1),
        st.booleans(),
    ),
    st.tuples(st.just("expiry"), FRONTS, st.integers(1, 3), st.integers(1, 3)),
    st.tuples(st.just("loan"), NAMES, WORK),
    st.tuples(st.just("recall"), NAMES, WORK),
    st.tuples(st.just("open"), NAMES, st.integers(0, 300), st.integers(0, 300), st.integers(0, 200)),
)


def decide(led, step):
    kind, *of = step
    if kind == "usage":
        front, incarnation, book, tenant, *shares, sealed = of
        have = led.epochs.get((front, incarnation, book), {}).get(tenant)
        if have is None:
            return led.decide_usage(front, incarnation, word(tenant, 0, 0, 0, sealed, book))
        known = int(have.granted_us * shares[0])
        spent = int(known * shares[1])
        row = word(tenant, known, spent, int((known - spent) * shares[2]), sealed, book)
        try:
            return led.decide_usage(front, incarnation, row)
        except ImplausibleReportError:
            return None
    if kind == "recall":
        return led.decide_recall(*of, {})
    if kind == "open":
        return led.decide_account_terms(figures(of[0], *of[1:]))
    return getattr(led, f"decide_{kind}")(*of)


@settings(max_examples=150, deadline=None)
@given(st.lists(STEPS, max_size=60))
def test_whatever_is_decided_conserves_and_is_rebuilt_from_snapshot_and_records(steps):
    """Any order of decisions; every record comes twice; a keeper that reads a snapshot of any age has the same."""
    led, records, states = ledger(figures("a"), figures("b", limit=50), figures("c", rate=3)), [], []
    for step in steps:
        change = decide(led, step)
        if change is None:
            continue
        states.append(led.state())
        records.append(pb.Record(no=led.record_number + 1, changes=[change]))
        assert led.apply(records[-1])
        led.check()
        assert not led.apply(records[-1])
    for i in {0, len(states) // 2, len(states) - 1} & set(range(len(states))):
        again = Ledger.load(states[i], [r.SerializeToString() for r in records[max(0, i - 2) :]])
        assert again.state() == led.state()


def test_a_gap_in_the_records_and_a_newer_version_are_refused():
    led = ledger()
    with pytest.raises(LedgerError, match="record 2 after 0"):
        led.apply(pb.Record(no=2))
    with pytest.raises(LedgerError, match="kind that is not known"):
        led.apply(pb.Record(no=1, changes=[pb.Change()]))
    with pytest.raises(LedgerError, match="version 9"):
        Ledger.load(pb.State(version=9).SerializeToString())


def test_what_was_written_off_comes_back_once_whatever_is_told_and_how_often():
    led = ledger()
    do(led, led.decide_grant("a", "f0", 1, 1, 60 * MS))
    do(led, led.decide_expiry("f0", 1, 1))
    account = led.accounts["a"]
    assert (account.held_us, account.written_off_us) == (0, 60 * MS) and account.pool_us == 140 * MS
    assert led.decide_grant("a", "f0", 1, 1, MS) is None  # the book is closed
    do(led, led.decide_usage("f0", 1, word("a", 40 * MS, 10 * MS)))  # from before: not its last word
    assert account.written_off_us == 50 * MS and account.pool_us == 140 * MS
    last = word("a", 40 * MS, 25 * MS, 15 * MS, True)
    do(led, led.decide_usage("f0", 1, last))
    assert (account.spent_us, account.written_off_us, account.pool_us) == (25 * MS, 0, 175 * MS)
    assert led.decide_usage("f0", 1, last) is None and not led.epochs


def test_a_written_off_rest_comes_back_no_higher_than_the_bucket():
    led = ledger()
    do(led, led.decide_grant("a", "f0", 1, 1, 60 * MS))
    do(led, led.decide_expiry("f0", 1, 1))
    do(led, led.decide_accrual(10000))
    do(led, led.decide_usage("f0", 1, word("a", 60 * MS, 10 * MS, 50 * MS, True)))
    assert led.accounts["a"].pool_us == 200 * MS and led.accounts["a"].overflowed_us == 50 * MS


def test_rows_of_a_front_that_comes_and_goes_are_bounded():
    led = ledger()
    for incarnation in range(1, MAX_EXPIRED_EPOCHS + 20):
        do(led, led.decide_accrual(1000))
        do(led, led.decide_grant("a", "f0", incarnation, 1, MS))
        do(led, led.decide_expiry("f0", incarnation, 1))
    assert len(led.epochs) == MAX_EXPIRED_EPOCHS and led.accounts["a"].lost_us == 19 * MS


def test_loans_wait_for_an_empty_pool_stay_in_the_limit_and_are_barred_when_overdue():
    led = ledger(figures("a"), figures("b"), figures("c", bucket=1000))
    assert led.decide_loan("a", MS) is None  # it has its own
    do(led, led.decide_grant("a", "f0", 1, 1, 200 * MS))
    assert do(led, led.decide_loan("a", 70 * MS)).loan.lender == "c"  # the most unused
    do(led, led.decide_grant("a", "f0", 1, 1, 70 * MS))
    assert do(led, led.decide_loan("a", 70 * MS)).loan.amount_us == 30 * MS
    do(led, led.decide_grant("a", "f0", 1, 1, 30 * MS))
    assert led.decide_loan("a", MS) is None  # limit
    a = led.accounts["a"]
    for _ in range(51):
        do(led, led.decide_accrual(100))
        do(
            led,
            led.decide_usage("f0", 1, word("a", a.spent_us + a.held_us, a.spent_us + min(9 * MS, a.held_us))),
        )
        do(led, led.decide_grant("a", "f0", 1, 1, a.pool_us))
    assert not led.loans  # half of 100 a second for 5 s
    late = ledger(figures("a", term_ms=50), figures("b"))
    do(late, late.decide_grant("a", "f0", 1, 1, 200 * MS))
    do(late, late.decide_loan("a", 50 * MS))
    do(late, late.decide_grant("a", "f0", 1, 1, 50 * MS))
    do(late, late.decide_accrual(60))
    assert late.is_overdue("a") and late.decide_loan("a", MS) is None


def test_repayment_takes_its_share_of_what_accrues_oldest_first_and_no_more():
    led = ledger(figures("a", repay=300), figures("b"), figures("c"))
    do(led, led.decide_grant("a", "f0", 1, 1, 200 * MS))
    for amount in (20, 30):
        do(led, led.decide_loan("a", amount * MS))
        do(led, led.decide_grant("a", "f0", 1, 1, amount * MS))
    do(led, led.decide_usage("f0", 1, word("a", 250 * MS, 250 * MS)))
    do(led, led.decide_accrual(500))
    assert led.accounts["a"].repaid_us == 15 * MS and led.accounts["a"].pool_us == 35 * MS
    assert led.loans[1].repaid_us == 15 * MS and led.loans[2].repaid_us == 0
    do(led, led.decide_accrual(500))
    assert list(led.loans) == [2] and led.loans[2].repaid_us == 10 * MS


def test_a_lender_accrues_as_if_it_had_not_lent():
    led, plain = ledger(figures("a"), figures("b")), ledger(figures("a"), figures("b"))
    for x in led, plain:
        do(x, x.decide_grant("a", "f0", 1, 1, 200 * MS))
        do(x, x.decide_grant("b", "f0", 1, 1, 40 * MS))
        do(x, x.decide_usage("f0", 1, word("b", 40 * MS, 40 * MS)))
    do(led, led.decide_loan("a", 60 * MS))
    for x in led, plain:
        for _ in range(100):
            do(x, x.decide_accrual(100))
    assert not led.loans and led.accounts["b"].issued_us == plain.accounts["b"].issued_us
