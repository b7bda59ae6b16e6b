"""Tests of replies of engines whose length is too short and ends with a row: the rest is read after them."""

import pytest
from gateway_world import RESULT, answered
from interleavings import counter, wait_until_complete
from loopback import PAGES
from twisted.internet import reactor

from lichenquay.gateway import engine_protocol, frames, http, result_relay
from lichenquay.gateway.result_relay import MAX_UNREADABLE_REPLIES

ROWS = [b"1\ta\tb\n", b"2\tc\td\n", b"3\te\tf\n"]
TURN_MS = 10.0  # of the tests' reactor, whose timers are that late
LONG_PAGES = [b"".join(ROWS), b"".join(b"%d\tx\ty\n" % i for i in range(500)), b"".join(ROWS[:2])]


class CuttingEngine:
    """Has an engine of a world send these pages, the first replies for one of them with a length too short.

    cut_page: the page. cut_bytes: the length that its replies give. times: how many of them. rest_after_ms:
    when the rest of the page is written, at the latest before the next reply; None: together with the reply.
    is_chunked: the page is sent in two chunks, and the size of the second one is lost.
    """

    def __init__(self, engine, pages, cut_page, cut_bytes, times=1, rest_after_ms=None, is_chunked=False):
        """Replaces how the engine answers."""
        self.engine = engine
        self.pages = pages
        self.cut_page = cut_page
        self.cut_bytes = cut_bytes
        self.times = times
        self.rest_after_ms = rest_after_ms
        self.is_chunked = is_chunked
        self.rests = {}  # what is still to be written, by connection
        engine.start = lambda connection, request_id, behaviour: self.send(connection, request_id, 0)
        engine.page = self.send

    def send(self, connection, request_id, number):
        """Writes the reply for a page."""
        self.engine.world.in_flight.discard(request_id)
        self.write_rest(connection)
        page = self.pages[number]
        head = b"X-Parts: %d\r\n" % len(self.pages) if not number else b"X-Part-No: %d\r\n" % number
        is_cut = number == self.cut_page and self.times > 0
        if is_cut:
            self.times -= 1
        if is_cut and self.is_chunked:
            body = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n0\r\n\r\n"
            reply = body % (self.cut_bytes, page[: self.cut_bytes], page[self.cut_bytes :])
            connection.transport.write(b"HTTP/1.1 200 X\r\n" + head + reply)
            return
        length = self.cut_bytes if is_cut else len(page)
        reply = b"HTTP/1.1 200 X\r\n%sContent-Length: %d\r\n\r\n" % (head, length)
        if not is_cut or self.rest_after_ms is None:
            connection.transport.write(reply + page)
            return
        connection.transport.write(reply + page[:length])
        self.rests[connection] = page[length:]
        reactor.callLater(self.rest_after_ms / 1000, self.write_rest, connection)

    def write_rest(self, connection):
        """Writes what is left of the last page on a connection."""
        connection.transport.write(self.rests.pop(connection, b""))


@pytest.mark.parametrize("group", ["report", "manifest"])
@pytest.mark.parametrize("rest_after_ms", [None, 0.0, 2 * TURN_MS], ids=["one read", "next", "later"])
@pytest.mark.parametrize(
    "pages, cut_page, cut_bytes",
    [
        ([b"".join(ROWS)], 0, len(ROWS[0])),  # the only page
        ([b"".join(ROWS)], 0, len(ROWS[0] + ROWS[1])),
        ([b"".join(ROWS)], 0, 0),
        (PAGES, 0, len(ROWS[0])),  # the first of several
        (LONG_PAGES, 1, 600),  # one between
        (LONG_PAGES, 1, 6),
        (LONG_PAGES, 2, len(ROWS[0])),  # the last one
    ],
)
def test_no_result_is_served_without_its_last_rows(
    make_world, monkeypatch, pages, cut_page, cut_bytes, rest_after_ms, group
):
    """Guards against rows lost because the length of a reply was spoilt: the engine repeats the reply."""
    monkeypatch.setattr(result_relay, "MAX_SEGMENT_DELAY_MS", 6 * TURN_MS)
    world = make_world(engines=1)
    CuttingEngine(world.engines[0], pages, cut_page, cut_bytes, rest_after_ms=rest_after_ms)
    client = world.client()
    code, body = answered(client, client.ask(group, allow=4000))
    assert (code, body) == (frames.AnswerCode.COMPLETED, b"".join(pages))
    assert world.posts() == 1
    wait_until_complete(world)


@pytest.mark.parametrize("cut_page", [0, 1])
def test_no_result_is_served_without_its_last_chunk(make_world, cut_page):
    """Guards against rows that pass for trailers, as the size of their chunk was spoilt to 0."""
    world = make_world(engines=1)
    pages = [b"".join(ROWS), b"".join(ROWS)]
    CuttingEngine(world.engines[0], pages, cut_page, len(ROWS[0]), is_chunked=True)
    client = world.client()
    code, body = answered(client, client.ask("manifest", allow=4000))
    assert (code, body) == (frames.AnswerCode.COMPLETED, b"".join(pages))
    wait_until_complete(world)


@pytest.mark.parametrize("rest_after_ms", [None, 0.0], ids=["one read", "next"])
@pytest.mark.parametrize("cut_page", [0, 1])
def test_an_engine_that_always_gives_a_short_length_is_not_asked_for_ever(
    make_world, cut_page, rest_after_ms
):
    """Guards against a busy loop, and against 'served' at its end: the query fails."""
    world = make_world(engines=1)
    pages = [b"".join(ROWS), b"".join(ROWS)]
    CuttingEngine(world.engines[0], pages, cut_page, len(ROWS[0]), times=1000, rest_after_ms=rest_after_ms)
    client, engine = world.client(), world.engines[0]
    code, _ = answered(client, client.ask("manifest", allow=4000))
    assert code == frames.AnswerCode.FAILED and world.posts() == 1
    assert engine.polls <= 4 * MAX_UNREADABLE_REPLIES
    wait_until_complete(world)


@pytest.mark.parametrize("rows_sent", [1, 2, 3])
@pytest.mark.parametrize("end", ["reset", "end"])
def test_a_result_that_ends_with_its_connection_is_whole_only_without_a_reset(make_world, end, rows_sent):
    """Guards against rows lost with the engine's process: PROTOCOL says that it resets its connections."""
    world = make_world(engines=1)
    engine, sent = world.engines[0], []

    def start(connection, request_id, behaviour):
        world.in_flight.discard(request_id)
        is_first = not sent
        sent.append(request_id)
        rows = ROWS[:rows_sent] if is_first and end == "reset" else ROWS
        connection.transport.write(
            b"HTTP/1.1 200 X\r\nX-Parts: 1\r\nConnection: close\r\n\r\n" + b"".join(rows)
        )
        close = connection.transport.abortConnection if is_first and end == "reset" else None
        reactor.callLater(0.03, close or connection.transport.loseConnection)

    engine.start = start
    client = world.client()
    code, body = answered(client, client.ask("manifest", allow=4000))
    assert (code, body) == (frames.AnswerCode.COMPLETED, b"".join(ROWS))
    assert len(sent) == (2 if end == "reset" else 1) and world.posts() == 1
    wait_until_complete(world)


def test_a_duplicate_after_a_result_costs_no_further_call(make_world):
    """Guards against needless polls: a line without columns after a page is none of its rows."""
    world = make_world(engines=1)
    engine = world.engines[0]
    engine.behaviours = ["more"]
    client = world.client()
    assert answered(client, client.ask("manifest")) == (frames.AnswerCode.COMPLETED, RESULT)
    assert counter(world, "replies unreadable") <= 1  # the duplicate may arrive in parts
    wait_until_complete(world)


@pytest.mark.parametrize(
    "trailing, is_suspect",
    [
        (b"", False),
        (b"2\tc\td\n", True),
        (b"2\tc\td\nHTTP/1.1 200 X\r\n", True),
        (b"2\tc", True),  # its line may go on
        (b"HTTP/1", True),
        (b"HTTP/1.1 200 X\r\nX-Parts: 1\r\n", False),
        (b"no answer at all\r\n\r\n", False),
        (b"a\tb\tc\td", False),  # four columns
        (b"\n", False),
    ],
)
def test_what_follows_a_page_is_suspect_if_it_may_be_a_row(trailing, is_suspect):
    """Guards against a check that takes rows for something else, or anything else for rows."""
    page = b"HTTP/1.1 200 X\r\nX-Parts: 1\r\nContent-Length: 6\r\n\r\n1\ta\tb\n"
    reply = http.ReplyReader().feed(page + trailing)
    assert bytes(reply.trailing) == trailing and reply.has_trailing_bytes == bool(trailing)
    assert engine_protocol.may_be_cut_short(reply) == is_suspect
    assert engine_protocol.is_poll_reply(reply) != is_suspect
    rejection = http.ReplyReader().feed(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n" + trailing)
    assert not engine_protocol.may_be_cut_short(rejection)
