"""Decided now, written later: what comes between an attempt's decision and its first byte."""

import json
import time

import pytest
from gateway_world import RESULT, SETTINGS, answered
from hooks import HeldConnects, over, stays, told
from loopback import until, wait

from lichenquay.gateway import frames


def asked(w, group="report", **more):
    """A query whose attempt waits for its connection."""
    connects, c = HeldConnects(w), w.client()
    stream = c.ask(group, **more)
    until(lambda: connects.held)
    return connects, c, stream


def blamed(w):
    return [s.engine.id for s in w.service.admit.controller.fleet.states.values() if s.is_unresponsive]


def test_an_engine_that_answers_a_cancel_is_heard_again(world):
    """Risk: one that stood still for a moment answers all that is called off there, and is held silent for good."""
    w = world(engines=1)
    c, w.engines[0].ways = w.client(), ["hold"]
    stream = c.ask("report", allow=4000)
    until(lambda: w.posts() == 1)
    (seen,) = w.service.admit.controller.fleet.states.values()
    seen.is_unresponsive = True
    c.transport.write(frames.frame(frames.LEFT, stream))
    over(w)
    assert told(w, "attempts cancelled") == 1
    until(lambda: not blamed(w))


@pytest.mark.parametrize("leaves", ["cancel", "end", "reset"])
def test_a_client_that_left_while_its_connection_came_up(world, leaves):
    """Risk: an attempt begins long after its client has gone; or the engine is blamed for a call that was given up."""
    w = world(engines=2)
    connects, c, stream = asked(w)
    if leaves == "cancel":
        c.transport.write(frames.frame(frames.LEFT, stream))
    else:
        (c.transport.loseConnection if leaves == "end" else c.transport.abortConnection)()
    until(lambda: told(w, "queries left by their clients") == 1)
    connects.go_on()
    stays(w)
    over(w)
    assert w.posts() == 0 and not blamed(w) and told(w, "attempts never sent") == 1


def test_a_client_that_left_in_the_turn_in_which_the_connection_is_up(world):
    """The event is taken, the turn that calls its attempt off has not come: the connection comes up between them."""
    w = world(engines=1)
    connects, c, stream = asked(w)
    w.service.admit.step_ms = 200.0  # the next turn is long in coming
    w.service.admit.turned_ms = w.service.admit.clock_ms()
    c.transport.write(frames.frame(frames.LEFT, stream))
    until(lambda: told(w, "queries left by their clients") == 1)
    connects.go_on()
    stays(w)
    assert w.posts() == 0


def test_the_time_is_up_while_the_connection_comes_up(world):
    w = world(engines=1)
    connects, c, stream = asked(w, allow=300)
    assert answered(c, stream)[0] in (frames.DEFERRED, frames.KILLED)
    connects.go_on()
    stays(w)
    over(w)
    assert w.posts() == 0


def test_the_time_is_up_in_the_turn_in_which_the_connection_is_up(world):
    """Its timer is due, and late: the connection comes up before it."""
    w = world(engines=1)
    connects, c, stream = asked(w, allow=300)
    (q,) = w.service.admit.open
    w.service.admit.clock_ms = lambda: q.deadline_ms + 1
    connects.go_on()
    until(lambda: told(w, "attempts never sent") == 1)
    assert answered(c, stream)[0] in (frames.DEFERRED, frames.KILLED) and w.posts() == 0


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_a_drain_is_told_while_the_connection_comes_up(world, state):
    w = world(engines=2)
    connects, c, stream = asked(w)
    first = next(e for e in w.engines if e.address.endswith(f":{connects.held[0][0][1]}"))
    w.tell(first, state)
    until(lambda: w.service.discovery.no == 2)
    connects.go_on()
    assert answered(c, stream) == (frames.FINISHED, RESULT) and not first.posts
    over(w)


def test_a_submission_that_may_not_go_out_on_the_idle_connection_at_hand(world):
    """Its call ends within the turn that makes it. Risk: its outcome is gone before anybody has asked for it."""
    w = world(engines=1)
    c = w.client()
    assert answered(c, c.ask("report")) == (frames.FINISHED, RESULT)
    wait(0.1)  # its connection has rested for long enough to be used again
    refusals, may_go = [], w.service.send.may_go
    w.service.send.may_go = lambda flight: bool(refusals) and may_go(flight) or bool(refusals.append(flight))
    assert answered(c, c.ask("report")) == (frames.FINISHED, RESULT)
    assert len(refusals) == 1 and w.posts() == 2
    assert told(w, "attempts never sent") == 1 and told(w, "faults") == 0
    over(w)


def test_an_engine_moves_while_the_connection_comes_up(world):
    """Risk: its old address is another's by now, and is sent what was meant for it."""
    w = world(engines=2)
    w.tell(w.engines[1], "DRAINING")
    until(lambda: w.service.discovery.no == 2)
    connects, c, stream = asked(w)
    w.drained.clear()
    w.bulletin.add(
        {**w.engines[1].row(), "uid": "s-0"}
    )  # the uid that is connected to has the other's address now
    until(lambda: w.service.discovery.no == 3)
    connects.go_on()
    assert answered(c, stream) == (frames.FINISHED, RESULT)
    assert not w.engines[0].posts and len(w.engines[1].posts) == 1
    over(w)


def tokened(world, window_ms, **more):
    settings = json.loads(json.dumps(SETTINGS))
    settings["classes"][2].update(effect="keyed", key_ttl_us=window_ms * 1000, group="all")
    w = world(start=False, **more)
    w.path.write_text(json.dumps({**w.config, "settings": settings}))
    w.start()
    until(lambda: w.service.discovery.answered)
    return w


def test_the_window_for_repeats_closes_while_the_connection_comes_up(world):
    """Risk: what may have run is sent again where its repeat is not dropped any more."""
    w = tokened(world, 400, engines=1)
    w.engines[0].ways = ["error", "ok"]
    c = w.client()
    w.service.engines.idle = lambda call: None  # the next attempt needs a new connection
    stream = c.ask("manifest", allow=3000, replay="a1")
    until(lambda: w.posts() == 1)
    connects = HeldConnects(w)
    until(lambda: connects.held, 2)
    wait(0.45)
    connects.go_on()
    assert answered(c, stream)[0] in (
        frames.KILLED,
        frames.DEFERRED,
    )  # its repeats are dropped: both are harmless
    assert w.posts() == 1
    over(w)


def test_a_repeat_within_its_window_goes_out(world):
    w = tokened(world, 3000, engines=1)
    w.engines[0].ways, w.sent = (
        ["error", "ok"],
        lambda *sent: None,
    )  # its rule on mutating queries goes by the name
    c = w.client()
    assert (
        answered(c, c.ask("manifest", allow=3000, replay="a1")) == (frames.FINISHED, RESULT)
        and w.posts() == 2
    )


@pytest.mark.parametrize("leaves", [True, False])
def test_a_submission_that_waits_for_a_descriptor(world, leaves):
    w = world(engines=1)
    w.service.engines.budget = 0
    c = w.client()
    stream = c.ask("report")
    until(lambda: w.service.engines.waiting)
    if leaves:
        c.transport.write(frames.frame(frames.LEFT, stream))
        until(lambda: told(w, "queries left by their clients") == 1)
    w.service.engines.budget = 50
    w.service.engines.serve()
    if leaves:
        stays(w)
        assert w.posts() == 0
    else:
        assert answered(c, stream) == (frames.FINISHED, RESULT)
    over(w)


def test_the_front_starts_to_leave_while_the_connection_comes_up(world):
    w = world(engines=1)
    connects, c, stream = asked(w)
    w.service.leave()
    connects.go_on()
    assert answered(c, stream) == (frames.FINISHED, RESULT)
    until(lambda: w.ended)
    over(w)


def test_what_is_written_late_counts_where_it_goes_out(world):
    """Times of an attempt follow its first byte: how long it took, since when its repeat is dropped, and its engine's windows."""
    w = world(engines=1)
    connects, c, stream = asked(w)
    (q,) = w.service.admit.open
    decided = q.attempts[0].sent_ms
    wait(0.3)
    connects.go_on()
    assert answered(c, stream) == (frames.FINISHED, RESULT)
    assert q.attempts[0].sent_ms - decided > 290


def test_a_cold_engine_is_not_sent_what_was_decided_in_another_window(world):
    """Risk: what waited for its connection comes on top of what the next window allows."""
    w = world(engines=1)
    row = {**w.engines[0].row(), "boot_ms": 1000 * time.time()}
    w.bulletin.add(row)
    until(lambda: w.service.discovery.no == 2)
    (seen,) = w.service.admit.controller.fleet.states.values()
    slow_start = w.service.admit.controller.slow_start
    connects, c, stream = asked(w, effort="20.0")
    (q,) = w.service.admit.open
    attempt, later = q.attempts[0], w.service.admit.clock_ms() + 2 * slow_start.limits.slow_start_window_ms
    budget_ms = slow_start.budget_ms(seen.engine, slow_start.warm_share(seen.engine, later))
    seen.slow_start_work.add(later, budget_ms)
    q.deadline_ms = later + 1000
    assert not w.service.admit.controller.may_dispatch(attempt, later)
    connects.go_on()
    c.transport.write(frames.frame(frames.LEFT, stream))
    over(w)
