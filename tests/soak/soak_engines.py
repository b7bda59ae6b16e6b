"""Emulated engines of a soak run: they drain, hang, vanish, crash, and answer late, twice or cut off."""

import time
from dataclasses import dataclass

from loopback import StandIn, endpoint_row
from soak_history import Attempt
from twisted.internet import reactor

FORGETS_AFTER_S = 2.0  # PROTOCOL
POLL_S = 0.25  # PROTOCOL: a poll is answered after this time
DUPLICATE_AFTER_S = 0.065
# Behaviours of an attempt, with weights.
BEHAVIOURS = {
    "run": 66,
    "run long": 12,
    "shed": 5,
    "fail": 3,
    "close and run on": 6,
    "close and end": 3,
    "cut the answer off": 3,
    "answer twice": 2,
}


@dataclass(eq=False)
class Task:
    """An attempt that the engine knows. is_complete: its result is there."""

    attempt: Attempt
    pages: list[bytes]
    behaviour: str
    polled_s: float
    is_complete: bool = False
    has_misbehaved: bool = False


class SoakEngine(StandIn):
    """One engine. is_hanging: it reads nothing for now. is_gone: its machine has vanished."""

    def __init__(self, world, uid):
        """Starts to listen and to forget what is not polled."""
        super().__init__()
        self.world = world
        self.uid = uid
        self.rng = world.rng
        self.tasks: dict[str, Task] = {}
        self.is_hanging = False
        self.is_gone = False
        self.delayed_requests = []
        self.first_connections = {}  # of the running tasks' POSTs

    def on_request(self, connection, verb, path, headers, body):
        """Handles a complete request, or keeps it while the engine hangs."""
        if self.is_gone:
            return
        if verb == "POST":
            budget_ms = float(headers["X-Budget"])
            attempt = Attempt(
                headers["X-Hop-Id"],
                headers["X-Sort"],
                self.uid,
                time.monotonic(),
                connection.request_began_s,
                budget_ms,
            )
            self.world.history.attempts.append(attempt)
            self.world.history.note(f"{self.uid} POST {attempt.group} {attempt.ref}")
            call = (self._on_post, connection, attempt)
        else:
            ref, _, page = path[len("/o/") :].partition("/")
            call = (self._on_call, connection, verb, ref, page)
        if self.is_hanging:
            self.delayed_requests.append(call)
        else:
            call[0](*call[1:])

    def _on_post(self, connection, attempt):
        behaviour = self.rng.choices(list(BEHAVIOURS), list(BEHAVIOURS.values()))[0]
        if behaviour == "shed":
            attempt.executed = False
            attempt.finish(behaviour)
            connection.answer(503, [("X-No-Effect", "1")])
            return
        page_count = self.rng.choice((1, 1, 2, 3))
        pages = [f"{attempt.ref}\t{self.uid}\t{n}\n".encode() for n in range(page_count)]
        self.world.history.results.setdefault(attempt.ref, set()).add(b"".join(pages))
        task = Task(attempt, pages, behaviour, time.monotonic())
        self.tasks[attempt.ref] = task
        self.first_connections[attempt.ref] = connection
        duration_s = self.rng.uniform(0.3, 1.0) if behaviour == "run long" else self.rng.uniform(0.002, 0.08)
        reactor.callLater(duration_s, self._complete, task)
        self._forget_later(task)
        if behaviour == "close and run on":
            connection.transport.abortConnection()
        elif behaviour == "close and end":
            self._drop(task, behaviour)
            connection.transport.abortConnection()
        else:
            self._answer_poll(connection, task, time.monotonic() + POLL_S)

    def _complete(self, task):
        task.is_complete = True

    def _forget_later(self, task):
        left_s = task.polled_s + FORGETS_AFTER_S - time.monotonic()
        if self.tasks.get(task.attempt.ref) is not task:
            return
        if left_s <= 0:
            self._drop(task, "forgotten")
        else:
            reactor.callLater(left_s, self._forget_later, task)

    def _drop(self, task, end):
        self.tasks.pop(task.attempt.ref, None)
        self.world.history.note(f"{self.uid} {end} {task.attempt.ref} ({task.behaviour})")
        task.attempt.finish(end)

    def _on_call(self, connection, verb, ref, page):
        task = self.tasks.get(ref)
        if verb == "DELETE":
            if task is not None:
                self._drop(task, "cancelled")
            connection.answer(204)
        elif verb == "PUT":
            connection.answer(204)
        elif task is None:
            connection.answer(500)
        else:
            task.polled_s = time.monotonic()
            if page == "0":
                self._answer_poll(connection, task, task.polled_s + POLL_S)
            elif int(page) >= len(task.pages):
                connection.answer(500)
            else:
                connection.answer(200, [("X-Part-No", page)], task.pages[int(page)])

    def _answer_poll(self, connection, task, due_s):
        """Answers once the task is complete, or at `due_s` that it is not."""
        if not connection.transport.connected or self.is_gone:
            return
        if self.is_hanging:
            self.delayed_requests.append((self._answer_poll, connection, task, due_s))
        elif task.is_complete:
            self._answer_result(connection, task)
        elif time.monotonic() >= due_s:
            connection.answer(202, [("X-Tell", "share"), ("X-Amount", "0.5")])
        else:
            reactor.callLater(0.005, self._answer_poll, connection, task, due_s)

    def _answer_result(self, connection, task):
        headers = [("X-Parts", len(task.pages)), ("X-Cpu-Ms", "5.0"), ("X-Mem-Used", "8")]
        if task.behaviour == "fail":
            self._drop(task, "failed")
            connection.answer(500)
            return
        if task.behaviour == "cut the answer off" and not task.has_misbehaved:
            task.has_misbehaved = True
            connection.transport.write(b"HTTP/1.1 200 X\r\nX-Parts: 1\r\nContent-Length: 90\r\n\r\n1\ta")
            reactor.callLater(0.01, connection.transport.abortConnection)
            return
        task.attempt.finish("completed")
        self.world.history.note(f"{self.uid} completes {task.attempt.ref} ({task.behaviour})")
        connection.answer(200, headers, task.pages[0])
        if task.behaviour == "answer twice":
            reactor.callLater(DUPLICATE_AFTER_S, self._answer_again, connection, headers, task.pages[0])

    def _answer_again(self, connection, headers, body):
        if connection.transport.connected:
            connection.answer(200, headers, body)

    # Faults

    def hang(self, seconds):
        """Reads and answers nothing for this long, then the newest first."""
        self.is_hanging = True
        reactor.callLater(seconds, self._resume)

    def _resume(self):
        self.is_hanging = False
        delayed = self.delayed_requests[::-1]
        self.delayed_requests = []
        for call, *arguments in delayed:
            if not self.is_gone:
                call(*arguments)

    def close_first_connections(self):
        """Closes the connections of the POSTs that run; the queries run on."""
        for ref, connection in self.first_connections.items():
            if ref in self.tasks:
                connection.transport.abortConnection()

    def crash(self):
        """Ends the process: resets its connections and refuses new ones."""
        self._lose_all("crashed")
        for connection in list(self.connections):
            connection.transport.abortConnection()
        self.port.stopListening()

    def vanish(self):
        """Ends the machine: nothing is answered or closed any more."""
        self._lose_all("vanished")

    def _lose_all(self, end):
        self.is_gone = True
        for task in list(self.tasks.values()):
            self._drop(task, end)
        for _, *arguments in self.delayed_requests:  # not read before the end, so they never ran
            for argument in arguments:
                if isinstance(argument, Attempt):
                    argument.executed = False
                    argument.finish(end)

    def row(self, state="SERVING"):
        """Returns the engine's record in the endpoint list."""
        return endpoint_row(self, state)
