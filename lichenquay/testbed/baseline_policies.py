"""Two other ways to tell who is there, small but honest, to weigh against `members` in the same network
(docs/design/membership.md).

`Phi`: heartbeats to `watchers` members next in the ring (all of them in a small fleet), judged by phi-accrual
(Hayashibara et al. 2004): a normal distribution of the last 200 gaps, its deviation 100 ms at least, `pause_ms`
added to the mean. Each watcher judges for itself.

`Rapid`: after Suresh et al. 2018. Each member has K observers (rings by hash); an observer alerts all while `fails` of
its last `window` probes failed (a probe is up to three pings in a period); a set of members is proposed when each has
alerts in H rings and none in L to H; three quarters of equal votes make the next view. Departures: alerts and votes go
to all by datagrams, repeated each period (the paper has reliable gossip); an alert not repeated for five periods is
forgotten (the paper's are for good: under loss they pile up until nothing can be proposed); instead of its Paxos
fallback, a vote that stands still for 2 s is taken again over what is known by then; one that was removed and runs
asks to join each second, and its observers alert for it in the same way.
"""

from collections import deque
from hashlib import blake2b
from math import ceil, erfc, log10, sqrt

from lichenquay.membership import members_pb2 as pb

ALIVE, CUT = "alive", "faulty"
ORDERS = {}  # The rings of the names last asked for: the same at all members.


class Phi:
    def __init__(
        self, name, incarnation, names, rng, now_ms, period_ms=200.0, watchers=10, threshold=8.0, pause_ms=0.0
    ):
        self.name, self.incarnation, self.rng = name, incarnation, rng
        self.period_ms, self.threshold, self.pause_ms = period_ms, threshold, pause_ms
        order = sorted(names)
        at, k = order.index(name), min(watchers, len(order) - 1)
        self.to = [order[(at + i) % len(order)] for i in range(1, k + 1)]
        self.watched = {
            order[(at - i) % len(order)]: [now_ms, deque([period_ms], 200)] for i in range(1, k + 1)
        }
        self.state = {n: ALIVE for n in self.watched}
        self.word, self.outbox, self.changes = 0, [], []
        self.beat_ms = now_ms + rng.uniform(0, period_ms)
        self.due_ms = self.beat_ms

    def on_message(self, now_ms, sender, message):
        seen = self.watched.get(sender[0])
        if seen:
            seen[1].append(now_ms - seen[0])
            seen[0] = now_ms
            self._judge(now_ms, sender[0])

    def tick(self, now_ms):
        self.word += 1
        self.outbox.extend((n, pb.Message(word=self.word, gossip=pb.Gossip())) for n in self.to)
        for name in self.watched:
            self._judge(now_ms, name)
        self.due_ms = now_ms + self.period_ms * self.rng.uniform(0.9, 1.1)

    def _judge(self, now_ms, name):
        last, gaps = self.watched[name]
        mean = sum(gaps) / len(gaps)
        deviation = max(100.0, sqrt(sum((g - mean) ** 2 for g in gaps) / len(gaps)))
        tail = erfc((now_ms - last - mean - self.pause_ms) / deviation / sqrt(2)) / 2
        state = CUT if tail <= 0 or -log10(tail) > self.threshold else ALIVE
        if state != self.state[name]:
            self.state[name] = state
            self.changes.append((name, state))


class Rapid:
    def __init__(self, name, incarnation, names, rng, now_ms, period_ms=200.0, k=10, window=10, fails=4):
        self.name, self.incarnation, self.rng, self.period_ms = name, incarnation, rng, period_ms
        self.window, self.fails, self.phase = window, fails, 0
        self.k, self.all = k, sorted(names)
        self.outbox, self.changes, self.no = [], [], 0
        self.state = {n: ALIVE for n in names if n != name}
        self.view, self.members = 0, set(names)
        self.joining_ms = 0.0
        self._new_view(now_ms)
        self.due_ms = now_ms + rng.uniform(0, period_ms)

    def _observers(self, name):
        """K members after `name`, each in a ring of its own order."""
        if name not in self._rings:
            rings = self._orders(self.members | {name})
            self._rings[name] = [order[(order.index(name) + 1) % len(order)] for order in rings]
        return self._rings[name]

    def _orders(self, names):
        key = tuple(sorted(names))
        if key not in ORDERS:
            ORDERS.clear()
            ORDERS[key] = [
                sorted(key, key=lambda n: blake2b(f"{ring}/{n}".encode(), digest_size=8).digest())
                for ring in range(min(self.k, len(key) - 1))
            ]
        return ORDERS[key]

    def _new_view(self, now_ms):
        self._rings, self.alerts, self.votes, self.round, self.voted = {}, {}, {}, 0, None
        self.voted_ms, self.mine = now_ms, {}
        subjects = set()
        if self.name in self.members:
            subjects = {order[order.index(self.name) - 1] for order in self._orders(self.members)}
        self.pings = {n: deque(maxlen=self.window) for n in sorted(subjects)}
        self.open = {}

    def _all(self, message):
        message.word = self.view
        for n in self.all:
            if n != self.name:
                self.outbox.append((n, message))

    def tick(self, now_ms):
        self.phase = (self.phase + 1) % 3
        self.due_ms = now_ms + self.period_ms / 3 * self.rng.uniform(0.9, 1.1)
        if self.phase:
            for name, no in self.open.items():
                if no is not None:
                    self.outbox.append((name, pb.Message(word=self.view, ping=pb.Ping(no=no, name=name))))
            return
        for name, no in self.open.items():
            self.pings[name].append(no is None)
            if self.pings[name].count(False) >= self.fails:
                self.mine[name] = pb.CUT
            else:
                self.mine.pop(name, None)
        self.open = {}
        for name in self.pings:
            self.no += 1
            self.open[name] = self.no
            self.outbox.append((name, pb.Message(word=self.view, ping=pb.Ping(no=self.no, name=name))))
        if self.name not in self.members and now_ms >= self.joining_ms:
            self.joining_ms = now_ms + 1_000
            self._all(pb.Message(join=pb.Join()))
        if self.mine:
            rows = [
                pb.Row(name=n, state=s, by=[self.name], word=self.view) for n, s in sorted(self.mine.items())
            ]
            self._alert(now_ms, rows)
            self._all(pb.Message(gossip=pb.Gossip(), rows=rows))
        self._propose(now_ms)
        if self.voted is not None:
            self._all(pb.Message(state=pb.GONE, ping_ask=pb.PingAsk(no=self.round, name=self.voted)))

    def on_message(self, now_ms, sender, message):
        name, kind = sender[0], message.WhichOneof("kind")
        if kind == "ping":
            self.outbox.append((name, pb.Message(word=self.view, ack=pb.Ack(no=message.ping.no, ok=True))))
        elif kind == "ack" and self.open.get(name) == message.ack.no:
            self.open[name] = None
        elif kind == "join" and self.name in self.members and name not in self.members:
            if self.name in self._observers(name):
                self.mine[name] = pb.ALIVE
        if message.word < self.view and kind != "piece":
            rows = [pb.Row(name=n) for n in sorted(self.members)]
            self.outbox.append((name, pb.Message(word=self.view, piece=pb.Piece(), rows=rows)))
        elif kind == "piece" and message.word > self.view:
            self._to(now_ms, message.word, {r.name for r in message.rows})
        elif message.word == self.view and kind == "gossip":
            self._alert(now_ms, message.rows)
            self._propose(now_ms)
        elif message.word == self.view and kind == "ping_ask" and name in self.members:
            self._vote(now_ms, name, message.ping_ask.name)

    def _alert(self, now_ms, rows):
        for r in rows:
            if (r.state == pb.CUT) == (r.name in self.members):
                self.alerts.setdefault(r.name, {}).update(dict.fromkeys(r.by, now_ms))

    def _propose(self, now_ms):
        if self.name not in self.members or not self.alerts:
            return
        k = min(self.k, len(self.members) - 1)
        high, low = ceil(0.8 * k), ceil(0.4 * k)
        since = now_ms - 5 * self.period_ms
        counts = {
            n: sum(by.get(o, since) > since for o in self._observers(n)) for n, by in self.alerts.items()
        }
        sure = sorted(n for n, c in counts.items() if c >= high)
        unsure = [n for n, c in counts.items() if low <= c < high]
        stuck = self.voted is not None and now_ms - self.voted_ms > 2_000
        if sure and (self.voted is None and not unsure or stuck):
            self.voted, self.voted_ms = " ".join(sure), now_ms
            self._vote(now_ms, self.name, self.voted)

    def _vote(self, now_ms, name, what):
        self.votes[name] = what
        if 4 * sum(v == what for v in self.votes.values()) >= 3 * len(self.members):
            self._to(now_ms, self.view + 1, self.members ^ set(what.split()))

    def _to(self, now_ms, view, members):
        for n in sorted(self.state):
            state = ALIVE if n in members else CUT
            if state != self.state[n]:
                self.state[n] = state
                self.changes.append((n, state))
        self.view, self.members = view, members
        self._new_view(now_ms)
