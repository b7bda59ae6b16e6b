"""What a query leaves behind: nothing, however it ends. Guards against ended queries that fill the memory."""

import gc
import json
import random
import weakref

import pytest
from admission_fakes import group
from gateway_world import SETTINGS, answered, start_with_settings
from loopback import until, wait
from test_admission_rules import TimerPort, query_of

from lichenquay.admission.domain import Outcome
from lichenquay.admission.key_ordering import KeyOrdering
from lichenquay.gateway import frames
from lichenquay.gateway.frames import AnswerCode
from lichenquay.gateway.timer_queue import TimerQueue


@pytest.fixture
def watch_queries():
    """Returns a function that returns a list of weak references to the queries of a world's gateway."""

    def watch(world):
        queries = []
        adapter = world.service.adapter
        receive = adapter.query_received

        def query_received(query):
            queries.append(weakref.ref(query))
            receive(query)

        adapter.query_received = query_received
        return queries

    return watch


def cancel(client, stream):
    """Takes a request back."""
    client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))


def end_completed(world, client):
    """The engine completes the query."""
    assert answered(client, client.ask())[0] == AnswerCode.COMPLETED


def end_failed(world, client):
    """The engine fails the query."""
    world.engines[0].behaviours = ["error"]
    assert answered(client, client.ask("manifest"))[0] == AnswerCode.FAILED


def end_at_deadline(world, client):
    """The query's time is over while its attempt runs."""
    world.engines[0].behaviours = ["hold"]
    assert answered(client, client.ask(allow=300))[0] != AnswerCode.COMPLETED


def end_cancelled(world, client):
    """The client takes the query back while its attempt runs."""
    world.engines[0].behaviours = ["hold"]
    stream = client.ask("report", allow=4000)
    until(lambda: world.engines[0].polls)
    cancel(client, stream)


def end_cancelled_at_once(world, client):
    """The client takes the query back before it is passed to the controller."""
    cancel(client, client.ask("report", allow=4000))
    until(lambda: world.service.metrics.counters["queries cancelled by their clients"])


def end_cancelled_waiting(world, client):
    """The client takes queries back that wait for a slot."""
    world.engines[0].behaviours = ["hold"] * 400
    streams = [client.ask("report", allow=4000, effort="4000.0") for _ in range(32)]
    until(lambda: not world.service.adapter.controller.waiting.is_empty())
    for stream in streams:
        cancel(client, stream)


def end_gone(world, client):
    """The client closes its connection."""
    world.engines[0].behaviours = ["hold"]
    client.ask("report", allow=4000)
    until(lambda: world.engines[0].polls)
    client.transport.abortConnection()


def end_evicted(world, client):
    """The gateway gives the query its final answer early."""
    world.engines[0].behaviours = ["hold"]
    stream = client.ask("report", allow=4000)
    until(lambda: world.engines[0].polls)
    world.service.adapter.evict_all()
    answered(client, stream)


def end_without_descriptors(world, client):
    """The client takes queries back whose calls wait for a descriptor."""
    world.service.engines.descriptor_budget = 0
    streams = [client.ask("report", allow=4000) for _ in range(4)]
    until(lambda: world.service.engines.waiting_calls)
    for stream in streams:
        cancel(client, stream)
    until(lambda: not world.service.engines.waiting_calls)


ENDS = [value for name, value in sorted(globals().items()) if name.startswith("end_")]


@pytest.mark.parametrize("end", ENDS, ids=lambda end: end.__name__)
def test_an_ended_query_is_held_by_nothing(make_world, watch_queries, end):
    """Guards against timers, waiting calls and connections that keep a query after its end."""
    world = make_world(engines=1)
    queries = watch_queries(world)
    end(world, world.client())
    service = world.service
    until(lambda: not service.adapter.open_queries and not service.attempts.in_flight_count)
    wait(0.1)
    gc.collect()
    assert queries and not any(query() for query in queries)
    assert len(service.adapter.timers) <= 1  # the tick
    assert service.memory.held_bytes == 0


def test_hundreds_of_requests_taken_back_again_and_again_leave_nothing(make_world, watch_queries):
    """Guards against memory that grows with each request taken back, up to its deadline."""
    settings = json.loads(json.dumps(SETTINGS))
    settings["classes"][1]["deadline_us"] = 25_000_000
    world = start_with_settings(make_world, settings, engines=2)
    queries = watch_queries(world)
    for engine in world.engines:
        engine.behaviours = ["hold"] * 2000
    clients = [world.client() for _ in range(4)]
    for _ in range(6):
        streams = [[client.ask("report", allow=25_000) for _ in range(32)] for client in clients]
        wait(0.1)
        for client, own_streams in zip(clients, streams, strict=True):
            for stream in own_streams:
                cancel(client, stream)
        wait(0.05)
    service = world.service
    until(lambda: not service.adapter.open_queries and not service.attempts.in_flight_count)
    wait(0.1)
    gc.collect()
    assert len(queries) == 6 * 4 * 32 and not any(query() for query in queries)
    assert len(service.adapter.timers) <= 1


def test_a_key_is_dropped_once_it_has_rested():
    """Guards against a table that grows with every key that a client names."""
    port = TimerPort()
    ordered = group(is_ordered_by_key=True)
    ordering = KeyOrdering(port, 300.0, lambda query: None)
    for number in range(100):
        port.now_ms += 50.0
        query = query_of(ordered, None, ordering_key=f"k{number}")
        ordering.submit(query)
        query.attempts[0].outcome = Outcome.CANCELLED
        query.end()
        ordering.on_attempt_ended(query.attempts[0])
    assert len(ordering.queues) <= 7 and len(ordering.paused_until_ms) <= 7
    port.now_ms += 1000.0
    last = query_of(ordered, ordering_key="last")
    ordering.submit(last)
    assert list(ordering.queues) == ["last"] and not ordering.paused_until_ms


def test_cancelled_timers_leave_the_queue():
    """Calls are made in order of time; a cancelled one is not, and its entry goes soon."""
    rng = random.Random(7)
    timers = TimerQueue()
    made = []
    kept = {}
    for number in range(2000):
        due_ms = rng.uniform(0, 25_000)
        scheduled = timers.schedule(due_ms, lambda number=number: made.append(number))
        if rng.random() < 0.95:
            scheduled.cancel()
            scheduled.cancel()
        else:
            kept[number] = due_ms
        assert len(timers._heap) <= 2 * len(kept) + 66
    assert len(timers) == len(kept)
    first, second, *rest = timers.pop_due(25_000)
    second.cancel()  # by a call that is made before it
    for scheduled in (first, second, *rest):
        scheduled()
    expected = sorted(kept, key=kept.get)
    assert made == [expected[0], *expected[2:]] and len(timers) == 0 and timers.next_due_ms() is None
