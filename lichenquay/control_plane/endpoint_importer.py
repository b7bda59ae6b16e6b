"""Publishes the list of engines: what discovery announces becomes entries under `engine/`. No I/O.

Each voter follows discovery; the one that holds the publisher's lease proposes what differs from what is
published. So a new publisher goes on where the last one was, and one that lost its lease proposes nothing.
"""

from collections import Counter

from lichenquay.admission import domain
from lichenquay.config.distributed_values import CHECKS_BY_PREFIX
from lichenquay.config.endpoint_list import COMPLETE, COMPLETE_KEY, ENGINE_PREFIX, key_of, value_of
from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import size_of
from lichenquay.distribution.validation import find_entry_error

LOOK_MS = 250.0  # between two looks at whether the lease is held
RETRY_MS = 1000.0  # after a refusal
MOST_UNDER_WAY = 64  # changes; a quarter of what the publisher takes, the rest is for operators


class EngineImporter:
    """`publisher`: this voter's. `log`: for the first of each row that cannot be published."""

    def __init__(self, publisher, rng, now_ms, log):
        """Discovery has not answered yet: nothing is proposed."""
        self.publisher, self.rng, self.log = publisher, rng, log
        self.outbox, self.counts, self.due_ms = [], Counter(), now_ms
        self._wanted, self._known = {}, False  # {key: value} as announced; whether all of it is
        self._keys = {}  # {uid: key}
        self._dirty = {}  # keys that may differ from what is published or proposed
        self._generation, self._changes = 0, 0  # the lease's; changes under way
        self._compared = False  # with all that is published, under this lease
        self._retry_ms = now_ms

    def announced(self, now_ms, whole, rows):
        """Rows of discovery: all there are, or those that changed."""
        if whole:
            named = {row.uid for row in rows}
            for uid in [uid for uid in self._keys if uid not in named]:
                self._forget(uid)
        for row in rows:
            self._take(row)
        self._known = self._known or whole
        self.due_ms = now_ms

    def _take(self, row):
        key = key_of(row)
        if self._keys.get(row.uid, key) != key:  # in another zone: under one key at a time
            self._forget(row.uid)
        if row.state == domain.EndpointState.REMOVED:
            self._forget(row.uid)
            return
        entry = pb.Entry(key=key, value=value_of(row))
        fault = find_entry_error(entry, CHECKS_BY_PREFIX)
        if fault is not None:
            if not self.counts["senseless"]:
                self.log.warning("engines", why=fault)
            self.counts["senseless"] += 1
            return
        self._keys[row.uid] = key
        if self._wanted.get(key) != entry.value:
            self._wanted[key] = entry.value
            self._dirty[key] = True

    def _forget(self, uid):
        key = self._keys.pop(uid, None)
        if key is not None:
            del self._wanted[key]
            self._dirty[key] = True

    # What the host calls.

    def heard(self, now_ms, sender, message):
        """Nobody speaks to it."""

    def tick(self, now_ms):
        """Proposes what differs, while the lease is held."""
        self.due_ms = now_ms + LOOK_MS
        generation = self.publisher.group.generation if self.publisher.group.holds(now_ms) else 0
        if generation != self._generation:
            self._generation, self._changes, self._compared = generation, 0, False
        if generation and self._known and not self._compared:
            self._compare_all()
        while self._may_propose(now_ms):
            entries = self._next_entries()
            if not entries:
                break
            self._propose(now_ms, entries, generation)
        if generation and self._compared and not self._dirty and not self._changes:
            self._tell_complete(now_ms, generation)

    def _tell_complete(self, now_ms, generation):
        """Once; fronts wait for it. Risk: they take the first engines that are published for all."""
        if COMPLETE_KEY not in self.publisher.speculative_state.entries and now_ms >= self._retry_ms:
            self._propose(now_ms, [pb.Entry(key=COMPLETE_KEY, value=COMPLETE)], generation)

    def _may_propose(self, now_ms):
        ready = self._generation and self._known and now_ms >= self._retry_ms
        return ready and self._dirty and self._changes < MOST_UNDER_WAY

    def _compare_all(self):
        """Under a new lease: what others published counts, too."""
        published = self.publisher.speculative_state.entries
        theirs = (key for key in published if key.startswith(ENGINE_PREFIX) and key not in self._wanted)
        self._dirty = dict.fromkeys([*theirs, *self._wanted], True)
        self._compared = True

    def _next_entries(self):
        """Of the next change: as many as fit, in the order in which they changed."""
        entries, settled, size = [], [], 0
        for key in self._dirty:
            entry = self._entry_of(key)
            size += size_of(entry) if entry is not None else 0
            if size > self.publisher.settings.most_change_bytes:
                break
            settled.append(key)
            if entry is not None:
                entries.append(entry)
        for key in settled:
            del self._dirty[key]
        return entries

    def _entry_of(self, key):
        """What brings a key to what is wanted; None where it is that already."""
        published = self.publisher.speculative_state.entries.get(key)
        wanted = self._wanted.get(key)
        if wanted is None:
            return pb.Entry(key=key, deleted=True) if published is not None else None
        if published is not None and published[0] == wanted:
            return None
        return pb.Entry(key=key, value=wanted)

    def _propose(self, now_ms, entries, generation):
        self._changes += 1

        def done(at_ms, proposed):
            self._done(at_ms, entries, generation, proposed)

        self.publisher.propose(now_ms, entries, self.rng.getrandbits(63) + 1, done)

    def _done(self, now_ms, entries, generation, proposed):
        self.counts[pb.Proposed.Outcome.Name(proposed.outcome).lower()] += 1
        if generation != self._generation:
            return  # all is compared anew
        self._changes -= 1
        if proposed.outcome == pb.Proposed.ACCEPTED:
            self.due_ms = min(self.due_ms, now_ms)
            return
        if self.counts["refused"] + self.counts["unknown"] == 1:
            self.log.warning("engines", why=proposed.reason)
        self._dirty |= {entry.key: True for entry in entries if entry.key != COMPLETE_KEY}
        self._retry_ms = now_ms + RETRY_MS

    def lines(self):
        """For SIGUSR1."""
        return [
            f"engines announced {len(self._wanted)} to be published {len(self._dirty)}",
            *(f"engine changes {what}: {number}" for what, number in sorted(self.counts.items())),
        ]
