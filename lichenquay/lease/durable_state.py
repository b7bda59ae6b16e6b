"""The records of a group as one process has them, and their form on disk and in pieces. No I/O."""

import zlib
from hashlib import blake2b
from struct import pack
from typing import NamedTuple

from google.protobuf.message import DecodeError

from lichenquay.lease.lease_pb2 import Position as Wire
from lichenquay.lease.lease_pb2 import Promise, State, Whole


def digest(*parts):
    """64 bits of BLAKE2b: against errors and mistakes, not against forgers."""
    return int.from_bytes(blake2b(b"".join(parts), digest_size=8).digest(), "little")


class Position(NamedTuple):
    """Where a state stands: whose generation labels it, its last record, the digest of all records up to that."""

    label: int = 0
    index: int = 0
    chain: int = 0

    def wire(self):
        return Wire(label=self.label, index=self.index, chain=self.chain, mark=digest(pack("<QQQ", *self)))

    @classmethod
    def of(cls, wire):
        """None where the parts do not belong together."""
        here = cls(wire.label, wire.index, wire.chain)
        return here if wire.mark == digest(pack("<QQQ", *here)) else None


class Log:
    """A base (bytes that the application folded) and the records after it, all under one label.

    Two logs of one label and index hold the same records, whatever part of them each has folded.
    """

    def __init__(self, label=0, base=b"", base_index=0, base_chain=0, records=()):
        self.label, self.base, self.base_index, self.base_chain = label, base, base_index, base_chain
        self.records, self.chains, self.size = [], [], len(base)
        for record in records:
            self.append(record)

    def append(self, record):
        self.chains.append(digest(pack("<Q", self.chain), record))
        self.records.append(record)
        self.size += len(record)

    def copy(self):
        new = Log(self.label, self.base, self.base_index, self.base_chain)
        new.records, new.chains, new.size = list(self.records), list(self.chains), self.size
        return new

    @property
    def index(self):
        return self.base_index + len(self.records)

    @property
    def chain(self):
        return self.chains[-1] if self.chains else self.base_chain

    @property
    def position(self):
        return Position(self.label, self.index, self.chain)

    def chain_at(self, index):
        """None where it is not known (folded, or not yet there)."""
        if index == self.base_index:
            return self.base_chain
        return self.chains[index - self.base_index - 1] if self.base_index < index <= self.index else None

    def after(self, index):
        return self.records[index - self.base_index :]

    def fold(self, fold, leave):
        """The application folds all but the last `leave` records into the base."""
        many = len(self.records) - leave
        self.base = fold(self.base, self.records[:many])
        self.base_index, self.base_chain = self.base_index + many, self.chains[many - 1]
        self.records, self.chains = self.records[many:], self.chains[many:]
        self.size = len(self.base) + sum(map(len, self.records))

    def state(self):
        return State(position=self.position.wire(), base_index=self.base_index, base_chain=self.base_chain)

    def blob(self):
        state = self.state()
        state.base = self.base
        state.records.extend(self.records)
        return state.SerializeToString()

    @classmethod
    def of(cls, state, base, records):
        """The log of a state; None where its parts do not belong together."""
        log = cls(state.position.label, base, state.base_index, state.base_chain, records)
        return log if Position.of(state.position) == log.position else None

    @classmethod
    def of_blob(cls, blob):
        try:
            state = State.FromString(blob)
        except DecodeError:
            return None
        return cls.of(state, state.base, state.records)

    def changes(self, old, sure=True):
        """What must be written, at once, to come from the log `old` to this one; not `sure`: `old` may not be what is
        on disk."""
        changes = {
            f"record/{i}": None
            for i in range(old.base_index + 1, old.index + 1)
            if not self.base_index < i <= self.index
        }
        first = self.base_index
        if sure and old.chain_at(first) == self.base_chain:
            first = max(
                i for i in range(first, min(old.index, self.index) + 1) if old.chain_at(i) == self.chain_at(i)
            )
        if not sure or (old.base_index, old.base_chain, old.base) != (
            self.base_index,
            self.base_chain,
            self.base,
        ):
            changes["base"] = self.base
        changes.update({f"record/{i}": r for i, r in enumerate(self.after(first), first + 1)})
        return changes | {"state": self.state().SerializeToString()}


def load(kept):
    """(promise, log) as `Log.changes` and a promise left them; None where they cannot have been left so."""
    try:
        promise = Promise.FromString(kept.get("promise", b""))
        state = State.FromString(kept["state"]) if "state" in kept else State(position=Position().wire())
    except DecodeError:
        return None
    last = state.position.index
    if not 0 <= last - state.base_index <= len(kept):
        return None
    records = [kept.get(f"record/{i}") for i in range(state.base_index + 1, last + 1)]
    log = None if None in records else Log.of(state, kept.get("base", b""), records)
    return log and (promise, log)


class Pull:
    """Fetches one whole state in pieces, a window at a time; asks again for what is lost."""

    def __init__(self, now_ms, source, generation, whole, settings, birth=0):
        self.source, self.generation, self.birth, self.settings = source, generation, birth, settings
        self.position, self.size, self.crc = Position.of(whole.position), whole.size, whole.crc
        self.got, self.asked_ms, self.asked, self.news_ms = {}, now_ms, -1, now_ms

    def same(self, other):
        mine, its = ((p.source, p.generation, p.birth, p.position, p.size, p.crc) for p in (self, other))
        return mine == its

    @classmethod
    def sane(cls, whole, settings):
        return 0 < whole.size <= settings.most_state * 2 and Position.of(whole.position) is not None

    @property
    def missing(self):
        """The first offset that is missing, None: whole."""
        return next((o for o in range(0, self.size, self.settings.piece_bytes) if o not in self.got), None)

    def ask(self, now_ms):
        self.asked_ms, self.asked = now_ms, self.missing
        return {"generation": self.generation, "crc": self.crc, "offset": self.asked or 0}

    @property
    def due_ms(self):
        return self.asked_ms + self.settings.retry_ms

    def stale(self, now_ms):
        return now_ms - self.news_ms > self.settings.lease_ms

    def heard(self, now_ms, sender, piece):
        """True: the next window may be asked for, or all is there."""
        step = self.settings.piece_bytes
        fits = piece.offset % step == 0 and len(piece.data) == min(step, self.size - piece.offset)
        if (sender, piece.generation, piece.crc) != (self.source, self.generation, self.crc) or not fits:
            return False
        if piece.offset in self.got:
            return False
        self.got[piece.offset], self.news_ms = piece.data, now_ms
        missing = self.missing
        return missing is None or missing >= self.asked + step * self.settings.window

    def log(self):
        """The state if it is whole; what does not fit together is fetched once more."""
        if self.missing is not None:
            return None
        blob = b"".join(self.got[o] for o in sorted(self.got))
        log = Log.of_blob(blob) if zlib.crc32(blob) == self.crc else None
        if log is None or log.position != self.position:
            self.got.clear()
            return None
        return log


class Frozen:
    """A whole state at one moment, to be given in pieces."""

    def __init__(self, log):
        self.position, self.blob = log.position, log.blob()
        self.crc = zlib.crc32(self.blob)

    def whole(self):
        return Whole(position=self.position.wire(), size=len(self.blob), crc=self.crc)

    def pieces(self, offset, settings):
        step = settings.piece_bytes
        if offset % step == 0:
            for at in range(offset, min(len(self.blob), offset + step * settings.window), step):
                yield at, self.blob[at : at + step]
