"""Stand-ins for engines and the discovery service on loopback, and functions to run the reactor in a test."""

import json
import time

from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol

# Replies that are invalid, truncated or answer another call, by the behaviour of the engine that sends them.
UNUSABLE_REPLIES = {
    "garbled": b"no answer at all\r\n\r\n",
    "short": b"HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: 7\r\n\r\n1\ta\tb\n2\tc",
    "endless head": b"HTTP/1.1 200 OK\r\n" + b"X-Odd: 1\r\n" * 3000,
    "no length": b"HTTP/1.1 200 OK\r\nX-Parts: 1\r\n\r\n1\ta\tb\n",
    "huge": b"HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 50_000,
    "another page": b"HTTP/1.1 200 OK\r\nX-Part-No: 1\r\nContent-Length: 6\r\n\r\n1\ta\tb\n",
    "another call": b"HTTP/1.1 204 X\r\n\r\n",
    "two lengths": b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nContent-Length: 1\r\n\r\n",
    "waits": b"HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: 7\r\n\r\n1\ta",
}
PAGES = [b"1\ta\tb\n2\tc\td\n", b"3\te\tf\n", b"4\t\xc3\xa9\t\n"]
MAX_TURN_S = 0.01  # of the reactor


def until(is_done, timeout_s=5.0):
    """Runs the reactor until `is_done` returns true; fails after `timeout_s`."""
    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    deadline_s = time.monotonic() + timeout_s
    while not is_done():
        assert time.monotonic() < deadline_s, f"the condition did not hold within {timeout_s} s"
        reactor.iterate(MAX_TURN_S)


def wait(seconds):
    """Runs the reactor for this long."""
    end_s = time.monotonic() + seconds
    until(lambda: time.monotonic() >= end_s, seconds + 1)


class HttpConnection(Protocol):
    """One connection to a stand-in; calls its owner's `on_request` with each complete request.

    request_began_s: when the first byte of the latest request was read, in monotonic seconds.
    """

    def __init__(self, owner):
        """Creates a connection to the stand-in `owner`."""
        self.owner = owner
        self.buffer = b""
        self.request_began_s = 0.0

    def connectionMade(self):
        """Registers the connection; aborts it if the owner closes connections at once."""
        self.owner.connections.add(self)
        self.owner.connection_count += 1
        if self.owner.closes_at_once:
            self.transport.abortConnection()

    def connectionLost(self, reason):
        """Removes the connection from its owner."""
        self.owner.connections.discard(self)

    def dataReceived(self, data):
        """Passes on the requests that the data completes."""
        if not self.buffer:
            self.request_began_s = time.monotonic()
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            first_line, *lines = head.decode().split("\r\n")
            headers = dict(line.split(": ", 1) for line in lines)
            size = int(headers.get("Content-Length", 0))
            if len(rest) < size:
                return
            self.buffer = rest[size:]
            verb, path, _ = first_line.split(" ")
            self.owner.on_request(self, verb, path, headers, rest[:size])

    def answer(self, status, headers=(), body=b""):
        """Writes a reply; a 204 has no Content-Length."""
        lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
        if status != 204:
            lines.append(f"Content-Length: {len(body)}")
        self.transport.write("\r\n".join([*lines, "", ""]).encode() + body)


class StandIn(Factory):
    """An HTTP server on loopback. closes_at_once: it aborts each connection once it is established."""

    noisy = False

    def __init__(self):
        """Listens on a free port."""
        self.connections = set()
        self.connection_count = 0
        self.closes_at_once = False
        self.is_silent = False
        self.port = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.address = f"127.0.0.1:{self.port.getHost().port}"

    def buildProtocol(self, address):
        """Returns the protocol of a new connection."""
        return HttpConnection(self)


def endpoint_row(engine, state):
    """Returns the record of an engine, with its `uid` and `address`, in the endpoint list."""
    return {
        "uid": engine.uid,
        "endpoint": engine.address,
        "az": "a",
        "model": "k",
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1,
        "boot_ms": 0,
    }


class StandInEngine(StandIn):
    """An engine.

    behaviours: what it does with the next attempts, in order; it answers all further ones completely.
    running: the current behaviour for each query that it knows, by request id.
    is_silent: it drops all requests.
    is_paused: it keeps all requests in `paused_requests`.
    """

    def __init__(self, world, uid):
        """Creates an engine with this uid, which reports each attempt to `world.on_attempt`."""
        super().__init__()
        self.world = world
        self.uid = uid
        self.behaviours = []
        self.running = {}
        self.posts = []  # (headers, body)
        self.cancelled = []  # request ids
        self.priorities = []  # (request id, body)
        self.polls = 0
        self.is_paused = False
        self.paused_requests = []

    def on_request(self, connection, verb, path, headers, body):
        """Handles a complete request."""
        if self.is_silent:
            return
        if self.is_paused:
            self.paused_requests.append((connection, verb, path, headers, body))
            return
        if verb == "POST":
            self._on_post(connection, headers, body)
            return
        request_id, _, page = path[len("/o/") :].partition("/")
        if verb == "DELETE":
            self.cancelled.append(request_id)
            if self.running.pop(request_id, None):  # an attempt that is not read yet cannot be cancelled
                self.world.in_flight.discard(request_id)
            connection.answer(204)
        elif verb == "PUT":
            self.priorities.append((request_id, body))
            connection.answer(204)
        else:
            self._on_poll(connection, request_id, int(page))

    def _on_post(self, connection, headers, body):
        request_id = headers["X-Hop-Id"]
        behaviour = self.behaviours.pop(0) if self.behaviours else "ok"
        self.posts.append((headers, body))
        self.world.on_attempt(self, headers, behaviour)
        if behaviour.startswith("unread"):
            self._leave_unread(connection, request_id, behaviour)
            return
        self.running[request_id] = behaviour
        if behaviour == "drop":
            connection.answer(202)
        else:
            self.start(connection, request_id, behaviour)

    def _leave_unread(self, connection, request_id, behaviour):
        """Leaves a POST that has arrived complete unread for a while."""
        read_after_s = 0.4
        if "cut" in behaviour:
            read_after_s = 0.02
        elif "copy" in behaviour:
            read_after_s = 0.25
        if "late" in behaviour:  # the connection comes up late
            read_after_s = 1.45
        elif "never" in behaviour:
            read_after_s = 60.0
        reactor.callLater(read_after_s, self._read, connection, request_id)
        if "cut" in behaviour:  # the connection is closed at once
            connection.transport.abortConnection()
        if "copy" in behaviour:  # a late duplicate of a reply to another call
            connection.answer(204)

    def _read(self, connection, request_id):
        self.running[request_id] = "slow"
        self.start(connection, request_id, "slow")

    def _on_poll(self, connection, request_id, page):
        self.polls += 1
        if request_id not in self.running:
            connection.answer(500)
        elif page:
            self.page(connection, request_id, page)
        else:
            self.start(connection, request_id, self.running[request_id])

    def pause(self, seconds):
        """Reads nothing for this long."""
        self.is_paused = True
        reactor.callLater(seconds, self.resume)

    def resume(self):
        """Reads the requests that have arrived during a pause, newest first."""
        self.is_paused = False
        paused_requests = self.paused_requests[::-1]
        self.paused_requests = []
        for request in paused_requests:
            self.on_request(*request)

    def start(self, connection, request_id, behaviour):
        """Answers the first call or a poll."""
        if behaviour == "slow":  # runs for 0.1 s
            self.running[request_id] = "slower"
            reactor.callLater(0.1, self._finish_slow, request_id)
        if behaviour in ("slow", "slower"):
            reactor.callLater(0.03, connection.answer, 202)
        elif behaviour == "later":  # the first call gets 202 after 0.05 s, the next poll the result
            self.running[request_id] = "ok"
            reactor.callLater(0.05, connection.answer, 202)
        elif behaviour == "copied late":
            self._answer_with_late_copy(connection, request_id)
        elif behaviour == "full":
            self.world.in_flight.discard(request_id)
            connection.answer(503, [("X-No-Effect", "1")])
        elif behaviour in ("error", "odd"):
            self.world.in_flight.discard(request_id)
            connection.answer(500 if behaviour == "error" else 418)
        elif behaviour == "reset":  # the engine does not know the query afterwards
            self.world.in_flight.discard(request_id)
            self.running.pop(request_id)
            connection.transport.abortConnection()
        elif behaviour in UNUSABLE_REPLIES:  # once; the repeated reply is valid
            self.running[request_id] = "ok"
            connection.transport.write(UNUSABLE_REPLIES[behaviour])
        elif behaviour == "noise":
            connection.transport.write(b"no answer at all\r\n\r\n")
        elif behaviour == "hold":
            progress = [("X-Tell", "share"), ("X-Amount", "0.5")]
            reactor.callLater(0.05, connection.answer, 202, progress)
        elif behaviour in ("drop", "drop post"):  # once: the connection is aborted before the reply
            self.running[request_id] = "ok"
            connection.transport.abortConnection()
        elif behaviour == "silent":  # once: there is no reply
            self.running[request_id] = "ok"
        else:
            self._answer_in_full(connection, request_id, behaviour)

    def _finish_slow(self, request_id):
        if self.running.get(request_id) == "slower":
            self.running[request_id] = "ok"

    def _answer_with_late_copy(self, connection, request_id):
        """Answers with its own rows, and again when the connection may be in use for another query."""
        self.world.in_flight.discard(request_id)
        self.running[request_id] = "ok"
        headers = [("X-Parts", 1), ("X-Cpu-Ms", "3.5"), ("X-Mem-Used", "8")]
        rows = request_id.encode() + b"\tx\ty\n"

        def repeat_answer():
            if connection.transport.connected:
                connection.answer(200, headers, rows)

        reactor.callLater(0.065, repeat_answer)
        connection.answer(200, headers, rows)

    def _answer_in_full(self, connection, request_id, behaviour):
        self.world.in_flight.discard(request_id)
        if behaviour == "more":  # a valid answer between an interim reply and trailing bytes
            connection.transport.write(b"HTTP/1.1 102 Processing\r\n\r\n")
        headers = [
            ("X-Parts", len(PAGES)),
            ("X-Cpu-Ms", "12.5"),
            ("X-Mem-Used", "64"),
            ("X-Report", "inflight:7;odd"),
        ]
        connection.answer(200, headers, PAGES[0])
        if behaviour == "more":
            connection.answer(200, [("X-Parts", 1)], b"9\tx\ty\n")

    def page(self, connection, request_id, number):
        """Answers a call for a page."""
        behaviour = self.running[request_id]
        if behaviour == "lost page":
            connection.answer(500)
            return
        if behaviour == "drop page":
            self.running[request_id] = "ok"
            connection.transport.abortConnection()
            return
        if behaviour == "copies" and connection.transport.connected:  # an unexpected reply follows
            reactor.callLater(0.005, connection.answer, 200, [("X-Parts", 1)], b"9\tx\ty\n")
        reported_number = number + 1 if behaviour == "wrong page" else number
        body = PAGES[number] * (9000 if behaviour == "long" else 1)
        connection.answer(200, [("X-Part-No", reported_number)], body)

    def row(self, state="SERVING"):
        """Returns the engine's record in the endpoint list."""
        return endpoint_row(self, state)

    def stop(self):
        """Ends the engine's process: resets its connections and refuses new ones."""
        for connection in list(self.connections):
            connection.transport.abortConnection()
        return self.port.stopListening()


class StandInDiscovery(StandIn):
    """A discovery service. raw_answer: the answer to each poll, sent at once, in place of its events."""

    def __init__(self):
        """Starts without events."""
        super().__init__()
        self.events = []
        self.waiting_polls = []  # (connection, after)
        self.raw_answer = None
        self.polls = 0

    def on_request(self, connection, verb, path, headers, body):
        """Answers a poll, at once if there are newer events, else when there is one or the wait is over."""
        self.polls += 1
        after, wait_ms = (int(field.partition("=")[2]) for field in path.partition("?")[2].split("&"))
        if self.is_silent:
            return
        if self.raw_answer:
            connection.answer(200, (), self.raw_answer)
        elif after < len(self.events):
            connection.answer(200, (), self.events_after(after))
        else:
            self.waiting_polls.append((connection, after))
            reactor.callLater(wait_ms / 1000, self._end_poll, connection, after)

    def _end_poll(self, connection, after):
        if (connection, after) in self.waiting_polls:
            self.waiting_polls.remove((connection, after))
            connection.answer(200, (), self.events_after(after))

    def events_after(self, after):
        """Returns the answer to a poll for the events after a number."""
        return json.dumps({"no": len(self.events), "items": self.events[after:]}).encode()

    def add_event(self, *rows, whole=False):
        """Adds an event with these records, or with the complete list (`whole`); answers waiting polls."""
        number = len(self.events) + 1
        self.events.append({"no": number, "roster": {"rev": number, "all": whole, "targets": list(rows)}})
        waiting_polls = self.waiting_polls
        self.waiting_polls = []
        for connection, after in waiting_polls:
            connection.answer(200, (), self.events_after(after))
