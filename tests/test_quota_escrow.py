"""Validation of account settings, and the escrow tokens of one gateway."""

import pytest
from quota_world import World, tenant_terms

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.account_settings import account_terms
from lichenquay.quota.errors import AccountTermsError
from lichenquay.quota.escrow import TokenEscrow

MS = 1000  # microseconds per millisecond
GATEWAY = "f0"
INCARNATION = 3
LEADER = ("f1", 1)
LARGE_US = 1 << 48  # an amount, with a long encoding
MAX_DATAGRAM_BYTES = 1200


@pytest.mark.parametrize(
    "change, message",
    [
        ({"limit_ms": -1}, "limit -1"),
        ({"rate_ms": -1}, "rate -1"),
        ({"term_ms": 0}, "term 0"),
        ({"repay_share": 0}, "repay share 0"),
        ({"retained_share": 2}, "lend share 2"),
        ({"tenant": ""}, "name"),
        ({"tenant": "x" * 65}, "name"),
        ({"limit_ms": 101}, "cannot be repaid in its term: 100 ms"),
        ({"bucket_ms": float("nan")}, "bucket nan"),
    ],
)
def test_account_terms_that_are_not_valid_are_rejected_in_one_line(change, message):
    """The same terms without the change are accepted."""
    valid = {"tenant": "a", "rate_ms": 100, "bucket_ms": 200, "limit_ms": 100, "term_ms": 2000}
    assert account_terms(**valid).limit_us == 100 * MS
    with pytest.raises(AccountTermsError, match=message) as error:
        account_terms(**{**valid, **change})
    assert "\n" not in str(error.value)
    assert isinstance(error.value, ValueError)


def escrow_of(term_ms=2000.0, **idle_stocks_us):
    """Returns the escrow of a gateway that knows its leader."""
    escrow = TokenEscrow(GATEWAY, INCARNATION, idle_stocks_us or {"a": 0}, term_ms, 200.0)
    escrow.leader = LEADER
    return escrow


def request_of(escrow, now_ms):
    """Returns the first request that the escrow sends now."""
    escrow.due_ms = now_ms
    escrow.tick(now_ms)
    request = escrow.outbox[0].message
    escrow.outbox.clear()
    return request


def answer_to(request, **granted_ms):
    """Returns the leader's answer with these totals."""
    rows = [
        pb.Granted(tenant=tenant, book=request.book, granted_us=amount_ms * MS)
        for tenant, amount_ms in granted_ms.items()
    ]
    return pb.Answer(
        front=GATEWAY, incarnation=INCARNATION, generation=1, book=request.book, no=request.no, rows=rows
    )


def grant(escrow, now_ms, **granted_ms):
    """Has the escrow send a request, and answers it at once with these totals."""
    escrow.on_message(now_ms, LEADER, answer_to(request_of(escrow, now_ms), **granted_ms))


def test_tokens_expire_a_term_after_the_last_answered_request_was_sent():
    """The term starts when the request is sent, not when the answer arrives."""
    escrow = escrow_of()
    assert not escrow.reserve(0.0, "a", 10.0, 0)
    request = request_of(escrow, 100.0)
    assert request.rows[0].need_us == 10 * MS
    escrow.on_message(900.0, LEADER, answer_to(request, a=25))
    assert escrow.reserve(900.0, "a", 10.0, 1)
    assert escrow.reserve(900.0, "a", 15.0, 2)
    assert not escrow.reserve(900.0, "a", 1.0, 3)
    escrow.settle(1000.0, 1, 4.0)
    assert escrow.reserve(2099.0, "a", 6.0, 4)
    assert not escrow.reserve(2100.0, "a", 0.001, 5)
    assert (escrow.epoch, escrow.expiries) == (2, 1)
    escrow.settle(2200.0, 2, 5.0)
    sealed = [row for row in request_of(escrow, 2300.0).rows if row.sealed]
    totals = [(row.book, row.known_us, row.spent_us, row.returned_us) for row in sealed]
    assert totals == [(1, 25 * MS, 9 * MS, 10 * MS)]


def test_late_repeated_foreign_and_older_answers_change_nothing():
    """Implausible answers are counted."""
    escrow = escrow_of()
    escrow.reserve(0.0, "a", 10.0, 0)
    first = request_of(escrow, 0.0)
    second = request_of(escrow, 200.0)
    for answer in (answer_to(second, a=30), answer_to(first, a=20), answer_to(second, a=30)):
        escrow.on_message(300.0, LEADER, answer)
    assert escrow.holdings["a"].granted_us == 30 * MS
    assert escrow.expires_at_ms == 2200.0
    for field, value in (("front", "f9"), ("incarnation", 2), ("incarnation", 4), ("book", 2)):
        foreign = answer_to(second, a=99)
        setattr(foreign, field, value)
        escrow.on_message(300.0, LEADER, foreign)
    escrow.on_message(300.0, LEADER, answer_to(second, nobody=1))
    damaged = answer_to(second, a=30)
    damaged.rows[0].book = 0  # if stored as a sealed epoch, it would make every later request implausible
    escrow.on_message(300.0, LEADER, damaged)
    assert escrow.implausible_answers == 6
    assert escrow.holdings["a"].granted_us == 30 * MS
    assert not escrow.sealed_holdings


def test_an_overrun_is_charged_first_to_the_next_grants():
    """Until it is charged, no query of the tenant is within quota here."""
    escrow = escrow_of()
    grant(escrow, 0.0, a=20)
    assert escrow.reserve(10.0, "a", 20.0, 1)
    escrow.settle(50.0, 1, 50.0)
    assert escrow.overruns_us == {"a": 30 * MS}
    assert not escrow.reserve(60.0, "a", 1.0, 2)
    assert request_of(escrow, 60.0).rows[0].need_us >= 30 * MS
    grant(escrow, 70.0, a=45)
    assert escrow.overruns_us == {"a": 5 * MS}
    assert escrow.holdings["a"].spent_us == 45 * MS
    assert not escrow.reserve(80.0, "a", 1.0, 3)
    grant(escrow, 90.0, a=60)
    assert escrow.reserve(90.0, "a", 10.0, 4)
    assert not escrow.reserve(90.0, "a", 0.1, 5)


def test_a_query_that_may_have_run_costs_its_estimate_and_one_that_cannot_have_run_nothing():
    """A ticket that is settled already, or is unknown, is ignored."""
    escrow = escrow_of()
    grant(escrow, 0.0, a=30)
    for ticket in (1, 2, 3):
        assert escrow.reserve(0.0, "a", 10.0, ticket)
    escrow.settle_at_estimate(10.0, 1)
    escrow.settle(10.0, 2, 0.0)
    escrow.settle(10.0, 2, 0.0)
    escrow.settle_at_estimate(10.0, 99)
    holding = escrow.holdings["a"]
    assert (holding.spent_us, holding.reserved_us, holding.free_us) == (10 * MS, 10 * MS, 10 * MS)


def test_a_gateway_requests_tokens_again_after_scarcity():
    """Scarcity expires by itself; otherwise a gateway without needs would never learn of its end."""
    escrow = escrow_of(a=10 * MS)
    answer = answer_to(request_of(escrow, 0.0), a=0)
    answer.rows[0].scarce = True
    escrow.on_message(0.0, LEADER, answer)
    assert not request_of(escrow, 500.0).rows
    assert request_of(escrow, 2000.0).rows[0].upto_us == 10 * MS


def test_requests_are_bounded_however_many_queries_find_no_tokens():
    """There are at most four per period of 200 ms, and none without a leader."""
    escrow = escrow_of(a=10 * MS)
    requests = 0
    for now_ms in range(4000):
        escrow.reserve(float(now_ms), "a", 5.0, now_ms)
        if now_ms >= escrow.due_ms:
            escrow.tick(float(now_ms))
            requests += len(escrow.outbox)
            escrow.outbox.clear()
    assert 40 <= requests <= 81
    escrow.leader = None
    escrow.reserve(5000.0, "a", 5.0, "x")
    assert escrow.due_ms == float("inf")


def test_many_tenants_with_long_names_and_large_amounts_take_turns_in_datagrams():
    """Requests and answers of the maximum size fit in one datagram each."""
    escrow = escrow_of(**{f"{i:064}": LARGE_US for i in range(100)})
    requested_tenants = set()
    for i in range(8):
        escrow.tick(escrow.due_ms if i else 0.0)
        assert len(escrow.outbox) <= 4
        for _, request in escrow.outbox:
            assert request.ByteSize() < MAX_DATAGRAM_BYTES
            requested_tenants |= {row.tenant for row in request.rows}
            rows = [large_granted(row.tenant) for row in request.rows]
            answer = pb.Answer(
                front="f" * 32, incarnation=LARGE_US, generation=LARGE_US, book=1, no=1 << 32, rows=rows
            )
            assert answer.ByteSize() < MAX_DATAGRAM_BYTES
        escrow.outbox.clear()
    assert len(requested_tenants) == 100


def large_granted(tenant):
    """Returns a row of an answer with amounts of a long encoding."""
    return pb.Granted(
        tenant=tenant,
        book=1,
        scarce=True,
        granted_us=LARGE_US,
        spent_us=LARGE_US // 2,
        returned_us=LARGE_US // 2,
        owes_us=LARGE_US,
        limit_us=LARGE_US,
    )


def test_a_leaving_gateway_returns_free_tokens_at_once_and_reserved_ones_when_queries_end():
    """In the end it has no entries in the ledger."""
    world = World(3, 2, [tenant_terms("a", rate=0, limit=0)])
    world.group.elect("f0")
    world.run(1500)
    leaving = world.gateways["f1"]
    account = world.group.ledger.accounts["a"]
    assert world.query(leaving, "a", 20, 5, runs_ms=3000)
    leaving.escrow.return_all(leaving.now_ms)
    assert world.query(leaving, "a", 1) is False
    world.run(2500)
    assert not leaving.escrow.is_returned
    assert account.written_off_us == 0
    world.run(6000)
    assert leaving.escrow.is_returned
    assert account.spent_us == 5 * MS
    assert account.pool_us + account.held_us == 195 * MS
    assert not [key for key in world.group.ledger.epochs if key.gateway == "f1"]
