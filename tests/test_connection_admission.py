"""Connection admission: its rules by example, and a stateful machine that checks its invariants."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lichenquay.connection_admission.client_accounts import ENDING_STATES, ConnectionState
from lichenquay.connection_admission.decisions import (
    EVICTION_ORDER,
    KNOWN,
    UNKNOWN,
    ConnectionAdmission,
    RejectReason,
)
from lichenquay.connection_admission.limits import ClientLimits, ConnectionRules, parse_networks
from lichenquay.connection_admission.load_state import LOAD_STATES, LoadState

KNOWN_NETWORK = "10.9.0.0/16"
KNOWN_ADDRESS = "10.9.0.1"


def admission_with(**changes):
    """Connection admission with six connections, two of them reserved, and changes to these rules."""
    defaults = dict(max_connections=6, max_queries=0, known=parse_networks([KNOWN_NETWORK]), reserve=2)
    return ConnectionAdmission(ConnectionRules(**{**defaults, **changes}), 0.0)


def connect(admission, address, now_ms=100.0, query=False):
    """Opens a connection, with a query if wanted, and closes what is evicted; None if it is rejected."""
    decision = admission.admit_connection(address, now_ms)
    if not decision.is_admitted:
        return None
    if decision.evict is not None:
        admission.on_connection_ending(decision.evict, now_ms)
        admission.on_connection_closed(decision.evict, now_ms)
    connection = admission.on_connection_opened(address, now_ms)
    if query:
        admission.on_frame_received(connection, now_ms)
        assert admission.admit_query(connection, 10, now_ms).is_admitted
        admission.on_query_admitted(connection, now_ms)
    return connection


def test_limits_hold_for_an_address_and_for_its_prefix():
    """Connections, queries and bytes; an IPv6 address is a /64."""
    admission = admission_with(
        max_connections=99,
        address=ClientLimits(connections=2, queries=1, held_bytes=50),
        prefix=ClientLimits(connections=3),
    )
    first = connect(admission, "10.1.1.1")
    second = connect(admission, "10.1.1.1")
    assert admission.admit_connection("10.1.1.1", 1.0).reason == RejectReason.CONNECTIONS
    assert connect(admission, "10.1.1.2")
    assert admission.admit_connection("10.1.1.3", 1.0).reason == RejectReason.CONNECTIONS
    assert connect(admission, "10.1.2.3")
    assert admission.admit_query(first, 51, 1.0).reason == RejectReason.BYTES
    admission.on_query_admitted(first, 1.0)
    assert admission.admit_query(second, 1, 1.0).reason == RejectReason.QUERIES
    admission.on_query_finished(first, 2.0)
    assert admission.admit_query(second, 1, 2.0).is_admitted
    ipv6 = admission_with(max_connections=99, address=ClientLimits(connections=1))
    assert connect(ipv6, "2001:db8::1")
    assert ipv6.admit_connection("2001:db8::2", 1.0).reason == RejectReason.CONNECTIONS
    assert connect(ipv6, "2001:db8:0:1::2")


def test_new_connections_are_limited_in_rate_and_the_rejection_says_when():
    """A clock that steps back gives no tokens, one that jumps fills one bucket."""
    admission = admission_with(max_connections=99, address=ClientLimits(per_s=10, burst=3))
    assert all(connect(admission, "10.1.1.1") for _ in range(3))
    decision = admission.admit_connection("10.1.1.1", 100.0)
    assert decision.reason == RejectReason.RATE
    assert decision.retry_after_ms == 100.0
    assert connect(admission, "10.1.1.2")
    assert admission.admit_connection("10.1.1.1", 0.0).reason == RejectReason.RATE
    assert admission.admit_connection("10.1.1.1", 199.0).reason == RejectReason.RATE
    assert connect(admission, "10.1.1.1", 201.0)
    assert admission.admit_connection("10.1.1.1", 201.0).reason == RejectReason.RATE
    after_a_jump = [bool(connect(admission, "10.1.1.1", 1e9)) for _ in range(4)]
    assert after_a_jump == [True, True, True, False]


def test_connections_are_evicted_in_order():
    """Silent, idle, then the youngest query of the largest account; what is closing has left its place."""
    admission = admission_with(max_connections=5)
    closing = connect(admission, "10.1.0.1")
    silent = connect(admission, "10.1.0.2")
    idle = connect(admission, "10.1.0.3")
    busy = connect(admission, "10.1.0.4", query=True)
    youngest = connect(admission, "10.1.0.4", 101.0, query=True)
    admission.on_frame_received(idle, 100.0)
    admission.on_connection_ending(closing, 100.0)
    evicted = []
    for i in range(5):
        decision = admission.admit_connection(f"10.2.0.{i}", 200.0)
        evicted.append(decision.evict)
        if decision.evict:
            admission.on_connection_closed(decision.evict, 200.0)
        if decision.is_admitted:
            admission.on_query_admitted(admission.on_connection_opened(f"10.2.0.{i}", 200.0), 200.0)
    # 10.1.0.4 held two connections, and the new client holds one.
    assert evicted == [None, silent, idle, youngest, None]
    assert busy.state == ConnectionState.BUSY
    assert closing.state == ConnectionState.CLOSING
    assert connect(admission, "10.1.0.4", 202.0) is None
    other = admission_with(max_connections=5)
    connections = [connect(other, "10.1.0.4", i, query=True) for i in range(5)]
    assert other.admit_connection("10.2.0.1", 10.0).evict is connections[-1]


def test_ending_connections_have_room_of_their_own_and_are_cut_off_beyond_it():
    """One with a query to be answered is never cut off."""
    admission = admission_with(max_connections=2, max_ending=1)
    with_query = connect(admission, "10.1.0.1", query=True)
    without_query = connect(admission, "10.1.0.2")
    admission.on_connection_ending(with_query, 100.0)
    admission.on_connection_ending(without_query, 100.0)
    assert with_query.state == ConnectionState.ENDING
    assert without_query.state == ConnectionState.CLOSING
    assert connect(admission, "10.1.0.3", 101.0) is not None
    decision = admission.admit_connection("10.1.0.4", 102.0)
    assert decision.is_admitted and decision.abort is without_query and decision.evict is None
    admission.on_connection_closed(without_query, 102.0)
    connect(admission, "10.1.0.4", 102.0)
    assert admission.admit_connection("10.1.0.5", 103.0).reason == RejectReason.NO_CAPACITY
    admission.on_query_finished(with_query, 104.0)
    assert with_query.state == ConnectionState.CLOSING


def test_silent_connections_have_time_to_send_a_frame():
    """They are not evicted within `quiet_ms`."""
    admission = admission_with(max_connections=2)
    connect(admission, "10.1.0.1", 100.0)
    connect(admission, "10.1.0.2", 100.0)
    assert admission.admit_connection("10.1.0.3", 110.0).reason == RejectReason.NO_CAPACITY
    assert admission.admit_connection("10.1.0.3", 120.0).is_admitted


def test_the_reserve_is_lent_and_called_back_at_once():
    """Unknown clients may use all connections, until known ones come."""
    admission = admission_with(max_connections=6)
    lent = [connect(admission, f"10.1.0.{i}", query=True) for i in range(6)]
    assert all(lent)
    assert admission.admit_connection("10.1.0.9", 100.0).reason == RejectReason.NO_CAPACITY
    known = [connect(admission, f"10.9.0.{i}", 100.0, query=True) for i in range(6)]
    assert all(known)
    assert len(admission.connections[UNKNOWN]) == 0
    assert admission.admit_connection("10.1.0.1", 100.0).reason == RejectReason.NO_CAPACITY
    connect(admission, "10.9.0.1", 101.0, query=True)
    assert admission.admit_connection("10.9.0.77", 200.0).reason == RejectReason.NO_CAPACITY


def test_queries_are_evicted_for_known_clients_only():
    """The unknown client's that asked last."""
    admission = admission_with(max_connections=20, max_queries=4)
    querying = connect(admission, "10.1.0.1")
    for i in range(4):
        admission.on_query_admitted(querying, i)
    unknown = connect(admission, "10.1.0.2")
    known = connect(admission, KNOWN_ADDRESS)
    assert admission.admit_query(unknown, 1, 10.0).reason == RejectReason.NO_CAPACITY
    assert admission.admit_query(known, 1, 10.0).evict is querying


def test_load_states_rise_at_once_and_fall_one_by_one_after_a_time():
    """Hysteresis; when all is used up, known clients alone are admitted."""
    admission = admission_with()
    assert admission.update_load(0.8, 0, 0.0) == LoadState.TIGHT
    assert admission.update_load(0.99, 0, 1.0) == LoadState.FULL
    assert admission.admit_connection("10.1.0.1", 2.0).reason == RejectReason.OVERLOAD
    assert admission.admit_connection(KNOWN_ADDRESS, 2.0).is_admitted
    assert admission.update_load(0.95, 0, 500.0) == LoadState.FULL
    assert admission.update_load(0.5, 0, 600.0) == LoadState.FULL
    assert admission.update_load(0.5, 0, 740.0) == LoadState.FULL
    assert admission.update_load(0.5, 0, 760.0) == LoadState.CRITICAL
    assert admission.update_load(0.5, 0, 1020.0) == LoadState.TIGHT
    assert admission.update_load(0.5, 0, 1300.0) == LoadState.CALM


def test_lag_counts_only_where_it_stands():
    """A single late turn passes."""
    admission = admission_with()
    assert admission.update_load(0.0, 400.0, 0.0) == LoadState.CALM
    assert admission.update_load(0.0, 0.0, 60.0) == LoadState.CALM
    for now_ms in range(100, 500, 20):
        admission.update_load(0.0, 60.0, float(now_ms))
    assert admission.state == LoadState.FULL


def test_shutdown_rejects_connections_and_new_rules_leave_what_is_open():
    """Queries on open connections are still admitted."""
    admission = admission_with()
    connection = connect(admission, "10.1.0.1", query=True)
    connect(admission, "10.1.0.1")
    admission.set_rules(
        ConnectionRules(max_connections=1, max_queries=0, address=ClientLimits(connections=1))
    )
    assert len(admission.connections[UNKNOWN]) == 2
    assert admission.admit_connection("10.1.0.1", 9.0).reason == RejectReason.CONNECTIONS
    admission.is_shutting_down = True
    assert admission.admit_connection(KNOWN_ADDRESS, 10.0).reason == RejectReason.SHUTTING_DOWN
    assert admission.admit_query(connection, 1, 10.0).is_admitted


def test_a_text_that_is_no_address_range_is_named():
    """In the error."""
    with pytest.raises(ValueError, match="10.9"):
        parse_networks(["10.9.0.0/33"])


ADDRESSES = (
    [f"10.1.{i % 3}.{i}" for i in range(12)]
    + [f"10.9.0.{i}" for i in range(3)]
    + ["2001:db8::1", "2001:db8:1::1"]
)


class AdmissionMachine(RuleBasedStateMachine):
    """Random clients; every count is compared with one made from the open connections."""

    @initialize(
        max_connections=st.integers(1, 12),
        max_queries=st.integers(0, 10),
        address_limit=st.integers(0, 4),
        prefix_limit=st.integers(0, 6),
        rate=st.sampled_from([0, 2]),
        reserve=st.integers(0, 4),
        max_remembered=st.integers(2, 6),
    )
    def begin(self, max_connections, max_queries, address_limit, prefix_limit, rate, reserve, max_remembered):
        """Rules by chance."""
        self.rules = ConnectionRules(
            max_connections,
            max_queries,
            ClientLimits(address_limit, rate, 2 * rate, 3, 100, 2),
            ClientLimits(prefix_limit, 0, 0, 5, 200),
            known=parse_networks([KNOWN_NETWORK]),
            reserve=reserve,
            max_remembered=max_remembered,
            max_ending=2,
        )
        self.admission = ConnectionAdmission(self.rules, 0.0)
        self.now_ms = 0.0
        self.open = []
        self.rules_were_lowered = False

    def close(self, connection):
        """Ends a connection and closes it."""
        self.admission.on_connection_ending(connection, self.now_ms)
        self.admission.on_connection_closed(connection, self.now_ms)
        self.open.remove(connection)

    @rule(ms=st.sampled_from([0.0, 1.0, 25.0, 300.0, -50.0, 1e7]))
    def time_passes(self, ms):
        """Also backwards."""
        self.now_ms += ms

    @rule(address=st.sampled_from(ADDRESSES))
    def a_client_connects(self, address):
        """What is rejected for capacity has a reason for it, and what is evicted may be."""
        admission = self.admission
        is_full = sum(not connection.is_ending() for connection in self.open) >= self.rules.max_connections
        is_over = len(self.open) >= self.rules.max_connections + self.rules.max_ending
        is_known = address.startswith("10.9.")
        account = admission.account_of(address)
        active_counts = [
            connection.account.active_count
            for connection in admission.connections[UNKNOWN]
            if not connection.is_ending()
        ]
        decision = admission.admit_connection(address, self.now_ms)
        if not decision.is_admitted:
            if decision.reason == RejectReason.NO_CAPACITY:
                assert is_full or is_over
                assert is_over or not (is_known and active_counts), "the reserve is called back at once"
                is_fair = account.active_count + 1 >= max(active_counts, default=0)
                assert is_over or is_known or is_fair, "nobody holds two more than one that is rejected"
            return
        assert (decision.evict is not None) == is_full
        assert (decision.abort is not None) == is_over
        if decision.abort is not None:
            assert not decision.abort.query_count, "a query gets its final answer before its connection goes"
            admission.on_connection_closed(decision.abort, self.now_ms)
            self.open.remove(decision.abort)
        if decision.evict is not None:
            is_evicted_known = decision.evict.account.known
            assert not is_evicted_known or is_known, "known clients are evicted for known ones alone"
            admission.on_connection_ending(decision.evict, self.now_ms)
        self.open.append(admission.on_connection_opened(address, self.now_ms))

    @rule(i=st.integers(0, 30), size=st.integers(0, 60))
    def a_client_queries(self, i, size):
        """Known clients' queries go first."""
        if not self.open:
            return
        connection = self.open[i % len(self.open)]
        self.admission.on_frame_received(connection, self.now_ms)
        decision = self.admission.admit_query(connection, size, self.now_ms)
        if decision.reason == RejectReason.NO_CAPACITY:
            assert not connection.account.known or not self.admission.query_count[UNKNOWN]
        if not decision.is_admitted:
            return
        evict = decision.evict
        if evict is not None:
            assert evict.query_count and not evict.account.known or connection.account.known
            self.admission.on_query_finished(evict, self.now_ms)
        self.admission.on_query_admitted(connection, self.now_ms)
        self.admission.on_held_bytes_changed(connection, size)

    @rule(i=st.integers(0, 30))
    def a_query_finishes(self, i):
        """One of those that are open."""
        busy = [connection for connection in self.open if connection.query_count]
        if busy:
            self.admission.on_query_finished(busy[i % len(busy)], self.now_ms)

    @rule(i=st.integers(0, 30), what=st.sampled_from(["closes", "ends", "invalid request"]))
    def something_else_happens(self, i, what):
        """A connection is closed, is ended, or brings an invalid request."""
        if not self.open:
            return
        connection = self.open[i % len(self.open)]
        is_invalid = what == "invalid request"
        if what == "closes" or is_invalid and self.admission.on_invalid_request(connection, self.now_ms):
            self.close(connection)
        elif what == "ends":
            self.admission.on_connection_ending(connection, self.now_ms)

    @rule(used_share=st.floats(0, 1.1), lag_ms=st.floats(0, 200))
    def load_is_measured(self, used_share, lag_ms):
        """Any measurement gives a state."""
        assert self.admission.update_load(used_share, lag_ms, self.now_ms) in LOAD_STATES

    @rule(address_limit=st.integers(1, 4), max_connections=st.integers(1, 12))
    def rules_change(self, address_limit, max_connections):
        """While connections are open."""
        self.rules = ConnectionRules(
            max_connections,
            self.rules.max_queries,
            ClientLimits(address_limit, 0, 0, 3, 100, 2),
            self.rules.prefix,
            known=self.rules.known,
            reserve=self.rules.reserve,
            max_remembered=self.rules.max_remembered,
            max_ending=2,
        )
        self.admission.set_rules(self.rules)
        self.rules_were_lowered = True

    @invariant()
    def the_total_is_bounded(self):
        """As far as the rules have not been lowered under what was open."""
        if not hasattr(self, "admission"):
            return
        admission = self.admission
        most = self.rules.max_connections + self.rules.max_ending
        assert self.rules_were_lowered or len(self.open) <= most
        assert len(admission.connections[KNOWN]) + len(admission.connections[UNKNOWN]) == len(self.open)
        assert not self.rules.max_queries or sum(admission.query_count.values()) <= self.rules.max_queries
        idle = admission.registry.idle
        assert len(idle) <= self.rules.max_remembered
        assert len(admission.registry.accounts) <= len(idle) + 2 * len(self.open)

    @invariant()
    def each_account_is_counted_exactly(self):
        """And within its limits."""
        if not hasattr(self, "admission"):
            return
        registry = self.admission.registry
        for account in {connection.account for connection in self.open}:
            own = [connection for connection in self.open if connection.account is account]
            assert account.connection_count == len(own) == len(account.connections)
            assert account.query_count == sum(connection.query_count for connection in own)
            assert account.held_bytes == sum(connection.held_bytes for connection in own)
            limit = self.rules.address.connections
            assert self.rules_were_lowered or not limit or account.connection_count <= limit
            assert account.query_count <= 3 and account.held_bytes <= 100
            assert registry.accounts[account.name] is account
            assert account.name not in registry.idle
            assert account.active_count == sum(not connection.is_ending() for connection in own)
            ranking = self.admission.ranking[account.known]
            assert not account.active_count or account in ranking.by_count[account.active_count]

    @invariant()
    def every_index_is_exact(self):
        """Rankings, states and open queries, for known and unknown clients."""
        if not hasattr(self, "admission"):
            return
        admission = self.admission
        for known in (UNKNOWN, KNOWN):
            connections = admission.connections[known]
            active_counts = [account.active_count for account in {c.account for c in connections}]
            assert admission.ranking[known].largest_count == max(active_counts, default=0)
            for state in (*EVICTION_ORDER, *ENDING_STATES):
                in_state = {connection for connection in connections if connection.state == state}
                assert set(admission.by_state[state, known]) == in_state
            querying = {connection for connection in connections if connection.query_count}
            assert set(admission.querying[known]) == querying
            query_count = sum(connection.query_count for connection in connections)
            assert admission.query_count[known] == query_count


AdmissionMachine.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),
    report_multiple_bugs=False,
)
TestAdmissionMachine = AdmissionMachine.TestCase
