"""Decided now, written later: what happens between an attempt's decision and its first byte."""

import json
import time

import pytest
from gateway_world import RESULT, SETTINGS, answered, start_with_settings
from interleavings import DelayedConnections, assert_no_more_posts, counter, wait_until_over
from loopback import until, wait

from lichenquay.gateway import frames


def ask_delayed(world, group="report", **more):
    """A query whose attempt waits for its connection: the connections, its client, its stream."""
    delayed_connections, client = DelayedConnections(world), world.client()
    stream = client.ask(group, **more)
    until(lambda: delayed_connections.delayed)
    return delayed_connections, client, stream


def unresponsive_engines(world):
    """The engines that the controller takes for unresponsive."""
    return [
        stream.engine.id
        for stream in world.service.adapter.controller.fleet.states.values()
        if stream.is_unresponsive
    ]


def test_an_engine_that_acknowledges_a_cancellation_is_responsive(make_world):
    """One that paused for a moment acknowledges all that is cancelled there, and must not stay out of use."""
    world = make_world(engines=1)
    client, world.engines[0].behaviours = world.client(), ["hold"]
    stream = client.ask("report", allow=4000)
    until(lambda: world.posts() == 1)
    (engine_state,) = world.service.adapter.controller.fleet.states.values()
    engine_state.is_unresponsive = True
    client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
    wait_until_over(world)
    assert counter(world, "attempts cancelled") == 1
    until(lambda: not unresponsive_engines(world))


@pytest.mark.parametrize("leaves", ["cancel", "end", "reset"])
def test_no_attempt_is_sent_for_a_client_that_left_while_a_connection_came_up(make_world, leaves):
    """The engine is not blamed for the call that was withdrawn either."""
    world = make_world(engines=2)
    delayed_connections, client, stream = ask_delayed(world)
    if leaves == "cancel":
        client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
    else:
        (client.transport.loseConnection if leaves == "end" else client.transport.abortConnection)()
    until(lambda: counter(world, "queries cancelled by their clients") == 1)
    delayed_connections.resume()
    assert_no_more_posts(world)
    wait_until_over(world)
    assert (
        world.posts() == 0 and not unresponsive_engines(world) and counter(world, "attempts never sent") == 1
    )


def test_no_attempt_is_sent_for_a_client_that_left_before_the_next_turn(make_world):
    """The cancellation is queued; the connection comes up before the turn that delivers it."""
    world = make_world(engines=1)
    delayed_connections, client, stream = ask_delayed(world)
    world.service.adapter.min_loop_interval_ms = 200.0  # the next turn is long in coming
    world.service.adapter.last_turn_ms = world.service.adapter.clock_ms()
    client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
    until(lambda: counter(world, "queries cancelled by their clients") == 1)
    delayed_connections.resume()
    assert_no_more_posts(world)
    assert world.posts() == 0


def test_no_attempt_is_sent_after_the_deadline(make_world):
    """The deadline passes while the connection comes up."""
    world = make_world(engines=1)
    delayed_connections, client, stream = ask_delayed(world, allow=300)
    assert answered(client, stream)[0] in (frames.AnswerCode.REJECTED, frames.AnswerCode.FAILED)
    delayed_connections.resume()
    assert_no_more_posts(world)
    wait_until_over(world)
    assert world.posts() == 0


def test_no_attempt_is_sent_after_the_deadline_though_its_timer_is_late(make_world):
    """The connection comes up before the timer of the deadline fires."""
    world = make_world(engines=1)
    delayed_connections, client, stream = ask_delayed(world, allow=300)
    (query,) = world.service.adapter.open_queries
    world.service.adapter.clock_ms = lambda: query.deadline_ms + 1
    delayed_connections.resume()
    until(lambda: counter(world, "attempts never sent") == 1)
    assert (
        answered(client, stream)[0] in (frames.AnswerCode.REJECTED, frames.AnswerCode.FAILED)
        and world.posts() == 0
    )


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_no_attempt_is_sent_to_an_engine_that_began_to_drain(make_world, state):
    """The drain is announced while the connection comes up."""
    world = make_world(engines=2)
    delayed_connections, client, stream = ask_delayed(world)
    first = next(
        engine
        for engine in world.engines
        if engine.address.endswith(f":{delayed_connections.delayed[0][0][1]}")
    )
    world.announce(first, state)
    until(lambda: world.service.discovery.last_number == 2)
    delayed_connections.resume()
    assert answered(client, stream) == (frames.AnswerCode.COMPLETED, RESULT) and not first.posts
    wait_until_over(world)


def test_an_attempt_that_may_not_use_the_idle_connection_at_hand_ends_once(make_world):
    """Its call ends within the turn that makes it, before anybody waits for its outcome."""
    world = make_world(engines=1)
    client = world.client()
    assert answered(client, client.ask("report")) == (frames.AnswerCode.COMPLETED, RESULT)
    wait(0.1)  # its connection has rested for long enough to be used again
    refusals, authorize_dispatch = [], world.service.dispatcher.authorize_dispatch
    world.service.dispatcher.authorize_dispatch = lambda in_flight: (
        bool(refusals) and authorize_dispatch(in_flight) or bool(refusals.append(in_flight))
    )
    assert answered(client, client.ask("report")) == (frames.AnswerCode.COMPLETED, RESULT)
    assert len(refusals) == 1 and world.posts() == 2
    assert counter(world, "attempts never sent") == 1 and counter(world, "faults") == 0
    wait_until_over(world)


def test_no_attempt_is_sent_to_the_old_address_of_an_engine_that_moved(make_world):
    """Its old address may be another engine's by now."""
    world = make_world(engines=2)
    world.announce(world.engines[1], "DRAINING")
    until(lambda: world.service.discovery.last_number == 2)
    delayed_connections, client, stream = ask_delayed(world)
    world.drained.clear()
    world.discovery.add_event(
        {**world.engines[1].row(), "uid": "s-0"}
    )  # the uid that is connected to has the other's address now
    until(lambda: world.service.discovery.last_number == 3)
    delayed_connections.resume()
    assert answered(client, stream) == (frames.AnswerCode.COMPLETED, RESULT)
    assert not world.engines[0].posts and len(world.engines[1].posts) == 1
    wait_until_over(world)


def with_idempotency_keys(make_world, window_ms, **options):
    """A world whose manifests have idempotency keys, remembered for `window_ms`."""
    settings = json.loads(json.dumps(SETTINGS))
    settings["classes"][2].update(effect="keyed", key_ttl_us=window_ms * 1000, group="all")
    return start_with_settings(make_world, settings, **options)


def test_no_retry_is_sent_after_the_idempotency_window(make_world):
    """It closes while the connection comes up: what may have run would run again."""
    world = with_idempotency_keys(make_world, 400, engines=1)
    world.engines[0].behaviours = ["error", "ok"]
    client = world.client()
    world.service.engines.pick_idle_connection = lambda call: None  # the next attempt needs a new connection
    stream = client.ask("manifest", allow=3000, replay="a1")
    until(lambda: world.posts() == 1)
    delayed_connections = DelayedConnections(world)
    until(lambda: delayed_connections.delayed, 2)
    wait(0.45)
    delayed_connections.resume()
    assert answered(client, stream)[0] in (
        frames.AnswerCode.FAILED,
        frames.AnswerCode.REJECTED,
    )  # its repeats are dropped: both are harmless
    assert world.posts() == 1
    wait_until_over(world)


def test_a_retry_within_the_idempotency_window_is_sent(make_world):
    """The window is open."""
    world = with_idempotency_keys(make_world, 3000, engines=1)
    world.engines[0].behaviours, world.on_attempt = (
        ["error", "ok"],
        lambda *sent: None,
    )  # its rule on mutating queries goes by the name
    client = world.client()
    assert (
        answered(client, client.ask("manifest", allow=3000, replay="a1"))
        == (frames.AnswerCode.COMPLETED, RESULT)
        and world.posts() == 2
    )


@pytest.mark.parametrize("leaves", [True, False])
def test_an_attempt_that_waits_for_a_descriptor(make_world, leaves):
    """It is sent once there is one, unless its client has left."""
    world = make_world(engines=1)
    world.service.engines.descriptor_budget = 0
    client = world.client()
    stream = client.ask("report")
    until(lambda: world.service.engines.waiting_calls)
    if leaves:
        client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
        until(lambda: counter(world, "queries cancelled by their clients") == 1)
    world.service.engines.descriptor_budget = 50
    world.service.engines.send_waiting()
    if leaves:
        assert_no_more_posts(world)
        assert world.posts() == 0
    else:
        assert answered(client, stream) == (frames.AnswerCode.COMPLETED, RESULT)
    wait_until_over(world)


def test_an_attempt_is_sent_though_the_gateway_began_to_leave(make_world):
    """SIGTERM comes while the connection comes up."""
    world = make_world(engines=1)
    delayed_connections, client, stream = ask_delayed(world)
    world.service.leave()
    delayed_connections.resume()
    assert answered(client, stream) == (frames.AnswerCode.COMPLETED, RESULT)
    until(lambda: world.ended)
    wait_until_over(world)


def test_an_attempt_counts_from_its_first_byte(make_world):
    """How long it took, since when its repeat is dropped, and its engine's windows follow its first byte."""
    world = make_world(engines=1)
    delayed_connections, client, stream = ask_delayed(world)
    (query,) = world.service.adapter.open_queries
    decided = query.attempts[0].sent_ms
    wait(0.3)
    delayed_connections.resume()
    assert answered(client, stream) == (frames.AnswerCode.COMPLETED, RESULT)
    assert query.attempts[0].sent_ms - decided > 290


def test_an_engine_that_warms_up_is_not_sent_what_was_decided_in_another_window(make_world):
    """What waited for its connection would come on top of what the next slow-start window allows."""
    world = make_world(engines=1)
    row = {**world.engines[0].row(), "boot_ms": 1000 * time.time()}
    world.discovery.add_event(row)
    until(lambda: world.service.discovery.last_number == 2)
    (engine_state,) = world.service.adapter.controller.fleet.states.values()
    slow_start = world.service.adapter.controller.slow_start
    delayed_connections, client, stream = ask_delayed(world, effort="20.0")
    (query,) = world.service.adapter.open_queries
    attempt, later = (
        query.attempts[0],
        world.service.adapter.clock_ms() + 2 * slow_start.limits.slow_start_window_ms,
    )
    budget_ms = slow_start.budget_ms(engine_state.engine, slow_start.warm_share(engine_state.engine, later))
    engine_state.slow_start_work.add(later, budget_ms)
    query.deadline_ms = later + 1000
    assert not world.service.adapter.controller.authorize_dispatch(attempt, later)
    delayed_connections.resume()
    client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
    wait_until_over(world)
