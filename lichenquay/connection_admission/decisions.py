"""The decisions of connection admission.

For a new connection from an address, or a new query on a connection, `ConnectionAdmission` admits it, admits
it and evicts another connection for it, or rejects it with a reason. The gateway carries out the decision and
reports each change of state of a connection. A backward step of the clock counts as no time.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from heapq import nsmallest
from typing import NamedTuple

from lichenquay.connection_admission.account_registry import AccountRegistry
from lichenquay.connection_admission.client_accounts import (
    ENDING_STATES,
    MS_PER_S,
    ClientAccount,
    ClientConnectionRecord,
    ConnectionState,
    UsageRanking,
)
from lichenquay.connection_admission.limits import ConnectionRules
from lichenquay.connection_admission.load_state import LoadMonitor, LoadState

# Values of `ClientAccount.is_known`, used as keys. Unknown clients are evicted first.
KNOWN = True
UNKNOWN = False
EVICTION_ORDER = (ConnectionState.SILENT, ConnectionState.IDLE)


class RejectReason(StrEnum):
    """The reason for a rejection; its text is sent to the client."""

    CONNECTIONS = "connections of one address"
    RATE = "new connections a second"
    QUERIES = "open queries of one address"
    BYTES = "bytes of one address"
    INVALID_REQUESTS = "requests that make no sense"
    NO_CAPACITY = "no room"
    OVERLOAD = "overload"
    SHUTTING_DOWN = "leaving"


@dataclass(frozen=True)
class AdmissionDecision:
    """What the gateway has to do with a new connection or query."""

    is_admitted: bool
    reason: RejectReason | None = None  # set if it is rejected
    retry_after_ms: float = 0.0  # set if it is rejected
    evict: ClientConnectionRecord | None = None  # to be closed once its queries are answered
    abort: ClientConnectionRecord | None = None  # closing already, to be aborted at once


ADMITTED = AdmissionDecision(is_admitted=True)


class ClientUsage(NamedTuple):
    """What one address holds, for the report."""

    name: str
    is_known: bool
    connections: int
    queries: int
    held_bytes: int


class ConnectionAdmission:
    """Counts what clients hold and decides which new connections and queries are admitted.

    All that an address holds is counted for the address and for its prefix.
    """

    def __init__(self, rules: ConnectionRules, now_ms: float):
        """Starts without connections."""
        self.rules = rules
        self.now_ms = now_ms
        self.registry = AccountRegistry(rules)
        self.load = LoadMonitor(rules, now_ms)
        self.is_shutting_down = False
        self.rejections: dict[RejectReason, int] = {}
        self.connections: dict[bool, set] = {UNKNOWN: set(), KNOWN: set()}
        # Longest in the state first; busy connections are in `connections_with_queries` instead.
        self.connections_by_state = {
            (state, known): OrderedDict()
            for state in (*EVICTION_ORDER, *ENDING_STATES)
            for known in (UNKNOWN, KNOWN)
        }
        self.ranking = {UNKNOWN: UsageRanking(), KNOWN: UsageRanking()}
        self.query_count = {UNKNOWN: 0, KNOWN: 0}
        self.connections_with_queries = {
            UNKNOWN: OrderedDict(),
            KNOWN: OrderedDict(),
        }  # most recent query last

    @property
    def state(self) -> LoadState:
        """The load state of the gateway's own resources."""
        return self.load.state

    def set_rules(self, rules: ConnectionRules) -> None:
        """Replaces the rules; connections and queries that exceed the new limits stay open."""
        self.rules = rules
        self.registry.rules = rules
        self.load.rules = rules

    def get_or_create_account(self, address: str) -> ClientAccount:
        """Returns the account of an address, which is created if there is none."""
        return self.registry.get_or_create_account(address, self.now_ms)

    # Connections

    def admit_connection(self, address: str, now_ms: float) -> AdmissionDecision:
        """Decides on a new connection. If it is admitted, `on_connection_opened` must be called next."""
        now_ms = self._advance(now_ms)
        account = self.get_or_create_account(address)
        if rejection := self._rejection_by_limits(account, now_ms):
            return rejection
        is_at_capacity = self.is_full()
        is_over_capacity = self._connection_count() >= self.rules.max_connections + self.rules.max_ending
        abort = self._oldest_closing() if is_over_capacity else None
        evict = self._eviction_candidate(account, now_ms) if is_at_capacity else None
        if is_at_capacity and evict is None or is_over_capacity and abort is None:
            return self._reject(RejectReason.NO_CAPACITY)
        for holder, limits in self.registry.accounts_with_limits(account):
            if limits.connections_per_s:
                holder.connection_tokens -= 1
        return AdmissionDecision(is_admitted=True, evict=evict, abort=abort)

    def is_full(self) -> bool:
        """Returns whether `max_connections` connections are open, not counting those that are ending."""
        ending = sum(
            len(self.connections_by_state[state, known])
            for state in ENDING_STATES
            for known in (KNOWN, UNKNOWN)
        )
        return self._connection_count() - ending >= self.rules.max_connections

    def expects_capacity_soon(self, now_ms: float) -> bool:
        """Returns whether a connection may become evictable within `eviction_grace_ms`."""
        now_ms = self._advance(now_ms)
        candidates = [self._oldest(state, UNKNOWN) for state in EVICTION_ORDER]
        return any(
            candidate is not None and now_ms - candidate.state_since_ms < self.rules.eviction_grace_ms
            for candidate in candidates
        )

    def on_connection_opened(
        self, address: str, now_ms: float, handler: object = None
    ) -> ClientConnectionRecord:
        """Records an admitted connection and returns its record; `handler` is the gateway's object for it."""
        account = self.get_or_create_account(address)
        connection = ClientConnectionRecord(account, state_since_ms=self._advance(now_ms), handler=handler)
        self.connections[account.is_known].add(connection)
        self.connections_by_state[ConnectionState.SILENT, account.is_known][connection] = True
        account.connections[connection] = True
        self._add_connections(account, 1)
        self._add_active(account, 1)
        return connection

    def on_frame_received(self, connection: ClientConnectionRecord, now_ms: float) -> None:
        """Records that a complete frame was received on a connection."""
        if connection.state in EVICTION_ORDER:
            self._set_state(connection, ConnectionState.IDLE, now_ms)

    def on_connection_ending(self, connection: ClientConnectionRecord, now_ms: float) -> None:
        """Records that a connection will be closed once its queries, if any, have their final answers."""
        if connection.is_ending():
            return
        state = ConnectionState.ENDING if connection.query_count else ConnectionState.CLOSING
        self._set_state(connection, state, now_ms)
        self._add_active(connection.account, -1)

    def on_connection_closed(self, connection: ClientConnectionRecord, now_ms: float) -> None:
        """Removes a connection and all that it held."""
        account = connection.account
        if connection not in self.connections[account.is_known]:
            return
        while connection.query_count:
            self.on_query_finished(connection, now_ms)
        self.on_held_bytes_changed(connection, -connection.held_bytes)
        self.connections[account.is_known].discard(connection)
        if not connection.is_ending():
            self._add_active(account, -1)
        if connection.state != ConnectionState.BUSY:
            self.connections_by_state[connection.state, account.is_known].pop(connection, None)
        account.connections.pop(connection, None)
        self._advance(now_ms)
        self._add_connections(account, -1)

    # Queries

    def admit_query(self, connection: ClientConnectionRecord, size: int, now_ms: float) -> AdmissionDecision:
        """Decides on a query of `size` bytes. If it is admitted, the caller must call `on_query_admitted`."""
        self._advance(now_ms)
        account = connection.account
        for holder, limits in self.registry.accounts_with_limits(account):
            if limits.queries and holder.query_count >= limits.queries:
                return self._reject(RejectReason.QUERIES)
            if limits.held_bytes and holder.held_bytes + size > limits.held_bytes:
                return self._reject(RejectReason.BYTES)
        if not account.is_known and self._sheds_unknown_query(account):
            return self._reject(RejectReason.OVERLOAD)
        if self.rules.max_queries and self._open_query_count() >= self.rules.max_queries:
            evict = self._query_eviction_candidate(account)
            if evict is None:
                return self._reject(RejectReason.NO_CAPACITY)
            return AdmissionDecision(is_admitted=True, evict=evict)
        return ADMITTED

    def on_query_admitted(self, connection: ClientConnectionRecord, now_ms: float) -> None:
        """Records a query that was admitted on a connection."""
        account = connection.account
        connection.query_count += 1
        self._add_queries(account, 1)
        account.connections.move_to_end(connection)
        self.connections_with_queries[account.is_known][connection] = True
        self.connections_with_queries[account.is_known].move_to_end(connection)
        state = ConnectionState.ENDING if connection.is_ending() else ConnectionState.BUSY
        self._set_state(connection, state, now_ms)

    def on_query_finished(self, connection: ClientConnectionRecord, now_ms: float) -> None:
        """Records that a query of a connection has its final answer or was cancelled."""
        if not connection.query_count:
            return
        account = connection.account
        connection.query_count -= 1
        if not connection.query_count:
            del self.connections_with_queries[account.is_known][connection]
        self._add_queries(account, -1)
        if connection.query_count:
            return
        if connection.state == ConnectionState.BUSY:
            self._set_state(connection, ConnectionState.IDLE, now_ms)
        elif connection.state == ConnectionState.ENDING:
            self._set_state(connection, ConnectionState.CLOSING, now_ms)

    def on_held_bytes_changed(self, connection: ClientConnectionRecord, difference: int) -> None:
        """Adds to the bytes that the gateway holds for a connection; ignores a connection that is closed."""
        if connection not in self.connections[connection.account.is_known]:
            return
        connection.held_bytes += difference
        for holder, _ in self.registry.accounts_with_limits(connection.account):
            holder.held_bytes += difference
            self.registry.on_usage_changed(holder)

    def on_invalid_request(self, connection: ClientConnectionRecord, now_ms: float) -> bool:
        """Counts an invalid request.

        Returns whether their rate is exceeded, so that the connection must be closed.
        """
        now_ms = self._advance(now_ms)
        for holder, limits in self.registry.accounts_with_limits(connection.account):
            if not limits.invalid_per_s:
                continue
            holder.refill(now_ms, limits)
            holder.invalid_tokens -= 1
            if holder.invalid_tokens < 0:
                self._count_rejection(RejectReason.INVALID_REQUESTS)
                return True
        return False

    # Load and usage

    def update_load(self, used_share: float, lag_ms: float, now_ms: float) -> LoadState:
        """Records a measurement of the gateway's resources; see `LoadMonitor.update`."""
        return self.load.update(used_share, lag_ms, self._advance(now_ms))

    def largest_clients(self, number: int) -> list[ClientUsage]:
        """Returns the usage of the `number` addresses with most connections, largest first."""
        usage = (
            ClientUsage(
                account.name,
                account.is_known,
                account.connection_count,
                account.query_count,
                account.held_bytes,
            )
            for ranking in self.ranking.values()
            for account in ranking.accounts()
        )
        return nsmallest(number, usage, key=lambda client: (-client.connections, client.name))

    # Admission rules

    def _rejection_by_limits(self, account, now_ms):
        if self.is_shutting_down:
            return self._reject(RejectReason.SHUTTING_DOWN)
        for holder, limits in self.registry.accounts_with_limits(account):
            holder.refill(now_ms, limits)
            if limits.connections and holder.connection_count >= limits.connections:
                return self._reject(RejectReason.CONNECTIONS)
            if limits.connections_per_s and holder.connection_tokens < 1:
                wait_ms = MS_PER_S * (1 - holder.connection_tokens) / limits.connections_per_s
                return self._reject(RejectReason.RATE, wait_ms)
        if not account.is_known and self.state == LoadState.FULL:
            return self._reject(RejectReason.OVERLOAD)
        return None

    def _eviction_candidate(self, account, now_ms):
        """Returns the connection to evict for a new one of this account, or None.

        In order: the connection that has been silent longest, the one that has been idle longest, then the
        one with the most recent query of the account with most connections, if that account has at least
        two connections more than this one. The last rule is max-min fairness; it terminates, as each
        eviction makes the largest account smaller. Known clients always evict unknown ones and are evicted
        for known ones only, so that unknown clients may use the reserved connections until a known client
        needs them.
        """
        for known in (UNKNOWN, KNOWN) if account.is_known else (UNKNOWN,):
            for state in EVICTION_ORDER:
                connection = self._oldest(state, known)
                if (
                    connection is not None
                    and now_ms - connection.state_since_ms >= self.rules.eviction_grace_ms
                ):
                    return connection
            largest = self.ranking[known].largest()
            if largest is None or largest is account:
                continue
            is_for_known_client = account.is_known and known == UNKNOWN
            if is_for_known_client or largest.active_count > account.active_count + 1:
                return next(
                    connection for connection in reversed(largest.connections) if not connection.is_ending()
                )
        return None

    def _sheds_unknown_query(self, account):
        """Returns whether a new query of this account, of an unknown client, is rejected for overload."""
        if self.state == LoadState.FULL:
            return True
        return self.state == LoadState.CRITICAL and account.query_count >= self._fair_query_share()

    def _fair_query_share(self):
        """Returns the open queries per address that has active connections, at least 1."""
        accounts = sum(len(ranking) for ranking in self.ranking.values())
        return max(1, self._open_query_count() // max(1, accounts))

    def _query_eviction_candidate(self, account):
        """Returns the connection whose most recent query is evicted for one of this account, or None.

        Only known clients evict queries, and only those of unknown clients.
        """
        return next(reversed(self.connections_with_queries[UNKNOWN]), None) if account.is_known else None

    def _reject(self, reason, retry_after_ms=None):
        self._count_rejection(reason)
        if retry_after_ms is None:
            retry_after_ms = self.rules.retry_after_ms
        return AdmissionDecision(is_admitted=False, reason=reason, retry_after_ms=retry_after_ms)

    # Counts

    def _advance(self, now_ms):
        self.now_ms = max(self.now_ms, now_ms)
        return self.now_ms

    def _connection_count(self):
        return len(self.connections[KNOWN]) + len(self.connections[UNKNOWN])

    def _open_query_count(self):
        return self.query_count[KNOWN] + self.query_count[UNKNOWN]

    def _oldest(self, state, known):
        return next(iter(self.connections_by_state[state, known]), None)

    def _oldest_closing(self):
        return self._oldest(ConnectionState.CLOSING, UNKNOWN) or self._oldest(ConnectionState.CLOSING, KNOWN)

    def _set_state(self, connection, state, now_ms):
        known = connection.account.is_known
        if connection.state != ConnectionState.BUSY:
            self.connections_by_state[connection.state, known].pop(connection, None)
        connection.state = state
        connection.state_since_ms = self._advance(now_ms)
        if state != ConnectionState.BUSY:
            self.connections_by_state[state, known][connection] = True

    def _add_connections(self, account, difference):
        for holder, _ in self.registry.accounts_with_limits(account):
            holder.connection_count += difference
            self.registry.on_usage_changed(holder)

    def _add_active(self, account, difference):
        new_count = account.active_count + difference
        self.ranking[account.is_known].update(account, account.active_count, new_count)
        account.active_count = new_count

    def _add_queries(self, account, difference):
        self.query_count[account.is_known] += difference
        for holder, _ in self.registry.accounts_with_limits(account):
            holder.query_count += difference
            self.registry.on_usage_changed(holder)

    def _count_rejection(self, reason):
        self.rejections[reason] = self.rejections.get(reason, 0) + 1
