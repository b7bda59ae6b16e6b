"""Encodes requests and parses replies of the HTTP/1.1 that engines and the discovery service use.

Performs no I/O. The meaning of requests and replies is defined in `engine_protocol` and `endpoint_events`.
"""

import re
from enum import IntEnum
from typing import NamedTuple

from lichenquay.gateway.errors import GatewayError

MAX_HEAD_BYTES = 16_384  # of the reply with all interim replies before it
MAX_BODY_BYTES = 8 << 20  # an endpoint list of 48,000 engines; pages of results have a smaller limit
STATUS_LINE = re.compile(r"HTTP/1\.([01]) ([1-9]\d\d)(?: [^\x00-\x1f\x7f]*)?\Z")
HEADER = re.compile(r"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)\Z")
HEAD_START = b"HTTP/1."
HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"


class Status(IntEnum):
    """The status codes that the gateway distinguishes."""

    OK = 200
    ACCEPTED = 202
    NO_CONTENT = 204
    NOT_MODIFIED = 304
    SERVER_ERROR = 500
    SERVICE_UNAVAILABLE = 503
    GATEWAY_TIMEOUT = 504


class ReplyError(GatewayError, ValueError):
    """The input is not a valid reply; the text states the reason."""


class _Body(NamedTuple):
    content: bytes | memoryview
    end: int  # its position in the data


def encode_request(verb: str, path: str, host: str, headers=(), body: bytes = b"") -> bytes:
    """Encodes a request; `headers` are (name, value) pairs."""
    return encode_request_head(verb, path, host, headers, len(body)) + body


def encode_request_head(verb: str, path: str, host: str, headers, body_bytes: int) -> bytes:
    """Encodes the head of a request whose body is sent apart."""
    lines = [f"{verb} {path} HTTP/1.1\r\nHost: {host}\r\n"]
    lines += [f"{name}: {value}\r\n" for name, value in headers]
    if body_bytes or verb in ("POST", "PUT"):
        lines.append(f"Content-Length: {body_bytes}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1")


class Reply:
    """A reply. Headers are stored by lower-case name; the body is a slice of the data read.

    keep_alive: whether the connection may be used again.
    trailing: what was read after the end of the reply; its connection adds what comes before the next reply.
    connection: the connection that received the reply, which sets this attribute.
    """

    __slots__ = ("body", "connection", "headers", "keep_alive", "status", "trailing", "__weakref__")

    def __init__(self, status: int, headers: dict[str, str], keep_alive: bool):
        """Creates a reply whose body has not been read yet."""
        self.status = status
        self.headers = headers
        self.keep_alive = keep_alive
        self.body = b""
        self.connection = None
        self.trailing: bytes | memoryview = b""

    @property
    def has_trailing_bytes(self) -> bool:
        """Whether the data goes on after the end of the reply."""
        return len(self.trailing) > 0

    def header_as_int(self, name: str, minimum: int = 0) -> int | None:
        """Returns a header as an integer of at least `minimum`; None if it is missing or invalid."""
        value = self.headers.get(name, "")
        if value.isascii() and value.isdigit() and int(value) >= minimum:
            return int(value)
        return None


class ReplyReader:
    """Parses one reply at a time from the data of a connection, which may be split anywhere.

    Data after the end of a complete reply makes the connection unusable, but not the reply.
    """

    __slots__ = ("_body_length", "_buffer", "_is_chunked", "_max_body_bytes", "_position", "_reply")

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES):
        """Starts before a reply; a body of more than `max_body_bytes` is a ReplyError."""
        self._max_body_bytes = max_body_bytes
        self._begin()

    def _begin(self):
        self._buffer = None
        self._reply = None  # set once the head is parsed
        self._position = 0  # the end of the last head parsed
        self._body_length = None  # None: the body is chunked, or ends with the connection
        self._is_chunked = False

    def buffered_bytes(self) -> int:
        """Returns how many bytes of an incomplete reply are kept."""
        return len(self._buffer or b"")

    @property
    def is_empty(self) -> bool:
        """Whether nothing of the next reply has been read."""
        return self._reply is None and self._buffer is None

    def feed(self, data: bytes) -> Reply | None:
        """Returns the reply once it is complete, else None. Errors: ReplyError."""
        if self._buffer is not None:
            self._buffer += data
            data = self._buffer
            self._buffer = None
        while self._reply is None:
            start = bytes(data[self._position : self._position + len(HEAD_START)])
            if not HEAD_START.startswith(start):
                raise ReplyError(f"no status: {bytes(data[self._position : self._position + 60])!r}")
            head_end = data.find(HEAD_END, self._position)
            if head_end > MAX_HEAD_BYTES or (head_end < 0 and len(data) > MAX_HEAD_BYTES):
                raise ReplyError("a head that is too long")
            if head_end < 0:
                self._keep(data)
                return None
            self._read_head(str(data[self._position : head_end], "latin-1"))
            self._position = head_end + len(HEAD_END)
            if 100 <= self._reply.status < 200:  # an interim reply; the final one follows
                self._reply = None
        body = self._chunked_body(data) if self._is_chunked else self._plain_body(data)
        if body is None:
            self._keep(data)
            return None
        return self._finish(body.content, memoryview(data)[body.end :])

    def connection_closed(self) -> Reply | None:
        """Returns the reply if its body ends with the connection, else None."""
        if self._reply is None or self._is_chunked or self._body_length is not None:
            return None
        content = bytes(self._buffer[self._position :]) if self._buffer else b""
        return self._finish(content, b"")

    def _keep(self, data):
        self._buffer = data if isinstance(data, bytearray) else bytearray(data)

    def _finish(self, body, trailing):
        reply = self._reply
        reply.body = body
        reply.trailing = trailing
        reply.keep_alive = reply.keep_alive and not reply.has_trailing_bytes
        self._begin()
        return reply

    def _read_head(self, text):
        first_line, *lines = text.split("\r\n")
        status_line = STATUS_LINE.match(first_line)
        if not status_line:
            raise ReplyError(f"no status: {first_line[:60]!r}")
        headers = self._read_headers(lines)
        connection = headers.get("connection", "").lower()
        is_http_1_1 = status_line.group(1) == "1"
        keep_alive = connection != "close" and (is_http_1_1 or connection == "keep-alive")
        self._reply = Reply(int(status_line.group(2)), headers, keep_alive)
        self._read_framing(self._reply)

    def _read_headers(self, lines):
        headers = {}
        for line in lines:
            header = HEADER.match(line)
            if not header:
                raise ReplyError(f"no header: {line[:60]!r}")
            name = header.group(1).lower()
            value = header.group(2).rstrip()
            if headers.setdefault(name, value) != value:
                raise ReplyError(f"two values of one header: {line[:60]!r}")
        return headers

    def _read_framing(self, reply):
        """Determines how the body ends: by its length, by chunks, or with the connection."""
        self._is_chunked = False
        self._body_length = None
        if reply.status in (Status.NO_CONTENT, Status.NOT_MODIFIED) or reply.status < 200:
            self._body_length = 0
        elif "transfer-encoding" in reply.headers:
            if reply.headers["transfer-encoding"].lower() != "chunked":
                raise ReplyError("an encoding that is not known")
            self._is_chunked = True
        elif "content-length" in reply.headers:
            self._body_length = reply.header_as_int("content-length")
            if self._body_length is None or self._body_length > self._max_body_bytes:
                raise ReplyError("a length that cannot be")
        elif reply.keep_alive:
            # Otherwise a truncated reply would be taken for a complete one.
            raise ReplyError("a reply without a length")

    def _plain_body(self, data):
        available = len(data) - self._position
        if self._body_length is None and available > self._max_body_bytes:
            raise ReplyError("a body that is too long")
        if self._body_length is None or available < self._body_length:
            return None
        body_end = self._position + self._body_length
        return _Body(memoryview(data)[self._position : body_end], body_end)

    def _chunked_body(self, data):
        chunks = []
        position = self._position
        if len(data) - position > 2 * self._max_body_bytes + MAX_HEAD_BYTES:
            raise ReplyError("a body that is too long")
        while True:
            line_end = data.find(LINE_END, position)
            if line_end < 0:
                if len(data) - position > MAX_HEAD_BYTES:
                    raise ReplyError("a chunk without a size")
                return None
            size = self._chunk_size(data[position:line_end])
            position = line_end + len(LINE_END)
            if size == 0:
                break
            if not 0 < size <= self._max_body_bytes:
                raise ReplyError("a body that is too long")
            chunk_end = position + size
            if len(data) < chunk_end + len(LINE_END):
                return None
            if data[chunk_end : chunk_end + len(LINE_END)] != LINE_END:
                raise ReplyError("a chunk of another size")
            chunks.append(bytes(data[position:chunk_end]))
            position = chunk_end + len(LINE_END)
        trailers_end = self._skip_trailers(data, position)
        if trailers_end is None:
            return None
        return _Body(b"".join(chunks), trailers_end)

    def _chunk_size(self, line):
        try:
            return int(bytes(line).split(b";")[0], 16)
        except ValueError:
            raise ReplyError("a chunk without a size") from None

    def _skip_trailers(self, data, position):
        """Returns the end of the trailers; None if it has not been read. Errors: ReplyError."""
        while (line_end := data.find(LINE_END, position)) != position:
            if line_end < 0:
                if len(data) - position > MAX_HEAD_BYTES:
                    raise ReplyError("trailers that are too long")
                return None
            # After the size of a chunk was lost, its content would pass for trailers.
            if not HEADER.match(str(data[position:line_end], "latin-1")):
                raise ReplyError("a trailer that is no header")
            position = line_end + len(LINE_END)
        return position + len(LINE_END)
