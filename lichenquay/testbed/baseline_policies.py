"""Two other failure detectors, to compare with the project's own in the same network
(docs/design/membership.md).

`PhiAccrual`: heartbeats to the `watchers` next members in the ring (all of them in a small fleet), judged
by phi-accrual (Hayashibara et al. 2004): a normal distribution of the last 200 gaps with a deviation of at
least 100 ms; `pause_ms` is added to the mean. Each watcher decides for itself.

`Rapid`: after Suresh et al. 2018. Each member has K observers (rings by hash). An observer sends alerts to
all while `min_failures` or more of its last `window` probes failed (a probe is up to three pings in a
period). A set of members is proposed once each has alerts in H rings and none has them in L to H; three
quarters of equal votes make the next view. It differs from the paper in these points. Alerts and votes are
datagrams to all, repeated each period, where the paper has reliable gossip. An alert that is not repeated
for five periods is forgotten, where the paper's are permanent: under loss they accumulate until nothing can
be proposed. In place of the paper's Paxos fallback, a vote that doesn't progress for 2 s is repeated over
what is known by then. A member that was removed but runs asks to join each second, and its observers send
alerts for it in the same way.
"""

from collections import deque
from hashlib import blake2b
from math import ceil, erfc, log10, sqrt

from lichenquay.membership import members_pb2 as pb

ALIVE, FAULTY = "alive", "faulty"
RING_ORDERS = {}  # The rings of the last set of names; a cache, as they are the same at all members.


class PhiAccrual:
    """One member's phi-accrual detector; `changes` collects (name, state)."""

    def __init__(
        self, name, incarnation, names, rng, now_ms, period_ms=200.0, watchers=10, threshold=8.0, pause_ms=0.0
    ):
        """Watches the members before it in the ring, and sends heartbeats to those after it."""
        self.name, self.incarnation, self.rng = name, incarnation, rng
        self.period_ms, self.threshold, self.pause_ms = period_ms, threshold, pause_ms
        order = sorted(names)
        position, k = order.index(name), min(watchers, len(order) - 1)
        self.watchers = [order[(position + i) % len(order)] for i in range(1, k + 1)]
        self.watched = {
            order[(position - i) % len(order)]: [now_ms, deque([period_ms], 200)] for i in range(1, k + 1)
        }
        self.state = {member: ALIVE for member in self.watched}
        self.sequence_number, self.outbox, self.changes = 0, [], []
        self.beat_ms = now_ms + rng.uniform(0, period_ms)
        self.due_ms = self.beat_ms

    def on_message(self, now_ms, sender, message):
        """Takes a heartbeat."""
        heard = self.watched.get(sender[0])
        if heard:
            heard[1].append(now_ms - heard[0])
            heard[0] = now_ms
            self._update_state(now_ms, sender[0])

    def tick(self, now_ms):
        """Sends heartbeats and updates all states."""
        self.sequence_number += 1
        self.outbox.extend(
            (member, pb.Message(word=self.sequence_number, gossip=pb.Gossip())) for member in self.watchers
        )
        for name in self.watched:
            self._update_state(now_ms, name)
        self.due_ms = now_ms + self.period_ms * self.rng.uniform(0.9, 1.1)

    def _update_state(self, now_ms, name):
        last, gaps = self.watched[name]
        mean = sum(gaps) / len(gaps)
        deviation = max(100.0, sqrt(sum((g - mean) ** 2 for g in gaps) / len(gaps)))
        tail_probability = erfc((now_ms - last - mean - self.pause_ms) / deviation / sqrt(2)) / 2
        state = FAULTY if tail_probability <= 0 or -log10(tail_probability) > self.threshold else ALIVE
        if state != self.state[name]:
            self.state[name] = state
            self.changes.append((name, state))


class Rapid:
    """One member of a small Rapid; `changes` collects (name, state)."""

    def __init__(
        self, name, incarnation, names, rng, now_ms, period_ms=200.0, k=10, window=10, min_failures=4
    ):
        """Starts in view 0, with all names as members; `k` observers watch each."""
        self.name, self.incarnation, self.rng, self.period_ms = name, incarnation, rng, period_ms
        self.window, self.min_failures, self.phase = window, min_failures, 0
        self.k, self.all_names = k, sorted(names)
        self.outbox, self.changes, self.ping_number = [], [], 0
        self.state = {member: ALIVE for member in names if member != name}
        self.view, self.members = 0, set(names)
        self.joining_ms = 0.0
        self._start_view(now_ms)
        self.due_ms = now_ms + rng.uniform(0, period_ms)

    def _observers(self, name):
        """Returns the member's K observers: the next one after it in each ring."""
        if name not in self._rings:
            rings = self._ring_orders(self.members | {name})
            self._rings[name] = [order[(order.index(name) + 1) % len(order)] for order in rings]
        return self._rings[name]

    def _ring_orders(self, names):
        key = tuple(sorted(names))
        if key not in RING_ORDERS:
            RING_ORDERS.clear()
            RING_ORDERS[key] = [
                sorted(key, key=lambda member: blake2b(f"{ring}/{member}".encode(), digest_size=8).digest())
                for ring in range(min(self.k, len(key) - 1))
            ]
        return RING_ORDERS[key]

    def _start_view(self, now_ms):
        self._rings, self.alerts, self.votes, self.round, self.own_vote = {}, {}, {}, 0, None
        self.voted_ms, self.own_alerts = now_ms, {}
        subjects = set()
        if self.name in self.members:
            subjects = {order[order.index(self.name) - 1] for order in self._ring_orders(self.members)}
        self.pings = {member: deque(maxlen=self.window) for member in sorted(subjects)}
        self.open_pings = {}

    def _broadcast(self, message):
        message.word = self.view
        for member in self.all_names:
            if member != self.name:
                self.outbox.append((member, message))

    def tick(self, now_ms):
        """Sends pings; every third tick evaluates the probes, sends alerts and the vote, and proposes."""
        self.phase = (self.phase + 1) % 3
        self.due_ms = now_ms + self.period_ms / 3 * self.rng.uniform(0.9, 1.1)
        if self.phase:
            for name, no in self.open_pings.items():
                if no is not None:
                    self.outbox.append((name, pb.Message(word=self.view, ping=pb.Ping(no=no, name=name))))
            return
        for name, no in self.open_pings.items():
            self.pings[name].append(no is None)
            if self.pings[name].count(False) >= self.min_failures:
                self.own_alerts[name] = pb.CUT
            else:
                self.own_alerts.pop(name, None)
        self.open_pings = {}
        for name in self.pings:
            self.ping_number += 1
            self.open_pings[name] = self.ping_number
            self.outbox.append(
                (name, pb.Message(word=self.view, ping=pb.Ping(no=self.ping_number, name=name)))
            )
        if self.name not in self.members and now_ms >= self.joining_ms:
            self.joining_ms = now_ms + 1_000
            self._broadcast(pb.Message(join=pb.Join()))
        if self.own_alerts:
            rows = [
                pb.Row(name=member, state=s, by=[self.name], word=self.view)
                for member, s in sorted(self.own_alerts.items())
            ]
            self._alert(now_ms, rows)
            self._broadcast(pb.Message(gossip=pb.Gossip(), rows=rows))
        self._propose(now_ms)
        if self.own_vote is not None:
            self._broadcast(pb.Message(state=pb.GONE, ping_ask=pb.PingAsk(no=self.round, name=self.own_vote)))

    def on_message(self, now_ms, sender, message):
        """Handles pings, replies, joins, alerts, votes and newer views."""
        name, kind = sender[0], message.WhichOneof("kind")
        if kind == "ping":
            self.outbox.append((name, pb.Message(word=self.view, ack=pb.Ack(no=message.ping.no, ok=True))))
        elif kind == "ack" and self.open_pings.get(name) == message.ack.no:
            self.open_pings[name] = None
        elif (
            kind == "join"
            and self.name in self.members
            and name not in self.members
            and self.name in self._observers(name)
        ):
            self.own_alerts[name] = pb.ALIVE
        if message.word < self.view and kind != "piece":
            rows = [pb.Row(name=member) for member in sorted(self.members)]
            self.outbox.append((name, pb.Message(word=self.view, piece=pb.Piece(), rows=rows)))
        elif kind == "piece" and message.word > self.view:
            self._install_view(now_ms, message.word, {row.name for row in message.rows})
        elif message.word == self.view and kind == "gossip":
            self._alert(now_ms, message.rows)
            self._propose(now_ms)
        elif message.word == self.view and kind == "ping_ask" and name in self.members:
            self._vote(now_ms, name, message.ping_ask.name)

    def _alert(self, now_ms, rows):
        for row in rows:
            if (row.state == pb.CUT) == (row.name in self.members):
                self.alerts.setdefault(row.name, {}).update(dict.fromkeys(row.by, now_ms))

    def _propose(self, now_ms):
        if self.name not in self.members or not self.alerts:
            return
        k = min(self.k, len(self.members) - 1)
        high, low = ceil(0.8 * k), ceil(0.4 * k)
        since = now_ms - 5 * self.period_ms
        counts = {
            member: sum(by.get(observer, since) > since for observer in self._observers(member))
            for member, by in self.alerts.items()
        }
        proposed = sorted(member for member, alert_count in counts.items() if alert_count >= high)
        disputed = [member for member, alert_count in counts.items() if low <= alert_count < high]
        is_stuck = self.own_vote is not None and now_ms - self.voted_ms > 2_000
        if proposed and (self.own_vote is None and not disputed or is_stuck):
            self.own_vote, self.voted_ms = " ".join(proposed), now_ms
            self._vote(now_ms, self.name, self.own_vote)

    def _vote(self, now_ms, name, changed_names):
        self.votes[name] = changed_names
        if 4 * sum(vote == changed_names for vote in self.votes.values()) >= 3 * len(self.members):
            self._install_view(now_ms, self.view + 1, self.members ^ set(changed_names.split()))

    def _install_view(self, now_ms, view, members):
        for member in sorted(self.state):
            state = ALIVE if member in members else FAULTY
            if state != self.state[member]:
                self.state[member] = state
                self.changes.append((member, state))
        self.view, self.members = view, members
        self._start_view(now_ms)
