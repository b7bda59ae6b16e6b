"""This process's part in one group: a voter (where it is named as one), and a candidate for the group or its holder.
No I/O.

    heard(now_ms, sender, message)   sender: (name, incarnation) as the envelope said
    tick(now_ms)                     wanted at `due_ms`
    outbox                           [(name, message)], emptied by the host after each call
    to_store                         [(number, {key: bytes or None})], emptied likewise; each is to be on disk whole
    or not at all stored(now_ms, number, ok)       the host's answer, late or never; `ok`: fsynced with its folder.
    False: it may be there or not

Times are milliseconds of the process's own monotonic clock, which runs on through a suspension. What is assumed:

- Clocks keep within DRIFT of each other. Nobody forges messages; what was cut off or flipped is lost (the envelope's
  checksum).
- One process at a time has a name, its folder and its incarnation, and each start has a higher one.
- `kept` is all that was answered `ok`, or nothing at all with fresh=False (see `voter`).
- `fold(base, records) -> base` is the application's, without side effects, the same in all processes: it makes of a
  base (b"" at first) and the records after it a base that says the same. State and records stay within `most_state`
  bytes; `write` refuses past it.

A lease says who may act *now*. Between asking `holds` and the act a process may be paused for any time: what must not
happen then has to carry `generation` to whoever can refuse it.
"""

from collections import deque

from lichenquay.lease.lease_holder import HOLDING, Holder
from lichenquay.lease.lease_pb2 import Message
from lichenquay.lease.voter import Voter

MOST_INNER = 10_000  # messages to itself in one call
TO_HOLDER = {"grant", "refuse", "blank", "ack", "piece", "fetch"}
TO_VOTER = {"claim", "round", "ended", "piece", "fetch"}
INF = float("inf")


def keep_all(base, records):
    """A fold for tests and for groups of a few records: all one after the other."""
    return base + b"".join(records)


def nothing(now_ms, what):
    """Told of what happens, does nothing."""


class Group:
    """`told(now_ms, what)`: 'holds' when this process got the group (see `state`), 'lost' when that is over."""

    def __init__(
        self,
        group_id,
        name,
        incarnation,
        voters,
        rng,
        settings,
        now_ms,
        kept,
        fresh=False,
        fold=keep_all,
        told=None,
    ):
        if len(set(voters)) != len(voters) or not voters:
            raise ValueError(f"group {group_id}: voters need names of their own")
        self.group_id, self.name, self.incarnation, self.settings = group_id, name, incarnation, settings
        self.outbox, self.to_store = [], []
        self._inner, self._number = deque(), 0
        self._holder_seen = (None, 0)
        self.round_ms = now_ms  # when a holder's round last came, or the group began
        self.foreign = 0  # messages of other groups, or of no known kind
        self.voter = None
        if name in voters:
            self.voter = Voter(rng, settings, now_ms, kept, fresh, fold, self._send, self._store)
        self.claimant = Holder(
            voters, rng, settings, now_ms, fold, self._send, self._own_log, told or nothing
        )
        self._settle(now_ms)

    # What the application asks.

    def holds(self, now_ms):
        """Whether this process may act for the group now."""
        return self.claimant.holds(now_ms)

    @property
    def generation(self):
        """Its own, while it holds; else 0."""
        return self.claimant.generation if self.claimant.phase == HOLDING else 0

    @property
    def holder(self):
        """(name, generation) of the latest holder known of here; name None: none."""
        if self.claimant.phase == HOLDING:
            return self.name, self.claimant.generation
        return self._holder_seen

    @property
    def state(self):
        """(base, records) while it holds: all that is made, then what is under way. None otherwise."""
        log = self.claimant.log if self.claimant.phase == HOLDING else None
        return log and (log.base, list(log.records))

    @property
    def wanted(self):
        return self.claimant.wanted

    def want(self, now_ms, wanted):
        """Whether to claim the group while it does not hold it. Claims are spread by chance, and give way to a holder
        that is heard."""
        claimant = self.claimant
        if wanted and not claimant.wanted:
            claimant.claim_ms = max(
                claimant.claim_ms, now_ms + claimant.rng.uniform(0, self.settings.spread_ms)
            )
        claimant.wanted = wanted

    def write(self, now_ms, record, done):
        """Appends a record of up to `round_bytes` (ValueError beyond). done(now_ms, ok), at once or later, exactly
        once: True: a majority has it on disk, and the lease holds; every later holder has it. False: it was not taken.
        None: in doubt, the group was lost meanwhile; a later holder may have it or not."""
        claimant = self.claimant
        claimant.look(now_ms)
        claimant.write(now_ms, record, done)
        self._settle(now_ms)

    def give_up(self, now_ms):
        """In order: once the records under way are made, others may claim at once. Until then it holds; it is not
        wanted again."""
        self.claimant.look(now_ms)
        self.claimant.give_up(now_ms)
        self._settle(now_ms)

    # What the host tells.

    @property
    def due_ms(self):
        return min(self.claimant.due_ms, self.voter.due_ms if self.voter else INF)

    def tick(self, now_ms):
        self.claimant.look(now_ms)
        self.claimant.tick(now_ms)
        if self.voter:
            self.voter.tick(now_ms)
        self._settle(now_ms)

    def heard(self, now_ms, sender, message):
        self.claimant.look(now_ms)
        self._take(now_ms, sender, message)
        self._settle(now_ms)

    def stored(self, now_ms, number, ok):
        self.claimant.look(now_ms)
        # Risk: an answer to an earlier one must not pass for the one that is waited for.
        if number == self._number and self.voter and self.voter.writing:
            self.voter.stored(now_ms, ok)
        self._settle(now_ms)

    # Inside.

    def _take(self, now_ms, sender, message):
        kind = message.WhichOneof("body")
        if message.group != self.group_id or kind is None:
            self.foreign += 1
            return
        body = getattr(message, kind)
        if kind == "round" and sender[0] != self.name:
            self.round_ms = now_ms
            # Whoever sends rounds holds the group, or soon will: not the time to claim it.
            self.claimant.claim_ms = max(self.claimant.claim_ms, now_ms + self.settings.lease_ms)
            if body.generation >= self._holder_seen[1]:
                self._holder_seen = sender[0], body.generation
        if kind == "ended" and self._holder_seen == (sender[0], body.generation):
            self._holder_seen = None, body.generation
            self.claimant.claim_ms = now_ms + self.claimant.rng.uniform(0, self.settings.spread_ms)
        if kind in TO_VOTER and self.voter:
            self.voter.heard(now_ms, sender, kind, body)
        if kind in TO_HOLDER:
            getattr(self.claimant, kind)(now_ms, sender, body)

    def _settle(self, now_ms):
        """What it promised is known to its own claims; what it sent to itself. Bounded, as every loop."""
        if self.voter:
            self.claimant.seen = max(self.claimant.seen, self.voter.promise.generation)
        for _ in range(MOST_INNER):
            if not self._inner:
                return
            self._take(now_ms, (self.name, self.incarnation), self._inner.popleft())

    def _send(self, name, kind, **fields):
        message = Message(group=self.group_id, **{kind: fields})
        if name == self.name:
            self._inner.append(message)
        else:
            self.outbox.append((name, message))

    def _own_log(self):
        return self.voter and self.voter.log

    def _store(self, changes):
        self._number += 1
        self.to_store.append((self._number, changes))
