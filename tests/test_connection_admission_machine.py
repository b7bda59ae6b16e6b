"""Connection admission with random clients: a stateful test that checks its invariants at each step."""

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
    """Random clients; each count is compared with one recomputed from the open connections."""

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
        """Starts with random rules."""
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
        """Closes a connection, as a gateway reports it."""
        self.admission.on_connection_ending(connection, self.now_ms)
        self.admission.on_connection_closed(connection, self.now_ms)
        self.open.remove(connection)

    @rule(ms=st.sampled_from([0.0, 1.0, 25.0, 300.0, -50.0, 1e7]))
    def time_passes(self, ms):
        """Steps the clock, also backwards."""
        self.now_ms += ms

    @rule(address=st.sampled_from(ADDRESSES))
    def a_client_connects(self, address):
        """Opens a connection; checks that rejections for capacity and evictions follow the rules."""
        admission = self.admission
        is_full = sum(not connection.is_ending() for connection in self.open) >= self.rules.max_connections
        is_over = len(self.open) >= self.rules.max_connections + self.rules.max_ending
        is_known = address.startswith("10.9.")
        account = admission.get_or_create_account(address)
        active_counts = [
            connection.account.active_count
            for connection in admission.connections[UNKNOWN]
            if not connection.is_ending()
        ]
        decision = admission.admit_connection(address, self.now_ms)
        if not decision.is_admitted:
            if decision.reason == RejectReason.NO_CAPACITY:
                assert is_full or is_over
                assert is_over or not (is_known and active_counts), "a known client evicts an unknown one"
                is_fair = account.active_count + 1 >= max(active_counts, default=0)
                assert is_over or is_known or is_fair, "no account has two more than the rejected one"
            return
        assert (decision.evict is not None) == is_full
        assert (decision.abort is not None) == is_over
        if decision.abort is not None:
            assert not decision.abort.query_count, "only connections without queries are aborted"
            admission.on_connection_closed(decision.abort, self.now_ms)
            self.open.remove(decision.abort)
        if decision.evict is not None:
            is_evicted_known = decision.evict.account.is_known
            assert not is_evicted_known or is_known, "known clients are evicted only for known ones"
            admission.on_connection_ending(decision.evict, self.now_ms)
        self.open.append(admission.on_connection_opened(address, self.now_ms))

    @rule(i=st.integers(0, 30), size=st.integers(0, 60))
    def a_client_queries(self, i, size):
        """Admits a query; a known client's is not rejected for capacity while unknown clients have any."""
        if not self.open:
            return
        connection = self.open[i % len(self.open)]
        self.admission.on_frame_received(connection, self.now_ms)
        decision = self.admission.admit_query(connection, size, self.now_ms)
        if decision.reason == RejectReason.NO_CAPACITY:
            assert not connection.account.is_known or not self.admission.query_count[UNKNOWN]
        if not decision.is_admitted:
            return
        evict = decision.evict
        if evict is not None:
            assert evict.query_count and not evict.account.is_known or connection.account.is_known
            self.admission.on_query_finished(evict, self.now_ms)
        self.admission.on_query_admitted(connection, self.now_ms)
        self.admission.on_held_bytes_changed(connection, size)

    @rule(i=st.integers(0, 30))
    def a_query_finishes(self, i):
        """Finishes an open query."""
        busy = [connection for connection in self.open if connection.query_count]
        if busy:
            self.admission.on_query_finished(busy[i % len(busy)], self.now_ms)

    @rule(i=st.integers(0, 30), event=st.sampled_from(["closes", "ends", "invalid request"]))
    def a_connection_closes_ends_or_sends_an_invalid_request(self, i, event):
        """Reports the event; a connection with too many invalid requests is closed."""
        if not self.open:
            return
        connection = self.open[i % len(self.open)]
        is_invalid = event == "invalid request"
        if event == "closes" or is_invalid and self.admission.on_invalid_request(connection, self.now_ms):
            self.close(connection)
        elif event == "ends":
            self.admission.on_connection_ending(connection, self.now_ms)

    @rule(used_share=st.floats(0, 1.1), lag_ms=st.floats(0, 200))
    def load_is_measured(self, used_share, lag_ms):
        """Checks that any measurement gives a valid state."""
        assert self.admission.update_load(used_share, lag_ms, self.now_ms) in LOAD_STATES

    @rule(address_limit=st.integers(1, 4), max_connections=st.integers(1, 12))
    def rules_change(self, address_limit, max_connections):
        """Changes the limits while connections are open."""
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
    def totals_are_within_the_limits(self):
        """Connections are exempt once limits were lowered, as open ones stay open."""
        if not hasattr(self, "admission"):
            return
        admission = self.admission
        max_open = self.rules.max_connections + self.rules.max_ending
        assert self.rules_were_lowered or len(self.open) <= max_open
        assert len(admission.connections[KNOWN]) + len(admission.connections[UNKNOWN]) == len(self.open)
        assert not self.rules.max_queries or sum(admission.query_count.values()) <= self.rules.max_queries
        idle = admission.registry.idle_accounts
        assert len(idle) <= self.rules.max_idle_accounts
        assert len(admission.registry.accounts) <= len(idle) + 2 * len(self.open)

    @invariant()
    def each_account_is_exact_and_within_its_limits(self):
        """Compares the counts of each account with its open connections."""
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
            assert account.name not in registry.idle_accounts
            assert account.active_count == sum(not connection.is_ending() for connection in own)
            ranking = self.admission.ranking[account.is_known]
            assert not account.active_count or account in ranking.by_count[account.active_count]

    @invariant()
    def every_index_is_exact(self):
        """Compares rankings, states and open queries, for known and unknown clients."""
        if not hasattr(self, "admission"):
            return
        admission = self.admission
        for known in (UNKNOWN, KNOWN):
            connections = admission.connections[known]
            active_counts = [account.active_count for account in {c.account for c in connections}]
            assert admission.ranking[known].largest_count == max(active_counts, default=0)
            for state in (*EVICTION_ORDER, *ENDING_STATES):
                in_state = {connection for connection in connections if connection.state == state}
                assert set(admission.connections_by_state[state, known]) == in_state
            querying = {connection for connection in connections if connection.query_count}
            assert set(admission.connections_with_queries[known]) == querying
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
