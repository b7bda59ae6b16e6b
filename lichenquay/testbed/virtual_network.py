"""A small network in virtual time for decision modules without I/O: `on_message`, `tick`, `due_ms`, `outbox`
(docs/design/fleet.md).

A host has one part for each layer (members, owner, ...); what a part puts into its outbox goes to the same layer of the
host it names, as a decoded copy (serialised and parsed). Links lose, delay, double and reorder, each direction by
itself; hosts pause, die and start again; their clocks run at rates of their own. One seed gives one run. Times: virtual
milliseconds.
"""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, replace
from itertools import count

INF = float("inf")
BUFFER = 1_000  # Datagrams that wait for a paused host, as in a socket's buffer; the rest is lost.


@dataclass(frozen=True)
class LinkConditions:
    """One direction of a link. Shares 0 to 1."""

    loss: float = 0.0
    delay_ms: tuple = (0.2, 1.0)
    doubled: float = 0.0
    late: float = 0.0  # Share that comes later than others by up to `late_ms`.
    late_ms: float = 500.0
    cut: bool = False


class VirtualHost:
    """A process: `make(host)` gives its parts {layer: part} at each start, with `incarnation`, `rng` and `now_ms()` of
    this host."""

    def __init__(self, net, name, make, rate, offset_ms):
        self.net, self.name, self.make, self.rate, self.offset_ms = net, name, make, rate, offset_ms
        self.incarnation, self.life, self.up, self.paused = 0, 0, False, False
        self.parts, self.waiting, self.wake_ms = {}, [], INF
        self.sent, self.sent_bytes, self.max_message_bytes = 0, 0, 0

    def now_ms(self):
        return self.offset_ms + self.rate * self.net.now_ms


class VirtualNetwork:
    def __init__(self, seed, weather=LinkConditions(), lag_ms=1.0):
        """`lag_ms`: a tick comes up to so much after it was due."""
        self.rng, self.seed, self.link_conditions, self.lag_ms = random.Random(seed), seed, weather, lag_ms
        self.hosts, self.links, self.now_ms = {}, {}, 0.0
        self.lost, self.messages = Counter(), 0
        self._heap, self._order = [], count()
        self.after = (
            None  # after(host, layer, part): called when a part was called, before its outbox goes out.
        )
        self.intercept = None  # intercept(no, source, target, layer, message): None, or [(target, delay_ms, message)], which
        # are delivered instead of what the weather would make of it.

    # --- hosts

    def host(self, name, make, rate=1.0, offset_ms=0.0, start=True, incarnation=0):
        h = self.hosts[name] = VirtualHost(self, name, make, rate, offset_ms)
        h.incarnation = incarnation
        if start:
            self.start(name)
        return h

    def start(self, name, above=0):
        """Starts, or starts again, with an incarnation over its last one and over `above`."""
        h = self.hosts[name]
        h.incarnation, h.life = max(h.incarnation, above) + 1, h.life + 1
        h.up, h.paused, h.waiting, h.wake_ms = True, False, [], INF
        h.rng = random.Random(f"{self.seed}/{name}/{h.life}")
        h.parts = h.make(h)
        for layer in h.parts:
            self._flush(h, layer)
        self._plan(h)

    def kill(self, name):
        h = self.hosts[name]
        h.up, h.waiting, h.life = False, [], h.life + 1

    def pause(self, name, ms):
        """SIGSTOP, and SIGCONT after `ms`: what comes meanwhile waits."""
        h = self.hosts[name]
        if h.up and not h.paused:
            h.paused = True
            self.at(self.now_ms + ms, self._resume, h, h.life)

    def _resume(self, h, life):
        if h.life != life or not h.up:
            return
        h.paused, waiting, h.waiting = False, h.waiting, []
        if self.rng.random() < 0.5:  # Either comes first in a reactor.
            self._tick(h, h.life)
        for layer, sender, message in waiting:
            self._hear(h, layer, sender, message)
        self._tick(h, h.life)

    def call(self, name, layer, what, *args):
        """Calls a method of a part as its host does: `what(now_ms, *args)`; then its outbox goes out."""
        h = self.hosts[name]
        if h.up:
            getattr(h.parts[layer], what)(h.now_ms(), *args)
            self._flush(h, layer)
            self._plan(h)

    # --- links

    def between(self, sources, targets, **weather):
        """Changes the weather from each source to each target (one direction)."""
        for a in sources:
            for b in targets:
                if a != b:
                    self.links[a, b] = replace(self.links.get((a, b), self.link_conditions), **weather)

    def split(self, *sides, cut=True):
        """Cuts (or mends) all links between the sides, both ways."""
        for i, a in enumerate(sides):
            for b in sides[i + 1 :]:
                self.between(a, b, cut=cut)
                self.between(b, a, cut=cut)

    def reset_links(self, weather=None):
        """Every link has the same weather again."""
        self.links.clear()
        self.link_conditions = weather or self.link_conditions

    # --- time

    def at(self, ms, act, *args):
        heapq.heappush(self._heap, (max(ms, self.now_ms), next(self._order), act, args))

    def run(self, until_ms, done=None):
        """Runs to `until_ms`, or until done() is true after an event; True if it was."""
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, act, args = heapq.heappop(self._heap)
            act(*args)
            if done is not None and done():
                return True
        self.now_ms = max(self.now_ms, until_ms)
        return False

    def _plan(self, h):
        due = min((p.due_ms for p in h.parts.values()), default=INF)
        at = (
            max(self.now_ms, (due - h.offset_ms) / h.rate) + self.rng.uniform(0.01, self.lag_ms)
            if due < INF
            else INF
        )
        if h.up and not h.paused and at < h.wake_ms - self.lag_ms:
            h.wake_ms = at
            self.at(at, self._tick, h, h.life, at)

    def _tick(self, h, life, at=None):
        if h.life != life or not h.up or h.paused or (at is not None and at != h.wake_ms):
            return
        h.wake_ms = INF
        for layer, part in h.parts.items():
            if part.due_ms <= h.now_ms():
                part.tick(h.now_ms())
                self._flush(h, layer)
                if h.life != life:
                    return
        self._plan(h)

    def _hear(self, h, layer, sender, message):
        if h.up and layer in h.parts:
            h.parts[layer].on_message(h.now_ms(), sender, message)
            self._flush(h, layer)
            self._plan(h)

    def _flush(self, h, layer):
        part, life = h.parts[layer], h.life
        if self.after is not None:
            self.after(h, layer, part)
        out, part.outbox[:] = list(part.outbox), []
        if h.life == life:  # Not ended, or started anew, by what looked on.
            for target, message in out:
                self._send(h, target, layer, message)

    # --- messages

    def _send(self, h, target, layer, message):
        self.messages += 1
        h.sent += 1
        data, form = message.SerializeToString(), type(message)
        h.sent_bytes += len(data)
        h.longest = max(h.longest, len(data))
        sender = (h.name, h.incarnation)
        if self.intercept is not None:
            instead = self.intercept(self.messages, h.name, target, layer, message)
            if instead is not None:
                for to, delay, other in instead:
                    self.at(
                        self.now_ms + delay, self._arrive, to, layer, sender, other.SerializeToString(), form
                    )
                return
        w = self.links.get((h.name, target), self.link_conditions)
        if w.cut or (w.loss and self.rng.random() < w.loss):
            self.lost["cut" if w.cut else "loss"] += 1
            return
        for _ in range(2 if w.doubled and self.rng.random() < w.doubled else 1):
            delay = self.rng.uniform(*w.delay_ms)
            if w.late and self.rng.random() < w.late:
                delay += self.rng.uniform(0, w.late_ms)
            self.at(self.now_ms + delay, self._arrive, target, layer, sender, data, form)

    def _arrive(self, target, layer, sender, data, form):
        h = self.hosts.get(target)
        if h is None or not h.up:
            self.lost["nowhere"] += 1
            return
        message = form.FromString(data)
        if h.paused:
            if len(h.waiting) < BUFFER:
                h.waiting.append((layer, sender, message))
            else:
                self.lost["buffer"] += 1
        else:
            self._hear(h, layer, sender, message)
