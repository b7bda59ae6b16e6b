"""The gate's decisions alone: rules by example, and a stateful machine that checks what must hold after every step."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lichenquay.connection_admission.client_accounts import BUSY, ENDING, GOING, IDLE, SILENT
from lichenquay.connection_admission.decide import (
    BYTES,
    CALM,
    CONNECTIONS,
    CRITICAL,
    FULL,
    LEAVING,
    NO_ROOM,
    OVERLOAD,
    QUERIES,
    RATE,
    REFUSE,
    STATES,
    TAKE,
    TIGHT,
    Caps,
    Gate,
    Rules,
    networks,
)

KNOWN = "10.9.0.1"


def gate(**more):
    facts = dict(most=6, most_queries=0, known=networks(["10.9.0.0/16"]), reserve=2)
    return Gate(Rules(**{**facts, **more}), 0.0)


def come(g, address, now=100.0, ask=False):
    v = g.arrives(address, now)
    if v.answer == REFUSE:
        return None
    if v.end is not None:
        g.goes(v.end, now)
        g.closed(v.end, now)
    line = g.opened(address, now)
    if ask:
        g.spoke(line, now)
        assert g.asks(line, 10, now).answer == TAKE
        g.asked(line, now)
    return line


def test_caps_hold_for_an_address_and_for_its_prefix():
    g = gate(most=99, address=Caps(connections=2, queries=1, held_bytes=50), prefix=Caps(connections=3))
    a, b = come(g, "10.1.1.1"), come(g, "10.1.1.1")
    assert (
        g.arrives("10.1.1.1", 1.0).why == CONNECTIONS
        and come(g, "10.1.1.2")
        and g.arrives("10.1.1.3", 1.0).why == CONNECTIONS
    )
    assert come(g, "10.1.2.3")
    assert g.asks(a, 51, 1.0).why == BYTES
    g.asked(a, 1.0)
    assert g.asks(b, 1, 1.0).why == QUERIES
    g.answered(a, 2.0)
    assert g.asks(b, 1, 2.0).answer == TAKE
    six = gate(most=99, address=Caps(connections=1))
    assert (
        come(six, "2001:db8::1")
        and six.arrives("2001:db8::2", 1.0).why == CONNECTIONS
        and come(six, "2001:db8:0:1::2")
    )


def test_new_connections_come_at_a_rate_and_the_refusal_says_when():
    g = gate(most=99, address=Caps(per_s=10, burst=3))
    assert all(come(g, "10.1.1.1") for _ in range(3))
    v = g.arrives("10.1.1.1", 100.0)
    assert v.why == RATE and v.again_ms == 100.0 and come(g, "10.1.1.2")
    assert g.arrives("10.1.1.1", 0.0).why == RATE and g.arrives("10.1.1.1", 199.0).why == RATE
    assert come(g, "10.1.1.1", 201.0) and g.arrives("10.1.1.1", 201.0).why == RATE
    assert [bool(come(g, "10.1.1.1", 1e9)) for _ in range(4)] == [
        True,
        True,
        True,
        False,
    ]  # a clock that jumps fills one bucket


def test_connections_are_given_up_in_order():
    g = gate(most=5)
    going, silent, idle, busy = (
        come(g, "10.1.0.1"),
        come(g, "10.1.0.2"),
        come(g, "10.1.0.3"),
        come(g, "10.1.0.4", ask=True),
    )
    late = come(g, "10.1.0.4", 101.0, ask=True)
    g.spoke(idle, 100.0)
    g.goes(going, 100.0)
    order = []
    for i in range(5):
        v = g.arrives(f"10.2.0.{i}", 200.0)
        order.append(v.end)
        if v.end:
            g.closed(v.end, 200.0)
        if v.answer == TAKE:
            new = g.opened(f"10.2.0.{i}", 200.0)
            g.asked(new, 200.0)
    # one that goes already leaves its place; 10.1.0.4 held two, and the new one holds one
    assert order == [None, silent, idle, late, None] and busy.stands == BUSY and going.stands == GOING
    assert come(g, "10.1.0.4", 202.0) is None
    g2 = gate(most=5)
    lines = [come(g2, "10.1.0.4", i, ask=True) for i in range(5)]
    assert g2.arrives("10.2.0.1", 10.0).end is lines[-1]  # who holds most gives its youngest


def test_what_ends_has_a_little_room_of_its_own_and_is_cut_off_beyond_it():
    g = gate(most=2, spare=1)
    a, b = come(g, "10.1.0.1", ask=True), come(g, "10.1.0.2")
    g.goes(a, 100.0)
    g.goes(b, 100.0)
    assert a.stands == ENDING and b.stands == GOING and come(g, "10.1.0.3", 101.0) is not None
    v = g.arrives("10.1.0.4", 102.0)
    assert (
        v.answer == TAKE and v.abort is b and v.end is None
    )  # one with a query to be answered is never cut off
    g.closed(b, 102.0)
    come(g, "10.1.0.4", 102.0)
    assert g.arrives("10.1.0.5", 103.0).why == NO_ROOM
    g.answered(a, 104.0)
    assert a.stands == GOING


def test_silent_ones_have_their_time_to_speak():
    g = gate(most=2)
    come(g, "10.1.0.1", 100.0)
    come(g, "10.1.0.2", 100.0)
    assert g.arrives("10.1.0.3", 110.0).why == NO_ROOM and g.arrives("10.1.0.3", 120.0).answer == TAKE


def test_the_reserve_is_lent_and_called_back_at_once():
    g = gate(most=6)
    lent = [come(g, f"10.1.0.{i}", ask=True) for i in range(6)]
    assert all(lent) and g.arrives("10.1.0.9", 100.0).why == NO_ROOM
    known = [come(g, f"10.9.0.{i}", 100.0, ask=True) for i in range(6)]
    assert all(known) and len(g.lines[False]) == 0
    assert g.arrives("10.1.0.1", 100.0).why == NO_ROOM
    come(g, "10.9.0.1", 101.0, ask=True)
    assert g.arrives("10.9.0.77", 200.0).why == NO_ROOM


def test_queries_give_way_to_known_clients_only():
    g = gate(most=20, most_queries=4)
    one = come(g, "10.1.0.1")
    for i in range(4):
        g.asked(one, i)
    two, known = come(g, "10.1.0.2"), come(g, KNOWN)
    assert g.asks(two, 1, 10.0).why == NO_ROOM and g.asks(known, 1, 10.0).end is one


def test_states_rise_at_once_and_fall_after_a_rest():
    g = gate()
    assert g.measured(0.8, 0, 0.0) == TIGHT and g.measured(0.99, 0, 1.0) == FULL
    assert g.arrives("10.1.0.1", 2.0).why == OVERLOAD and g.arrives(KNOWN, 2.0).answer == TAKE
    assert (
        g.measured(0.95, 0, 500.0) == FULL
        and g.measured(0.5, 0, 600.0) == FULL
        and g.measured(0.5, 0, 740.0) == FULL
    )
    assert (
        g.measured(0.5, 0, 760.0) == CRITICAL
        and g.measured(0.5, 0, 1020.0) == TIGHT
        and g.measured(0.5, 0, 1300.0) == CALM
    )


def test_lag_counts_only_where_it_stands():
    g = gate()
    assert g.measured(0.0, 400.0, 0.0) == CALM and g.measured(0.0, 0.0, 60.0) == CALM
    for at in range(100, 500, 20):
        g.measured(0.0, 60.0, float(at))
    assert g.state == FULL


def test_leaving_refuses_and_other_rules_leave_what_is_open():
    g = gate()
    line = come(g, "10.1.0.1", ask=True)
    come(g, "10.1.0.1")
    g.change(Rules(most=1, most_queries=0, address=Caps(connections=1)))
    assert len(g.lines[False]) == 2 and g.arrives("10.1.0.1", 9.0).why == CONNECTIONS
    g.leaving = True
    assert g.arrives(KNOWN, 10.0).why == LEAVING and g.asks(line, 1, 10.0).answer == TAKE


def test_a_range_that_is_none_is_named():
    with pytest.raises(ValueError, match="10.9"):
        networks(["10.9.0.0/33"])


ADDRESSES = (
    [f"10.1.{i % 3}.{i}" for i in range(12)]
    + [f"10.9.0.{i}" for i in range(3)]
    + ["2001:db8::1", "2001:db8:1::1"]
)


class Decisions(RuleBasedStateMachine):
    @initialize(
        most=st.integers(1, 12),
        queries=st.integers(0, 10),
        cap=st.integers(0, 4),
        wide=st.integers(0, 6),
        rate=st.sampled_from([0, 2]),
        reserve=st.integers(0, 4),
        seen=st.integers(2, 6),
    )
    def begin(self, most, queries, cap, wide, rate, reserve, seen):
        self.rules = Rules(
            most,
            queries,
            Caps(cap, rate, 2 * rate, 3, 100, 2),
            Caps(wide, 0, 0, 5, 200),
            known=networks(["10.9.0.0/16"]),
            reserve=reserve,
            most_seen=seen,
            spare=2,
        )
        self.g, self.now, self.lines = Gate(self.rules, 0.0), 0.0, []

    def drop(self, line):
        self.g.goes(line, self.now)
        self.g.closed(line, self.now)
        self.lines.remove(line)

    @rule(ms=st.sampled_from([0.0, 1.0, 25.0, 300.0, -50.0, 1e7]))
    def time_goes(self, ms):
        self.now += ms

    @rule(address=st.sampled_from(ADDRESSES))
    def one_comes(self, address):
        g = self.g
        full, known = (
            sum(x.stands not in (ENDING, GOING) for x in self.lines) >= self.rules.most,
            address.startswith("10.9."),
        )
        over = len(self.lines) >= self.rules.most + self.rules.spare
        h = g.holder(address)
        active = [x.holder.active for x in g.lines[False] if x.stands not in (ENDING, GOING)]
        v = g.arrives(address, self.now)
        if v.answer == REFUSE:
            if v.why == NO_ROOM:
                assert full or over
                assert over or not (known and active), "the reserve is called back at once"
                assert over or known or h.active + 1 >= max(active, default=0), (
                    "nobody holds two more than one that is refused"
                )
            return
        assert (v.end is not None) == full and (v.abort is not None) == over
        if v.abort is not None:
            assert not v.abort.queries, (
                "a query that was taken gets its final answer before its connection goes"
            )
            g.closed(v.abort, self.now)
            self.lines.remove(v.abort)
        if v.end is not None:
            assert not v.end.holder.known or known, "known clients give way to none but known ones"
            g.goes(v.end, self.now)
        self.lines.append(g.opened(address, self.now))

    @rule(i=st.integers(0, 30), size=st.integers(0, 60))
    def one_asks(self, i, size):
        if self.lines:
            line = self.lines[i % len(self.lines)]
            self.g.spoke(line, self.now)
            v = self.g.asks(line, size, self.now)
            if v.why == NO_ROOM:
                assert not line.holder.known or not self.g.queries[False], "known clients' queries go first"
            if v.answer == TAKE:
                if v.end is not None:
                    assert v.end.queries and not v.end.holder.known or line.holder.known
                    self.g.answered(v.end, self.now)
                self.g.asked(line, self.now)
                self.g.holds(line, size)

    @rule(i=st.integers(0, 30))
    def one_is_answered(self, i):
        busy = [x for x in self.lines if x.queries]
        if busy:
            self.g.answered(busy[i % len(busy)], self.now)

    @rule(i=st.integers(0, 30), how=st.sampled_from(["closes", "goes", "senseless"]))
    def one_does_something_else(self, i, how):
        if self.lines:
            line = self.lines[i % len(self.lines)]
            if how == "closes" or how == "senseless" and self.g.senseless(line, self.now):
                self.drop(line)
            elif how == "goes":
                self.g.goes(line, self.now)

    @rule(used=st.floats(0, 1.1), lag=st.floats(0, 200))
    def it_is_measured(self, used, lag):
        assert self.g.measured(used, lag, self.now) in STATES

    @rule(cap=st.integers(1, 4), most=st.integers(1, 12))
    def limits_change(self, cap, most):
        self.rules = Rules(
            most,
            self.rules.most_queries,
            Caps(cap, 0, 0, 3, 100, 2),
            self.rules.prefix,
            known=self.rules.known,
            reserve=self.rules.reserve,
            most_seen=self.rules.most_seen,
            spare=2,
        )
        self.g.change(self.rules)
        self.lowered = True

    @invariant()
    def all_holds(self):
        if not hasattr(self, "g"):
            return
        g = self.g
        assert hasattr(self, "lowered") or len(self.lines) <= self.rules.most + self.rules.spare
        assert len(g.lines[True]) + len(g.lines[False]) == len(self.lines)
        for h in {x.holder for x in self.lines}:
            mine = [x for x in self.lines if x.holder is h]
            assert (
                h.count == len(mine) == len(h.lines)
                and h.queries == sum(x.queries for x in mine)
                and h.held == sum(x.held for x in mine)
            )
            caps = self.rules.address
            if not hasattr(self, "lowered"):
                assert not caps.connections or h.count <= caps.connections
            assert h.queries <= 3 and h.held <= 100
            assert g.holders[h.name] is h and h.name not in g.idle_holders
            assert h.active == sum(x.stands not in (ENDING, GOING) for x in mine)
            assert not h.active or h in g.ranks[h.known].by[h.active]
        for known in (False, True):
            counts = [h.active for h in {x.holder for x in g.lines[known]}]
            assert g.ranks[known].top == max(counts, default=0)
            for kind in (SILENT, IDLE, ENDING, GOING):
                assert set(g.stand[kind, known]) == {x for x in g.lines[known] if x.stands == kind}
            assert set(g.asking[known]) == {x for x in g.lines[known] if x.queries}
            assert g.queries[known] == sum(x.queries for x in g.lines[known])
        assert not self.rules.most_queries or sum(g.queries.values()) <= self.rules.most_queries
        assert len(g.idle_holders) <= self.rules.most_seen and len(g.holders) <= len(
            g.idle_holders
        ) + 2 * len(self.lines)


Decisions.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),
    report_multiple_bugs=False,
)
TestDecisions = Decisions.TestCase
