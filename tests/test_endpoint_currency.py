"""Since when the endpoint list may lack an announced event, as a script of events without I/O."""

from lichenquay.gateway.endpoint_currency import EndpointCurrency

TOLERANCE_MS = 100.0
MAX_UNCONFIRMED_MS = 2000.0
CHECK_MS = 25.0


def make_currency():
    """Returns a currency and the list of the changes that it reported."""
    changes = []
    return EndpointCurrency(TOLERANCE_MS, MAX_UNCONFIRMED_MS, changes.append), changes


def test_asking_anew_puts_the_list_in_doubt_until_a_later_poll_is_answered():
    """Guards against a late answer to an earlier poll that is taken for the one to the new question."""
    currency, changes = make_currency()
    currency.on_asked(1000.0)
    currency.on_answered(polled_ms=500.0, arrived_after_ms=1001.0, now_ms=1002.0)
    assert currency.since_ms == 1000.0 and not currency.is_current
    currency.on_answered(polled_ms=1000.0, arrived_after_ms=1003.0, now_ms=1004.0)
    assert currency.is_current and changes == [1000.0, None]


def test_an_answer_that_may_have_lain_unread_confirms_nothing():
    """Guards against events that followed an answer while this process stood still and no poll was open."""
    currency, _ = make_currency()
    currency.on_answered(polled_ms=100.0, arrived_after_ms=200.0, now_ms=200.0 + TOLERANCE_MS + 1)
    assert currency.since_ms == 200.0
    currency.on_answered(polled_ms=301.0, arrived_after_ms=302.0, now_ms=303.0)
    assert currency.is_current


def test_an_answer_that_was_read_soon_keeps_the_list_current():
    """Guards against a poll in vain after each event."""
    currency, changes = make_currency()
    currency.on_answered(polled_ms=100.0, arrived_after_ms=200.0, now_ms=200.0 + TOLERANCE_MS)
    assert currency.is_current and not changes


def test_the_list_is_used_after_a_time_without_answer_in_which_the_process_ran():
    """Guards against a pause of this process that uses up the time in which the service may answer."""
    currency, _ = make_currency()
    currency.on_check(0.0)
    currency.on_asked(0.0)
    currency.on_check(10 * MAX_UNCONFIRMED_MS)
    assert currency.since_ms == 0.0
    now_ms = 10 * MAX_UNCONFIRMED_MS
    while currency.since_ms is not None:
        now_ms += CHECK_MS
        currency.on_check(now_ms)
    assert now_ms == 10 * MAX_UNCONFIRMED_MS + MAX_UNCONFIRMED_MS and currency.has_given_up
    currency.on_asked(now_ms)
    assert currency.since_ms is None and not currency.is_current
    currency.on_answered(polled_ms=now_ms, arrived_after_ms=now_ms, now_ms=now_ms + 1)
    assert currency.is_current


def test_a_service_that_refuses_connections_leaves_the_last_list_in_force():
    """Guards against attempts that wait for a discovery service that is down."""
    currency, _ = make_currency()
    currency.on_watch_lost(100.0)
    currency.on_unreachable()
    assert currency.is_current
    currency.on_asked(300.0)
    assert currency.since_ms == 300.0


def test_a_refused_connection_does_not_confirm_what_was_in_doubt_before():
    """Guards against a drain that followed an unread answer, where the service goes down just then."""
    currency, _ = make_currency()
    currency.on_answered(polled_ms=100.0, arrived_after_ms=200.0, now_ms=600.0)
    currency.on_watch_lost(610.0)
    currency.on_unreachable()
    assert currency.since_ms == 200.0
