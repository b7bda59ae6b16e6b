"""A simulated network in virtual time for decision modules without I/O (docs/design/fleet.md).

Such a module has `on_message`, `tick`, `due_ms` and `outbox`. A host has one part for each layer (members,
owner, ...); what a part puts into its outbox goes to the same layer of the host that it names, as a decoded
copy (serialised and parsed). Links lose, delay, duplicate and reorder messages, each direction separately;
hosts pause, die and restart; each host's clock has a rate of its own. A run is determined by its seed. Times
are in virtual milliseconds.
"""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, replace
from itertools import count

INF = float("inf")
MAX_HELD_MESSAGES = 1_000  # Of a paused host, as in a socket's buffer; further messages are lost.


@dataclass(frozen=True)
class LinkConditions:
    """The impairments of one direction of a link. Shares are from 0 to 1."""

    loss: float = 0.0
    delay_ms: tuple = (0.2, 1.0)
    doubled: float = 0.0
    late: float = 0.0  # Share that is delayed by up to `late_ms` more.
    late_ms: float = 500.0
    cut: bool = False


class VirtualHost:
    """A simulated process. `make(host)` returns its parts {layer: part} at each start; they may use
    `incarnation`, `rng` and `now_ms()` of the host.
    """

    def __init__(self, net, name, make, rate, offset_ms):
        """Its clock runs at `rate`, ahead by `offset_ms`."""
        self.net, self.name, self.make, self.rate, self.offset_ms = net, name, make, rate, offset_ms
        self.incarnation, self.life, self.up, self.paused = 0, 0, False, False
        self.parts, self.held, self.wake_ms = {}, [], INF
        self.sent, self.sent_bytes, self.max_message_bytes = 0, 0, 0

    def now_ms(self):
        """Returns the time of the host's own clock."""
        return self.offset_ms + self.rate * self.net.now_ms


class VirtualNetwork:
    """The network, its hosts, and the queue of events in virtual time."""

    def __init__(self, seed, conditions=LinkConditions(), lag_ms=1.0):
        """A tick runs up to `lag_ms` after it is due."""
        self.rng, self.seed, self.link_conditions, self.lag_ms = random.Random(seed), seed, conditions, lag_ms
        self.hosts, self.links, self.now_ms = {}, {}, 0.0
        self.lost, self.messages = Counter(), 0
        self._heap, self._order = [], count()
        # after(host, layer, part), or None: called after each call of a part, before its outbox is sent.
        self.after = None
        # intercept(number, source, target, layer, message), or None: returns None, or a list of
        # (target, delay_ms, message) to deliver in place of the message, whatever the link's conditions.
        self.intercept = None

    # --- hosts

    def host(self, name, make, rate=1.0, offset_ms=0.0, start=True, incarnation=0):
        """Adds a host, started unless `start` is false, and returns it."""
        host = self.hosts[name] = VirtualHost(self, name, make, rate, offset_ms)
        host.incarnation = incarnation
        if start:
            self.start(name)
        return host

    def start(self, name, above=0):
        """Starts or restarts a host, with an incarnation above its last one and above `above`."""
        host = self.hosts[name]
        host.incarnation, host.life = max(host.incarnation, above) + 1, host.life + 1
        host.up, host.paused, host.held, host.wake_ms = True, False, [], INF
        host.rng = random.Random(f"{self.seed}/{name}/{host.life}")
        host.parts = host.make(host)
        for layer in host.parts:
            self._send_outbox(host, layer)
        self._schedule_tick(host)

    def kill(self, name):
        """Kills a host: its state and held messages are lost."""
        host = self.hosts[name]
        host.up, host.held, host.life = False, [], host.life + 1

    def pause(self, name, ms):
        """Pauses a host for `ms`, as SIGSTOP and SIGCONT do; messages are held meanwhile."""
        host = self.hosts[name]
        if host.up and not host.paused:
            host.paused = True
            self.at(self.now_ms + ms, self._resume, host, host.life)

    def _resume(self, host, life):
        if host.life != life or not host.up:
            return
        host.paused, held, host.held = False, host.held, []
        if self.rng.random() < 0.5:  # A reactor may run the timers or the socket's callbacks first.
            self._tick(host, host.life)
        for layer, sender, message in held:
            self._receive(host, layer, sender, message)
        self._tick(host, host.life)

    def call(self, name, layer, method, *args):
        """Calls a method of a part as its host would, `method(now_ms, *args)`, and sends its outbox."""
        host = self.hosts[name]
        if host.up:
            getattr(host.parts[layer], method)(host.now_ms(), *args)
            self._send_outbox(host, layer)
            self._schedule_tick(host)

    # --- links

    def between(self, sources, targets, **conditions):
        """Changes the conditions from each source to each target, in this direction only."""
        for a in sources:
            for b in targets:
                if a != b:
                    self.links[a, b] = replace(self.links.get((a, b), self.link_conditions), **conditions)

    def split(self, *sides, cut=True):
        """Partitions the network: cuts, or restores, all links between the sides, both ways."""
        for i, a in enumerate(sides):
            for b in sides[i + 1 :]:
                self.between(a, b, cut=cut)
                self.between(b, a, cut=cut)

    def reset_links(self, conditions=None):
        """Resets every link to the default conditions, or to those given."""
        self.links.clear()
        self.link_conditions = conditions or self.link_conditions

    # --- time

    def at(self, ms, action, *args):
        """Schedules a call at a time, now at the earliest."""
        heapq.heappush(self._heap, (max(ms, self.now_ms), next(self._order), action, args))

    def run(self, until_ms, done=None):
        """Runs to `until_ms`, or until `done()` holds after an event; returns whether it did."""
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, action, args = heapq.heappop(self._heap)
            action(*args)
            if done is not None and done():
                return True
        self.now_ms = max(self.now_ms, until_ms)
        return False

    def _schedule_tick(self, host):
        due_ms = min((part.due_ms for part in host.parts.values()), default=INF)
        at = (
            max(self.now_ms, (due_ms - host.offset_ms) / host.rate) + self.rng.uniform(0.01, self.lag_ms)
            if due_ms < INF
            else INF
        )
        if host.up and not host.paused and at < host.wake_ms - self.lag_ms:
            host.wake_ms = at
            self.at(at, self._tick, host, host.life, at)

    def _tick(self, host, life, at=None):
        if host.life != life or not host.up or host.paused or (at is not None and at != host.wake_ms):
            return
        host.wake_ms = INF
        for layer, part in host.parts.items():
            if part.due_ms <= host.now_ms():
                part.tick(host.now_ms())
                self._send_outbox(host, layer)
                if host.life != life:
                    return
        self._schedule_tick(host)

    def _receive(self, host, layer, sender, message):
        if host.up and layer in host.parts:
            host.parts[layer].on_message(host.now_ms(), sender, message)
            self._send_outbox(host, layer)
            self._schedule_tick(host)

    def _send_outbox(self, host, layer):
        part, life = host.parts[layer], host.life
        if self.after is not None:
            self.after(host, layer, part)
        out, part.outbox[:] = list(part.outbox), []
        if host.life == life:  # Unless `after` killed or restarted the host.
            for target, message in out:
                self._send(host, target, layer, message)

    # --- messages

    def _send(self, host, target, layer, message):
        self.messages += 1
        host.sent += 1
        data, message_type = message.SerializeToString(), type(message)
        host.sent_bytes += len(data)
        host.max_message_bytes = max(host.max_message_bytes, len(data))
        sender = (host.name, host.incarnation)
        if self.intercept is not None:
            replacements = self.intercept(self.messages, host.name, target, layer, message)
            if replacements is not None:
                for receiver, delay, replacement in replacements:
                    self.at(
                        self.now_ms + delay,
                        self._arrive,
                        receiver,
                        layer,
                        sender,
                        replacement.SerializeToString(),
                        message_type,
                    )
                return
        conditions = self.links.get((host.name, target), self.link_conditions)
        if conditions.cut or (conditions.loss and self.rng.random() < conditions.loss):
            self.lost["cut" if conditions.cut else "loss"] += 1
            return
        for _ in range(2 if conditions.doubled and self.rng.random() < conditions.doubled else 1):
            delay = self.rng.uniform(*conditions.delay_ms)
            if conditions.late and self.rng.random() < conditions.late:
                delay += self.rng.uniform(0, conditions.late_ms)
            self.at(self.now_ms + delay, self._arrive, target, layer, sender, data, message_type)

    def _arrive(self, target, layer, sender, data, message_type):
        host = self.hosts.get(target)
        if host is None or not host.up:
            self.lost["nowhere"] += 1
            return
        message = message_type.FromString(data)
        if host.paused:
            if len(host.held) < MAX_HELD_MESSAGES:
                host.held.append((layer, sender, message))
            else:
                self.lost["buffer"] += 1
        else:
            self._receive(host, layer, sender, message)
