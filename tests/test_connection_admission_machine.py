"""Connection admission under random clients: a stateful machine checks its invariants at each step."""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lichenquay.connection_admission.client_accounts import ENDING_STATES
from lichenquay.connection_admission.decisions import (
    EVICTION_ORDER,
    KNOWN,
    UNKNOWN,
    ConnectionAdmission,
    RejectReason,
)
from lichenquay.connection_admission.limits import ClientLimits, ConnectionRules, parse_networks
from lichenquay.connection_admission.load_state import LOAD_STATES

KNOWN_NETWORK = "10.9.0.0/16"
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
        max_idle_accounts=st.integers(2, 6),
    )
    def begin(
        self, max_connections, max_queries, address_limit, prefix_limit, rate, reserve, max_idle_accounts
    ):
        """Rules by chance."""
        self.rules = ConnectionRules(
            max_connections,
            max_queries,
            ClientLimits(address_limit, rate, 2 * rate, 3, 100, 2),
            ClientLimits(prefix_limit, 0, 0, 5, 200),
            known=parse_networks([KNOWN_NETWORK]),
            reserve=reserve,
            max_idle_accounts=max_idle_accounts,
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
            max_idle_accounts=self.rules.max_idle_accounts,
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
        assert len(idle) <= self.rules.max_idle_accounts
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
