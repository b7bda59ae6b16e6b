"""The rules of connection admission, by example."""

import pytest

from lichenquay.connection_admission.client_accounts import ConnectionState
from lichenquay.connection_admission.decisions import (
    UNKNOWN,
    ConnectionAdmission,
    RejectReason,
)
from lichenquay.connection_admission.limits import ClientLimits, ConnectionRules, parse_networks
from lichenquay.connection_admission.load_state import LoadState
from lichenquay.gateway import service_report

KNOWN_NETWORK = "10.9.0.0/16"
KNOWN_ADDRESS = "10.9.0.1"


def admission_with(**changes):
    """Returns connection admission with six connections, two of them reserved, and changes to these rules."""
    defaults = dict(max_connections=6, max_queries=0, known=parse_networks([KNOWN_NETWORK]), reserve=2)
    return ConnectionAdmission(ConnectionRules(**{**defaults, **changes}), 0.0)


def connect(admission, address, now_ms=100.0, query=False):
    """Opens a connection, with a query if wanted, closes the evicted one; returns None if it is rejected."""
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
    """Connections, queries and bytes are limited; an IPv6 /64 counts as one address."""
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


def test_the_rate_of_new_connections_is_limited_and_the_rejection_has_retry_after():
    """A clock that steps back adds no tokens; one that jumps forward fills the bucket at most."""
    admission = admission_with(max_connections=99, address=ClientLimits(connections_per_s=10, burst=3))
    assert all(connect(admission, "10.1.1.1") for _ in range(3))
    decision = admission.admit_connection("10.1.1.1", 100.0)
    assert decision.reason == RejectReason.RATE
    assert decision.retry_after_ms == 100.0
    assert connect(admission, "10.1.1.2")
    assert admission.admit_connection("10.1.1.1", 0.0).reason == RejectReason.RATE
    assert admission.admit_connection("10.1.1.1", 199.0).reason == RejectReason.RATE
    assert connect(admission, "10.1.1.1", 201.0)
    assert admission.admit_connection("10.1.1.1", 201.0).reason == RejectReason.RATE
    admitted_after_jump = [bool(connect(admission, "10.1.1.1", 1e9)) for _ in range(4)]
    assert admitted_after_jump == [True, True, True, False]


def test_connections_are_evicted_in_order():
    """Silent, idle, then the most recent query of the largest account; closing connections do not count."""
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


def test_ending_connections_have_a_limit_of_their_own_and_are_aborted_beyond_it():
    """A connection with an unanswered query is never aborted."""
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
    """They are not evicted within `eviction_grace_ms`."""
    admission = admission_with(max_connections=2)
    connect(admission, "10.1.0.1", 100.0)
    connect(admission, "10.1.0.2", 100.0)
    assert admission.admit_connection("10.1.0.3", 110.0).reason == RejectReason.NO_CAPACITY
    assert admission.admit_connection("10.1.0.3", 120.0).is_admitted


def test_unknown_clients_use_reserved_connections_until_known_clients_need_them():
    """Known clients then evict all of them at once."""
    admission = admission_with(max_connections=6)
    unknown = [connect(admission, f"10.1.0.{i}", query=True) for i in range(6)]
    assert all(unknown)
    assert admission.admit_connection("10.1.0.9", 100.0).reason == RejectReason.NO_CAPACITY
    known = [connect(admission, f"10.9.0.{i}", 100.0, query=True) for i in range(6)]
    assert all(known)
    assert len(admission.connections[UNKNOWN]) == 0
    assert admission.admit_connection("10.1.0.1", 100.0).reason == RejectReason.NO_CAPACITY
    connect(admission, "10.9.0.1", 101.0, query=True)
    assert admission.admit_connection("10.9.0.77", 200.0).reason == RejectReason.NO_CAPACITY


def test_queries_are_evicted_for_known_clients_only():
    """The evicted query is the most recent one of an unknown client."""
    admission = admission_with(max_connections=20, max_queries=4)
    busy = connect(admission, "10.1.0.1")
    for i in range(4):
        admission.on_query_admitted(busy, i)
    unknown = connect(admission, "10.1.0.2")
    known = connect(admission, KNOWN_ADDRESS)
    assert admission.admit_query(unknown, 1, 10.0).reason == RejectReason.NO_CAPACITY
    assert admission.admit_query(known, 1, 10.0).evict is busy


def test_load_states_rise_at_once_and_fall_one_by_one_after_a_delay():
    """In the state FULL only known clients are admitted."""
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


def test_only_a_persistent_event_loop_lag_raises_the_load_state():
    """A single late turn does not."""
    admission = admission_with()
    assert admission.update_load(0.0, 400.0, 0.0) == LoadState.CALM
    assert admission.update_load(0.0, 0.0, 60.0) == LoadState.CALM
    for now_ms in range(100, 500, 20):
        admission.update_load(0.0, 60.0, float(now_ms))
    assert admission.state == LoadState.FULL


def test_shutdown_rejects_connections_and_new_rules_leave_what_is_open():
    """Queries on open connections are admitted during the shutdown."""
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


def test_an_invalid_address_range_is_named_in_the_error():
    """The operator must see which range to correct."""
    with pytest.raises(ValueError, match="10.9"):
        parse_networks(["10.9.0.0/33"])


def test_the_report_names_the_largest_clients_first_and_marks_known_ones():
    """Each client has one line, with its connections, open queries and held bytes."""
    admission = admission_with(max_connections=99)
    connect(admission, "10.1.1.1")
    connect(admission, KNOWN_ADDRESS)
    admission.on_held_bytes_changed(connect(admission, KNOWN_ADDRESS, query=True), 30)
    assert list(service_report._account_lines(admission)) == [
        f"largest client: {KNOWN_ADDRESS} (known): 2 connections, 1 queries, 30 bytes",
        "largest client: 10.1.1.1: 1 connections, 0 queries, 0 bytes",
    ]
