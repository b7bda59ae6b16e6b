"""Turns the bench's lines into calls on the controller, and its answers into lines. No choice is made here."""

import math
import sys
import traceback

from lichenquay.admission import domain
from lichenquay.deployment_settings import DeploymentSettings
from lichenquay.simulator_adapter.codec import Fields, Malformed, plain, us

ENDINGS = {
    "S": domain.Outcome.COMPLETED,
    "E": domain.Outcome.FAILED,
    "F": domain.Outcome.OVERLOADED,
    "T": domain.Outcome.TIMED_OUT,
    "C": domain.Outcome.NOT_CONNECTED,
    "R": domain.Outcome.CONNECTION_RESET,
    "X": domain.Outcome.CANCELLED,
    "N": domain.Outcome.NEVER_SENT,
}
NOTES = {1: domain.ProgressKind.PROGRESS, 2: domain.ProgressKind.SPILLING, 3: domain.ProgressKind.WAITING}
STATES = {
    "IN": domain.EndpointState.SERVING,
    "LAME": domain.EndpointState.DRAINING,
    "OUT": domain.EndpointState.REMOVED,
}


class Instance:
    """One front: the door of one controller, and its ids."""

    def __init__(self, name, now_ms, sheets):
        self.name, self.now_ms, self.out, self.sheets = name, now_ms, [], sheets
        self.queries, self.engines, self.calls, self.cookies = {}, {}, {}, 0

    # the wire's events, as calls on the controller

    def on_hello(self, f):
        self.opening = DeploymentSettings(f, f.integer("seed"))
        self.groups, self.tenants = self.opening.groups, self.opening.tenants
        self.controller = self.opening.controller(self)

    def on_arrival(self, f):
        group = self.groups.get(f.text("lane"))
        if group is None:
            raise f.bad("lane", f"never given: {f.text('lane')!r}")
        project = f.text("project", "0")
        if project != "0" and project not in self.tenants:
            raise f.bad("project", f"never given: {project!r}")
        q = domain.Query(
            f.integer("req"),
            group,
            self.now_ms,
            self.now_ms + f.ms("ttl_us"),
            self.tenants.get(project),
            f.text("target", ""),
            f.ms("est_cost_us", 0),
            f.number("ram_mb", 0.0),
            f.text("tables", "") or None,
        )
        self.queries[q.id] = q
        self.controller.admit(q)

    def on_response(self, f):
        ending = f.text("ending")
        if ending not in ENDINGS:
            raise f.bad("ending", f"unknown: {ending!r}")
        attempt = self.attempt(f, wanted=True)
        took, note, report = f.ms("wait_time_us"), f.integer("note", 0), f.report("telemetry")
        if attempt is None or attempt.outcome is not None:
            return
        q = attempt.query
        attempt.outcome = ENDINGS[ending]
        q.is_done = q.is_done or f.flag("terminal", "0")
        cost = (float(note // 4096), (note % 4096) * 4.0) if note else None
        self.controller.on_attempt_ended(attempt, took, cost, report)
        self.forget(q)

    def on_change(self, f):
        sort, value = f.integer("sort"), f.number("value")
        attempt = self.attempt(f, wanted=False)
        if attempt is not None and attempt.outcome is None and sort in NOTES:
            self.controller.on_progress(attempt, NOTES[sort], value)

    def on_first(self, f):
        """A stream began: its answer is the client's now, and no deadline runs; only its outcome is to come."""
        attempt = self.attempt(f, wanted=True)
        if attempt is not None:
            attempt.query.is_done = True

    def on_abandoned(self, f):
        q = self.queries.get(f.integer("req"))
        if q is not None and not q.is_done:
            q.is_done = True
            self.controller.on_client_gone(q)
            self.forget(q)

    def on_probe_done(self, f):
        ending, took, report = f.text("ending"), f.ms("wait_time_us"), f.report("telemetry")
        self.controller.on_health_check(self.engine(f), ending == "S", took, report)

    def on_wakeup(self, f):
        call = self.calls.pop(f.text("cookie"), None)
        if call is not None:
            call()

    def on_targets(self, f):
        mode = f.text("mode")
        if mode == "unavailable":
            return self.controller.endpoints_unavailable()
        if mode not in ("update", "replace", "restored"):
            raise f.bad("mode", f"unknown: {mode!r}")
        rows = self.sheets.get(f.integer("table"))
        if rows is None:
            raise f.bad("table", f"never given: {f.text('table')!r}")
        named = []
        for row in rows:
            name = row.text("engine")
            e = self.engines.get(name)
            if e is None:
                e = self.engines[name] = domain.Engine(name)
            state = row.text("status")
            if state not in STATES:
                raise row.bad("status", f"unknown: {state!r}")
            self.opening.describe(
                e,
                row.text("zone", ""),
                row.text("class_of_host", ""),
                row.integer("pack", 0),
                STATES[state],
                row.number("units", 1.0),
                row.ms("ready_at_us", 0),
            )
            named.append(e)
        self.controller.endpoints_updated(named, mode != "update")

    def on_note_from(self, f):
        """Gateways share nothing with each other: a peer's message has no use."""

    def engine(self, f):
        e = self.engines.get(f.text("engine"))
        if e is None:
            raise f.bad("engine", f"never given: {f.text('engine')!r}")
        return e

    def attempt(self, f, wanted):
        """The attempt named; None where its query is over and was let go."""
        q, leg = self.queries.get(f.integer("req")), f.integer("leg")
        self.engine(f)
        if q is None:
            return None
        if not 0 <= leg < len(q.attempts):
            if wanted:
                raise f.bad("leg", f"never given: {leg}")
            return None
        return q.attempts[leg]

    def forget(self, q):
        if q.is_done and all(s.outcome is not None for s in q.attempts):
            self.queries.pop(q.id, None)

    # the door: the controller's answers, as lines

    def start_attempt(self, q, engine, patience_ms):
        attempt = domain.Attempt(q, len(q.attempts), engine, self.now_ms)
        q.attempts.append(attempt)
        self.out.append(f"send\treq={q.id}\tengine={engine.id}\tpatience_us={us(patience_ms)}")
        return attempt

    def set_grant(self, q, memory_mb, priority):
        self.out.append(f"allot\treq={q.id}\tgrant_mb={memory_mb:.1f}\tpriority={priority}")

    def cancel_attempt(self, attempt):
        self.out.append(f"abandon\treq={attempt.query.id}\tleg={attempt.number}")

    def reject(self, q, pause_ms):
        q.is_done = True
        self.out.append(f"reject\treq={q.id}\tpause_us={us(pause_ms)}")
        self.forget(q)

    def fail(self, q):
        q.is_done = True
        self.out.append(f"finish_error\treq={q.id}")
        self.forget(q)

    def call_at(self, at_ms, call):
        self.cookies += 1
        self.calls[str(self.cookies)] = call
        self.out.append(f"after\tcookie={self.cookies}\twhen_us={math.ceil(at_ms * 1000)}")

    def send_health_check(self, engine):
        self.out.append(f"touch\tengine={engine.id}")

    def watch_endpoints(self, on=True):
        self.out.append(f"observe\ton={int(on)}")

    def fetch_endpoints(self):
        self.out.append("pull")

    def close_idle(self, engine):
        self.out.append(f"let_go\tengine={engine.id}")

    def send_to_peer(self, whom, content):
        self.out.append(f"publish\twhom={whom}\tcontent={content.hex() or '-'}")

    def log(self, text):
        self.out.append(f"emit\twhat={plain(text)}")


class Adapter:
    """All instances of this process. Lists are the process's and are resolved in the order they come."""

    EVENTS = {
        name: getattr(Instance, "on_" + name)
        for name in (
            "arrival",
            "response",
            "change",
            "first",
            "abandoned",
            "probe_done",
            "wakeup",
            "note_from",
            "targets",
        )
    }

    def __init__(self, read, write):
        self.read, self.write = read, write
        self.instances, self.sheets, self.line = {}, {}, 0

    def next(self):
        text = self.read.readline()
        if not text:
            return None
        self.line += 1
        return Fields(self.line, text.rstrip("\r\n"))

    def run(self):
        while (f := self.next()) is not None:
            if f.tag != "clock":
                raise f.bad("clock", "missing at the start of a batch")
            reply = self.batch(f.integer("moment_us") / 1000)
            self.write.write(reply)
            self.write.flush()

    def batch(self, now_ms):
        name, instance, replies = None, None, []
        while True:
            f = self.next()
            if f is None:
                raise Malformed(f"line {self.line + 1}: go: missing, input ended inside a batch")
            event = self.EVENTS.get(f.tag)
            if event is not None and instance is not None:
                self.guarded(instance, replies, event, f)
            elif f.tag == "go":
                break
            elif f.tag == "about":
                name = f.text("who")
                instance = self.instances.get(name)
                if instance is not None:
                    instance.now_ms = now_ms
            elif f.tag == "sheet":
                self.sheets[f.integer("table")] = self.rows(f)
            elif name is None:
                raise f.bad("about", "no instance named")
            elif f.tag == "hello":
                self.instances.pop(name, None)
                instance = Instance(name, now_ms, self.sheets)
                if self.guarded(instance, replies, Instance.on_hello, f):
                    self.instances[name] = instance
            elif f.tag == "detach":
                self.instances.pop(name, None)
                instance = None
            elif event is not None:
                raise f.bad("who", f"no such instance now: {name!r}")
            else:
                raise f.bad(f.tag, "unknown message")
        return "".join(replies) + "ok\n"

    def rows(self, f):
        rows = []
        for _ in range(f.integer("rows_in")):
            row = self.next()
            if row is None:
                raise Malformed(f"line {self.line + 1}: engine: missing, input ended inside a batch")
            if row.tag != "engine":
                raise row.bad("engine", "expected a row of the list")
            rows.append(row)
        return rows

    def guarded(self, instance, replies, event, f):
        """One event; a fault of the controller is told for its instance, and its text goes to standard error."""
        fault = None
        try:
            event(instance, f)
        except Malformed:
            raise
        except Exception as caught:
            fault = caught
            traceback.print_exc(file=sys.stderr)
            instance.out.append(f"exception\twhat={plain(type(fault).__name__)}: {plain(fault)}")
        if instance.out:
            replies.append(f"on_behalf\twho={instance.name}\n" + "\n".join(instance.out) + "\n")
            instance.out.clear()
        return fault is None
