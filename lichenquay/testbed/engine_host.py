"""An emulated engine on a socket: the model, the calls that wait for its news, and its faults."""

import time

from twisted.internet import reactor

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.load.task import RUNNING, decode_statement
from lichenquay.testbed import engine as model
from lichenquay.testbed.http_server import Host, now_ms

# PROTOCOL: wait for news; a query that is not asked for; bytes of a page
NEWS_MS, KEPT_MS, PAGE = 250.0, 2000.0, 6000
SPOILT = (
    b"no answer at all\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: 9\r\n\r\n1\ta",
    b"HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: 3000000000\r\n\r\nxxxx",
)


class EngineHost(Host):
    """An engine's process: the emulated engine, the calls that wait for its news, and its faults."""

    def __init__(self, lab, uid, zone, figures, chance, port=0, cold=False):
        super().__init__(port)
        self.lab, self.uid, self.zone, self.chance = lab, uid, zone, chance
        self.boot_ms = time.time() * 1000 if cold else 0
        self.engine = model.Engine(uid, figures, now_ms() if cold else None, self.tell)
        self.waiting, self.timer, self.dead, self.still, self.held = {}, None, False, 0, []
        self.shares = {}  # of answers that are reset, spoilt or lost
        self.engine.advance(now_ms())

    def tell(self, kind, ref, **facts):
        self.lab.write(kind, self.uid, ref, **facts)
        if kind == "fell":
            reactor.callLater(0, self.die)

    # calls

    def on_message(self, line, verb, path, headers, body):
        if verb == "POST":
            self.lab.write("post", self.uid, headers.get("x-hop-id", ""), group=headers.get("x-sort", ""))
        if self.still:
            return self.held.append((line, verb, path, headers, body))
        self.handle(line, verb, path, headers, body)

    def handle(self, line, verb, path, headers, body):
        if self.dead:
            return
        if self.strikes(pb.Fault.RESET):
            if self.chance.random() < 0.5:  # read all the same
                self.dispatch(None, verb, path, headers, body)
            elif verb == "POST":
                self.lab.write("unread", self.uid, headers.get("x-hop-id", ""))
            return line.transport.abortConnection()
        self.dispatch(line, verb, path, headers, body)

    def dispatch(self, line, verb, path, headers, body):
        now, e = now_ms(), self.engine
        self.ended(e.advance(now))
        try:
            if verb == "POST":
                ref = headers["x-hop-id"]
                task = decode_statement(
                    ref,
                    headers["x-sort"],
                    body,
                    float(headers.get("x-mem-limit", 0)),
                    int(headers.get("x-nice", 1)),
                )
                told = e.start(now, task)
                if told == model.FULL:
                    self.lab.write("full", self.uid, ref)
                    return self.send(line, 503, [("X-No-Effect", "1")])
                task = e.tasks[ref]
                return self.news(line, task, now)
            ref, _, page = path.removeprefix("/o/").partition("/")
            task, number = e.tasks.get(ref), int(page or 0)
        except (KeyError, ValueError):
            if verb == "POST":
                self.lab.write("unread", self.uid, headers.get("x-hop-id", ""))
            return self.send(line, 500)
        if task is None:
            return self.send(line, 204 if verb == "DELETE" else 500)
        if verb == "DELETE":
            self.lab.write("given up", self.uid, ref)
            e.forget(task)
            self.wake(task)
            self.send(line, 204)
        elif verb == "PUT":
            e.rank(now, ref, int(body or b"1"))
            self.send(line, 204)
        elif number:
            self.page(line, task, number, now)
        else:
            self.news(line, task, now)
        self.plan()

    def news(self, line, task, now):
        task.retained_until_ms = now + KEPT_MS
        if task.outcome == RUNNING and line is not None:
            note = self.engine.note_of(now, task)
            if note:
                self.tell_note(line, note)
            else:
                late = reactor.callLater(NEWS_MS / 1000 - 0.005, self.no_news, task, line)
                self.waiting.setdefault(task, []).append((line, late))
        elif task.outcome != RUNNING:
            self.end(line, task)
        self.plan()

    def no_news(self, task, line):
        self.waiting[task] = [x for x in self.waiting.get(task, []) if x[0] is not line]
        self.engine.advance(now_ms())
        note = self.engine.note_of(now_ms(), task)
        self.tell_note(line, note)

    def tell_note(self, line, note):
        self.send(line, 202, [("X-Tell", note[0]), ("X-Amount", str(note[1]))] if note else [])

    def pages(self, task):
        pages, size = [b""], 0
        for row in model.rows_of(task, self.uid):
            if len(pages[-1]) + len(row) > PAGE:
                pages.append(b"")
            pages[-1] += row
        return pages

    def end(self, line, task):
        if task.outcome != model.FINISHED:
            return self.send(line, 500)
        pages = self.pages(task)
        report = ";".join(f"{n}:{v}" for n, v in self.engine.report().items())
        self.send(
            line,
            200,
            [
                ("X-Parts", str(len(pages))),
                ("X-Cpu-Ms", f"{task.total_ms:.2f}"),
                ("X-Mem-Used", f"{task.memory_mb:.1f}"),
                ("X-Report", report),
            ],
            pages[0],
        )

    def page(self, line, task, number, now):
        task.retained_until_ms = now + KEPT_MS
        pages = self.pages(task) if task.outcome == model.FINISHED else []
        if number >= len(pages):
            return self.send(line, 500)
        self.send(line, 200, [("X-Part-No", str(number))], pages[number])

    def send(self, line, status, headers=(), body=b""):
        if line is None:
            return
        if status == 200 and self.strikes(pb.Fault.SPOIL):
            line.transport.write(SPOILT[self.chance.integers(len(SPOILT))])
        elif not self.strikes(pb.Fault.LOSE):
            line.answer(status, headers, body)

    def strikes(self, kind):
        share = self.shares.get(kind, 0.0)
        return share > 0 and self.chance.random() < share

    # time

    def plan(self):
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        ahead = self.engine.next_ms() - now_ms()
        self.timer = (
            reactor.callLater(max(0.0, min(ahead, 1000.0)) / 1000, self.tick) if not self.dead else None
        )

    def tick(self):
        if self.still or self.dead:
            return
        self.ended(self.engine.advance(now_ms()))
        self.plan()

    def ended(self, tasks):
        for task in tasks:
            self.wake(task)

    def wake(self, task):
        for line, late in self.waiting.pop(task, []):
            if late.active():
                late.cancel()
            self.end(line, task)

    # faults

    def stop(self):
        """It stands still: its work too."""
        self.still += 1
        self.engine.advance(now_ms())

    def go_on(self, newest_first=True):
        self.still -= 1
        if not self.still:
            self.engine.now = now_ms()  # nothing was worked on meanwhile
            held, self.held = self.held, []
            for call in held[::-1] if newest_first else held:
                self.handle(*call)
            self.plan()

    def die(self):
        if not self.dead:
            self.dead = True
            self.lab.write("died", self.uid, "")
            self.close()
