"""The list between two words of the bulletin: silent before, in and behind an answer, moved, out of reach, and no descriptors."""

import json
import resource
import socket
import subprocess
import sys
import time

import pytest
from gateway_world import answered
from hooks import PlainClient, environment, is_ready, over
from loopback import StandInBulletin, until, wait
from ports import listening_port

from lichenquay.gateway import frames, service

TOLD_AGAIN_S = 3.0  # LATER: after a stop, what it would have told counts as told 2 s after the wait that was asked for (1 s)


def test_a_front_without_its_bulletin_is_ready_by_its_last_list(world, monkeypatch):
    """Risk: it serves by that list when all counts as told, and says that it is not ready: it is never taken in."""
    monkeypatch.setattr(service, "ENDPOINTS_TOLD_WITHIN_MS", 400.0)
    w = world(engines=1, start=False)
    w.bulletin.mute = True
    w.start()
    wait(0.2)
    assert not w.service.is_ready()
    until(w.service.is_ready, 0.5)
    c = w.client()
    assert answered(c, c.ask())[0] == frames.AnswerCode.COMPLETED and not w.service.discovery.is_confirmed
    w.bulletin.mute = False
    w.tell(w.engines[0], "DRAINING")
    for line in list(w.bulletin.lines):
        line.transport.abortConnection()
    until(lambda: w.service.discovery.last_number == 2)
    assert answered(c, c.ask(allow=300))[0] != frames.AnswerCode.COMPLETED
    over(w)


@pytest.mark.parametrize("silent", ["before", "in", "behind"])
def test_a_watch_that_falls_silent_is_asked_again(world, silent):
    """Risk: an event is told, and the front waits on a connection on which nothing comes any more."""
    w = world(engines=2)
    heard, b = w.bulletin.heard, w.bulletin

    def answer(line, verb, path, headers, body):
        if silent == "behind" and b.calls < 3:
            return heard(line, verb, path, headers, body)
        b.calls += 1
        if silent == "in":
            line.transport.write(b'HTTP/1.1 200 X\r\nContent-Length: 500\r\n\r\n{"no": 2, "items"')

    b.heard = answer
    for line in list(b.lines):
        line.transport.abortConnection()
    calls = b.calls
    until(lambda: b.calls > calls)
    told = time.monotonic()
    w.tell(w.engines[0], "DRAINING")
    wait(0.3)
    b.heard = heard
    until(lambda: w.service.discovery.last_number == 2, TOLD_AGAIN_S)
    assert time.monotonic() - told < TOLD_AGAIN_S
    c = w.client()
    assert answered(c, c.ask())[0] == frames.AnswerCode.COMPLETED and not w.engines[0].posts


def test_an_old_bulletin_tells_nothing_after_the_new_one_is_named(world):
    """Risk: an event of the old one, still on its way, is taken after the new one's."""
    w = world(engines=2)
    old, new = w.bulletin, StandInBulletin()
    new.events = list(old.events)
    w.path.write_text(json.dumps({**w.config, "bulletin": new.address}))
    line = next(iter(old.lines))
    w.service.reload()
    old.events.append({"no": 2, "roster": {"rev": 2, "all": True, "targets": []}})
    line.answer(200, (), old.told(1))
    until(lambda: new.calls > 0)
    wait(0.1)
    assert w.service.discovery.last_number == 1 and len(w.service.engines_by_id) == 2
    new.add(w.engines[0].row("DRAINING"))
    until(lambda: w.service.discovery.last_number == 2)
    w.bulletin = new
    old.port.stopListening()
    for line in list(old.lines):
        line.transport.abortConnection()


def test_a_list_that_moves_while_the_front_leaves_is_followed(world):
    """Risk: SIGHUP behind SIGTERM is not heard, and a drain that the new bulletin tells is not known to what still goes out."""
    w = world(engines=2)
    old, new = w.bulletin, StandInBulletin()
    new.events = list(old.events)
    w.path.write_text(json.dumps({**w.config, "bulletin": new.address}))
    w.service.leave()
    w.service.reload()
    until(lambda: new.calls > 0, 1)
    w.bulletin = new
    w.tell(w.engines[0], "DRAINING")
    until(lambda: w.service.discovery.last_number == 2, 1)
    c = w.client()
    assert answered(c, c.ask())[0] == frames.AnswerCode.COMPLETED and not w.engines[0].posts
    until(lambda: w.ended)
    old.port.stopListening()


@pytest.fixture
def program(world, tmp_path):
    """The front as a process with few descriptors; what it says, and its end."""
    runs = []

    def start(w, sockets, **more):
        w.port = listening_port()
        w.path.write_text(
            json.dumps(
                {
                    **w.config,
                    "listen": f"127.0.0.1:{w.port}",
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
                env=environment(w.path),
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


def test_idle_clients_fill_the_descriptors_while_the_bulletin_is_away(world, program):
    """Risk: its connection finds no descriptor once it is back, and what it tells is never heard."""
    w = world(engines=2, start=False)
    at = listening_port()
    run = program(w, 120, bulletin=f"127.0.0.1:{at}")
    until(lambda: connects(w.port), 10)
    crowd = []
    for _ in range(200):  # they say nothing, and hold on as long as they may
        crowd.append(socket.create_connection(("127.0.0.1", w.port)))
    wait(0.5)
    w.bulletin.port.stopListening()
    w.bulletin.port = listening(w.bulletin, at)
    w.tell(w.engines[0], "DRAINING")
    more = [socket.create_connection(("127.0.0.1", w.port)) for _ in range(100)]
    until(lambda: w.bulletin.calls > 0, 2)
    until(lambda: is_ready(w.port), 2)
    c = w.client()
    assert answered(c, c.ask())[0] == frames.AnswerCode.COMPLETED and not w.engines[0].posts
    run.terminate()
    until(lambda: run.poll() is not None, 5)
    said = run.stderr.read()
    assert run.returncode == 0 and "Traceback" not in said
    for s in crowd + more:
        s.close()


def test_a_front_is_ready_within_ten_seconds_whatever_the_bulletin_does(world, program):
    """The term: nine in ten restarted fronts are ready within 10 s. Here the bulletin takes connections and says nothing."""
    w = world(engines=1, start=False)
    w.bulletin.mute = True
    began = time.monotonic()
    program(w, 400)
    until(lambda: connects(w.port), 5)
    until(lambda: is_ready(w.port), 10)
    assert 7.0 < time.monotonic() - began < 9.0
    c = w.client()
    assert answered(c, c.ask())[0] == frames.AnswerCode.COMPLETED


def connects(port):
    try:
        PlainClient(port).socket.close()
        return True
    except ConnectionRefusedError:
        return False


def listening(stand_in, port):
    from twisted.internet import reactor

    return reactor.listenTCP(port, stand_in, interface="127.0.0.1")
