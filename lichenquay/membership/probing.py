"""Asking members whether they answer: own probes (direct, and by others), and pings made for others.

A probe lasts one period, times (1 + our own ill health): a ping; after a quarter of it another, and `helpers` members
asked to ping; at half of it the same once more by other helpers; at its end the verdict, of which the watch decides
what it is worth.
Work: one probe a period, at most `MAX_EXTRA` more under way, and at most `MAX_RELAYS` pings for others.
"""

from lichenquay.membership import members_pb2 as pb

MAX_EXTRA, MAX_RELAYS = 8, 32
STEPS = (0.25, 0.5, 1.0)


class Probe:
    __slots__ = (
        "no",
        "name",
        "sent_ms",
        "length_ms",
        "step",
        "step_ms",
        "helpers",
        "nacks",
        "asker",
        "ask_no",
    )

    def __init__(self, no, name, now_ms, length_ms, asker=None, ask_no=0):
        self.no, self.name, self.sent_ms, self.length_ms = no, name, now_ms, length_ms
        self.step, self.step_ms = 0, now_ms + length_ms * (STEPS[0] if asker is None else 1)
        self.helpers, self.nacks = {}, 0
        self.asker, self.ask_no = asker, ask_no


class Ask:
    def __init__(self, watch):
        self.watch, self.table, self.rng = watch, watch.table, watch.rng
        self.probes, self.relays = {}, {}
        self.no = self.rng.getrandbits(31)
        self.turn, self.at, self._seen = [], 0, None

    @property
    def due_ms(self):
        return min(
            (p.step_ms for some in (self.probes, self.relays) for p in some.values()), default=float("inf")
        )

    def clear(self):
        """Risk: answers that came while this process stood still were not read in time; no verdict comes from them."""
        self.probes.clear()
        self.relays.clear()

    def next_name(self):
        """Every live member in turn, in an order of our own by chance. It stays from turn to turn, so that no two of
        our probes of one member are further apart than one turn (drawn afresh, two turns); who is new comes in at a
        random place."""
        live = self.table.live()
        if live is not self._seen:
            known, self._seen, now = set(self.turn), live, set(live)
            self.turn = [n for n in self.turn if n in now]
            for name in live:
                if name not in known and name != self.watch.name:
                    self.turn.insert(self.rng.randrange(len(self.turn) + 1), name)
        if not self.turn:
            return None
        self.at = (self.at + 1) % len(self.turn)
        return self.turn[self.at]

    def probe(self, name, length_ms, once=False):
        """Asks, unless it is asked already; `once`: by one ping, as is enough for one that is out."""
        if any(p.name == name for p in self.probes.values()) or len(self.probes) > MAX_EXTRA:
            return
        p = Probe(self._number(), name, self.watch.now_ms, length_ms)
        if once:
            p.step, p.step_ms = len(STEPS) - 1, p.sent_ms + length_ms
        self.probes[p.no] = p
        self._ping(p)

    def ping_for(self, asker, no, name, length_ms):
        """For another: one ping; False if there is no room for it."""
        if len(self.relays) >= MAX_RELAYS:
            return False
        p = Probe(self._number(), name, self.watch.now_ms, length_ms, asker, no)
        self.relays[p.no] = p
        self._ping(p)
        return True

    def _number(self):
        self.no = (self.no + 1) % 2**32
        return self.no

    def _ping(self, p):
        self.watch.send_about(p.name, pb.Message(ping=pb.Ping(no=p.no, name=p.name)))

    def step(self, now_ms):
        """Goes on with what is under way; returns the probes that ended unanswered."""
        for no in [n for n, p in self.relays.items() if p.step_ms <= now_ms]:
            p = self.relays.pop(no)
            self.watch.send(p.asker, pb.Message(ack=pb.Ack(no=p.ask_no, name=p.name, ok=False)))
        ended = []
        for p in [p for p in self.probes.values() if p.step_ms <= now_ms]:
            if p.step == len(STEPS) - 1:
                del self.probes[p.no]
                ended.append(p)
                continue
            p.step += 1
            p.step_ms = p.sent_ms + p.length_ms * STEPS[p.step]
            self._ping(p)
            for name in self.watch.some(self.watch.settings.helpers, besides=(p.name, *p.helpers)):
                p.helpers[name] = None
                self.watch.send_about(
                    name, pb.Message(ping_ask=pb.PingAsk(no=p.no, name=p.name)), about=p.name
                )
        return ended

    def acked(self, sender, ack):
        """An answer: (the probe or relay it ends or None, whether it came from the one asked itself, whether it answers
        us at all)."""
        p = self.relays.get(ack.no)
        if p and p.name == sender == ack.name and ack.ok:
            return self.relays.pop(ack.no), True, True
        p = self.probes.get(ack.no)
        if p is None or p.name != ack.name or not (sender == p.name or sender in p.helpers):
            return None, False, False
        if ack.ok:
            return self.probes.pop(ack.no), sender == p.name, True
        if sender == p.name:
            return None, False, False
        p.nacks += 1
        return None, False, True
