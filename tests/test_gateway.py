"""The gateway with stand-ins: queries, faults of engines, and the connections to them."""

import random
import time
from types import SimpleNamespace

import pytest
from gateway_world import RESULT, STATEMENT, answered, start_with_long_deadlines
from loopback import UNUSABLE_REPLIES, until, wait
from twisted.internet import reactor
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from lichenquay.admission.load_report import LoadReport
from lichenquay.gateway import engine_protocol, frames
from lichenquay.gateway.engine_call import EngineCall
from lichenquay.gateway.engine_connection import EngineConnection
from lichenquay.gateway.engine_pool import EnginePool, GatewayEngine


def test_a_query_is_forwarded_unchanged_and_its_complete_result_returned(make_world):
    """The load report and the cost in the reply reach the controller."""
    world = make_world(engines=1)
    client = world.client()
    client.transport.write(frames.encode_frame(frames.FrameType.READINESS_CHECK, 9, b"\0"))
    assert answered(client, client.ask("report", ref="9b1f03aa5c7e2d41", odd="x")) == (
        frames.AnswerCode.COMPLETED,
        RESULT,
    )
    headers, body = world.engines[0].posts[0]
    assert headers["X-Hop-Id"] == "9b1f03aa5c7e2d41" and headers["X-Sort"] == "report" and body == STATEMENT
    assert (
        1900 < int(headers["X-Budget"]) <= 2000
        and float(headers["X-Mem-Limit"]) == 96
        and headers["X-Nice"] in "0123"
    )
    assert client.notices == [(frames.FrameType.READINESS, 9, b"\0\0")]
    (engine_state,) = world.service.adapter.controller.registry.states.values()
    until(lambda: engine_state.report == LoadReport.from_fields({"active": 7.0}))
    assert (
        world.service.adapter.controller.memory_grants.mean_memory_mb[world.service.settings.groups["report"]]
        == 64.0
    )
    assert (
        world.service.metrics.counters["answers completed"] == 1
        and world.service.attempts.in_flight_count == 0
    )


@pytest.mark.parametrize(
    "behaviour, group, posts, code",
    [
        ("drop", "manifest", 1, frames.AnswerCode.COMPLETED),
        ("silent", "manifest", 1, frames.AnswerCode.COMPLETED),
        ("drop page", "manifest", 1, frames.AnswerCode.COMPLETED),
        ("full", "manifest", 2, frames.AnswerCode.COMPLETED),
        ("error", "report", 2, frames.AnswerCode.COMPLETED),
        ("reset", "report", 2, frames.AnswerCode.COMPLETED),
        ("lost page", "report", 2, frames.AnswerCode.COMPLETED),
        ("wrong page", "report", 2, frames.AnswerCode.COMPLETED),
        ("long", "report", 2, frames.AnswerCode.COMPLETED),
        ("noise", "report", 2, frames.AnswerCode.COMPLETED),
        ("odd", "report", 2, frames.AnswerCode.COMPLETED),
        ("error", "manifest", 1, frames.AnswerCode.FAILED),
        ("reset", "manifest", 1, frames.AnswerCode.FAILED),
        ("lost page", "manifest", 1, frames.AnswerCode.FAILED),
        ("noise", "manifest", 1, frames.AnswerCode.FAILED),
        *(
            (behaviour, "manifest", 1, frames.AnswerCode.COMPLETED)
            for behaviour in (*UNUSABLE_REPLIES, "drop post", "more", "copies")
        ),
    ],
)
def test_a_fault_of_an_engine_neither_loses_a_result_nor_runs_a_query_twice(
    make_world, behaviour, group, posts, code
):
    """A lost or unusable reply is fetched again; a non-idempotent query that may have run is not retried."""
    world = make_world(engines=2)
    behaviours = [behaviour]
    for engine in world.engines:  # shared, for the first attempt, whichever engine gets it
        engine.behaviours = behaviours
    client = world.client()
    answer_code, body = answered(client, client.ask(group, allow=4000))
    assert answer_code == code and (code or body == RESULT) and world.posts() == posts
    wait(0.1)
    assert (
        behaviour == "noise"
        or not world.in_flight
        and world.service.attempts.in_flight_count == 0
        and world.service.metrics.counters["faults"] == 0
    )


def test_a_connection_that_is_reset_before_use_proves_nothing(make_world):
    """A non-idempotent query must not fail, nor the engine be taken for gone, if no byte was written."""
    world = make_world(engines=1)
    engine, client = world.engines[0], world.client()
    connect, failures = world.service.engines.reactor.connectTCP, [ConnectionLost(), ConnectionLost()]

    def connect_after_failures(host, port, factory, timeout):
        if not failures:
            return connect(host, port, factory, timeout=timeout)
        reactor.callLater(0, factory.clientConnectionFailed, None, Failure(failures.pop()))

    world.service.engines.reactor.connectTCP = connect_after_failures
    assert (
        answered(client, client.ask("manifest", allow=4000))[0] == frames.AnswerCode.COMPLETED
        and len(engine.posts) == 1
        and not failures
    )
    assert not world.service.metrics.counters["attempts not connected"]
    for connection in list(engine.connections):
        # No call is open, and the gateway may not have read this when it sends the next call.
        connection.transport.write(b"late")
    assert (
        answered(client, client.ask("manifest"))[0] == frames.AnswerCode.COMPLETED and len(engine.posts) == 2
    )
    assert (
        not world.service.metrics.counters["first calls broken"]
        and not world.service.metrics.counters["first calls unreadable"]
    )


def test_a_long_query_is_polled_and_its_priority_updated(make_world):
    """Of several changes, the first and the last reach the engine."""
    world = make_world(engines=1)
    engine, client = world.engines[0], world.client()
    engine.behaviours = ["hold"]
    stream = client.ask("report", ref="00000000000000aa")
    until(lambda: engine.polls > 3)
    (query,) = world.service.adapter.open_queries
    for priority in (3, 0, 2):
        world.service.adapter.set_grant(query, 10.0, priority)
    until(lambda: len(engine.priorities) > 1)
    wait(0.1)
    assert engine.priorities[0] == ("00000000000000aa", b"3") and engine.priorities[-1] == (
        "00000000000000aa",
        b"2",
    )
    engine.running["00000000000000aa"] = "ok"
    assert answered(client, stream) == (frames.AnswerCode.COMPLETED, RESULT) and len(engine.posts) == 1


def test_a_query_that_exceeds_its_deadline_fails_in_time_and_is_cancelled(make_world):
    """The final answer is sent at the deadline, not after the cancellation."""
    world = make_world(engines=1)
    engine, client = world.engines[0], world.client()
    engine.behaviours = ["hold"]
    asked_s = time.time()
    assert answered(client, client.ask("manifest", allow=400))[0] == frames.AnswerCode.FAILED
    assert 0.39 < client.answers[1][2] - asked_s < 0.47
    until(lambda: engine.cancelled)
    wait(0.05)
    assert world.service.attempts.in_flight_count == 0 and len(engine.posts) == 1


def test_a_query_at_a_silent_engine_is_retried_only_after_two_seconds(make_world):
    """Until then the engine, which cannot be reached, may still run it."""
    world = start_with_long_deadlines(make_world, engines=2)
    client, stream, silent_engine = world.hold(allow=8000)
    silent_engine.is_silent, silent_since_s = True, time.time()
    world.in_flight.clear()  # the engine forgets queries that are not polled; the delay is checked below
    assert answered(client, stream, 9)[0] == frames.AnswerCode.COMPLETED
    assert time.time() - silent_since_s >= 1.9 and world.posts() == 2


def test_an_engine_that_closes_connections_at_once_is_polled_with_pauses(make_world):
    """Without pauses the gateway would spend all its time on it."""
    world = make_world(engines=1)
    engine, client = world.engines[0], world.client()
    engine.behaviours = ["hold"]
    stream = client.ask("manifest", allow=1200)
    until(lambda: engine.polls > 1)
    engine.closes_at_once = True
    for connection in list(engine.connections):
        connection.transport.abortConnection()
    count_before = engine.connection_count
    assert answered(client, stream)[0] == frames.AnswerCode.FAILED
    assert 3 < engine.connection_count - count_before < 20


def test_a_process_counts_as_gone_only_after_two_refusals(make_world):
    """After a single one, a retry was sent 2 ms after a preemption, and two attempts were in flight."""
    world = make_world(engines=2)
    client, stream, dead = world.hold()
    world.in_flight.clear()
    dead.stop()
    ended_s = time.time()
    assert answered(client, stream)[0] == frames.AnswerCode.COMPLETED and world.posts() == 2
    assert (
        0.045 < client.answers[stream][2] - ended_s < 0.5
        and world.service.metrics.counters["attempts connection reset"] == 1
    )


def test_refused_connections_prove_that_nothing_ran(make_world):
    """Non-idempotent queries are retried at another engine."""
    world = make_world(engines=2)
    world.engines[0].stop()
    wait(0.05)
    client = world.client()
    streams = [client.ask("manifest", allow=4000) for _ in range(6)]
    assert all(answered(client, stream)[0] == frames.AnswerCode.COMPLETED for stream in streams)
    assert len(world.engines[1].posts) == 6


def test_calls_wait_for_a_descriptor_in_order(make_world):
    """With few descriptors, calls wait instead of failing."""
    world = make_world(engines=3, sockets=90)
    world.service.engines.descriptor_budget, world.service.engines.urgent_reserve = 4, 2
    client = world.client()
    streams = [client.ask("status", allow=4000) for _ in range(32)]
    assert all(answered(client, stream)[0] == frames.AnswerCode.COMPLETED for stream in streams)
    assert (
        world.service.engines.peak_open_count <= 6
        and not world.service.metrics.counters["attempts not connected"]
    )
    assert sum(len(engine.connections) for engine in world.engines) <= 6


def test_a_missing_reply_is_polled_on_another_connection_in_time(make_world):
    """Waiting for longer than an engine may take to reply would make a completed query late."""
    world = make_world(engines=1)
    client, world.engines[0].behaviours, asked_s = world.client(), ["silent"], time.time()
    assert answered(client, client.ask("manifest", allow=4000))[0] == frames.AnswerCode.COMPLETED
    assert 0.25 < client.answers[1][2] - asked_s < 0.45 and world.posts() == 1


def test_a_duplicate_of_a_result_is_not_the_reply_to_another_query(make_world):
    """It arrives on a connection that is in use again, with rows that were not computed for that query."""
    world = make_world(engines=1)
    client, world.engines[0].behaviours = world.client(), ["copied late", "later"]
    first = client.ask("status", allow=4000)
    assert answered(client, first) == (
        frames.AnswerCode.COMPLETED,
        client.answers[first][1],
    ) and client.answers[first][1].endswith(b"\tx\ty\n")
    wait(0.035)
    second = client.ask("status", allow=4000)
    assert answered(client, second) == (frames.AnswerCode.COMPLETED, RESULT) and world.posts() == 2
    assert world.service.metrics.counters["first calls unreadable"] == 1


def test_a_connection_is_reused_for_another_query_only_after_a_short_idle_time():
    """A duplicate of the last reply, a moment later, would be taken for the reply to the other query."""
    clock = SimpleNamespace(now=100.0)
    pool = EnginePool(SimpleNamespace(seconds=lambda: clock.now, callLater=None), 0, 1.0, 1.0, 1000.0)
    engine = GatewayEngine("e")

    def call(**options):
        return EngineCall(engine, b"", engine_protocol.is_poll_reply, **options)

    connections = []
    for idle_since_s in (99.0, 99.9, 99.99):
        connection = EngineConnection(pool, call())
        connection.idle_since_s = idle_since_s
        engine.idle_connections.append(connection)
        connections.append(connection)
    stale, idle, latest = connections
    assert pool.pick_idle_connection(call()) is idle  # of those idle for long enough, the latest
    latest.attempt = "same attempt"
    assert pool.pick_idle_connection(call(preferred_connection=latest, attempt="same attempt")) is latest
    assert pool.pick_idle_connection(call(preferred_connection=latest, attempt="another")) is idle
    assert pool.pick_idle_connection(call(needs_new_connection=True)) is None
    assert engine.idle_connections.popleft() is stale
    assert engine.idle_connections.popleft() is idle
    assert pool.pick_idle_connection(call()) is None
    clock.now += 0.03
    assert pool.pick_idle_connection(call()) is latest
    pool.on_reused_connection_broken(0.05)
    assert pool.stale_after_s == pool.max_idle_s == 0.5  # after a short idle time, a break says nothing
    pool.on_reused_connection_broken(0.3)
    pool.check_connections()
    assert 0.15 < pool.stale_after_s < 0.151
    clock.now += 0.1
    assert pool.pick_idle_connection(call()) is latest
    clock.now += 0.06  # a middlebox may have closed it by now
    assert pool.pick_idle_connection(call()) is None


def test_idle_connections_are_closed_before_the_engine_closes_them(make_world):
    """Another connection is opened for the next query."""
    world = make_world(engines=1)
    client = world.client()
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED
    pool = world.service.engines
    assert pool.open_count == 1
    (connection,) = pool.connections
    connection.idle_since_s -= pool.max_idle_s + 0.1
    pool.check_connections()
    until(lambda: not world.engines[0].connections)
    assert pool.open_count == 0 and answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED


def test_a_fault_for_one_query_fails_that_query_alone(make_world):
    """The next query completes."""
    world = make_world(engines=1)
    client, router = world.client(), world.service.router
    start, router.start = router.start, None
    assert answered(client, client.ask())[0] == frames.AnswerCode.FAILED
    router.start = start
    assert (
        answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED
        and world.service.metrics.counters["faults"] == 1
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_failures_break_no_rule(make_world, seed):
    """With faults, drains and cancellations, each query has one answer in time, and no rule is broken."""
    world, rng = make_world(engines=3), random.Random(seed)
    clients = [world.client() for _ in range(3)]
    deadlines, cancelled = {}, set()  # Unix time by (client, stream); (client, stream)
    behaviours = ["ok"] * 8 + [
        "full",
        "error",
        "reset",
        "drop",
        "drop page",
        "lost page",
        *UNUSABLE_REPLIES,
        "more",
        "drop post",
        "hold",
        "odd",
    ]
    for _ in range(120):
        for engine in world.engines:
            engine.behaviours = engine.behaviours or [rng.choice(behaviours)]
            engine.is_silent, engine.closes_at_once = (
                (not was if rng.random() < 0.03 else was) for was in (engine.is_silent, engine.closes_at_once)
            )
        if rng.random() < 0.02 and world.discovery.connections:
            rng.choice(list(world.discovery.connections)).transport.abortConnection()
        client = rng.choice(clients)
        allow = rng.choice((250, 600, 1500))
        stream = client.ask(rng.choice(("status", "report", "manifest")), allow=allow)
        deadlines[client, stream] = time.time() + allow / 1000
        if rng.random() < 0.05:
            client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
            cancelled.add((client, stream))
        if rng.random() < 0.1:
            world.announce(rng.choice(world.engines), rng.choice(("SERVING", "SERVING", "DRAINING")))
        wait(rng.choice((0.0, 0.005, 0.02)))
        for (asker, asked), deadline_s in deadlines.items():
            is_settled = asked in asker.answers or (asker, asked) in cancelled
            assert is_settled or time.time() < deadline_s + 0.15, "rule 1: no answer in time"
    for engine in world.engines:
        engine.is_silent = engine.closes_at_once = False
    until(lambda: all(asked in asker.answers for asker, asked in deadlines.keys() - cancelled))
    for (asker, asked), deadline_s in deadlines.items():
        if asked in asker.answers:
            code, body, answered_s = asker.answers[asked]
            assert answered_s < deadline_s + 0.1 and (code != frames.AnswerCode.COMPLETED or body == RESULT)
    until(lambda: world.service.attempts.in_flight_count == 0)
    assert world.service.metrics.counters["faults"] == 0 and not world.service.adapter.open_queries
