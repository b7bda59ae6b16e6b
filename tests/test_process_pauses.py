"""Pauses of the process, as a script of ticks without I/O."""

from lichenquay.gateway.process_pauses import TURNS_AFTER_PAUSE, ArrivalBound, ProcessPauses


def test_what_is_read_after_a_pause_may_have_arrived_at_its_beginning():
    """Guards against requests whose time counts from when a process that stood still has read them."""
    soon = []
    pauses = ProcessPauses(25.0, 100.0, soon.append)
    assert pauses.earliest_arrival_ms(500.0) == 500.0
    assert pauses.on_tick(1000.0) == 0.0
    assert pauses.on_tick(1030.0) == 5.0
    assert pauses.earliest_arrival_ms(1130.0) == 1130.0
    # Read before the tick that notices the pause, in the same turn, and in a later one.
    assert pauses.earliest_arrival_ms(1500.0) == 1030.0
    assert pauses.on_tick(1500.0) == 445.0
    assert pauses.earliest_arrival_ms(1501.0) == 1030.0
    for _ in range(TURNS_AFTER_PAUSE):
        assert pauses.earliest_arrival_ms(1502.0) == 1030.0
        soon.pop()()
    assert pauses.earliest_arrival_ms(1502.0) == 1502.0


def test_what_a_read_leaves_unread_after_a_pause_keeps_its_time():
    """Guards against a request that a connection accepted after the pause, or a short read, brings later."""
    earliest_ms, has_more = [1000.0], [True]
    arrival = ArrivalBound(lambda now_ms: min(now_ms, earliest_ms[0]), lambda: 1500.0)
    arrival.begin_read()
    arrival.end_read(lambda: has_more[0])
    earliest_ms[0] = 1500.0
    arrival.begin_read()
    assert arrival.read_ms == 1000.0
    arrival.end_read(lambda: False)
    arrival.begin_read()
    assert arrival.read_ms == 1500.0


def test_a_pause_lasts_until_waiting_connections_are_accepted():
    """Guards against requests on connections that are accepted some turns after a pause."""
    soon, has_backlog = [], [True]
    pauses = ProcessPauses(25.0, 100.0, soon.append, lambda: has_backlog[0])
    pauses.on_tick(1000.0)
    pauses.on_tick(1500.0)
    for _ in range(TURNS_AFTER_PAUSE):
        soon.pop()()
    assert pauses.earliest_arrival_ms(1510.0) == 1000.0
    has_backlog[0] = False
    soon.pop()()
    assert pauses.earliest_arrival_ms(1520.0) == 1520.0 and not soon
