"""HTTP/1.1 as engines and the bulletin speak it: requests written, answers read, free of I/O.

The names that PROTOCOL gives to an engine's calls and answers end here.
"""

import re

from lichenquay.admission import domain

MOST_HEAD = 16_384  # also of all interim answers before a real one
MOST_BODY = 8 << 20  # of a list: 48,000 engines at once; pages are held to their own limit
MOST_PAGE = 6_000  # PROTOCOL: bytes of a page
FIRST = re.compile(r"HTTP/1\.([01]) ([1-9]\d\d)(?: [^\x00-\x1f\x7f]*)?\Z")
HEADER = re.compile(r"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)\Z")


class BadReply(ValueError):
    """Bytes that are no answer; the text says why."""


def request(verb, path, host, headers=(), body=b""):
    lines = [f"{verb} {path} HTTP/1.1\r\nHost: {host}\r\n"]
    lines += [f"{name}: {value}\r\n" for name, value in headers]
    if body or verb in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1") + body


class Reply:
    """An answer: headers by lower-case name; the body a slice of what was read."""

    __slots__ = ("status", "headers", "body", "keep", "more", "connection")

    def __init__(self, status, headers, keep):
        self.status, self.headers, self.body, self.keep, self.connection = status, headers, b"", keep, None
        self.more = False  # bytes came behind it that do not belong to it

    def whole(self, name, least=0):
        """A header as a whole number from `least` up; None if it is missing or none."""
        value = self.headers.get(name, "")
        return int(value) if value.isascii() and value.isdigit() and int(value) >= least else None


class ReplyReader:
    """One answer at a time out of what a connection delivers, cut anywhere. What comes behind a whole answer spoils
    the connection, not the answer."""

    __slots__ = ("held", "reply", "at", "length", "most")

    def __init__(self, most=MOST_BODY):
        self.most = most
        self.begin()

    def begin(self):
        self.held, self.reply, self.at, self.length = None, None, 0, None

    def feed(self, data):
        """The answer once it is whole, else None."""
        if self.held is not None:
            self.held += data
            data, self.held = self.held, None
        while self.reply is None:
            end = data.find(b"\r\n\r\n", self.at)
            if end > MOST_HEAD or end < 0 and len(data) > MOST_HEAD:
                raise BadReply("a head that is too long")
            if end < 0:
                return self.keep(data)
            self.head(str(data[self.at : end], "latin-1"))
            self.at = end + 4
            if 100 <= self.reply.status < 200:  # an interim answer: the real one follows
                self.reply = None
        body = self.chunks(data) if self.length == "chunked" else self.plain(data)
        if body is None:
            return self.keep(data)
        return self.done(*body)

    def keep(self, data):
        self.held = data if isinstance(data, bytearray) else bytearray(data)

    def done(self, body, more=False):
        reply, reply.body, reply.more = self.reply, body, more
        reply.keep = reply.keep and not more
        self.begin()
        return reply

    def head(self, text):
        first, *lines = text.split("\r\n")
        said = FIRST.match(first)
        if not said:
            raise BadReply(f"no status: {first[:60]!r}")
        headers = {}
        for line in lines:
            found = HEADER.match(line)
            if not found:
                raise BadReply(f"no header: {line[:60]!r}")
            name, value = found.group(1).lower(), found.group(2).rstrip()
            if headers.setdefault(name, value) != value:
                raise BadReply(f"said twice: {line[:60]!r}")
        keep = headers.get("connection", "").lower()
        self.reply = Reply(
            int(said.group(2)), headers, keep != "close" and (said.group(1) == "1" or keep == "keep-alive")
        )
        if self.reply.status in (204, 304) or self.reply.status < 200:
            self.length = 0
        elif "transfer-encoding" in headers:
            if headers["transfer-encoding"].lower() != "chunked":
                raise BadReply("an encoding that is not known")
            self.length = "chunked"
        elif "content-length" in headers:
            self.length = self.reply.whole("content-length")
            if self.length is None or self.length > self.most:
                raise BadReply("a length that cannot be")
        elif self.reply.keep:
            raise BadReply("an answer without a length")  # risk: a part of it is taken for the whole
        else:
            self.length = None  # until the connection closes

    def plain(self, data):
        have = len(data) - self.at
        if self.length is None and have > self.most:
            raise BadReply("a body that is too long")
        if self.length is None or have < self.length:
            return None
        return memoryview(data)[self.at : self.at + self.length], have > self.length

    def chunks(self, data):
        pieces, at = [], self.at
        if len(data) - at > 2 * self.most + MOST_HEAD:
            raise BadReply("a body that is too long")
        while True:
            end = data.find(b"\r\n", at)
            if end < 0:
                if len(data) - at > MOST_HEAD:
                    raise BadReply("a chunk without a size")
                return None
            try:
                size = int(bytes(data[at:end]).split(b";")[0], 16)
            except ValueError:
                raise BadReply("a chunk without a size") from None
            at = end + 2
            if size == 0:
                break
            if not 0 < size <= self.most:
                raise BadReply("a body that is too long")
            if len(data) < at + size + 2:
                return None
            if data[at + size : at + size + 2] != b"\r\n":
                raise BadReply("a chunk of another size")
            pieces.append(bytes(data[at : at + size]))
            at += size + 2
        while (end := data.find(b"\r\n", at)) != at:  # trailers
            if end < 0:
                if len(data) - at > MOST_HEAD:
                    raise BadReply("trailers that are too long")
                return None
            at = end + 2
        return b"".join(pieces), len(data) > at + 2

    def closed(self):
        """The connection ended: the answer, if its body went on until then."""
        if self.reply is None or self.length is not None:
            return None
        return self.done(bytes(self.held[self.at :]) if self.held else b"")


# what is said to engines


def start(host, ref, group, patience_ms, grant_mb, rank, statement, token="", key=""):
    headers = [("X-Hop-Id", ref), ("X-Sort", group), ("X-Budget", max(1, int(patience_ms)))]
    if token:  # by it, engines drop repeats
        headers.append(("X-Replay-Key", token))
    if key:
        headers.append(("X-Thing", key))
    if grant_mb > 0:
        headers.append(("X-Mem-Limit", f"{grant_mb:.1f}"))
    if rank is not None:
        headers.append(("X-Nice", rank))
    return request("POST", "/o", host, headers, statement)


def page(host, ref, n):
    """Page n of the result; 0 is the news."""
    return request("GET", f"/o/{ref}/{n}", host)


def priority(host, ref, rank):
    return request("PUT", f"/o/{ref}", host, body=b"%d" % rank)


def give_up(host, ref):
    return request("DELETE", f"/o/{ref}", host)


# what engines say

NOTES = {
    "share": domain.ProgressKind.PROGRESS,
    "short": domain.ProgressKind.SPILLING,
    "held": domain.ProgressKind.WAITING,
}
# what the settings call the values of a load report; an engine may use either name
COLUMNS = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}


def rows(body):
    """Whole rows of three columns, and no more of them than a page holds."""
    text = bytes(body)
    return (
        len(text) <= MOST_PAGE and (not text or text[-1] == 10) and text.count(b"\t") == 2 * text.count(b"\n")
    )


def is_news(reply):
    """An answer to the first call or to one for news, as PROTOCOL lists them."""
    if reply.status == 200:
        return (
            reply.whole("x-parts", 1)
            and "x-part-no" not in reply.headers
            and rows(reply.body)
            and (reply.body or not reply.more)
        )
    return reply.status in (202, 500) or is_full(reply)


def is_page(n):
    return lambda reply: (
        reply.status == 500
        or (reply.status == 200 and reply.whole("x-part-no") == n and len(reply.body) and rows(reply.body))
    )


def is_done(reply):
    """An answer to a call that brings nothing; 500: the engine knows the query no longer."""
    return reply.status in (204, 500)


def is_full(reply):
    return reply.status in (503, 504) and reply.headers.get("x-no-effect") == "1"


def note_of(reply):
    """(what, amount) of a note; None where there is none. Risk: an engine that stands still goes on answering 202."""
    what, amount = NOTES.get(reply.headers.get("x-tell")), number(reply, "x-amount")
    return None if what is None or amount is None else (what, amount)


def number(reply, name):
    try:
        value = float(reply.headers[name])
    except (KeyError, ValueError):
        return None
    return value if 0 <= value < 1e12 else None


def report_of(reply):
    """A load report: name:value pairs; None where there is none or it cannot be read."""
    report = {}
    for part in reply.headers.get("x-report", "").split(";"):
        name, _, value = part.strip().partition(":")
        try:
            value = float(value)
        except ValueError:
            continue
        if 0 <= value < 1e12:
            report[COLUMNS.get(name, name)] = value
    return report or None


def cost_of(reply):
    """(work in ms, memory in MB) of a good end; None where it is not told."""
    work, memory = number(reply, "x-cpu-ms"), number(reply, "x-mem-used")
    return None if work is None or memory is None else (work, memory)
