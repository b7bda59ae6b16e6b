"""The gateway as a program: start, reload of the configuration and shutdown."""

import json
import os
import signal
import subprocess
import sys
import time
from types import SimpleNamespace

from gateway_world import SETTINGS, answered, reactor_for
from loopback import until, wait
from twisted.internet import reactor

from lichenquay.gateway import frames
from lichenquay.gateway.clock import now_ms
from lichenquay.gateway.service import Service, ServicePhase


def test_connection_rules_are_read_and_reloaded(make_world, tmp_path):
    """Lower limits close no connection; an invalid settings file is rejected as a whole."""
    settings = tmp_path / "s.textproto"
    settings.write_text("gate { address { connections: 3 queries: 2 } }")
    world = make_world(engines=2, start=False)
    world.service = Service(
        reactor_for(world), {"BALANCER_CONFIG": str(world.path), "LICHENQUAY_SETTINGS": str(settings)}
    )
    world.service.start()
    world.port = world.service.clients.listener.port.getHost().port
    for engine in world.engines:
        engine.behaviours = ["hold"] * 9
    first, second, idle = (world.client() for _ in range(3))
    streams = [
        first.ask("report", allow=4000),
        first.ask("report", allow=4000),
        second.ask("report", allow=4000),
    ]
    assert answered(second, streams[2]) == (
        frames.AnswerCode.REJECTED,
        b"open queries of one address; come back in 1000 ms",
    )
    rejected = world.client()
    until(lambda: rejected.is_closed)
    assert rejected.answers[0][:2] == (
        frames.AnswerCode.REJECTED,
        b"connections of one address; come back in 1000 ms",
    )
    settings.write_text("gate { address { connections: 1 queries: 1 } }")
    world.service.reload()
    assert world.service.clients.connection_admission.rules.address.connections == 1 and not any(
        client.is_closed for client in (first, second, idle)
    )
    settings.write_text("gate { address { connections: -1 } }")
    world.service.reload()
    assert (
        world.service.clients.connection_admission.rules.address.connections == 1
        and world.service.metrics.counters["configurations rejected"] == 1
    )
    for engine in world.engines:
        engine.behaviours, engine.running = [], dict.fromkeys(engine.running, "ok")
    assert all(answered(first, stream)[0] == frames.AnswerCode.COMPLETED for stream in streams[:2])


def test_a_new_configuration_is_applied_completely_or_not_at_all(make_world):
    """SIGHUP must neither end the program nor leave it with a discovery service that has no more events."""
    world = make_world(engines=2)
    client, old = world.client(), world.discovery
    client.transport.write(frames.encode_frame(frames.FrameType.READINESS_CHECK, 1, b"\0"))
    client.last_stream = 1
    other = type(old)()
    other.events = list(old.events)
    new_config = {
        **world.config,
        "bulletin": other.address,
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 150},
    }
    before = (
        world.service.config.discovery_address,
        world.service.clients.max_connections,
        world.service.memory.max_bytes,
    )
    for invalid_config in (
        "{",
        json.dumps({**new_config, "known": {"no": 9, "items": [{"no": 9}]}}),
        json.dumps({**new_config, "settings": 3}),
        json.dumps({**new_config, "limits": {}}),
        "[" * 100_000,
    ):
        world.path.write_text(invalid_config)
        world.service.reload()
        assert (
            world.service.config.discovery_address,
            world.service.clients.max_connections,
            world.service.memory.max_bytes,
        ) == before
    world.path.write_text(json.dumps(new_config))
    world.engines[0].behaviours = world.engines[1].behaviours = ["hold"]
    stream = client.ask("report", ref="00000000000000ee")
    until(lambda: world.posts() == 1)
    world.service.reload()
    assert (
        world.service.clients.max_connections,
        world.service.memory.max_bytes,
        world.service.engines.descriptor_budget,
    ) == (62, 16 << 20, 52)
    until(lambda: other.connections and not old.connections, 0.5)
    world.discovery = other
    old.port.stopListening()
    world.announce(world.engines[0], "DRAINING")
    until(lambda: world.service.discovery.last_number == 2, 0.5)
    for engine in world.engines:
        engine.running = dict.fromkeys(engine.running, "ok")
    assert answered(client, stream)[0] == frames.AnswerCode.COMPLETED and not client.is_closed
    old.events, old.raw_answer = [], None
    world.engines.append(old)  # so that the world closes it at its end
    world.engines[-1].port = SimpleNamespace(stopListening=lambda: None)


def test_shutdown_answers_all_accepted_queries(make_world):
    """Also those that arrive during the shutdown, and those that do not end in time."""
    world = make_world(engines=1)
    client, engine = world.client(), world.engines[0]
    engine.behaviours = ["hold", "ok", "hold"]
    slow, quick, endless = (
        client.ask("report", ref="00000000000000cc"),
        client.ask("status"),
        client.ask("manifest", allow=9000),
    )
    until(lambda: world.posts() == 3)
    shutdown_s = time.time()
    world.service.leave()
    until(lambda: (frames.FrameType.GO_AWAY, 0, b"") in client.notices)
    late = world.client()  # PROTOCOL: clients still connect after SIGTERM
    assert answered(late, late.ask())[0] == frames.AnswerCode.COMPLETED
    engine.running["00000000000000cc"] = "ok"
    until(lambda: world.ended)
    assert time.time() - shutdown_s < 3.7
    assert [client.answers[stream][0] for stream in (slow, quick, endless)] == [0, 0, 2]
    assert world.service.attempts.in_flight_count == 0 and world.service.phase == ServicePhase.ENDED


def start_program(config):
    """Starts the gateway as a process with this configuration file."""
    return subprocess.Popen(
        [sys.executable, "-m", "lichenquay.gateway"],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONPATH": ".", "BALANCER_CONFIG": str(config)},
    )


def test_the_reason_for_a_failed_start_is_named(tmp_path, make_world):
    """It is one line on standard error, and the exit code is 1."""
    world = make_world(start=False)
    taken = f"127.0.0.1:{world.discovery.port.getHost().port}"
    config_path = tmp_path / "bad.json"
    settings = json.loads(json.dumps(SETTINGS))
    settings["classes"][0]["effect"] = "odd"
    for content, word in (
        (None, "bad.json"),
        ("{", "bad.json"),
        ({**world.config, "listen": "x"}, "bad.json"),
        ({**world.config, "listen": taken}, taken),
        ({**world.config, "settings": settings}, "effect"),
        ({**world.config, "known": {"no": 1, "items": [{}]}}, "known"),
    ):
        config_path.unlink(missing_ok=True)
        if content is not None:
            config_path.write_text(content if isinstance(content, str) else json.dumps(content))
        process = start_program(config_path)
        lines = process.communicate(timeout=20)[1].splitlines()
        assert process.returncode == 1 and len(lines) == 1 and word in lines[0]


def test_the_program_answers_all_queries_on_sigterm_and_reports_counters(make_world):
    """Its exit code is 0."""
    world = make_world(start=False)
    port = reactor.listenTCP(0, type(world.discovery)(), interface="127.0.0.1")
    world.port = port.getHost().port
    port.stopListening()
    wait(0.05)
    world.path.write_text(json.dumps({**world.config, "listen": f"127.0.0.1:{world.port}"}))
    process = start_program(world.path)
    until(lambda: world.discovery.polls, 10)
    client = world.client()
    streams = [client.ask("report") for _ in range(20)]
    until(lambda: world.posts() > 10)
    process.send_signal(signal.SIGUSR1)
    process.send_signal(signal.SIGTERM)
    until(lambda: process.poll() is not None, 5)
    assert process.returncode == 0 and [client.answers[stream][0] for stream in streams] == [0] * 20
    report = process.stderr.read()
    assert (
        "queries received: 20" in report and "answers completed: 20" in report and "Traceback" not in report
    )


def test_sigkill_is_expected_from_when_sigterm_may_have_arrived(make_world):
    """Guards against a shutdown that goes on when SIGKILL comes, after a pause that hid SIGTERM."""
    world = make_world(engines=1)
    service = world.service
    service.phase = ServicePhase.SERVING
    service.pauses.on_tick(now_ms())
    paused_ms = now_ms()
    time.sleep(0.3)
    service.leave()
    longest_ms = 3000.0 + 700.0
    assert paused_ms - 50.0 <= service.sigkill_expected_ms - longest_ms <= paused_ms + 50.0
