"""The real front without the bench: parsers at every split and with garbage, and the whole program before stand-ins."""
import errno
import io as text_io
import json
import os
import random
import signal
import subprocess
import sys
import time
from types import SimpleNamespace

import pytest
from twisted.internet import reactor
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from lichenquay.admission import interface as io
from lichenquay.front import frames, http
from lichenquay.front.book import Log
from lichenquay.front.bulletin import BadList, Bulletin, read_rows
from lichenquay.front.client_line import BadQuery, ClientLine
from lichenquay.front.engines import Call, EngineLine, Engines, FrontEngine
from lichenquay.front.service import Service
from lichenquay.front.statement import tables_of
from lichenquay.gate import decide
from lichenquay.opening import Opening, Sheet, flat
from lichenquay.simwire.codec import Fields
from front_world import RESULT, SETTINGS, STATEMENT, answered, reactor_for
from loopback import SPOILT, until, wait


# parsers

def fed(reader, data, cuts):
    got, last = [], 0
    for cut in (*cuts, len(data)):
        for kind, stream, payload in reader.feed(data[last:cut]):
            got.append((kind, stream, bytes(payload)))
        last = cut
    return got


def test_frames_are_whole_at_every_split():
    fields = frames.write_fields([("service", "status"), ("ref", "é" * 3)])
    data = frames.frame(2, 1, fields, b"body") + frames.frame(8, 7) + frames.answer(3, 14, b"a", b"b")
    whole = fed(frames.FrameReader(), data, ())
    assert whole == [(2, 1, fields + b"body"), (8, 7, b""), (4, 3, b"\x0e\x00ab")]
    for cut in range(len(data)):
        assert fed(frames.FrameReader(), data, (cut,)) == whole
    assert fed(frames.FrameReader(), data, range(1, len(data))) == whole
    pairs, body = frames.read_fields(memoryview(whole[0][2]))
    assert pairs == [("service", "status"), ("ref", "ééé")] and body == b"body"


@pytest.mark.parametrize("length", [0, 4, 262_145, 2 ** 32 - 1])
def test_a_frame_of_no_length_is_told(length):
    with pytest.raises(frames.BadFrame):
        fed(frames.FrameReader(), length.to_bytes(4, "little") + b"\2\0\0\0\0", ())


def test_garbage_is_no_frame_and_never_more():
    chance = random.Random(5)
    for _ in range(400):
        data = bytes(chance.choice((0, 1, 2, 5, 200, 255)) for _ in range(chance.randrange(60)))
        try:
            for _, _, payload in fed(frames.FrameReader(), data, sorted(chance.choices(range(len(data) + 1), k=3))):
                frames.read_fields(memoryview(payload))
        except frames.BadFrame:
            pass


REPLIES = [b"HTTP/1.1 200 OK\r\nX-Parts: 2\r\nContent-Length: 5\r\n\r\nab\r\nc",
           b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nab\r\r\n2\r\n\nc\r\n0\r\nT: 1\r\n\r\n",
           b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length:5\r\nconnection: close\r\n\r\nab\r\nc"]


@pytest.mark.parametrize("data", REPLIES)
def test_answers_are_whole_at_every_split(data):
    for cut in range(len(data)):
        reader = http.ReplyReader()
        reply = reader.feed(data[:cut]) if cut else None
        assert reply is None
        reply = reader.feed(data[cut:])
        assert (reply.status, bytes(reply.body)) == (200, b"ab\r\nc") and not reply.more
        assert reply.keep is (b"close" not in data) and reader.feed(data) is not None      # and the next one
    reader, reply = http.ReplyReader(), None
    for i in range(len(data)):
        assert reply is None
        reply = reader.feed(data[i:i + 1])
    assert bytes(reply.body) == b"ab\r\nc"
    reply = http.ReplyReader().feed(data + b"HTTP/1.1 500 X\r\n\r\n")
    assert bytes(reply.body) == b"ab\r\nc" and reply.more and not reply.keep      # good, its connection is not


def test_an_answer_until_the_connection_closes():
    reader = http.ReplyReader()
    assert reader.feed(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab") is None and reader.feed(b"c") is None
    reply = reader.closed()
    assert reply.body == b"abc" and not reply.keep and http.ReplyReader().closed() is None


@pytest.mark.parametrize("data", [b"nonsense\r\n\r\n", b"HTTP/1.1 20x OK\r\n\r\n", b"HTTP/1.1 200 OK\r\n no\r\n\r\n",
                                  b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", b"x" * 20_000,
                                  b"HTTP/1.1 200 OK\r\n\r\nab", b"HTTP/1.1 100 X\r\n\r\n" * 2000, b"HTTP/1.1 2000 OK\r\n\r\n",
                                  b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"])
def test_what_is_no_answer_is_told(data):
    with pytest.raises(http.BadReply):
        http.ReplyReader().feed(data)


def test_garbage_is_no_answer_and_never_more():
    chance = random.Random(6)
    for _ in range(600):
        data = bytearray(chance.choice(REPLIES))
        for _ in range(chance.randrange(1, 6)):
            data[chance.randrange(len(data))] = chance.choice(b"\r\n:;0 9\xff")
        cut, reader = chance.randrange(len(data)), http.ReplyReader()
        try:
            reader.feed(bytes(data[:cut])) or reader.feed(bytes(data[cut:]))
        except http.BadReply:
            pass


@pytest.mark.parametrize("text, tables", [
    ("select a from sales_17.orders", "17"),
    ("SELECT id, 'from lake_0.decoy' as note -- from mart_1.old\nFROM \"sales_7\".\"orders\" o_2 where o_2.x = 1", "7"),
    ("select o_1.a /* mart_1.old /* nested */ lake_2.x */ from sales_12.items o_1 join ops_12.t x_3 on x_3.i = o_1.i", "12"),
    ("insert into staging.load select * from \"odd\"\"_4\".t", "4"), ("copy into staging.x from 's_3.t'", None),
    ("update lake_5.t set a = 'it''s s_1.t' where b_2.c = 1.5", "5"), ("delete from ops_9.t", "9"),
    ("with w as (select * from lake_3.stock) select id from w", "3"), ("select 1", None), ("", None),
    ("select extract(day from o_1.at), $$ from q_2.r $$ from db.s_8.t o_1", "8"), ("from s_6 . t", "6"),
    ("merge into `m_2`.t using u_2.v on true", "2"), ("select 'open from s_1.t", None), ("/* from s_1.t", None)])
def test_the_group_of_tables(text, tables):
    assert tables_of(text) == tables


def test_the_lexer_takes_anything():
    chance = random.Random(7)
    for _ in range(500):
        tables_of("".join(chance.choice(["'", '"', "/*", "*/", "--", "\n", "$$", "s_1", ".", "(", ")", " from ", "`", "é"])
                          for _ in range(30)))


def test_both_fronts_open_alike():
    parts = flat(SETTINGS)
    line = "hello\t" + "\t".join(f"{n}={v}" for n, v in parts.items())
    one, other = Opening(Sheet(parts), 5), Opening(Fields(1, line), 5)
    assert [vars(g) for g in one.groups.values()] == [vars(g) for g in other.groups.values()]
    assert (one.gateway, one.licence, one.safeguards, one.make, one.makes) == (
        other.gateway, other.licence, other.safeguards, other.make, other.makes)
    assert one.groups["manifest"].effect == io.MUTATING and one.groups["manifest"].is_load
    assert one.licence.most_submissions == 6 and one.makes == {"k": (8.0, 16384.0)}


def test_reports_costs_and_rows():
    def said(**headers):
        return SimpleNamespace(headers={"x-" + n.replace("_", "-"): v for n, v in headers.items()})
    assert http.report_of(said(report="inflight:7;util:0.61;odd;x:")) == {"active": 7.0, "cpu": 0.61}
    assert http.report_of(said()) is None and http.report_of(said(report="odd")) is None
    assert http.cost_of(said(cpu_ms="12.5", mem_used="64")) == (12.5, 64.0) and http.cost_of(said()) is None
    assert http.cost_of(said(cpu_ms="inf", mem_used="64")) is None and http.report_of(said(report="inflight:-1")) is None
    assert http.note_of(said(tell="held", amount="2")) == (io.WAITS, 2.0)
    assert not any(http.note_of(said(**more)) for more in (
        {}, dict(tell="held"), dict(tell="odd", amount="1"), dict(tell="share", amount="nan")))
    for row in ({"uid": "a", "endpoint": "h:1", "state": "ASLEEP"}, {"uid": "a", "endpoint": "h", "state": "SERVING"}, 3):
        with pytest.raises(BadList):
            read_rows({"roster": {"all": False, "targets": [row]}})


def test_a_bulletin_that_goes_back_changes_nothing():
    heard = []
    b = Bulletin({"no": 2, "items": []}, lambda *news: heard.append(news), None)
    good = {"no": 3, "roster": {"all": True, "targets": []}}
    for told in ({"no": 1, "items": []}, {"no": 4, "items": [good, {"no": 4}]}, [], {"no": "x", "items": []}):
        with pytest.raises(BadList):
            b.follow(told)
    assert b.no == 2 and not heard
    b.follow({"no": 3, "items": [good, good | {"no": 2}]})
    assert b.no == 3 and heard == [(True, [])]


def test_lines_of_one_kind_are_few():
    clock, out = SimpleNamespace(now=0.0), text_io.StringIO()
    log = Log(lambda: clock.now, out)
    for _ in range(100):
        log("a", "same")
    log("b", "other")
    clock.now = 1.5
    log("a", "later")
    assert out.getvalue().count("same") == 5 and "95 more" in out.getvalue() and "later" in out.getvalue()


# the whole program

def test_a_query_comes_back_whole_and_goes_out_unchanged(world):
    w = world(engines=1)
    c = w.client()
    c.transport.write(frames.frame(frames.IS_READY, 9, b"\0"))
    assert answered(c, c.ask("report", ref="9b1f03aa5c7e2d41", odd="x")) == (frames.FINISHED, RESULT)
    headers, body = w.engines[0].posts[0]
    assert headers["X-Hop-Id"] == "9b1f03aa5c7e2d41" and headers["X-Sort"] == "report" and body == STATEMENT
    assert 1900 < int(headers["X-Budget"]) <= 2000 and float(headers["X-Mem-Limit"]) == 96 and headers["X-Nice"] in "0123"
    assert c.told == [(frames.READINESS, 9, b"\0\0")]
    seen, = w.service.admit.controller.fleet.values()
    until(lambda: seen.report == {"active": 7.0})       # the end is told with its report and its cost
    assert w.service.admit.controller.slots.needed[w.service.opening.groups["report"]] == 64.0
    assert w.service.book.counters["answers finished"] == 1 and w.service.book.out == 0


@pytest.mark.parametrize("way, group, posts, code", [
    ("drop", "manifest", 1, frames.FINISHED), ("silent", "manifest", 1, frames.FINISHED),
    ("drop page", "manifest", 1, frames.FINISHED), ("full", "manifest", 2, frames.FINISHED),
    ("error", "report", 2, frames.FINISHED), ("reset", "report", 2, frames.FINISHED),
    ("lost page", "report", 2, frames.FINISHED), ("wrong page", "report", 2, frames.FINISHED),
    ("long", "report", 2, frames.FINISHED), ("noise", "report", 2, frames.FINISHED), ("odd", "report", 2, frames.FINISHED),
    ("error", "manifest", 1, frames.KILLED), ("reset", "manifest", 1, frames.KILLED),
    ("lost page", "manifest", 1, frames.KILLED), ("noise", "manifest", 1, frames.KILLED),
    *((way, "manifest", 1, frames.FINISHED) for way in (*SPOILT, "drop post", "more", "copies"))])
def test_what_goes_wrong_at_an_engine(world, way, group, posts, code):
    """Risk: an ending that proves too much sends a mutating query twice, one that proves too little loses it, and so
    does one that takes a spoilt answer, or a connection's fault, for the query's."""
    w = world(engines=2)
    hits = [way]
    for e in w.engines:     # the first submission, wherever it goes
        e.ways = hits
    c = w.client()
    got = answered(c, c.ask(group, allow=4000))
    assert got[0] == code and (code or got[1] == RESULT) and w.posts() == posts
    wait(0.1)
    assert way == "noise" or not w.out and w.service.book.out == 0 and w.service.book.counters["faults"] == 0


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
    assert answered(c, c.ask("manifest", allow=4000))[0] == frames.FINISHED and len(e.posts) == 1 and not failures
    assert not w.service.book.counters["submissions not connected"]
    for line in list(e.lines):
        line.transport.write(b"late")       # nobody has asked for it; the front may not have read it yet
    assert answered(c, c.ask("manifest"))[0] == frames.FINISHED and len(e.posts) == 2
    assert not w.service.book.counters["first calls broken"] and not w.service.book.counters["first calls garbled"]


def test_news_of_a_long_query_and_a_new_priority(world):
    w = world(engines=1)
    e, c = w.engines[0], w.client()
    e.ways = ["hold"]
    stream = c.ask("report", ref="00000000000000aa")
    until(lambda: e.news > 3)
    q, = w.service.admit.open
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
    assert w.service.book.out == 0 and len(e.posts) == 1


def test_an_engine_without_a_word_is_over_after_two_seconds(world):
    """Risk: a query is sent to a second engine while one that cannot be reached still works on it."""
    w = world(engines=2)
    c, stream, bad = w.hold()
    bad.mute, asked = True, time.time()
    w.out.clear()       # it drops what nobody asks for; that this front waits for it is checked below
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
    assert 0.045 < c.answers[stream][2] - died < 0.5 and w.service.book.counters["submissions reset"] == 1


def test_refused_connections_prove_that_nothing_ran(world):
    w = world(engines=2)
    w.engines[0].stop()
    wait(0.05)
    c = w.client()
    streams = [c.ask("manifest", allow=4000) for _ in range(6)]
    assert all(answered(c, s)[0] == frames.FINISHED for s in streams)
    assert len(w.engines[1].posts) == 6


def test_drains_act_at_once_and_an_address_may_come_back(world):
    w = world(engines=2)
    c = w.client()
    w.tell(w.engines[0], "DRAINING")
    until(lambda: w.service.bulletin.no == 2)
    for _ in range(8):
        assert answered(c, c.ask())[0] == frames.FINISHED
    assert not w.engines[0].posts and len(w.engines[1].posts) == 8
    old = w.service.by_uid["s-1"]
    w.bulletin.add(w.engines[1].row("DELETED"), {**w.engines[1].row(), "uid": "s-new"})
    until(lambda: w.service.bulletin.no == 3)
    assert not old.idle and "s-1" not in w.service.by_uid
    assert answered(c, c.ask())[0] == frames.FINISHED and len(w.engines[1].posts) == 9
    w.drained.clear()
    w.bulletin.add(w.engines[0].row(), whole=True)
    until(lambda: w.service.bulletin.no == 4)
    assert answered(c, c.ask())[0] == frames.FINISHED and len(w.engines[0].posts) == 1


def test_what_was_announced_while_a_front_started_is_known_before_the_first_submission(world):
    """Seen on herd+mass: 22 queries went to engines that had been announced as leaving while the front started."""
    w = world(engines=2, start=False)
    w.tell(w.engines[0], "DRAINING")        # after the configuration was written
    w.drained[w.engines[0]] -= 1
    w.bulletin.mute = True
    w.start()
    c = w.client()
    streams = [c.ask("report", allow=4000) for _ in range(4)]
    wait(0.05)
    assert not w.posts() and not w.service.is_ready()
    w.bulletin.mute = False
    for line in list(w.bulletin.lines):
        line.transport.abortConnection()
    assert all(answered(c, s)[0] == frames.FINISHED for s in streams) and w.service.is_ready()
    assert not w.engines[0].posts and w.engines[1].posts


def test_a_front_is_ready_as_soon_as_its_list_is_confirmed(world):
    w = world(engines=1)
    until(w.service.is_ready, 0.5)
    wait(0.1)
    assert w.bulletin.calls == 2        # one that is answered at once, one that waits for news


def test_a_submission_on_its_way_meets_a_drain():
    engine = FrontEngine("e", address="127.0.0.1:1")
    call, ends = Call(engine, b"", http.is_news, new=True), []
    call.answer.addErrback(ends.append)
    assert not call.void()
    engine.state = io.DRAINING
    assert call.void() and ends and not call.written


def test_the_bulletin_goes_wrong_and_comes_back(world):
    w = world(engines=1)
    c = w.client()
    w.bulletin.garbage = b'{"no": 0, "items": []}'
    for line in list(w.bulletin.lines):
        line.transport.abortConnection()
    calls = w.bulletin.calls
    until(lambda: w.bulletin.calls > calls + 1)
    assert answered(c, c.ask())[0] == frames.FINISHED       # the last good list is kept
    w.bulletin.garbage = None
    w.bulletin.add(w.engines[0].row("DRAINING"))
    until(lambda: w.service.bulletin.no == 2)


def test_a_bulletin_with_nothing_new_keeps_nobody_busy(world):
    w = world(engines=1)
    w.bulletin.garbage = w.bulletin.told(1)
    calls = w.bulletin.calls
    w.bulletin.add(w.engines[0].row())
    w.bulletin.garbage = b'{"no": 2, "items": []}'
    wait(0.6)
    assert 2 < w.bulletin.calls - calls < 10


def test_bad_frames_end_their_connection_alone(world):
    w = world(engines=1)
    good, bad, idle = w.client(), w.client(), w.client()
    w.engines[0].ways = ["hold", "ok"]
    open_ = bad.ask("report", ref="00000000000000bb")
    until(lambda: w.posts() == 1)
    same = good.ask("report", ref="00000000000000bb", statement=b"select 1")
    assert answered(good, same)[0] == frames.KILLED and w.posts() == 1      # risk: the answer to another statement
    bad.transport.write(frames.frame(frames.READINESS, 5))
    idle.transport.write(b"\1\0\0\0")
    until(lambda: idle.closed and 0 in bad.answers)
    assert idle.answers[0][0] == bad.answers[0][0] == frames.KILLED and not bad.closed
    w.engines[0].runs["00000000000000bb"] = "ok"        # what was taken on it is still answered
    until(lambda: bad.closed)
    assert bad.answers[open_][:2] == (frames.FINISHED, RESULT)
    assert answered(good, good.ask())[0] == frames.FINISHED


@pytest.mark.parametrize("wrong", [dict(group="none"), dict(project="none"), dict(project=None), dict(ref="short"),
                                   dict(allow="soon"), dict(twice=True), dict(effort=None), dict(memory="nan"), dict(allow="-1"),
                                   dict(allow="9e9"), dict(effort="1e300")])
def test_a_request_that_makes_no_query_is_answered_alone(world, wrong):
    w = world(engines=1)
    c = w.client()
    assert answered(c, c.ask(**wrong))[0] == frames.KILLED and not w.posts()
    assert answered(c, c.ask())[0] == frames.FINISHED


def test_one_connection_holds_32_open_queries(world):
    w = world(engines=1)
    c = w.client()
    w.engines[0].ways = ["hold"] * 40
    streams = [c.ask("status", allow=600) for _ in range(33)]
    assert answered(c, streams[-1])[0] == frames.DEFERRED
    c.transport.write(frames.frame(frames.LEFT, streams[0]) + frames.frame(frames.LEFT, 999))
    until(lambda: len(c.answers) == 32)     # all but the one that was left
    assert streams[0] not in c.answers


def test_few_descriptors_are_shared_in_turn(world):
    """Risk: with sockets short, calls fail that had only to wait."""
    w = world(engines=3, sockets=90)
    w.service.engines.budget, w.service.engines.reserve = 4, 2
    c = w.client()
    streams = [c.ask("status", allow=4000) for _ in range(32)]
    assert all(answered(c, s)[0] == frames.FINISHED for s in streams)
    assert w.service.engines.most <= 6 and not w.service.book.counters["submissions not connected"]
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
    assert answered(c, first) == (frames.FINISHED, c.answers[first][1]) and c.answers[first][1].endswith(b"\tx\ty\n")
    wait(0.035)
    second = c.ask("status", allow=4000)
    assert answered(c, second) == (frames.FINISHED, RESULT) and w.posts() == 2
    assert w.service.book.counters["first calls garbled"] == 1


def test_a_connection_rests_between_two_queries():
    """Risk: a copy of one query's answer, a moment later, becomes the answer to another's call."""
    clock, lines = SimpleNamespace(now=100.0), []
    hub = Engines(SimpleNamespace(seconds=lambda: clock.now, callLater=None), 0, 1.0, 1.0, 1000.0)
    e = FrontEngine("e")
    for at in (99.0, 99.9, 99.99):
        lines.append(EngineLine(hub, Call(e, b"", http.is_news)))
        lines[-1].idle_since = at
        e.idle.append(lines[-1])
    assert hub.idle(Call(e, b"", http.is_news)) is lines[1]                     # the last that has rested
    lines[2].owner = "its query"
    assert hub.idle(Call(e, b"", http.is_news, line=lines[2], owner="its query")) is lines[2]    # but its own query's next call
    assert hub.idle(Call(e, b"", http.is_news, line=lines[2], owner="another")) is lines[1]    # not once another's went there
    assert hub.idle(Call(e, b"", http.is_news, fresh=True)) is None
    e.idle.popleft()
    e.idle.popleft()
    assert hub.idle(Call(e, b"", http.is_news)) is None
    clock.now += 0.03
    assert hub.idle(Call(e, b"", http.is_news)) is lines[2]
    hub.aged(0.05)
    assert hub.stale_s == hub.idle_s == 0.5     # young ones break too
    hub.aged(0.3)
    hub.watch()
    assert 0.15 < hub.stale_s < 0.151
    clock.now += 0.1
    assert hub.idle(Call(e, b"", http.is_news)) is lines[2]
    clock.now += 0.06       # risk: a POST on a connection that something on the way has ended by now
    assert hub.idle(Call(e, b"", http.is_news)) is None


def test_more_clients_than_fit_are_told_so_at_once(world):
    """Risk: a crowd of clients takes the descriptors that calls to engines need; what waits to be accepted is told nothing."""
    w = world(engines=5, sockets=150)
    for e in w.engines:
        e.ways = ["hold"] * 9
    w.service.clients.bound(1 << 20, decide.Rules(4, 0, lag_ms=0.0))
    streams = [(c, c.ask("report", allow=4000)) for c in (w.client() for _ in range(4))]
    until(lambda: len(w.out) == 4)
    for _ in range(18):
        begun, c = time.monotonic(), w.client()
        until(lambda: c.closed)
        assert time.monotonic() - begun < 0.15 and c.answers[0][0] == frames.DEFERRED and b"no room; come back in" in c.answers[0][1]
    assert len(w.service.clients.lines) == 4 and not any(c.closed for c, _ in streams)
    for e in w.engines:
        e.ways, e.runs = [], dict.fromkeys(e.runs, "ok")
    assert all(answered(c, s)[0] == frames.FINISHED for c, s in streams)


def test_at_the_descriptor_limit_a_connection_is_told_and_what_was_taken_is_answered(world):
    """Risk: with no descriptor left, what waits to be accepted waits for ever, and the reactor runs in circles over it."""
    w = world(engines=2)
    for e in w.engines:
        e.ways = ["hold"] * 9
    first = w.client()
    stream, port = first.ask("report", allow=4000), w.service.clients.port
    until(lambda: len(w.out) == 1)
    real, left = port.socket, [3]

    class Short:
        def __getattr__(self, name):
            return getattr(real, name)

        def accept(self):
            left[0] -= 1
            if left[0] in (2, 0):       # as the machine says it, until one is closed
                raise OSError(errno.EMFILE, "too many")
            return real.accept()
    port.socket = Short()
    second = w.client()
    until(lambda: second.closed)
    assert second.answers[0][:2] == (frames.DEFERRED, b"no descriptor; come back in 1000 ms")
    port.socket = real
    assert w.service.book.counters["connections refused: no descriptor"] >= 1
    for e in w.engines:
        e.ways, e.runs = [], dict.fromkeys(e.runs, "ok")
    assert answered(first, stream)[0] == frames.FINISHED and answered(third := w.client(), third.ask())[0] == frames.FINISHED


def test_the_reserve_is_called_back_and_what_was_taken_gets_its_answer_first(world):
    """Risk: a busy client that gives way is cut off with a query open, or keeps its place for ever."""
    w = world(engines=5)
    for e in w.engines:
        e.ways = ["hold"] * 9
    known = decide.networks(["127.0.0.1"])
    w.service.clients.bound(1 << 20, decide.Rules(2, 0, lag_ms=0.0))
    others = [w.client() for _ in range(2)]
    streams = [c.ask("report", allow=4000) for c in others]
    until(lambda: len(w.out) == 2)
    gate = w.service.clients.gate
    gate.change(decide.Rules(2, 0, known=known, reserve=1, lag_ms=0.0))
    gate.holders.clear()            # as if those had come from elsewhere
    depot = w.client()
    until(lambda: any(c.closed for c in others))
    gone = next(c for c in others if c.closed)
    assert gone.answers[streams[others.index(gone)]][0] in (frames.DEFERRED, frames.KILLED)
    assert gone.answers[0][0] == frames.DEFERRED and b"needed by others" in gone.answers[0][1]
    for e in w.engines:
        e.ways = []
    assert answered(depot, depot.ask("manifest"))[0] == frames.FINISHED and not depot.closed
    assert sum(c.closed for c in others) == 1 and w.service.book.counters["faults"] == 0


def test_settings_of_the_gate_are_read_and_read_again(world, tmp_path):
    """Risk: limits lowered below what is open end what was taken; or half of a new file is in force."""
    settings = tmp_path / "s.textproto"
    settings.write_text("gate { address { connections: 3 queries: 2 } }")
    w = world(engines=2, start=False)
    w.service = Service(reactor_for(w), {"BALANCER_CONFIG": str(w.path), "LICHENQUAY_SETTINGS": str(settings)})
    w.service.start()
    w.port = w.service.clients.port.getHost().port
    for e in w.engines:
        e.ways = ["hold"] * 9
    a, b, c = (w.client() for _ in range(3))
    streams = [a.ask("report", allow=4000), a.ask("report", allow=4000), b.ask("report", allow=4000)]
    assert answered(b, streams[2]) == (frames.DEFERRED, b"open queries of one address; come back in 1000 ms")
    d = w.client()
    until(lambda: d.closed)
    assert d.answers[0][:2] == (frames.DEFERRED, b"connections of one address; come back in 1000 ms")
    settings.write_text("gate { address { connections: 1 queries: 1 } }")
    w.service.read_again()
    assert w.service.clients.gate.rules.address.connections == 1 and not any(x.closed for x in (a, b, c))
    settings.write_text("gate { address { connections: -1 } }")
    w.service.read_again()
    assert w.service.clients.gate.rules.address.connections == 1 and w.service.book.counters["configurations not taken"] == 1
    for e in w.engines:
        e.ways, e.runs = [], dict.fromkeys(e.runs, "ok")
    assert all(answered(a, s)[0] == frames.FINISHED for s in streams[:2])


def test_silent_connections_make_room_and_end_in_time(world):
    """Risk: connections by the hundreds that say nothing, or hold on after one query, keep the usual clients out."""
    w = world(engines=2, sockets=150)
    crowd = [w.client() for _ in range(70)]     # one more than fits after each of the last
    half, held = crowd[-1], w.client()
    half.transport.write((200).to_bytes(4, "little") + b"\2\1\0\0\0")
    assert answered(held, held.ask())[0] == frames.FINISHED
    assert len(w.service.clients.lines) <= w.service.clients.most == 62
    until(lambda: all(c.closed for c in crowd), 2.9)
    assert half.answers[0][0] == frames.KILLED and not held.closed
    until(lambda: held.closed, 5)
    assert held.told == [(frames.NO_MORE, 0, b"")]


def test_the_same_nonsense_again_and_again_is_held_up():
    """Risk: a client that comes back at once with what makes no sense takes the turns of others."""
    later, said, clock = [], [], SimpleNamespace(now=0.0)
    desk = SimpleNamespace(gate=decide.Gate(decide.Rules(9, 0), 0.0), gate_ms=lambda: clock.now * 1000,
                           seconds=lambda: clock.now, held=0, room=1 << 20, fits=lambda *size: True, refs={}, ANSWERS={2: "x"},
                           reactor=SimpleNamespace(callLater=lambda s, call: later.append(call) or later),
                           book=SimpleNamespace(count=lambda what: None), log=lambda *line: None)

    def query(*what):
        raise BadQuery("odd")
    desk.query = query
    line = ClientLine(desk, "127.0.0.1")
    line.transport = SimpleNamespace(socket=SimpleNamespace(send=lambda data, flags: said.append(data) or len(data)),
                                     pauseProducing=lambda: said.append("p"), resumeProducing=lambda: said.append("r"), loseWriteConnection=lambda: said.append("x"),
                                     unregisterProducer=lambda: None, abortConnection=lambda: None)
    nonsense = frames.frame(frames.QUERY, 1, b"\0")
    line.dataReceived(nonsense)
    assert said[1] == "p" and len(later) == 1
    later.pop()()
    assert said[2] == "r"
    line.dataReceived(nonsense)
    assert said[-1] == "x" and frames.answer(0, 2, b"stream 1 is not new") in said   # two under one number, one answer
    line = ClientLine(desk, "127.0.0.1")
    line.transport = SimpleNamespace(socket=SimpleNamespace(send=lambda data, flags: len(data)), **{n: lambda *a: None for n in (
        "pauseProducing", "resumeProducing", "unregisterProducer", "abortConnection", "loseWriteConnection")})
    line.dataReceived(b"".join(frames.frame(frames.QUERY, i, b"\0") for i in range(1, 100)))
    assert line.bad and line.senseless == 17


def test_what_is_taken_back_at_once_goes_nowhere(world):
    """Risk: hundreds of queries taken back at once go out to engines and are called off there."""
    w = world(engines=1)
    c = w.client()
    c.transport.write(b"".join(frames.frame(frames.QUERY, i, frames.write_fields(
        [("service", "status"), ("ref", f"{i:016x}"), ("allow", "900"), ("project", "acme"), ("effort", "1"), ("memory", "1")]),
        STATEMENT) + frames.frame(frames.LEFT, i) for i in range(1, 300)))
    c.streams = 300
    assert answered(c, c.ask("report"))[0] == frames.FINISHED and w.posts() == 1 and not w.service.admit.open
    w.engines[0].ways = ["hold"]
    gone = c.ask("report", ref="00000000000000dd")
    until(lambda: w.posts() == 2)
    c.transport.write(frames.frame(frames.LEFT, gone))
    until(lambda: w.engines[0].deletes == ["00000000000000dd"], 0.5)    # and what is out is called off


def test_a_new_configuration_is_taken_whole_or_not_at_all(world):
    """Risk: the program ends on SIGHUP, or follows a bulletin that tells nothing any more."""
    w = world(engines=2)
    c, old = w.client(), w.bulletin
    c.transport.write(frames.frame(frames.IS_READY, 1, b"\0"))
    c.streams = 1
    other = type(old)()
    other.events = list(old.events)
    new = {**w.config, "bulletin": other.address, "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 150}}
    before = w.service.bulletin_at, w.service.clients.most, w.service.clients.room
    for bad in ("{", json.dumps({**new, "known": {"no": 9, "items": [{"no": 9}]}}), json.dumps({**new, "settings": 3}),
                json.dumps({**new, "limits": {}}), "[" * 100_000):
        w.path.write_text(bad)
        w.service.read_again()
        assert (w.service.bulletin_at, w.service.clients.most, w.service.clients.room) == before
    w.path.write_text(json.dumps(new))
    w.engines[0].ways = w.engines[1].ways = ["hold"]
    stream = c.ask("report", ref="00000000000000ee")
    until(lambda: w.posts() == 1)
    w.service.read_again()
    assert (w.service.clients.most, w.service.clients.room, w.service.engines.budget) == (62, 16 << 20, 52)
    until(lambda: other.lines and not old.lines, 0.5)
    w.bulletin = other
    old.port.stopListening()
    w.tell(w.engines[0], "DRAINING")
    until(lambda: w.service.bulletin.no == 2, 0.5)
    for e in w.engines:
        e.runs = dict.fromkeys(e.runs, "ok")
    assert answered(c, stream)[0] == frames.FINISHED and not c.closed
    old.events, old.garbage = [], None
    w.engines.append(old)       # closed with the rest
    w.engines[-1].port = SimpleNamespace(stopListening=lambda: None)


def test_a_client_that_does_not_read_is_bounded():
    desk = SimpleNamespace(gate=decide.Gate(decide.Rules(9, 0), 0.0), gate_ms=lambda: 0.0,
                           seconds=lambda: 0.0, held=0, room=32 << 20, book=SimpleNamespace(count=lambda what: None),
                           log=lambda *line: None)
    line, done, full = ClientLine(desk, "127.0.0.1"), [], SimpleNamespace(sends=1)

    def send(data, flags):
        full.sends -= 1
        if full.sends < 0:
            raise BlockingIOError
        return 40_000
    line.transport = SimpleNamespace(write=lambda data: done.append(len(data)), pauseProducing=lambda: done.append("p"),
                                     resumeProducing=lambda: done.append("r"), abortConnection=lambda: done.append("x"),
                                     socket=SimpleNamespace(send=send))
    for _ in range(1000):
        line.put(b"x" * 48_000)
        if done[-1] == "x":
            break
    assert done[:4] == [8_000, 48_000, 48_000, "p"] and done[-1] == "x"     # in order, and read no further
    assert sum(d for d in done if d not in ("p", "x")) <= 32 << 20 and full.sends == 0
    line.resumeProducing()
    assert desk.held == 0 and done[-1] == "r"


def test_what_clients_make_the_front_hold_is_bounded(world):
    """Risk: long statements, or frames that never end, take the memory that the front may have."""
    w = world(engines=1)
    c, desk, long = w.client(), w.service.clients, STATEMENT + b" " * 200_000
    desk.room = 3_400_000       # for one long statement, or one long frame, at a time
    w.engines[0].ways = ["hold"]
    first = c.ask("report", ref=f"{0:016x}", statement=long)
    until(lambda: w.posts() == 1)
    second, third = c.ask("report", statement=long), c.ask("report")
    assert answered(c, second)[0] == frames.DEFERRED and answered(c, third)[0] == frames.FINISHED
    assert desk.held == len(long)
    w.engines[0].runs[f"{0:016x}"] = "ok"
    assert answered(c, first)[0] == frames.FINISHED and desk.held == 0
    crowd = [w.client() for _ in range(3)]
    for x in crowd:
        x.transport.write((262_144).to_bytes(4, "little") + b"\2\1\0\0\0" + b"x" * 205_000)
    until(lambda: any(x.closed for x in crowd))
    assert answered(c, c.ask())[0] == frames.FINISHED       # what is small finds room all the same
    assert sum(x.closed for x in crowd) < 3 and 0 < desk.held <= desk.room
    for x in crowd:
        x.transport.abortConnection()
    until(lambda: desk.held == 0)
    assert answered(c, c.ask())[0] == frames.FINISHED


def test_idle_connections_are_dropped_in_good_time(world):
    w = world(engines=1)
    c = w.client()
    assert answered(c, c.ask())[0] == frames.FINISHED
    hub = w.service.engines
    assert hub.open == 1
    line, = hub.lines
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
    assert answered(c, c.ask())[0] == frames.FINISHED and w.service.book.counters["faults"] == 1


def test_leaving_answers_all_that_was_taken(world):
    w = world(engines=1)
    c, e = w.client(), w.engines[0]
    e.ways = ["hold", "ok", "hold"]
    slow, quick, endless = c.ask("report", ref="00000000000000cc"), c.ask("status"), c.ask("manifest", allow=9000)
    until(lambda: w.posts() == 3)
    left = time.time()
    w.service.leave()
    until(lambda: (frames.NO_MORE, 0, b"") in c.told)
    late = w.client()       # PROTOCOL: they go on coming
    assert answered(late, late.ask())[0] == frames.FINISHED
    e.runs["00000000000000cc"] = "ok"
    until(lambda: w.ended)
    assert time.time() - left < 3.7 and [c.answers[s][0] for s in (slow, quick, endless)] == [0, 0, 2]
    assert w.service.book.out == 0 and w.service.state == "ended"


def program(config):
    return subprocess.Popen([sys.executable, "-m", "lichenquay.front"], stderr=subprocess.PIPE, text=True,
                            env={**os.environ, "PYTHONPATH": ".", "BALANCER_CONFIG": str(config)})


def test_what_the_program_cannot_start_with(tmp_path, world):
    w = world(start=False)
    taken = f"127.0.0.1:{w.bulletin.port.getHost().port}"
    bad = tmp_path / "bad.json"
    settings = json.loads(json.dumps(SETTINGS))
    settings["classes"][0]["effect"] = "odd"
    for content, word in ((None, "bad.json"), ("{", "bad.json"), ({**w.config, "listen": "x"}, "bad.json"),
                          ({**w.config, "listen": taken}, taken), ({**w.config, "settings": settings}, "effect"),
                          ({**w.config, "known": {"no": 1, "items": [{}]}}, "known")):
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
    assert "queries taken in: 20" in told and "answers finished: 20" in told and "Traceback" not in told


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_days_keep_the_rules(world, seed):
    """Engines that fail at random, drains, starts, clients that leave: one answer for each in time, none sent twice."""
    w, chance = world(engines=3), random.Random(seed)
    clients = [w.client() for _ in range(3)]
    asked, left = {}, set()
    ways = ["ok"] * 8 + ["full", "error", "reset", "drop", "drop page", "lost page", *SPOILT, "more",
                         "drop post", "hold", "odd"]
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
    until(lambda: w.service.book.out == 0)
    assert w.service.book.counters["faults"] == 0 and not w.service.admit.open
