"""Stand-ins for clients, as PROTOCOL describes them; standard library alone."""

import asyncio
import random
import socket
import struct
import time
from dataclasses import dataclass

from record import HOST, Record

CROSSING_S = 0.05  # PROTOCOL: a request that crosses a close within this time is sent again
MAX_LATE_S = 0.5  # FLEET: up to this long after its time, an answer only earns nothing
QUERY, ANSWER, CANCEL, READY, READY_ANSWER, GO_AWAY = 2, 4, 8, 16, 32, 64
SERVED, REFUSED, FAILED = 0, 14, 2
CODES = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}


@dataclass(eq=False)
class Request:
    """A request of a client, and what it got."""

    ref: str
    group: str
    allow_ms: float
    stream: int
    frame: bytes
    sent_s: float | None = None  # when its last byte was written
    answered_s: float | None = None
    code: int | None = None
    body: bytes = b""
    second_answers: int = 0
    closed_s: float | None = None  # when its connection ended without its answer
    cancelled_s: float | None = None

    def describe(self) -> str:
        """Returns the request in words."""
        return f"ref={self.ref} class={self.group} stream={self.stream} allow={self.allow_ms:.0f}"

    def find_loss(self, excused_s: float = 0.0) -> str | None:
        """Returns how the request was lost, by FLEET and PROTOCOL; None if it was not.

        It is lost if its connection ended without its answer, but for a close that it crossed within 50 ms,
        or if its answer came more than half a second after its time. excused_s: time that doesn't count.
        """
        if self.sent_s is None or self.cancelled_s is not None:
            return None
        if self.code is None and self.closed_s is not None:
            if self.closed_s - self.sent_s <= CROSSING_S:
                return None
            return f"its connection ended {self.closed_s - self.sent_s:.2f} s after its last byte"
        if self.code is None:
            return "no answer, and the connection is open"
        late_s = self.answered_s - self.sent_s - self.allow_ms / 1000 - excused_s
        return f"answered {late_s:.2f} s after its time" if late_s > MAX_LATE_S else None


def encode_request(stream: int, fields: dict[str, str], statement: bytes) -> bytes:
    """Encodes the frame of a request."""
    parts = [bytes([len(fields)])]
    for name, value in fields.items():
        parts += [bytes([len(name)]), name.encode(), struct.pack("<H", len(value)), value.encode()]
    payload = b"".join(parts) + statement
    return struct.pack("<IBI", 5 + len(payload), QUERY, stream) + payload


class Client:
    """One connection of a client."""

    def __init__(self, record: Record, name: str, rng: random.Random):
        """Creates a client that is not connected yet."""
        self.record = record
        self.name = name
        self.rng = rng
        self.requests: dict[int, Request] = {}
        self.is_going_away = False
        self.is_closed = False
        self.ready_codes: list[int] = []
        self.reader = None
        self.writer = None
        self.reading = None
        self.changed = asyncio.Event()

    async def connect(self, port: int) -> None:
        """Connects to a gateway."""
        self.reader, self.writer = await asyncio.open_connection(HOST, port, limit=1 << 20)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reading = asyncio.ensure_future(self._read())

    def make(self, group: str, allow_ms: float, statement: bytes = b"select 1", **fields: str) -> Request:
        """Returns a new request on the next stream; it is not sent yet."""
        stream = len(self.requests) + 1
        ref = f"{self.rng.getrandbits(64):016x}"
        values = {
            "service": group,
            "ref": ref,
            "allow": f"{allow_ms:.0f}",
            "project": "acme",
            "effort": "50.0",
            "memory": "8",
            **fields,
        }
        request = Request(ref, group, allow_ms, stream, encode_request(stream, values, statement))
        self.requests[stream] = request
        return request

    def write(self, data: bytes) -> None:
        """Writes bytes to the connection."""
        self.writer.write(data)

    def send(self, request: Request) -> Request:
        """Sends a request in one piece."""
        self.write(request.frame)
        self.note_sent(request)
        return request

    def note_sent(self, request: Request) -> None:
        """Records that the last byte of a request was written."""
        request.sent_s = time.monotonic()
        self.record(f"client {self.name}: sent {request.describe()}")

    def ask_ready(self) -> None:
        """Asks whether the gateway is ready."""
        self.write(struct.pack("<IBIB", 6, READY, 0xFFFF, 0))

    async def _read(self):
        try:
            while True:
                (length,) = struct.unpack("<I", await self.reader.readexactly(4))
                data = await self.reader.readexactly(length)
                self._on_frame(data[0], struct.unpack_from("<I", data, 1)[0], data[5:])
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.is_closed = True
            self.record(f"client {self.name}: connection ended ({type(error).__name__})")
            for request in self.requests.values():
                if request.sent_s is not None and request.code is None:
                    request.closed_s = time.monotonic()
            self.changed.set()
            self.writer.close()

    def _on_frame(self, kind, stream, payload):
        if kind == GO_AWAY:
            self.is_going_away = True
            self.record(f"client {self.name}: told to send no more")
        elif kind == READY_ANSWER:
            self.ready_codes.append(payload[0])
        elif kind == ANSWER:
            code, body = payload[0], payload[2:]
            request = self.requests.get(stream)
            if request is None:
                self.record(f"client {self.name}: answer on stream {stream} code={code} {body[:80]!r}")
                return
            if request.code is not None:
                request.second_answers += 1
            request.code = code
            request.body = body
            request.answered_s = time.monotonic()
            took_ms = (request.answered_s - (request.sent_s or request.answered_s)) * 1000
            answer = CODES.get(code, code)
            self.record(
                f"client {self.name}: {answer} ref={request.ref} after_ms={took_ms:.0f} {body[:60]!r}"
            )
        self.changed.set()

    def close(self) -> None:
        """Closes the connection."""
        if self.reading is not None:
            self.reading.cancel()
        if self.writer is not None:
            self.writer.close()
