"""HTTP/1.1 as engines and the bulletin speak it: requests written, answers read, free of I/O."""

MOST_HEAD = 16_384
MOST_BODY = 1 << 20             # of a whole list; pages are held to their own limit


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

    __slots__ = ("status", "headers", "body", "keep", "line")

    def __init__(self, status, headers, keep):
        self.status, self.headers, self.body, self.keep, self.line = status, headers, b"", keep, None

    def whole(self, name, least=0):
        """A header as a whole number from `least` up; None if it is missing or none."""
        value = self.headers.get(name, "")
        return int(value) if value.isascii() and value.isdigit() and int(value) >= least else None


class ReplyReader:
    """One answer at a time out of what a connection delivers, cut anywhere."""

    __slots__ = ("held", "reply", "at", "length")

    def __init__(self):
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
            if end - self.at > MOST_HEAD or end < 0 and len(data) - self.at > MOST_HEAD:
                raise BadReply("a head that is too long")
            if end < 0:
                return self.keep(data)
            self.head(str(data[self.at:end], "latin-1"))
            self.at = end + 4
            if 100 <= self.reply.status < 200:      # an interim answer: the real one follows
                self.reply = None
        body = self.chunks(data) if self.length == "chunked" else self.plain(data)
        if body is None:
            return self.keep(data)
        return self.done(body)

    def keep(self, data):
        self.held = data if isinstance(data, bytearray) else bytearray(data)

    def done(self, body):
        reply, reply.body = self.reply, body
        self.begin()
        return reply

    def head(self, text):
        first, *lines = text.split("\r\n")
        version, _, rest = first.partition(" ")
        code = rest[:3]
        if not version.startswith("HTTP/1.") or not (code.isascii() and code.isdigit()) or int(code) < 100:
            raise BadReply(f"no status: {first[:60]!r}")
        headers = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                raise BadReply(f"no header: {line[:60]!r}")
            headers[name.lower()] = value.strip()
        keep = headers.get("connection", "").lower()
        self.reply = Reply(int(code), headers, keep != "close" and (version == "HTTP/1.1" or keep == "keep-alive"))
        if self.reply.status in (204, 304) or self.reply.status < 200:
            self.length = 0
        elif "transfer-encoding" in headers:
            if headers["transfer-encoding"].lower() != "chunked":
                raise BadReply("an encoding that is not known")
            self.length = "chunked"
        elif "content-length" in headers:
            self.length = self.reply.whole("content-length")
            if self.length is None or self.length > MOST_BODY:
                raise BadReply("a length that cannot be")
        else:
            self.length, self.reply.keep = None, False     # until the connection closes

    def plain(self, data):
        have = len(data) - self.at
        if have > (MOST_BODY if self.length is None else self.length):
            raise BadReply("more bytes than belong to the answer")
        if self.length is None or have < self.length:
            return None
        return memoryview(data)[self.at:]

    def chunks(self, data):
        pieces, at = [], self.at
        if len(data) - at > 2 * MOST_BODY:
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
            if not 0 < size <= MOST_BODY:
                raise BadReply("a body that is too long")
            if len(data) < at + size + 2:
                return None
            if data[at + size:at + size + 2] != b"\r\n":
                raise BadReply("a chunk of another size")
            pieces.append(bytes(data[at:at + size]))
            at += size + 2
        while (end := data.find(b"\r\n", at)) != at:        # trailers
            if end < 0:
                if len(data) - at > MOST_HEAD:
                    raise BadReply("trailers that are too long")
                return None
            at = end + 2
        if len(data) > at + 2:
            raise BadReply("more bytes than belong to the answer")
        return b"".join(pieces)

    def closed(self):
        """The connection ended: the answer, if its body went on until then."""
        if self.reply is None or self.length is not None:
            return None
        return self.done(bytes(self.held[self.at:]) if self.held else b"")
