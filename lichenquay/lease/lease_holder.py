"""A process as candidate for a group and as its holder. No I/O.

    idle -> claiming -> taking -> spreading -> holding -> idle

Claiming: promises of a majority are gathered. Taking: the state of the highest (label, index) among them is fetched.
Spreading: a majority is made to keep it under the new generation. Only then it holds, and while a majority's answers
to rounds that it sent less than `lease_ms` ago say that they wait. What has lapsed is never taken up again under the
same generation: it is claimed anew. A claim that does not hold after `lease_ms` is dropped (the voters' rule for lost
folders counts on both).
"""

from lichenquay.lease.durable_state import Frozen, Position, Pull
from lichenquay.lease.peer import INF, Peer
from lichenquay.lease.settings import MOST_JUMP

IDLE, CLAIMING, TAKING, SPREADING, HOLDING = "idle", "claiming", "taking", "spreading", "holding"
MOST_SENT = 64  # rounds to one voter whose answers are told apart


def _nobody(now_ms, ok):
    pass


class Holder:
    """`send(name, kind, **fields)`, `own_log()` and `told(now_ms, what)` are its group's."""

    def __init__(self, voters, rng, settings, now_ms, fold, send, own_log, told):
        self.voters, self.rng, self.settings = tuple(voters), rng, settings
        self.fold, self.send, self.own_log, self.told = fold, send, own_log, told
        self.majority = len(self.voters) // 2 + 1
        self.seen = 0  # highest generation known of
        self.wanted = False
        self.failed = 0  # claims in a row
        self.counts = {"claims": 0, "lapsed": 0, "senseless": 0}
        self.ended = None  # (generation, index, times left, next sending)
        self._idle(now_ms)

    def _idle(self, now_ms, wait_ms=0.0):
        self.phase, self.generation, self.log, self.pull, self.frozen = IDLE, 0, None, None, None
        self.pending, self.leaving, self.higher = {}, False, 0
        spread = self.settings.spread_ms * 2 ** min(self.failed, 4)
        self.claim_ms = now_ms + wait_ms + self.rng.uniform(0, spread)

    # Time.

    @property
    def until_ms(self):
        """Until when it may act: a majority answered what was sent at most `lease_ms` before."""
        waits = sorted((p.waits_ms for p in self.peers.values()), reverse=True)
        return waits[self.majority - 1] + self.settings.lease_ms

    def holds(self, now_ms):
        return self.phase == HOLDING and now_ms < self.until_ms

    def look(self, now_ms):
        """Before everything else: what has lapsed is over."""
        if self.phase == HOLDING and now_ms >= self.until_ms:
            self.counts["lapsed"] += 1
            # It may have been paused: it listens for another holder before it claims, or its claim would only disturb
            # him.
            self._drop(now_ms, 2 * self.settings.renew_ms)
        elif self.phase in (CLAIMING, TAKING, SPREADING) and now_ms >= self.begun_ms + self.settings.lease_ms:
            self._fail(now_ms)

    def _drop(self, now_ms, wait_ms=0.0):
        pending, held = self.pending, self.phase == HOLDING
        self._idle(now_ms, wait_ms)
        for done in pending.values():
            done(now_ms, None)
        if held:
            self.told(now_ms, "lost")

    def _fail(self, now_ms):
        self.failed += 1
        waits = [p.refused for p in self.peers.values() if p.refused is not None]
        self._idle(now_ms, max(waits, default=0.0))

    @property
    def due_ms(self):
        due = self.ended[3] if self.ended else INF
        if self.phase == IDLE:
            return min(due, self.claim_ms if self.wanted else INF)
        if self.phase == HOLDING:
            due = min(due, self.until_ms)
        else:
            due = min(due, self.begun_ms + self.settings.lease_ms)
        if self.phase == TAKING:
            return min(due, self.pull.due_ms)
        for peer in self.peers.values():
            if peer.position is None and not peer.birth:
                due = min(due, peer.asked_ms + self._again_ms)
            elif peer.pending_ms is not None:
                due = min(due, peer.pending_ms + self.settings.retry_ms)
        return due if self.phase == CLAIMING else min(due, self.renew_ms)

    @property
    def _again_ms(self):
        return self.settings.retry_ms if self.phase == CLAIMING else self.settings.renew_ms

    def tick(self, now_ms):
        if self.ended and now_ms >= self.ended[3]:
            self._say_ended(now_ms, *self.ended[:3])
        if self.phase == IDLE:
            if self.wanted and now_ms >= self.claim_ms:
                self.claim(now_ms)
        elif self.phase == TAKING:
            if now_ms >= self.pull.due_ms:
                self.send(self.pull.source, "fetch", **self.pull.ask(now_ms))
        else:
            self._rounds(now_ms)

    def _rounds(self, now_ms):
        all_ = self.phase != CLAIMING and now_ms >= self.renew_ms
        if all_:
            self.renew_ms = now_ms + self.settings.renew_ms
        for name, peer in self.peers.items():
            if peer.position is None and not peer.birth:
                if now_ms >= peer.asked_ms + self._again_ms:
                    self._ask(now_ms, name)
            elif self.phase != CLAIMING:
                late = peer.pending_ms is not None and now_ms >= peer.pending_ms + self.settings.retry_ms
                if all_ or late:
                    self._push(now_ms, name)

    # Claims.

    def claim(self, now_ms):
        self.generation = self.seen = self.seen + 1
        self.phase, self.begun_ms = CLAIMING, now_ms
        self.token = self.rng.getrandbits(63) + 1
        self.peers, self.founding = {name: Peer() for name in self.voters}, {}
        self.counts["claims"] += 1
        for name in self.voters:
            self._ask(now_ms, name)

    def _ask(self, now_ms, name):
        self.peers[name].asked_ms = now_ms
        self.send(
            name, "claim", generation=self.generation, token=self.token, founding=self.founding.get(name, 0)
        )

    def _mine(self, name, m):
        return self.phase != IDLE and name in self.peers and m.generation == self.generation

    def grant(self, now_ms, sender, m):
        name, position = sender[0], Position.of(m.position)
        if not self._mine(name, m) or m.token != self.token or position is None:
            return
        peer = self.peers[name]
        begun = self.phase in (SPREADING, HOLDING)
        sane = self._possible(position) if begun else position.label < self.generation
        if peer.position is not None or not sane or not Pull.sane(m.whole, self.settings):
            return
        peer.position, peer.whole, peer.birth, peer.refused = position, m.whole, 0, None
        if begun:
            self._push(now_ms, name)
        elif self.phase == CLAIMING:
            granted = [n for n, p in self.peers.items() if p.position is not None]
            if len(granted) >= self.majority:
                self._take(now_ms, max(granted, key=lambda n: self.peers[n].position[:2]))

    def _take(self, now_ms, name):
        position = self.peers[name].position
        own = self.own_log()
        if own is not None and own.position == position:
            self._spread(now_ms, own.copy())
            return
        self.phase = TAKING
        self.pull = Pull(now_ms, name, self.generation, self.peers[name].whole, self.settings)
        self.send(name, "fetch", **self.pull.ask(now_ms))

    def piece(self, now_ms, sender, m):
        if self.phase != TAKING or not self.pull.heard(now_ms, sender[0], m):
            return
        log = self.pull.log()
        if log is not None:
            self._spread(now_ms, log)
        else:
            self.send(self.pull.source, "fetch", **self.pull.ask(now_ms))

    def refuse(self, now_ms, sender, m):
        name = sender[0]
        if not self._mine(name, m) or not (m.token == self.token or self._round_of(name, m.token)):
            return
        if m.promised > self.seen + MOST_JUMP:
            self.counts["senseless"] += 1
            return
        self.seen = max(self.seen, m.promised)
        peer = self.peers[name]
        # Not over the longest wait that a voter can mean (and not `nan`).
        most = self.settings.wait_ms
        peer.refused = m.wait_ms if 0 <= m.wait_ms <= most else most
        if self.phase in (CLAIMING, TAKING, SPREADING):
            refused = sum(1 for p in self.peers.values() if p.refused is not None)
            if refused > len(self.voters) - self.majority:
                self._fail(now_ms)
        elif m.promised > self.generation:
            # It promised a claim that came to nothing, and answers this generation no more.
            peer.position, peer.asked_ms, self.higher = None, now_ms, m.promised

    def _round_of(self, name, token):
        return any(t == token for _, t in self.peers[name].sent.values())

    def blank(self, now_ms, sender, m):
        name = sender[0]
        if (
            not self._mine(name, m)
            or not m.birth
            or not (m.token == self.token or self._round_of(name, m.token))
        ):
            return
        peer = self.peers[name]
        known, peer.birth, peer.position = peer.birth, m.birth, None
        if self.phase == CLAIMING and not self.founding and all(p.birth for p in self.peers.values()):
            # All were blank when this claim was sent, since each is for `wait_ms` before it says so: nothing is to be
            # lost.
            self.founding = {n: p.birth for n, p in self.peers.items()}
            for other, p in self.peers.items():
                p.birth = 0
                self._ask(now_ms, other)
        elif self.phase == CLAIMING and self.founding:
            peer.birth = 0
        elif self.phase == HOLDING and known != m.birth:
            self._push(now_ms, name)

    # The state, kept by a majority.

    def _spread(self, now_ms, log):
        self.phase, self.pull, self.log = SPREADING, None, log
        self.source = log.position
        log.label = self.generation
        self.number, self.renew_ms = 0, -INF
        self._rounds(now_ms)

    def _push(self, now_ms, name):
        """A round to one voter: with the records that it lacks, or with the offer of the whole state."""
        peer, fields = self.peers[name], {}
        if peer.birth and self.phase != HOLDING:
            return
        since = till = peer.position or Position()
        peer.pending_ms = None
        records = None if peer.birth else self._fitting(since)
        if records is None:
            fields = {"whole": self._offer(), "birth": peer.birth}
        else:
            index = since.index + len(records)
            label = self.generation if index >= self.source.index else since.label
            till = Position(label, index, self.log.chain_at(index))
        if till != since or "whole" in fields:
            peer.pending_ms = now_ms
        self.number += 1
        token = self.rng.getrandbits(63) + 1
        peer.sent[self.number] = now_ms, token
        if len(peer.sent) > MOST_SENT:
            peer.sent.popitem(last=False)
        self.send(
            name,
            "round",
            generation=self.generation,
            number=self.number,
            token=token,
            since=since.wire(),
            records=records or (),
            till=till.wire(),
            **fields,
        )

    def _fitting(self, since):
        """Records that follow `since`, as many as one round takes; None where this log does not go on from there."""
        same = (
            since.label == self.generation
            or since.label == self.source.label
            and since.index <= self.source.index
        )
        if not same or self.log.chain_at(since.index) != since.chain:
            return None
        records, size = [], 0
        for record in self.log.after(since.index):
            size += len(record) + 4
            if records and size > self.settings.round_bytes:
                break
            records.append(record)
        return records

    def _offer(self):
        if self.frozen is None or self.log.chain_at(self.frozen.position.index) is None:
            self.frozen = Frozen(self.log)
        return self.frozen.whole()

    def fetch(self, now_ms, sender, m):
        if self._mine(sender[0], m) and self.frozen and m.crc == self.frozen.crc:
            for offset, data in self.frozen.pieces(m.offset, self.settings):
                self.send(sender[0], "piece", generation=m.generation, crc=m.crc, offset=offset, data=data)

    def ack(self, now_ms, sender, m):
        name, position = sender[0], Position.of(m.position)
        if not self._mine(name, m) or self.phase not in (SPREADING, HOLDING) or position is None:
            return
        peer = self.peers[name]
        sent_ms, token = peer.sent.get(m.number, (0, None))
        # Risk: what no honest voter can say (a round not sent, records not made) must count for nothing.
        if token != m.token or not self._possible(position):
            self.counts["senseless"] += 1
            return
        peer.waits_ms = max(peer.waits_ms, sent_ms)
        if position.label == self.generation:
            peer.kept = max(peer.kept, position.index)
        if m.number > peer.number:
            old, peer.number, peer.position, peer.birth, peer.refused = (
                peer.position,
                m.number,
                position,
                0,
                None,
            )
            if position != old:
                peer.pending_ms = None
                if position != self.log.position:
                    self._push(now_ms, name)
        self._settle(now_ms)

    def _possible(self, position):
        if position.label != self.generation:
            return position.label < self.generation
        known = self.log.chain_at(position.index)
        return position.index < self.log.base_index or known is not None and known == position.chain

    def _settle(self, now_ms):
        """What a majority keeps by now is made."""
        kept = sorted((p.kept for p in self.peers.values()), reverse=True)[self.majority - 1]
        if self.phase == SPREADING and kept >= self.source.index and now_ms < self.until_ms:
            self.phase, self.failed = HOLDING, 0
            self.told(now_ms, "holds")
        if self.phase == HOLDING:
            for index in [i for i in self.pending if i <= kept]:
                self.pending.pop(index, _nobody)(now_ms, True)
            if not self.pending and self.phase == HOLDING:
                self._between(now_ms)

    def _between(self, now_ms):
        """Nothing is under way: time to go, or to claim anew what a lost claim took a voter away to."""
        if self.leaving:
            generation, index = self.generation, self.log.index
            self.wanted = False
            self._drop(now_ms)
            self._say_ended(now_ms, generation, index, 3)
        elif self.higher and now_ms >= self.begun_ms + self.settings.lease_ms:
            self._drop(now_ms)
            self.claim(now_ms)

    def write(self, now_ms, record, done):
        """Appends a record (see `Group.write`)."""
        if not 0 < len(record) <= self.settings.round_bytes:
            raise ValueError(f"a record of {len(record)} bytes; from 1 to {self.settings.round_bytes} fit")
        room = self.log is not None and self.log.size + len(record) <= self.settings.most_state
        if (
            not self.holds(now_ms)
            or self.leaving
            or not room
            or len(self.pending) >= self.settings.most_pending
        ):
            done(now_ms, False)
            return
        self.log.append(record)
        self.pending[self.log.index] = done
        if len(self.log.records) > self.settings.most_records:
            self.log.fold(self.fold, self.settings.most_records // 2)
        for name, peer in self.peers.items():
            if peer.position is not None and peer.pending_ms is None:
                self._push(now_ms, name)

    def give_up(self, now_ms):
        if self.phase == HOLDING:
            self.leaving = True
            if not self.pending:
                self._between(now_ms)
        else:
            self.wanted = False
            self._idle(now_ms)

    def _say_ended(self, now_ms, generation, index, times):
        for name in self.voters:
            self.send(name, "ended", generation=generation, index=index)
        self.ended = (generation, index, times - 1, now_ms + self.settings.retry_ms) if times > 1 else None
