"""The whole front before stand-ins: queries, what goes wrong at engines, and the connections to them."""

import random
import time
from types import SimpleNamespace

import pytest
from gateway_world import RESULT, STATEMENT, answered
from loopback import SPOILT, until, wait
from twisted.internet import reactor
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from lichenquay.admission.load_report import LoadReport
from lichenquay.gateway import frames, http
from lichenquay.gateway.engine_call import Call
from lichenquay.gateway.engine_connection import EngineConnection
from lichenquay.gateway.engine_pool import Engines, FrontEngine


def test_a_query_comes_back_whole_and_goes_out_unchanged(world):
    w = world(engines=1)
    c = w.client()
    c.transport.write(frames.frame(frames.IS_READY, 9, b"\0"))
    assert answered(c, c.ask("report", ref="9b1f03aa5c7e2d41", odd="x")) == (frames.FINISHED, RESULT)
    headers, body = w.engines[0].posts[0]
    assert headers["X-Hop-Id"] == "9b1f03aa5c7e2d41" and headers["X-Sort"] == "report" and body == STATEMENT
    assert (
        1900 < int(headers["X-Budget"]) <= 2000
        and float(headers["X-Mem-Limit"]) == 96
        and headers["X-Nice"] in "0123"
    )
    assert c.told == [(frames.READINESS, 9, b"\0\0")]
    (seen,) = w.service.admit.controller.fleet.states.values()
    until(
        lambda: seen.report == LoadReport.from_fields({"active": 7.0})
    )  # the end is told with its report and its cost
    assert w.service.admit.controller.memory_grants.mean_memory_mb[w.service.opening.groups["report"]] == 64.0
    assert w.service.metrics.counters["answers finished"] == 1 and w.service.metrics.out == 0


@pytest.mark.parametrize(
    "way, group, posts, code",
    [
        ("drop", "manifest", 1, frames.FINISHED),
        ("silent", "manifest", 1, frames.FINISHED),
        ("drop page", "manifest", 1, frames.FINISHED),
        ("full", "manifest", 2, frames.FINISHED),
        ("error", "report", 2, frames.FINISHED),
        ("reset", "report", 2, frames.FINISHED),
        ("lost page", "report", 2, frames.FINISHED),
        ("wrong page", "report", 2, frames.FINISHED),
        ("long", "report", 2, frames.FINISHED),
        ("noise", "report", 2, frames.FINISHED),
        ("odd", "report", 2, frames.FINISHED),
        ("error", "manifest", 1, frames.KILLED),
        ("reset", "manifest", 1, frames.KILLED),
        ("lost page", "manifest", 1, frames.KILLED),
        ("noise", "manifest", 1, frames.KILLED),
        *((way, "manifest", 1, frames.FINISHED) for way in (*SPOILT, "drop post", "more", "copies")),
    ],
)
def test_what_goes_wrong_at_an_engine(world, way, group, posts, code):
    """Risk: an ending that proves too much sends a mutating query twice, one that proves too little loses it, and so
    does one that takes a spoilt answer, or a connection's fault, for the query's."""
    w = world(engines=2)
    hits = [way]
    for e in w.engines:  # the first attempt, wherever it goes
        e.ways = hits
    c = w.client()
    got = answered(c, c.ask(group, allow=4000))
    assert got[0] == code and (code or got[1] == RESULT) and w.posts() == posts
    wait(0.1)
    assert (
        way == "noise"
        or not w.out
        and w.service.metrics.out == 0
        and w.service.metrics.counters["faults"] == 0
    )


def test_a_connection_reset_when_new_proves_nothing(world):
    """Risk: a mutating query is killed for a connection on which nothing of it was written; or one reset counts as the
    engine's end, and all that runs there is moved."""
    w = world(engines=1)
    e, c = w.engines[0], w.client()
    connect, failures = w.service.engines.reactor.connectTCP, [ConnectionLost(), ConnectionLost()]

    def fails(host, port, factory, timeout):
        if not failures:
            return connect(host, port, factory, timeout=timeout)
        reactor.callLater(0, factory.clientConnectionFailed, None, Failure(failures.pop()))

    w.service.engines.reactor.connectTCP = fails
    assert (
        answered(c, c.ask("manifest", allow=4000))[0] == frames.FINISHED
        and len(e.posts) == 1
        and not failures
    )
    assert not w.service.metrics.counters["attempts not connected"]
    for line in list(e.lines):
        line.transport.write(b"late")  # nobody has asked for it; the front may not have read it yet
    assert answered(c, c.ask("manifest"))[0] == frames.FINISHED and len(e.posts) == 2
    assert (
        not w.service.metrics.counters["first calls broken"]
        and not w.service.metrics.counters["first calls garbled"]
    )


def test_news_of_a_long_query_and_a_new_priority(world):
    w = world(engines=1)
    e, c = w.engines[0], w.client()
    e.ways = ["hold"]
    stream = c.ask("report", ref="00000000000000aa")
    until(lambda: e.news > 3)
    (q,) = w.service.admit.open
    for rank in (3, 0, 2):
        w.service.admit.allot(q, 10.0, rank)
    until(lambda: len(e.ranks) > 1)
    wait(0.1)
    assert e.ranks[0] == ("00000000000000aa", b"3") and e.ranks[-1] == ("00000000000000aa", b"2")
    e.runs["00000000000000aa"] = "ok"
    assert answered(c, stream) == (frames.FINISHED, RESULT) and len(e.posts) == 1


def test_time_up_is_answered_in_time_and_given_up(world):
    w = world(engines=1)
    e, c = w.engines[0], w.client()
    e.ways = ["hold"]
    asked = time.time()
    assert answered(c, c.ask("manifest", allow=400))[0] == frames.KILLED
    assert 0.39 < c.answers[1][2] - asked < 0.47
    until(lambda: e.deletes)
    wait(0.05)
    assert w.service.metrics.out == 0 and len(e.posts) == 1


def test_an_engine_without_a_word_is_over_after_two_seconds(world):
    """Risk: a query is sent to a second engine while one that cannot be reached still works on it."""
    w = world(engines=2)
    c, stream, bad = w.hold()
    bad.mute, asked = True, time.time()
    w.out.clear()  # it drops what nobody asks for; that this front waits for it is checked below
    assert answered(c, stream)[0] == frames.FINISHED
    assert time.time() - asked >= 1.9 and w.posts() == 2


def test_an_engine_that_slams_its_door_keeps_nobody_busy(world):
    """Risk: a front asks again and again without a pause, and has time for nothing else."""
    w = world(engines=1)
    e, c = w.engines[0], w.client()
    e.ways = ["hold"]
    stream = c.ask("manifest", allow=1200)
    until(lambda: e.news > 1)
    e.slams = True
    for line in list(e.lines):
        line.transport.abortConnection()
    met = e.met
    assert answered(c, stream)[0] == frames.KILLED and 3 < e.met - met < 20


def test_a_process_is_gone_after_two_refusals(world):
    """Seen at a preemption: a second engine had the query 2 ms after the first one's death, which counted as two out."""
    w = world(engines=2)
    c, stream, dead = w.hold()
    w.out.clear()
    dead.stop()
    died = time.time()
    assert answered(c, stream)[0] == frames.FINISHED and w.posts() == 2
    assert (
        0.045 < c.answers[stream][2] - died < 0.5
        and w.service.metrics.counters["attempts connection reset"] == 1
    )


def test_refused_connections_prove_that_nothing_ran(world):
    w = world(engines=2)
    w.engines[0].stop()
    wait(0.05)
    c = w.client()
    streams = [c.ask("manifest", allow=4000) for _ in range(6)]
    assert all(answered(c, s)[0] == frames.FINISHED for s in streams)
    assert len(w.engines[1].posts) == 6


def test_few_descriptors_are_shared_in_turn(world):
    """Risk: with sockets short, calls fail that had only to wait."""
    w = world(engines=3, sockets=90)
    w.service.engines.budget, w.service.engines.reserve = 4, 2
    c = w.client()
    streams = [c.ask("status", allow=4000) for _ in range(32)]
    assert all(answered(c, s)[0] == frames.FINISHED for s in streams)
    assert w.service.engines.most <= 6 and not w.service.metrics.counters["attempts not connected"]
    assert sum(len(e.lines) for e in w.engines) <= 6


def test_an_answer_that_does_not_come_is_had_again_in_time(world):
    """Risk: PROTOCOL's longest wait is over, and what waits on makes a finished query late."""
    w = world(engines=1)
    c, w.engines[0].ways, asked = w.client(), ["silent"], time.time()
    assert answered(c, c.ask("manifest", allow=4000))[0] == frames.FINISHED
    assert 0.25 < c.answers[1][2] - asked < 0.45 and w.posts() == 1


def test_a_copy_that_comes_after_the_rest_is_no_answer_to_another_query(world):
    """Risk: a copy of one query's answer comes later than a connection's rest, on a machine that stands still, and
    becomes the answer to the next query's call on that connection: served with what no engine made for it."""
    w = world(engines=1)
    c, w.engines[0].ways = w.client(), ["copied late", "later"]
    first = c.ask("status", allow=4000)
    assert answered(c, first) == (frames.FINISHED, c.answers[first][1]) and c.answers[first][1].endswith(
        b"\tx\ty\n"
    )
    wait(0.035)
    second = c.ask("status", allow=4000)
    assert answered(c, second) == (frames.FINISHED, RESULT) and w.posts() == 2
    assert w.service.metrics.counters["first calls garbled"] == 1


def test_a_connection_rests_between_two_queries():
    """Risk: a copy of one query's answer, a moment later, becomes the answer to another's call."""
    clock, lines = SimpleNamespace(now=100.0), []
    hub = Engines(SimpleNamespace(seconds=lambda: clock.now, callLater=None), 0, 1.0, 1.0, 1000.0)
    e = FrontEngine("e")
    for at in (99.0, 99.9, 99.99):
        lines.append(EngineConnection(hub, Call(e, b"", http.is_news)))
        lines[-1].idle_since = at
        e.idle.append(lines[-1])
    assert hub.idle(Call(e, b"", http.is_news)) is lines[1]  # the last that has rested
    lines[2].owner = "its query"
    assert (
        hub.idle(Call(e, b"", http.is_news, connection=lines[2], owner="its query")) is lines[2]
    )  # but its own query's next call
    assert (
        hub.idle(Call(e, b"", http.is_news, connection=lines[2], owner="another")) is lines[1]
    )  # not once another's went there
    assert hub.idle(Call(e, b"", http.is_news, fresh=True)) is None
    e.idle.popleft()
    e.idle.popleft()
    assert hub.idle(Call(e, b"", http.is_news)) is None
    clock.now += 0.03
    assert hub.idle(Call(e, b"", http.is_news)) is lines[2]
    hub.aged(0.05)
    assert hub.stale_s == hub.idle_s == 0.5  # young ones break too
    hub.aged(0.3)
    hub.watch()
    assert 0.15 < hub.stale_s < 0.151
    clock.now += 0.1
    assert hub.idle(Call(e, b"", http.is_news)) is lines[2]
    clock.now += 0.06  # risk: a POST on a connection that something on the way has ended by now
    assert hub.idle(Call(e, b"", http.is_news)) is None


def test_idle_connections_are_dropped_in_good_time(world):
    w = world(engines=1)
    c = w.client()
    assert answered(c, c.ask())[0] == frames.FINISHED
    hub = w.service.engines
    assert hub.open == 1
    (line,) = hub.connections
    line.idle_since -= hub.idle_s + 0.1
    hub.watch()
    until(lambda: not w.engines[0].lines)
    assert hub.open == 0 and answered(c, c.ask())[0] == frames.FINISHED


def test_a_fault_for_one_query_ends_that_query_alone(world):
    w = world(engines=1)
    c, route = w.client(), w.service.route
    down, route.down = route.down, None
    assert answered(c, c.ask())[0] == frames.KILLED
    route.down = down
    assert answered(c, c.ask())[0] == frames.FINISHED and w.service.metrics.counters["faults"] == 1


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_days_keep_the_rules(world, seed):
    """Engines that fail at random, drains, starts, clients that leave: one answer for each in time, none sent twice."""
    w, chance = world(engines=3), random.Random(seed)
    clients = [w.client() for _ in range(3)]
    asked, left = {}, set()
    ways = ["ok"] * 8 + [
        "full",
        "error",
        "reset",
        "drop",
        "drop page",
        "lost page",
        *SPOILT,
        "more",
        "drop post",
        "hold",
        "odd",
    ]
    for step in range(120):
        for e in w.engines:
            e.ways = e.ways or [chance.choice(ways)]
            e.mute, e.slams = ((not was if chance.random() < 0.03 else was) for was in (e.mute, e.slams))
        if chance.random() < 0.02 and w.bulletin.lines:
            chance.choice(list(w.bulletin.lines)).transport.abortConnection()
        c = chance.choice(clients)
        allow = chance.choice((250, 600, 1500))
        stream = c.ask(chance.choice(("status", "report", "manifest")), allow=allow)
        asked[c, stream] = time.time() + allow / 1000
        if chance.random() < 0.05:
            c.transport.write(frames.frame(frames.LEFT, stream))
            left.add((c, stream))
        if chance.random() < 0.1:
            w.tell(chance.choice(w.engines), chance.choice(("SERVING", "SERVING", "DRAINING")))
        wait(chance.choice((0.0, 0.005, 0.02)))
        for (x, s), ends in asked.items():
            assert s in x.answers or (x, s) in left or time.time() < ends + 0.15, "rule 1: no answer in time"
    for e in w.engines:
        e.mute = e.slams = False
    until(lambda: all(s in x.answers for x, s in asked if (x, s) not in left))
    for (x, s), ends in asked.items():
        if s in x.answers:
            code, body, at = x.answers[s]
            assert at < ends + 0.1 and (code != frames.FINISHED or body == RESULT)
    until(lambda: w.service.metrics.out == 0)
    assert w.service.metrics.counters["faults"] == 0 and not w.service.admit.open
