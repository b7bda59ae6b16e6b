"""What queries make the gateway hold: one account for all layers, and the memory of the process itself."""

import json
import socket
import subprocess
import sys
import tracemalloc
from pathlib import Path
from types import SimpleNamespace

import pytest
from gateway_world import STATEMENT, answered
from loopback import until, wait
from ports import allocate_free_port
from twisted.internet import reactor

from lichenquay.admission import domain
from lichenquay.connection_admission import decisions, limits
from lichenquay.gateway import configuration, frames
from lichenquay.gateway.client_connection import ClientConnection
from lichenquay.gateway.engine_call import EngineCall
from lichenquay.gateway.engine_connection import EngineConnection
from lichenquay.gateway.engine_pool import EnginePool, GatewayEngine
from lichenquay.gateway.memory_account import (
    DEFERRED_REQUEST_BYTES,
    QUERY_BYTES,
    MemoryAccount,
    QueryMemory,
    result_bytes,
)

ROOT = Path(__file__).resolve().parents[1]
POLL_REPLY_S = 0.25  # PROTOCOL: a poll without news is answered after this time
OPEN_REQUESTS = 32  # PROTOCOL: on a connection
LONG_ROWS = b"insert into sales_17.orders values " + b",".join([b"(17,'linen bag',2)"] * 13_600)
LONG_NAME = b'select "' + b"x" * 255_000 + b'" from sales_17.orders'
SHORT_ROWS = LONG_ROWS[:30_000]


def own_memory_mb(process):
    """Returns the most memory that a process has held, without the files that it maps."""
    sizes = {}
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name in ("VmHWM", "RssFile"):
            sizes[name] = int(value.split()[0]) / 1024
    return sizes["VmHWM"] - sizes["RssFile"]


@pytest.fixture
def start_program(make_world):
    """Returns a function that starts the gateway's program, with this memory; it ends with the test."""
    processes = []

    def start(memory_mb):
        world = make_world(engines=16, start=False)
        world.port = allocate_free_port()
        world.config["listen"] = f"127.0.0.1:{world.port}"
        world.config["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}
        world.path.write_text(json.dumps(world.config))
        process = subprocess.Popen(
            [sys.executable, "-m", "lichenquay.gateway"],
            cwd=ROOT,
            env={"PATH": "", "BALANCER_CONFIG": str(world.path)},
            stderr=subprocess.DEVNULL,
        )
        processes.append(process)

        def is_listening():
            with socket.socket() as probe:
                return probe.connect_ex(("127.0.0.1", world.port)) == 0

        until(is_listening, 20)
        wait(0.3)  # the list of engines is confirmed
        return world, process

    yield start
    for process in processes:
        process.kill()
        process.wait()


@pytest.mark.parametrize(
    ("memory_mb", "connections", "long_statement"),
    [(80, 3, LONG_ROWS), (80, 12, SHORT_ROWS), (80, 2, LONG_NAME), (128, 8, LONG_ROWS)],
    ids=["rows", "short", "name", "more memory"],
)
def test_hundreds_of_large_requests_do_not_exceed_the_memory(
    start_program, memory_mb, connections, long_statement
):
    """Guards against a gateway that is killed for memory: each statement was held three times and more."""
    world, process = start_program(memory_mb)
    for engine in world.engines:
        engine.start = lambda connection, *_: reactor.callLater(POLL_REPLY_S, connection.answer, 202)
    for _ in range(2):
        for _ in range(connections):
            client = world.client()
            for number in range(OPEN_REQUESTS):
                client.ask("report", ref=f"{id(client) % 2**40:012x}{number:04x}", statement=long_statement)
        wait(1.5)
    assert process.poll() is None and own_memory_mb(process) < memory_mb


def make_connection(taken_bytes):
    """Returns an idle connection to an engine, whose kernel takes some bytes of each of these calls."""
    pool = EnginePool(SimpleNamespace(seconds=lambda: 100.0, callLater=None), 0, 1.0, 300.0, 1000.0)
    engine = GatewayEngine(id="e", state=domain.EndpointState.SERVING, address="127.0.0.1:1")
    taken = iter(taken_bytes)
    sent = []

    def send(data, flags):
        count = min(next(taken, 0), len(data))
        if not count:
            raise BlockingIOError
        sent.append(bytes(data[:count]))
        return count

    connection = EngineConnection(pool, EngineCall(engine, b"", lambda reply: True))
    connection.call = None
    producers = []
    connection.transport = SimpleNamespace(
        socket=SimpleNamespace(send=send),
        registerProducer=lambda producer, streaming: producers.append(producer),
        unregisterProducer=producers.clear,
        startWriting=lambda: None,
        abortConnection=lambda: None,
        # There is no `write`: the transport would keep a copy.
    )
    return pool, engine, connection, producers, sent


@pytest.mark.parametrize("first_bytes", [1, 40, 60, 20_000, 65_000, 100_000])
def test_a_statement_that_the_kernel_takes_in_parts_is_not_copied(first_bytes):
    """Guards against a copy of each statement in the call, one of its rest, and one in the transport."""
    pool, engine, connection, producers, sent = make_connection([first_bytes, 70_000, 0, 1, 90_000, 0, 10**6])
    call = EngineCall(engine, b"h" * 50, lambda reply: True, body=LONG_ROWS, starts_attempt=True)
    tracemalloc.start()
    assert connection.send(call)
    held_bytes = tracemalloc.get_traced_memory()[0] - sum(map(len, sent))
    tracemalloc.stop()
    assert held_bytes < 10_000 and not connection.sent_at_once
    while producers:
        connection.resumeProducing()
    assert b"".join(sent) == b"h" * 50 + LONG_ROWS


def test_a_query_is_held_until_its_attempt_has_ended(make_world):
    """Guards against statements that nobody counts: a cancelled query's call may still be in flight."""
    world = make_world(engines=1)
    client, memory = world.client(), world.service.memory
    world.engines[0].is_silent = True
    size_bytes = QUERY_BYTES + len(LONG_ROWS) + len("17")
    stream = client.ask("report", statement=LONG_ROWS)
    until(lambda: world.service.metrics.counters["first calls timed out"])  # it was written
    assert memory.held_bytes == size_bytes
    client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
    until(lambda: not world.service.adapter.open_queries)
    wait(0.05)
    assert world.service.attempts.in_flight_count and memory.held_bytes == size_bytes
    world.engines[0].is_silent = False
    until(lambda: not world.service.attempts.in_flight_count)
    assert memory.held_bytes == 0
    for _ in range(2):
        assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED and memory.held_bytes == 0


def test_a_result_is_fetched_when_there_is_memory_for_it(make_world):
    """Guards against results beyond the limit, and against queries that cannot end as others take it all."""
    world = make_world(engines=1)
    client, memory = world.client(), world.service.memory
    taken_bytes = int(memory.max_bytes) - QUERY_BYTES - len(STATEMENT) - 1000
    stream = client.ask()
    until(lambda: world.service.attempts.in_flight_count)
    memory.add(taken_bytes)
    until(lambda: world.service.metrics.counters["results that waited for memory"] == 2)
    assert stream not in client.answers and memory.held_bytes <= memory.max_bytes
    refused = client.ask()
    assert answered(client, refused)[0] == frames.AnswerCode.REJECTED
    memory.add(-taken_bytes)
    assert answered(client, stream)[0] == frames.AnswerCode.COMPLETED and memory.held_bytes == 0


def test_requests_leave_memory_to_results():
    """A request takes a 16th of the free memory at most, and a quarter of it all stays free for results."""
    account = MemoryAccount(1_600_000)
    requests = []
    while account.has_room_for_request(QUERY_BYTES):
        requests.append(QueryMemory(account, QUERY_BYTES))
    assert 1_000_000 <= account.held_bytes <= 1_200_000
    assert account.reserve(result_bytes(9, 6_000, 48_000)) and not account.reserve(600_000)
    requests[0].hold()
    for request in requests:
        request.release()
    assert account.held_bytes == QUERY_BYTES + result_bytes(9, 6_000, 48_000)


def test_the_largest_request_has_room_in_the_smallest_account():
    """A gateway that holds nothing accepts every request that PROTOCOL allows."""
    account = MemoryAccount(int(configuration.MIN_CLIENT_MB) << 20)
    assert account.has_room_for_request(frames.MAX_FRAME_LENGTH + QUERY_BYTES)


def test_an_incomplete_reply_counts_until_it_is_whole_or_its_connection_ends():
    """Guards against replies that come in parts on hundreds of connections."""
    pool, engine, connection, _, _ = make_connection([10**6] * 9)
    pool.connections.add(connection)
    pool.memory.max_bytes = 600
    connection.send(EngineCall(engine, b"x", lambda reply: True))
    connection.dataReceived(b"HTTP/1.1 200 OK\r\n" + b"X-Odd: 1\r\n" * 30)
    assert pool.memory.held_bytes == 317
    failures = []
    connection.call.reply.addErrback(failures.append)
    connection.dataReceived(b"X-Odd: 1\r\n" * 30)
    assert failures[0].value.label == "not kept" and pool.memory.held_bytes == 0


def test_small_deferred_requests_and_skipped_streams_count():
    """Guards against what costs far more than its bytes: thousands of the smallest frames of one client."""
    memory = MemoryAccount(1 << 20)
    intake = SimpleNamespace(
        connection_admission=decisions.ConnectionAdmission(limits.ConnectionRules(9, 0), 0.0),
        admission_ms=lambda: 0.0,
        now_ms=lambda: 0.0,
        earliest_arrival_ms=lambda now_ms: now_ms,
        seconds=lambda: 0.0,
        memory=memory,
        is_stopping=False,
        metrics=SimpleNamespace(count=lambda name: None),
        log=lambda kind, text: None,
    )
    connection = ClientConnection(intake, "127.0.0.1")
    connection.transport = SimpleNamespace(pauseProducing=lambda: None)
    connection.is_backlogged = True
    before_bytes = memory.held_bytes
    for number in range(200):
        connection.dataReceived(frames.encode_frame(frames.FrameType.QUERY, 2 + 2 * number, b"\0"))
    assert memory.held_bytes - before_bytes > 200 * DEFERRED_REQUEST_BYTES
    assert connection.streams.held_bytes > 100 * 64
    connection.memory.release()
    assert memory.held_bytes == 0
