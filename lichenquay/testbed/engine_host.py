"""An emulated engine on a socket: the engine model, long polls for its events, and its faults."""

import time

from twisted.internet import reactor

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.load.task import RUNNING, decode_statement
from lichenquay.testbed import engine as model
from lichenquay.testbed.http_server import HttpServer, now_ms

POLL_MS = 250.0  # set by the platform's protocol: how long a poll waits for an event
RETENTION_MS = 2000.0  # set by the protocol: how long a query is kept after its last poll
PAGE_BYTES = 6000  # limit of a result page, unless a single row is longer
MALFORMED_REPLIES = (
    b"no answer at all\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: 9\r\n\r\n1\ta",
    b"HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: 3000000000\r\n\r\nxxxx",
)


class EngineHost(HttpServer):
    """An engine process: the model, its HTTP requests, the polls that wait for events, and its faults."""

    def __init__(self, emulator, uid, zone, settings, rng, port=0, cold=False):
        """Listens on `port`; starts cold or warm."""
        super().__init__(port)
        self.emulator, self.uid, self.zone, self.rng = emulator, uid, zone, rng
        self.boot_ms = time.time() * 1000 if cold else 0
        self.engine = model.Engine(uid, settings, now_ms() if cold else None, self.record)
        self.waiting_polls, self.timer, self.is_dead, self.pause_count, self.held_calls = (
            {},
            None,
            False,
            0,
            [],
        )
        self.fault_shares = {}  # {fault kind: share of replies that it affects}
        self.engine.advance(now_ms())

    def record(self, kind, ref, **facts):
        """Writes a ledger event; the process dies once it is overloaded while cold."""
        self.emulator.record(kind, self.uid, ref, **facts)
        if kind == "fell":
            reactor.callLater(0, self.die)

    # requests

    def on_message(self, connection, method, path, headers, body):
        """Handles a request, or holds it while the process is paused."""
        if method == "POST":
            self.emulator.record(
                "post", self.uid, headers.get("x-hop-id", ""), group=headers.get("x-sort", "")
            )
        if self.pause_count:
            return self.held_calls.append((connection, method, path, headers, body))
        self.handle_or_reset(connection, method, path, headers, body)

    def handle_or_reset(self, connection, method, path, headers, body):
        """Handles a request, or resets its connection if that fault is drawn."""
        if self.is_dead:
            return
        if self.draw_fault(pb.Fault.RESET):
            if self.rng.random() < 0.5:  # the request is executed although its connection is reset
                self.dispatch(None, method, path, headers, body)
            elif method == "POST":
                self.emulator.record("unread", self.uid, headers.get("x-hop-id", ""))
            return connection.transport.abortConnection()
        self.dispatch(connection, method, path, headers, body)

    def dispatch(self, connection, method, path, headers, body):
        """Executes a submission, poll, page request, priority change or cancellation; `connection` is None if
        no reply can be sent.
        """
        time_ms, engine = now_ms(), self.engine
        self.answer_completed(engine.advance(time_ms))
        try:
            if method == "POST":
                ref = headers["x-hop-id"]
                task = decode_statement(
                    ref,
                    headers["x-sort"],
                    body,
                    float(headers.get("x-mem-limit", 0)),
                    int(headers.get("x-nice", 1)),
                )
                outcome = engine.start(time_ms, task)
                if outcome == model.FULL:
                    self.emulator.record("full", self.uid, ref)
                    return self.reply(connection, 503, [("X-No-Effect", "1")])
                task = engine.tasks[ref]
                return self.answer_poll(connection, task, time_ms)
            ref, _, page = path.removeprefix("/o/").partition("/")
            task, number = engine.tasks.get(ref), int(page or 0)
        except (KeyError, ValueError):
            if method == "POST":
                self.emulator.record("unread", self.uid, headers.get("x-hop-id", ""))
            return self.reply(connection, 500)
        if task is None:
            return self.reply(connection, 204 if method == "DELETE" else 500)
        if method == "DELETE":
            self.emulator.record("given up", self.uid, ref)
            engine.forget(task)
            self.send_result_to_polls(task)
            self.reply(connection, 204)
        elif method == "PUT":
            engine.set_rank(time_ms, ref, int(body or b"1"))
            self.reply(connection, 204)
        elif number:
            self.send_page(connection, task, number, time_ms)
        else:
            self.answer_poll(connection, task, time_ms)
        self.schedule_tick()

    def answer_poll(self, connection, task, time_ms):
        """Replies with the result or an event; otherwise the poll waits for up to POLL_MS."""
        task.retained_until_ms = time_ms + RETENTION_MS
        if task.outcome == RUNNING and connection is not None:
            event = self.engine.take_progress_event(time_ms, task)
            if event:
                self.send_event(connection, event)
            else:
                timeout = reactor.callLater(POLL_MS / 1000 - 0.005, self.answer_empty_poll, task, connection)
                self.waiting_polls.setdefault(task, []).append((connection, timeout))
        elif task.outcome != RUNNING:
            self.send_result(connection, task)
        self.schedule_tick()

    def answer_empty_poll(self, task, connection):
        """Replies to a poll that timed out, with an event if one is due by now."""
        self.waiting_polls[task] = [x for x in self.waiting_polls.get(task, []) if x[0] is not connection]
        self.engine.advance(now_ms())
        event = self.engine.take_progress_event(now_ms(), task)
        self.send_event(connection, event)

    def send_event(self, connection, event):
        """Replies 202 with an event (name, amount) or without."""
        self.reply(connection, 202, [("X-Tell", event[0]), ("X-Amount", str(event[1]))] if event else [])

    def result_pages(self, task):
        """Returns the result as a list of pages."""
        pages = [b""]
        for row in model.result_rows(task, self.uid):
            if len(pages[-1]) + len(row) > PAGE_BYTES:
                pages.append(b"")
            pages[-1] += row
        return pages

    def send_result(self, connection, task):
        """Replies with the first page and the query's costs, or 500 if the query didn't finish."""
        if task.outcome != model.FINISHED:
            return self.reply(connection, 500)
        pages = self.result_pages(task)
        report = ";".join(f"{name}:{value}" for name, value in self.engine.load_report().items())
        self.reply(
            connection,
            200,
            [
                ("X-Parts", str(len(pages))),
                ("X-Cpu-Ms", f"{task.total_ms:.2f}"),
                ("X-Mem-Used", f"{task.memory_mb:.1f}"),
                ("X-Report", report),
            ],
            pages[0],
        )

    def send_page(self, connection, task, number, time_ms):
        """Replies with a further page, or 500 if there is none."""
        task.retained_until_ms = time_ms + RETENTION_MS
        pages = self.result_pages(task) if task.outcome == model.FINISHED else []
        if number >= len(pages):
            return self.reply(connection, 500)
        self.reply(connection, 200, [("X-Part-No", str(number))], pages[number])

    def reply(self, connection, status, headers=(), body=b""):
        """Writes a reply, unless a fault drops or corrupts it."""
        if connection is None:
            return
        if status == 200 and self.draw_fault(pb.Fault.SPOIL):
            connection.transport.write(MALFORMED_REPLIES[self.rng.integers(len(MALFORMED_REPLIES))])
        elif not self.draw_fault(pb.Fault.LOSE):
            connection.answer(status, headers, body)

    def draw_fault(self, kind):
        """Draws whether a fault of this kind affects the reply."""
        share = self.fault_shares.get(kind, 0.0)
        return share > 0 and self.rng.random() < share

    # time

    def schedule_tick(self):
        """Schedules the next tick for the next completion, at most 1 s ahead."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        delay_ms = self.engine.next_completion_ms() - now_ms()
        self.timer = (
            reactor.callLater(max(0.0, min(delay_ms, 1000.0)) / 1000, self.tick) if not self.is_dead else None
        )

    def tick(self):
        """Advances the model and replies to polls of queries that completed."""
        if self.pause_count or self.is_dead:
            return
        self.answer_completed(self.engine.advance(now_ms()))
        self.schedule_tick()

    def answer_completed(self, tasks):
        """Sends each query's result to its waiting polls."""
        for task in tasks:
            self.send_result_to_polls(task)

    def send_result_to_polls(self, task):
        """Sends a query's result to its waiting polls."""
        for connection, timeout in self.waiting_polls.pop(task, []):
            if timeout.active():
                timeout.cancel()
            self.send_result(connection, task)

    # faults

    def pause(self):
        """Pauses the process: requests are held and no work is done. Nests."""
        self.pause_count += 1
        self.engine.advance(now_ms())

    def resume(self, newest_first=True):
        """Ends one pause; after the last, handles the held requests, the newest first if asked."""
        self.pause_count -= 1
        if not self.pause_count:
            self.engine.now_ms = now_ms()  # no work is done while paused
            held, self.held_calls = self.held_calls, []
            for call in held[::-1] if newest_first else held:
                self.handle_or_reset(*call)
            self.schedule_tick()

    def die(self):
        """Records the death once and resets all connections."""
        if not self.is_dead:
            self.is_dead = True
            self.emulator.record("died", self.uid, "")
            self.close()
