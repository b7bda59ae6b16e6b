"""A voter of a group: what it promised and what it accepted, on its disk before it says so. No I/O.

A voter that finds nothing in its folder may have lost it, and with it promises and records. It is *blank*: it grants
nothing, accepts nothing and is counted nowhere, until either

- a holder brings it the whole state. It asks for that (by a number drawn at its own start, so that no message sent
  before can answer) only after `wait_ms`: by then every lease that it had supported and every claim that it had
  granted is over, whoever holds then was elected by others, and whoever had been elected with its forgotten grant
  holds, or has lapsed for good; or
- all voters of the group are blank at once: a claim found that, and says so with each one's number. There is nothing
  to be lost.

`fresh` is the host's word that its folder was not lost: it is whole, and never knew this group. Such a voter votes
from the empty state on. A folder that may have lost its end is a folder lost: its host must give nothing of it (kept
= {}, fresh = False). With a majority blank and others not, the group stands still until as many folders are back:
stated, not mended.
"""

from lichenquay.lease.durable_state import Frozen, Log, Position, Pull, load
from lichenquay.lease.lease_pb2 import Promise
from lichenquay.lease.settings import MOST_JUMP


class Voter:
    """`send(name, kind, **fields)` and `store(changes)` are its group's; `stored(now_ms, ok)` may come late or
    never."""

    def __init__(self, rng, settings, now_ms, kept, fresh, fold, send, store):
        self.settings, self.fold, self.send, self.store = settings, fold, send, store
        there = load(kept)
        self.birth = None
        if there is None or not (kept or fresh):
            self.birth = rng.getrandbits(63) + 1
            there = Promise(), Log()
        self.promise, self.log = there
        self.sure = not kept or self.birth is None  # what is on disk is what `log` says
        # Risk: it may have answered a holder just before it stopped, and has forgotten when.
        self.lease_of = (self.promise.name, self.promise.incarnation)
        # One that never knew the group answered nobody: an answer needs a promise on the disk.
        self.blank_until_ms = now_ms + settings.wait_ms
        self.waits_until_ms = now_ms if fresh and not kept else self.blank_until_ms
        self.over = 0  # highest generation that its holder gave up
        self.flying = None  # (promise, log, claim to be granted) on the way to the disk
        self.last = None  # (name, generation, number, token) of the last round answered
        self.pull = self.frozen = None
        self.tried = 0, ("", 0)  # the latest promise that went to the disk, and whose
        self.counts = {"refused": 0, "disk_failed": 0, "senseless": 0}

    @property
    def due_ms(self):
        return self.pull.due_ms if self.pull and not self.writing else float("inf")

    def tick(self, now_ms):
        if self.pull and self.pull.stale(now_ms):
            self.pull = None
        if now_ms >= self.due_ms:
            self.send(self.pull.source, "fetch", **self.pull.ask(now_ms))

    def heard(self, now_ms, sender, kind, m):
        getattr(self, kind)(now_ms, sender, m)

    # Claims.

    def claim(self, now_ms, sender, m):
        if self.writing:
            return  # asked again
        founding = False
        if self.birth is not None:
            if now_ms < self.blank_until_ms:
                return
            founding = m.founding == self.birth
            if not founding:
                self.send(sender[0], "blank", generation=m.generation, token=m.token, birth=self.birth)
                return
        promised = self.promise.generation
        if m.generation == promised and sender == self._promised_to:
            self._grant(sender, m)
        elif not max(promised, self.tried[0]) < m.generation <= promised + MOST_JUMP and self.tried != (
            m.generation,
            sender,
        ):
            self._refuse(sender, m)
        elif now_ms < self.waits_until_ms and sender != self.lease_of and not founding:
            self._refuse(sender, m, wait_ms=self.waits_until_ms - now_ms)
        else:
            # Risk: a promise that the disk said to have failed may be there; no lower one comes after it.
            self.tried = m.generation, sender
            promise = Promise(generation=m.generation, name=sender[0], incarnation=sender[1])
            self._write(promise, self.log, (sender, m))

    @property
    def _promised_to(self):
        return self.promise.name, self.promise.incarnation

    def _grant(self, sender, m):
        self.frozen = Frozen(self.log)
        self.send(
            sender[0],
            "grant",
            generation=m.generation,
            token=m.token,
            position=self.log.position.wire(),
            whole=self.frozen.whole(),
        )

    def _refuse(self, sender, m, wait_ms=0.0):
        self.counts["refused"] += 1
        promised = max(self.promise.generation, self.tried[0])
        self.send(
            sender[0], "refuse", generation=m.generation, token=m.token, promised=promised, wait_ms=wait_ms
        )

    def fetch(self, now_ms, sender, m):
        his = (m.generation, sender) == (self.promise.generation, self._promised_to)
        if his and self.frozen and m.crc == self.frozen.crc:
            for offset, data in self.frozen.pieces(m.offset, self.settings):
                self.send(sender[0], "piece", generation=m.generation, crc=m.crc, offset=offset, data=data)

    # Rounds.

    def round(self, now_ms, sender, m):
        blank = self.birth is not None
        # Risk: a round answered while a promise to somebody else is on its way to the disk would begin a lease beside
        # his.
        if self._promising or blank and now_ms < self.blank_until_ms:
            return
        if blank and m.birth != self.birth:
            self.send(sender[0], "blank", generation=m.generation, token=m.token, birth=self.birth)
            return
        if not blank and self._behind(sender, m):
            self._refuse(sender, m)
            return
        since, till = Position.of(m.since), Position.of(m.till)
        if since is None or till is None or m.whole.size and not Pull.sane(m.whole, self.settings):
            self.counts["senseless"] += 1
            return
        new = None
        if not self.writing and not blank and self._stands_at(since) and till != since:
            new = self._with_records(since, m.records, till, m.generation)
            if new is None:
                self.counts["senseless"] += 1
                return
        self.last = (sender[0], m.generation, m.number, m.token)
        if new is not None:
            self.pull = None
            self._write(self.promise, new)
            return
        if m.whole.size and not self.writing and (blank or self._newer(Position.of(m.whole.position))):
            self._fetch_whole(now_ms, sender, m)
        if not blank:
            self._ack(now_ms)

    def _behind(self, sender, m):
        return (m.generation, sender) != (
            self.promise.generation,
            self._promised_to,
        ) or m.generation <= self.over

    def _stands_at(self, since):
        # Risk: records after a gap would be taken for all of them.
        return since == self.log.position

    def _with_records(self, since, records, till, generation):
        """The log with the records, None where they do not lead to `till`."""
        # Risk: a label of a third generation would let this state pass for one that it is not.
        if till.label not in (generation, since.label):
            return None
        log = self.log.copy()
        log.label = till.label
        for record in records:
            log.append(record)
        return log if log.position == till else None

    def _newer(self, position):
        # Risk: an offer that comes late would take back records that this voter has answered for.
        return position[:2] > self.log.position[:2]

    def _fetch_whole(self, now_ms, sender, m):
        new = Pull(now_ms, sender[0], m.generation, m.whole, self.settings, m.birth)
        if self.pull and self.pull.same(new):
            return
        self.pull = new
        self.pull_from = sender
        self.send(sender[0], "fetch", **self.pull.ask(now_ms))

    def piece(self, now_ms, sender, m):
        pull = self.pull
        if pull is None or self.writing or not pull.heard(now_ms, sender[0], m):
            return
        log = pull.log()
        if log is None:
            self.send(pull.source, "fetch", **pull.ask(now_ms))
            return
        self.pull = None
        promise = self.promise
        if self.birth is not None:
            if pull.birth != self.birth:
                return
            promise = Promise(
                generation=pull.generation, name=self.pull_from[0], incarnation=self.pull_from[1]
            )
        elif (
            (pull.generation, self.pull_from) != (promise.generation, self._promised_to)
            or log.label != pull.generation
            or not self._newer(log.position)
        ):
            return
        self._write(promise, log)

    def _ack(self, now_ms):
        name, generation, number, token = self.last
        if generation != self.promise.generation:
            return
        # Risk: from here on the holder may count on this voter's waiting.
        self.lease_of, self.waits_until_ms = self._promised_to, now_ms + self.settings.wait_ms
        self.send(
            name, "ack", generation=generation, number=number, token=token, position=self.log.position.wire()
        )

    def ended(self, now_ms, sender, m):
        if not self._behind(sender, m):
            self.over = m.generation
            self.waits_until_ms = now_ms
            self.pull = None

    # The disk.

    @property
    def writing(self):
        return self.flying is not None

    @property
    def _promising(self):
        return self.writing and self.flying[0] is not self.promise

    def _write(self, promise, log, claim=None):
        """One at a time: what comes meanwhile is answered with what is on disk, or asked again."""
        if len(log.records) > self.settings.most_records:
            log.fold(self.fold, self.settings.most_records // 2)
        changes = log.changes(self.log, self.sure and self.birth is None)
        if promise is not self.promise:
            changes["promise"] = promise.SerializeToString()
        self.flying = promise, log, claim
        self.store(changes)

    def stored(self, now_ms, ok):
        (promise, log, claim), self.flying = self.flying, None
        if not ok:
            # Risk: it may be on disk nevertheless; the next one writes all anew.
            self.sure = False
            self.counts["disk_failed"] += 1
            return
        self.sure, self.birth = True, None
        self.promise, self.log = promise, log
        if claim:
            self._grant(*claim)
        else:
            self._ack(now_ms)
