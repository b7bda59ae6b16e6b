"""The whole gateway before stand-ins: queries, what goes wrong at engines, and the connections to them."""

import random
import time
from types import SimpleNamespace

import pytest
from gateway_world import RESULT, STATEMENT, answered
from loopback import SPOILT_REPLIES, until, wait
from twisted.internet import reactor
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from lichenquay.admission.load_report import LoadReport
from lichenquay.gateway import engine_protocol, frames
from lichenquay.gateway.engine_call import EngineCall
from lichenquay.gateway.engine_connection import EngineConnection
from lichenquay.gateway.engine_pool import EnginePool, GatewayEngine


def test_a_query_is_forwarded_unchanged_and_answered_whole(make_world):
    """Its load report and cost reach the controller."""
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
    (engine_state,) = world.service.adapter.controller.fleet.states.values()
    until(
        lambda: engine_state.report == LoadReport.from_fields({"active": 7.0})
    )  # the end comes with its load report and cost
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
            for behaviour in (*SPOILT_REPLIES, "drop post", "more", "copies")
        ),
    ],
)
def test_what_goes_wrong_at_an_engine(make_world, behaviour, group, posts, code):
    """Proved too little, a result is lost; proved too much, a non-idempotent query runs twice; and a spoilt
    reply, or a connection's fault, is not the query's.
    """
    world = make_world(engines=2)
    behaviours = [behaviour]
    for engine in world.engines:  # the first attempt, wherever it goes
        engine.behaviours = behaviours
    client = world.client()
    got = answered(client, client.ask(group, allow=4000))
    assert got[0] == code and (code or got[1] == RESULT) and world.posts() == posts
    wait(0.1)
    assert (
        behaviour == "noise"
        or not world.in_flight
        and world.service.attempts.in_flight_count == 0
        and world.service.metrics.counters["faults"] == 0
    )


def test_a_connection_reset_when_new_proves_nothing(make_world):
    """A non-idempotent query must not fail for a connection on which nothing of it was written, nor the
    engine be taken for gone.
    """
    world = make_world(engines=1)
    engine, client = world.engines[0], world.client()
    connect, failures = world.service.engines.reactor.connectTCP, [ConnectionLost(), ConnectionLost()]

    def fails(host, port, factory, timeout):
        if not failures:
            return connect(host, port, factory, timeout=timeout)
        reactor.callLater(0, factory.clientConnectionFailed, None, Failure(failures.pop()))

    world.service.engines.reactor.connectTCP = fails
    assert (
        answered(client, client.ask("manifest", allow=4000))[0] == frames.AnswerCode.COMPLETED
        and len(engine.posts) == 1
        and not failures
    )
    assert not world.service.metrics.counters["attempts not connected"]
    for connection in list(engine.connections):
        connection.transport.write(b"late")  # no call is out; the gateway may not have read it yet
    assert (
        answered(client, client.ask("manifest"))[0] == frames.AnswerCode.COMPLETED and len(engine.posts) == 2
    )
    assert (
        not world.service.metrics.counters["first calls broken"]
        and not world.service.metrics.counters["first calls unreadable"]
    )


def test_a_long_query_is_polled_and_its_priority_updated(make_world):
    """The last priority reaches the engine."""
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
    """The final answer comes at the deadline, not after the cancellation."""
    world = make_world(engines=1)
    engine, client = world.engines[0], world.client()
    engine.behaviours = ["hold"]
    asked = time.time()
    assert answered(client, client.ask("manifest", allow=400))[0] == frames.AnswerCode.FAILED
    assert 0.39 < client.answers[1][2] - asked < 0.47
    until(lambda: engine.cancelled)
    wait(0.05)
    assert world.service.attempts.in_flight_count == 0 and len(engine.posts) == 1


def test_an_attempt_at_a_silent_engine_is_over_after_two_seconds(make_world):
    """No retry is sent while an engine that cannot be reached still works on it."""
    world = make_world(engines=2)
    client, stream, bad = world.hold()
    bad.is_silent, asked = True, time.time()
    world.in_flight.clear()  # it forgets what is not polled; that the gateway waits is checked below
    assert answered(client, stream)[0] == frames.AnswerCode.COMPLETED
    assert time.time() - asked >= 1.9 and world.posts() == 2


def test_an_engine_that_closes_connections_at_once_is_polled_with_pauses(make_world):
    """Without pauses the gateway would have time for nothing else."""
    world = make_world(engines=1)
    engine, client = world.engines[0], world.client()
    engine.behaviours = ["hold"]
    stream = client.ask("manifest", allow=1200)
    until(lambda: engine.polls > 1)
    engine.closes_at_once = True
    for connection in list(engine.connections):
        connection.transport.abortConnection()
    met = engine.connection_count
    assert answered(client, stream)[0] == frames.AnswerCode.FAILED and 3 < engine.connection_count - met < 20


def test_a_process_is_gone_after_two_refusals(make_world):
    """Not after one: a retry 2 ms after a preemption counted as two attempts at once."""
    world = make_world(engines=2)
    client, stream, dead = world.hold()
    world.in_flight.clear()
    dead.stop()
    died = time.time()
    assert answered(client, stream)[0] == frames.AnswerCode.COMPLETED and world.posts() == 2
    assert (
        0.045 < client.answers[stream][2] - died < 0.5
        and world.service.metrics.counters["attempts connection reset"] == 1
    )


def test_refused_connections_prove_that_nothing_ran(make_world):
    """Non-idempotent queries are retried elsewhere."""
    world = make_world(engines=2)
    world.engines[0].stop()
    wait(0.05)
    client = world.client()
    streams = [client.ask("manifest", allow=4000) for _ in range(6)]
    assert all(answered(client, stream)[0] == frames.AnswerCode.COMPLETED for stream in streams)
    assert len(world.engines[1].posts) == 6


def test_calls_wait_for_a_descriptor_in_order(make_world):
    """With few descriptors, no call fails that has only to wait."""
    world = make_world(engines=3, sockets=90)
    world.service.engines.descriptor_budget, world.service.engines.urgent_reserve = 4, 2
    client = world.client()
    streams = [client.ask("status", allow=4000) for _ in range(32)]
    assert all(answered(client, stream)[0] == frames.AnswerCode.COMPLETED for stream in streams)
    assert (
        world.service.engines.max_open_count <= 6
        and not world.service.metrics.counters["attempts not connected"]
    )
    assert sum(len(engine.connections) for engine in world.engines) <= 6


def test_a_reply_that_does_not_come_is_polled_in_time(make_world):
    """An engine's longest wait is over: waiting on would make a completed query late."""
    world = make_world(engines=1)
    client, world.engines[0].behaviours, asked = world.client(), ["silent"], time.time()
    assert answered(client, client.ask("manifest", allow=4000))[0] == frames.AnswerCode.COMPLETED
    assert 0.25 < client.answers[1][2] - asked < 0.45 and world.posts() == 1


def test_a_copy_of_a_result_is_no_reply_to_another_query(make_world):
    """It comes later than a connection was idle, and would serve rows that no engine made for the query."""
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


def test_a_connection_is_idle_for_a_moment_between_two_queries():
    """A copy of one query's reply, a moment later, would be the reply to the other's call."""
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
    assert pool.pick_idle_connection(call()) is idle  # the last that was idle for long enough
    latest.attempt = "its query"
    assert pool.pick_idle_connection(call(preferred_connection=latest, attempt="its query")) is latest
    assert pool.pick_idle_connection(call(preferred_connection=latest, attempt="another")) is idle
    assert pool.pick_idle_connection(call(needs_new_connection=True)) is None
    assert engine.idle_connections.popleft() is stale
    assert engine.idle_connections.popleft() is idle
    assert pool.pick_idle_connection(call()) is None
    clock.now += 0.03
    assert pool.pick_idle_connection(call()) is latest
    pool.on_reused_connection_broken(0.05)
    assert pool.stale_after_s == pool.max_idle_s == 0.5  # those idle for a moment break, too
    pool.on_reused_connection_broken(0.3)
    pool.check_connections()
    assert 0.15 < pool.stale_after_s < 0.151
    clock.now += 0.1
    assert pool.pick_idle_connection(call()) is latest
    clock.now += 0.06  # something on the way may have closed it by now
    assert pool.pick_idle_connection(call()) is None


def test_idle_connections_are_closed_before_the_engine_closes_them(make_world):
    """And another is opened for the next query."""
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
    """The next one completes."""
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
    """Engines that fail at random, drains, starts, clients that leave: one answer for each in time, none run
    twice.
    """
    world, chance = make_world(engines=3), random.Random(seed)
    clients = [world.client() for _ in range(3)]
    asked, left = {}, set()
    behaviours = ["ok"] * 8 + [
        "full",
        "error",
        "reset",
        "drop",
        "drop page",
        "lost page",
        *SPOILT_REPLIES,
        "more",
        "drop post",
        "hold",
        "odd",
    ]
    for _ in range(120):
        for engine in world.engines:
            engine.behaviours = engine.behaviours or [chance.choice(behaviours)]
            engine.is_silent, engine.closes_at_once = (
                (not was if chance.random() < 0.03 else was)
                for was in (engine.is_silent, engine.closes_at_once)
            )
        if chance.random() < 0.02 and world.discovery.connections:
            chance.choice(list(world.discovery.connections)).transport.abortConnection()
        client = chance.choice(clients)
        allow = chance.choice((250, 600, 1500))
        stream = client.ask(chance.choice(("status", "report", "manifest")), allow=allow)
        asked[client, stream] = time.time() + allow / 1000
        if chance.random() < 0.05:
            client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
            left.add((client, stream))
        if chance.random() < 0.1:
            world.announce(chance.choice(world.engines), chance.choice(("SERVING", "SERVING", "DRAINING")))
        wait(chance.choice((0.0, 0.005, 0.02)))
        for (x, s), ends in asked.items():
            assert s in x.answers or (x, s) in left or time.time() < ends + 0.15, "rule 1: no answer in time"
    for engine in world.engines:
        engine.is_silent = engine.closes_at_once = False
    until(lambda: all(s in x.answers for x, s in asked if (x, s) not in left))
    for (x, s), ends in asked.items():
        if s in x.answers:
            code, body, at = x.answers[s]
            assert at < ends + 0.1 and (code != frames.AnswerCode.COMPLETED or body == RESULT)
    until(lambda: world.service.attempts.in_flight_count == 0)
    assert world.service.metrics.counters["faults"] == 0 and not world.service.adapter.open_queries
