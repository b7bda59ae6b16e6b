"""The front as a program: its start, configurations that are read again, leaving."""

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
from lichenquay.gateway.service import Service, ServicePhase


def test_settings_of_the_gate_are_read_and_read_again(world, tmp_path):
    """Risk: limits lowered below what is open end what was taken; or half of a new file is in force."""
    settings = tmp_path / "s.textproto"
    settings.write_text("gate { address { connections: 3 queries: 2 } }")
    w = world(engines=2, start=False)
    w.service = Service(
        reactor_for(w), {"BALANCER_CONFIG": str(w.path), "LICHENQUAY_SETTINGS": str(settings)}
    )
    w.service.start()
    w.port = w.service.clients.listener.port.getHost().port
    for e in w.engines:
        e.ways = ["hold"] * 9
    a, b, c = (w.client() for _ in range(3))
    streams = [a.ask("report", allow=4000), a.ask("report", allow=4000), b.ask("report", allow=4000)]
    assert answered(b, streams[2]) == (
        frames.AnswerCode.REJECTED,
        b"open queries of one address; come back in 1000 ms",
    )
    d = w.client()
    until(lambda: d.closed)
    assert d.answers[0][:2] == (
        frames.AnswerCode.REJECTED,
        b"connections of one address; come back in 1000 ms",
    )
    settings.write_text("gate { address { connections: 1 queries: 1 } }")
    w.service.reload()
    assert w.service.clients.connection_admission.rules.address.connections == 1 and not any(
        x.closed for x in (a, b, c)
    )
    settings.write_text("gate { address { connections: -1 } }")
    w.service.reload()
    assert (
        w.service.clients.connection_admission.rules.address.connections == 1
        and w.service.metrics.counters["configurations rejected"] == 1
    )
    for e in w.engines:
        e.ways, e.runs = [], dict.fromkeys(e.runs, "ok")
    assert all(answered(a, s)[0] == frames.AnswerCode.COMPLETED for s in streams[:2])


def test_a_new_configuration_is_taken_whole_or_not_at_all(world):
    """Risk: the program ends on SIGHUP, or follows a bulletin that tells nothing any more."""
    w = world(engines=2)
    c, old = w.client(), w.bulletin
    c.transport.write(frames.encode_frame(frames.FrameType.READINESS_CHECK, 1, b"\0"))
    c.streams = 1
    other = type(old)()
    other.events = list(old.events)
    new = {**w.config, "bulletin": other.address, "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 150}}
    before = (
        w.service.config.discovery_address,
        w.service.clients.max_connections,
        w.service.clients.max_held_bytes,
    )
    for bad in (
        "{",
        json.dumps({**new, "known": {"no": 9, "items": [{"no": 9}]}}),
        json.dumps({**new, "settings": 3}),
        json.dumps({**new, "limits": {}}),
        "[" * 100_000,
    ):
        w.path.write_text(bad)
        w.service.reload()
        assert (
            w.service.config.discovery_address,
            w.service.clients.max_connections,
            w.service.clients.max_held_bytes,
        ) == before
    w.path.write_text(json.dumps(new))
    w.engines[0].ways = w.engines[1].ways = ["hold"]
    stream = c.ask("report", ref="00000000000000ee")
    until(lambda: w.posts() == 1)
    w.service.reload()
    assert (
        w.service.clients.max_connections,
        w.service.clients.max_held_bytes,
        w.service.engines.descriptor_budget,
    ) == (62, 16 << 20, 52)
    until(lambda: other.lines and not old.lines, 0.5)
    w.bulletin = other
    old.port.stopListening()
    w.tell(w.engines[0], "DRAINING")
    until(lambda: w.service.discovery.last_number == 2, 0.5)
    for e in w.engines:
        e.runs = dict.fromkeys(e.runs, "ok")
    assert answered(c, stream)[0] == frames.AnswerCode.COMPLETED and not c.closed
    old.events, old.garbage = [], None
    w.engines.append(old)  # closed with the rest
    w.engines[-1].port = SimpleNamespace(stopListening=lambda: None)


def test_leaving_answers_all_that_was_taken(world):
    w = world(engines=1)
    c, e = w.client(), w.engines[0]
    e.ways = ["hold", "ok", "hold"]
    slow, quick, endless = (
        c.ask("report", ref="00000000000000cc"),
        c.ask("status"),
        c.ask("manifest", allow=9000),
    )
    until(lambda: w.posts() == 3)
    left = time.time()
    w.service.leave()
    until(lambda: (frames.FrameType.GO_AWAY, 0, b"") in c.told)
    late = w.client()  # PROTOCOL: they go on coming
    assert answered(late, late.ask())[0] == frames.AnswerCode.COMPLETED
    e.runs["00000000000000cc"] = "ok"
    until(lambda: w.ended)
    assert time.time() - left < 3.7 and [c.answers[s][0] for s in (slow, quick, endless)] == [0, 0, 2]
    assert w.service.attempts.in_flight_count == 0 and w.service.phase == ServicePhase.ENDED


def program(config):
    return subprocess.Popen(
        [sys.executable, "-m", "lichenquay.gateway"],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONPATH": ".", "BALANCER_CONFIG": str(config)},
    )


def test_what_the_program_cannot_start_with(tmp_path, world):
    w = world(start=False)
    taken = f"127.0.0.1:{w.bulletin.port.getHost().port}"
    bad = tmp_path / "bad.json"
    settings = json.loads(json.dumps(SETTINGS))
    settings["classes"][0]["effect"] = "odd"
    for content, word in (
        (None, "bad.json"),
        ("{", "bad.json"),
        ({**w.config, "listen": "x"}, "bad.json"),
        ({**w.config, "listen": taken}, taken),
        ({**w.config, "settings": settings}, "effect"),
        ({**w.config, "known": {"no": 1, "items": [{}]}}, "known"),
    ):
        bad.unlink(missing_ok=True)
        if content is not None:
            bad.write_text(content if isinstance(content, str) else json.dumps(content))
        got = program(bad)
        lines = got.communicate(timeout=20)[1].splitlines()
        assert got.returncode == 1 and len(lines) == 1 and word in lines[0]


def test_the_program_from_start_to_exit(world):
    w = world(start=False)
    port = reactor.listenTCP(0, type(w.bulletin)(), interface="127.0.0.1")
    w.port = port.getHost().port
    port.stopListening()
    wait(0.05)
    w.path.write_text(json.dumps({**w.config, "listen": f"127.0.0.1:{w.port}"}))
    run = program(w.path)
    until(lambda: w.bulletin.calls, 10)
    c = w.client()
    streams = [c.ask("report") for _ in range(20)]
    until(lambda: w.posts() > 10)
    run.send_signal(signal.SIGUSR1)
    run.send_signal(signal.SIGTERM)
    until(lambda: run.poll() is not None, 5)
    assert run.returncode == 0 and [c.answers[s][0] for s in streams] == [0] * 20
    told = run.stderr.read()
    assert "queries received: 20" in told and "answers completed: 20" in told and "Traceback" not in told
