"""Tests of events between the decision to send an attempt and the first byte that is written for it."""

import json
import time

import pytest
from gateway_world import RESULT, SETTINGS, answered, start_with_settings
from interleavings import DelayedConnections, assert_no_more_posts, counter, wait_until_complete
from loopback import until, wait

from lichenquay.gateway import engine_connection, frames


def ask_delayed(world, group="report", **options):
    """Sends a query and waits until its attempt needs a new connection, which is delayed.

    Returns the delayed connections, the client and the query's stream.
    """
    delayed_connections, client = DelayedConnections(world), world.client()
    stream = client.ask(group, **options)
    until(lambda: delayed_connections.delayed)
    return delayed_connections, client, stream


def unresponsive_engines(world):
    """Returns the ids of the engines that the controller considers unresponsive."""
    return [
        engine_state.engine.id
        for engine_state in world.service.adapter.controller.registry.states.values()
        if engine_state.is_unresponsive
    ]


def test_an_engine_that_acknowledges_a_cancellation_is_responsive(make_world):
    """Guards against an engine that stays unused after a pause, though it acknowledges cancellations."""
    world = make_world(engines=1)
    client, world.engines[0].behaviours = world.client(), ["hold"]
    stream = client.ask("report", allow=4000)
    until(lambda: world.posts() == 1)
    (engine_state,) = world.service.adapter.controller.registry.states.values()
    engine_state.is_unresponsive = True
    client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
    wait_until_complete(world)
    assert counter(world, "attempts cancelled") == 1
    until(lambda: not unresponsive_engines(world))


@pytest.mark.parametrize("departure", ["cancel", "end", "reset"])
def test_no_attempt_is_sent_for_a_client_that_left_during_the_connect(make_world, departure):
    """The withdrawn call must not count as a failure of the engine either."""
    world = make_world(engines=2)
    delayed_connections, client, stream = ask_delayed(world)
    if departure == "cancel":
        client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
    else:
        (client.transport.loseConnection if departure == "end" else client.transport.abortConnection)()
    until(lambda: counter(world, "queries cancelled by their clients") == 1)
    delayed_connections.resume()
    assert_no_more_posts(world)
    wait_until_complete(world)
    assert (
        world.posts() == 0 and not unresponsive_engines(world) and counter(world, "attempts never sent") == 1
    )


def test_no_attempt_is_sent_for_a_client_that_left_before_the_next_turn(make_world):
    """The cancellation is queued, and the connection is established before the turn that delivers it."""
    world = make_world(engines=1)
    delayed_connections, client, stream = ask_delayed(world)
    world.service.adapter.min_loop_interval_ms = 200.0  # delays the next turn
    world.service.adapter.last_turn_ms = world.service.adapter.clock_ms()
    client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
    until(lambda: counter(world, "queries cancelled by their clients") == 1)
    delayed_connections.resume()
    assert_no_more_posts(world)
    assert world.posts() == 0


def test_no_attempt_is_sent_after_the_deadline(make_world):
    """The deadline passes while the connection is being established."""
    world = make_world(engines=1)
    delayed_connections, client, stream = ask_delayed(world, allow=300)
    assert answered(client, stream)[0] in (frames.AnswerCode.REJECTED, frames.AnswerCode.FAILED)
    delayed_connections.resume()
    assert_no_more_posts(world)
    wait_until_complete(world)
    assert world.posts() == 0


def test_no_attempt_is_sent_after_the_deadline_though_its_timer_is_late(make_world):
    """The deadline has passed, but its timer fires only after the connection is established."""
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
    """The drain is announced while the connection is being established."""
    world = make_world(engines=2)
    delayed_connections, client, stream = ask_delayed(world)
    first_engine = next(
        engine
        for engine in world.engines
        if engine.address.endswith(f":{delayed_connections.delayed[0][0][1]}")
    )
    world.announce(first_engine, state)
    until(lambda: world.service.discovery.last_number == 2)
    delayed_connections.resume()
    assert answered(client, stream) == (frames.AnswerCode.COMPLETED, RESULT) and not first_engine.posts
    wait_until_complete(world)


def test_an_attempt_refused_on_an_idle_connection_ends_once(make_world):
    """Guards against an attempt that ends twice or never, as its call fails within the turn that makes it."""
    world = make_world(engines=1)
    client = world.client()
    assert answered(client, client.ask("report")) == (frames.AnswerCode.COMPLETED, RESULT)
    wait(0.1)  # the connection has been idle for long enough to be reused
    refusals, authorize_dispatch = [], world.service.dispatcher.authorize_dispatch
    world.service.dispatcher.authorize_dispatch = lambda in_flight: (
        bool(refusals) and authorize_dispatch(in_flight) or bool(refusals.append(in_flight))
    )
    assert answered(client, client.ask("report")) == (frames.AnswerCode.COMPLETED, RESULT)
    assert len(refusals) == 1 and world.posts() == 2
    assert counter(world, "attempts never sent") == 1 and counter(world, "faults") == 0
    wait_until_complete(world)


def test_no_attempt_is_sent_to_the_old_address_of_an_engine_that_moved(make_world):
    """Guards against an attempt at another engine, which may have the old address by now."""
    world = make_world(engines=2)
    world.announce(world.engines[1], "DRAINING")
    until(lambda: world.service.discovery.last_number == 2)
    delayed_connections, client, stream = ask_delayed(world)
    world.drained.clear()
    world.discovery.add_event(
        {**world.engines[1].row(), "uid": "s-0"}
    )  # the engine being connected to now has the address of the other
    until(lambda: world.service.discovery.last_number == 3)
    delayed_connections.resume()
    assert answered(client, stream) == (frames.AnswerCode.COMPLETED, RESULT)
    assert not world.engines[0].posts and len(world.engines[1].posts) == 1
    wait_until_complete(world)


def start_with_idempotency_keys(make_world, window_ms, **options):
    """Starts a world in which engines remember idempotency keys of manifest queries for `window_ms`."""
    settings = json.loads(json.dumps(SETTINGS))
    settings["classes"][2].update(effect="keyed", key_ttl_us=window_ms * 1000, group="all")
    return start_with_settings(make_world, settings, **options)


def test_no_retry_is_sent_after_the_idempotency_window(make_world):
    """Guards against a query that runs twice: the window ends while the connection is being established."""
    world = start_with_idempotency_keys(make_world, 400, engines=1)
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
    )  # both are safe: duplicates are dropped
    assert world.posts() == 1
    wait_until_complete(world)


def test_a_retry_within_the_idempotency_window_is_sent(make_world):
    """Engines drop duplicates within the window, so a retry is safe."""
    world = start_with_idempotency_keys(make_world, 3000, engines=1)
    world.engines[0].behaviours, world.on_attempt = (
        ["error", "ok"],
        lambda *attempt_arguments: None,
    )  # the default check rejects a second attempt of a manifest query
    client = world.client()
    assert (
        answered(client, client.ask("manifest", allow=3000, replay="a1"))
        == (frames.AnswerCode.COMPLETED, RESULT)
        and world.posts() == 2
    )


@pytest.mark.parametrize("client_leaves", [True, False])
def test_an_attempt_that_waits_for_a_descriptor_is_sent_unless_its_client_leaves(make_world, client_leaves):
    """It is sent once a descriptor is free, unless its client has left."""
    world = make_world(engines=1)
    world.service.engines.descriptor_budget = 0
    client = world.client()
    stream = client.ask("report")
    until(lambda: world.service.engines.waiting_calls)
    if client_leaves:
        client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
        until(lambda: counter(world, "queries cancelled by their clients") == 1)
    world.service.engines.descriptor_budget = 50
    world.service.engines.send_waiting()
    if client_leaves:
        assert_no_more_posts(world)
        assert world.posts() == 0
    else:
        assert answered(client, stream) == (frames.AnswerCode.COMPLETED, RESULT)
    wait_until_complete(world)


def test_an_attempt_is_sent_though_graceful_shutdown_began(make_world):
    """SIGTERM arrives while the connection is being established."""
    world = make_world(engines=1)
    delayed_connections, client, stream = ask_delayed(world)
    world.service.leave()
    delayed_connections.resume()
    assert answered(client, stream) == (frames.AnswerCode.COMPLETED, RESULT)
    until(lambda: world.ended)
    wait_until_complete(world)


def test_an_attempt_is_timed_from_its_first_byte(make_world):
    """Its duration, the idempotency window and the engine's windows start at its first byte."""
    world = make_world(engines=1)
    delayed_connections, client, stream = ask_delayed(world)
    (query,) = world.service.adapter.open_queries
    decided_ms = query.attempts[0].sent_ms
    wait(0.3)
    delayed_connections.resume()
    assert answered(client, stream) == (frames.AnswerCode.COMPLETED, RESULT)
    assert query.attempts[0].sent_ms - decided_ms > 290


def test_a_warming_engine_is_sent_no_attempt_decided_in_another_window(make_world):
    """Guards against an attempt that waits for its connection and exceeds the next window's budget."""
    world = make_world(engines=1)
    endpoint_row = {**world.engines[0].row(), "boot_ms": 1000 * time.time()}
    world.discovery.add_event(endpoint_row)
    until(lambda: world.service.discovery.last_number == 2)
    (engine_state,) = world.service.adapter.controller.registry.states.values()
    slow_start = world.service.adapter.controller.slow_start
    delayed_connections, client, stream = ask_delayed(world, effort="20.0")
    (query,) = world.service.adapter.open_queries
    attempt, later_ms = (
        query.attempts[0],
        world.service.adapter.clock_ms() + 2 * slow_start.limits.slow_start_window_ms,
    )
    budget_ms = slow_start.budget_ms(
        engine_state.engine, slow_start.warm_share(engine_state.engine, later_ms)
    )
    engine_state.slow_start_work.add(later_ms, budget_ms)
    query.deadline_ms = later_ms + 1000
    assert not world.service.adapter.controller.authorize_dispatch(attempt, later_ms)
    delayed_connections.resume()
    client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
    wait_until_complete(world)


def test_an_attempt_that_the_system_does_not_take_is_not_left_to_be_written_later(make_world, monkeypatch):
    """Guards against a first byte that goes out after the check, as the system took none at first."""
    world = make_world(engines=1)
    client, tried = world.client(), []
    send_now = engine_connection.send_now

    def refuse_first(transport, data):
        if data.startswith(b"POST"):
            tried.append(transport)
        return memoryview(data) if len(tried) == 1 else send_now(transport, data)

    monkeypatch.setattr(engine_connection, "send_now", refuse_first)
    assert answered(client, client.ask()) == (frames.AnswerCode.COMPLETED, RESULT)
    wait_until_complete(world)
    assert world.posts() == 1 and len(tried) == 2 and tried[0] is not tried[1]


def test_an_engine_gets_the_time_that_is_left_when_the_attempt_is_sent(make_world):
    """Guards against an engine that works on after its client's deadline, as its connection came up late."""
    world = make_world(engines=1)
    delayed_connections, client, stream = ask_delayed(world, allow=2000)
    wait(0.4)
    delayed_connections.resume()
    assert answered(client, stream)[0] == frames.AnswerCode.COMPLETED
    ((headers, _),) = world.engines[0].posts
    assert 1000 < float(headers["X-Budget"]) <= 2000 - 400
