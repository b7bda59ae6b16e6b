"""The discovery service is silent, moves, goes out of reach, or its connection finds no descriptor."""

import json
import resource
import socket
import subprocess
import sys
import time

import pytest
from gateway_world import answered
from interleavings import PlainClient, environment, is_ready, wait_until_over
from loopback import StandInDiscovery, until, wait
from ports import allocate_free_port

from lichenquay.gateway import frames, service

# LATER: after a stop, what it would have announced counts as announced 2 s after the wait that was asked for
# (1 s)
ANNOUNCED_AGAIN_S = 3.0


def test_a_gateway_without_discovery_is_ready_by_its_last_endpoint_list(make_world, monkeypatch):
    """It serves by that list once all events count as announced, and must say so, or no client comes."""
    monkeypatch.setattr(service, "MAX_ANNOUNCEMENT_DELAY_MS", 400.0)
    world = make_world(engines=1, start=False)
    world.discovery.is_silent = True
    world.start()
    wait(0.2)
    assert not world.service.is_ready()
    until(world.service.is_ready, 0.5)
    client = world.client()
    assert (
        answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED
        and not world.service.discovery.is_confirmed
    )
    world.discovery.is_silent = False
    world.announce(world.engines[0], "DRAINING")
    for connection in list(world.discovery.connections):
        connection.transport.abortConnection()
    until(lambda: world.service.discovery.last_number == 2)
    assert answered(client, client.ask(allow=300))[0] != frames.AnswerCode.COMPLETED
    wait_until_over(world)


@pytest.mark.parametrize("silent", ["before", "in", "behind"])
def test_a_poll_that_is_not_answered_is_repeated(make_world, silent):
    """An event is announced while the gateway waits on a connection on which nothing comes any more."""
    world = make_world(engines=2)
    heard, discovery = world.discovery.on_request, world.discovery

    def answer(connection, verb, path, headers, body):
        if silent == "behind" and discovery.polls < 3:
            return heard(connection, verb, path, headers, body)
        discovery.polls += 1
        if silent == "in":
            connection.transport.write(b'HTTP/1.1 200 X\r\nContent-Length: 500\r\n\r\n{"no": 2, "items"')

    discovery.on_request = answer
    for connection in list(discovery.connections):
        connection.transport.abortConnection()
    calls = discovery.polls
    until(lambda: discovery.polls > calls)
    announced_s = time.monotonic()
    world.announce(world.engines[0], "DRAINING")
    wait(0.3)
    discovery.on_request = heard
    until(lambda: world.service.discovery.last_number == 2, ANNOUNCED_AGAIN_S)
    assert time.monotonic() - announced_s < ANNOUNCED_AGAIN_S
    client = world.client()
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED and not world.engines[0].posts


def test_events_of_the_old_discovery_service_are_ignored_after_a_move(make_world):
    """An event of the old one, still on its way, must not come after the new one's."""
    world = make_world(engines=2)
    old, new = world.discovery, StandInDiscovery()
    new.events = list(old.events)
    world.path.write_text(json.dumps({**world.config, "bulletin": new.address}))
    connection = next(iter(old.connections))
    world.service.reload()
    old.events.append({"no": 2, "roster": {"rev": 2, "all": True, "targets": []}})
    connection.answer(200, (), old.events_after(1))
    until(lambda: new.polls > 0)
    wait(0.1)
    assert world.service.discovery.last_number == 1 and len(world.service.engines_by_id) == 2
    new.add_event(world.engines[0].row("DRAINING"))
    until(lambda: world.service.discovery.last_number == 2)
    world.discovery = new
    old.port.stopListening()
    for connection in list(old.connections):
        connection.transport.abortConnection()


def test_discovery_that_moves_while_the_gateway_leaves_is_followed(make_world):
    """SIGHUP after SIGTERM: a drain that the new service announces must be known to retries."""
    world = make_world(engines=2)
    old, new = world.discovery, StandInDiscovery()
    new.events = list(old.events)
    world.path.write_text(json.dumps({**world.config, "bulletin": new.address}))
    world.service.leave()
    world.service.reload()
    until(lambda: new.polls > 0, 1)
    world.discovery = new
    world.announce(world.engines[0], "DRAINING")
    until(lambda: world.service.discovery.last_number == 2, 1)
    client = world.client()
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED and not world.engines[0].posts
    until(lambda: world.ended)
    old.port.stopListening()


@pytest.fixture
def start_program(make_world, tmp_path):
    """Starts the gateway as a process with few descriptors; it is ended with the test."""
    runs = []

    def start(world, sockets, **more):
        world.port = allocate_free_port()
        world.path.write_text(
            json.dumps(
                {
                    **world.config,
                    "listen": f"127.0.0.1:{world.port}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
                    **more,
                }
            )
        )
        runs.append(
            subprocess.Popen(
                [sys.executable, "-m", "lichenquay.gateway"],
                stderr=subprocess.PIPE,
                text=True,
                env=environment(world.path),
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
            )
        )
        return runs[-1]

    yield start
    for run in runs:
        if run.poll() is None:
            run.kill()
        run.wait()
        run.stderr.close()


def test_discovery_finds_a_descriptor_though_idle_clients_hold_many(make_world, start_program):
    """Its connection must find one once the service is back."""
    world = make_world(engines=2, start=False)
    at = allocate_free_port()
    run = start_program(world, 120, bulletin=f"127.0.0.1:{at}")
    until(lambda: accepts_connections(world.port), 10)
    crowd = []
    for _ in range(200):  # they say nothing, and hold on as long as they may
        crowd.append(socket.create_connection(("127.0.0.1", world.port)))
    wait(0.5)
    world.discovery.port.stopListening()
    world.discovery.port = listen(world.discovery, at)
    world.announce(world.engines[0], "DRAINING")
    more = [socket.create_connection(("127.0.0.1", world.port)) for _ in range(100)]
    until(lambda: world.discovery.polls > 0, 2)
    until(lambda: is_ready(world.port), 2)
    client = world.client()
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED and not world.engines[0].posts
    run.terminate()
    until(lambda: run.poll() is not None, 5)
    said = run.stderr.read()
    assert run.returncode == 0 and "Traceback" not in said
    for stream in crowd + more:
        stream.close()


def test_a_gateway_is_ready_within_ten_seconds_without_discovery(make_world, start_program):
    """The term: nine in ten restarted gateways. The discovery service accepts connections and answers
    nothing.
    """
    world = make_world(engines=1, start=False)
    world.discovery.is_silent = True
    began = time.monotonic()
    start_program(world, 400)
    until(lambda: accepts_connections(world.port), 5)
    until(lambda: is_ready(world.port), 10)
    assert 7.0 < time.monotonic() - began < 9.0
    client = world.client()
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED


def accepts_connections(port):
    """Whether something listens on the port."""
    try:
        PlainClient(port).socket.close()
        return True
    except ConnectionRefusedError:
        return False


def listen(stand_in, port):
    """Lets a stand-in listen on this port."""
    from twisted.internet import reactor

    return reactor.listenTCP(port, stand_in, interface="127.0.0.1")
