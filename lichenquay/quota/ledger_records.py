"""The ledger's records as a group keeps them: in pieces, as one record of the group is bounded and a batch of changes is not. No I/O.

A record counts when all its pieces are there, one after the other. Pieces of a record whose rest never came (its keeper lost the group in
between) are dropped by the first piece of the next: nobody was told of it. Errors: protobuf's DecodeError and LedgerError.
"""

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.ledger import Ledger

PIECE = 760  # bytes of data; with the rest, under the 800 of a group's record


def split(record):
    pieces = [record[at : at + PIECE] for at in range(0, len(record), PIECE)]
    return [
        pb.Part(index=i, count=len(pieces), data=data).SerializeToString() for i, data in enumerate(pieces)
    ]


def whole(parts):
    """(records that are whole, in order; pieces of the last one that is not yet)."""
    records, held = [], []
    for raw in parts:
        part = pb.Part.FromString(raw)
        if part.index == 0:
            held = []
        if part.index != len(held):  # the rest of one whose first piece is not there: never told
            held = []
            continue
        held.append(raw)
        if len(held) == part.count:
            records.append(b"".join(pb.Part.FromString(p).data for p in held))
            held = []
    return records, held


def read(base, parts):
    """(state, whole records after it)."""
    kept = pb.Kept.FromString(base)
    return kept.state, whole([*kept.parts, *parts])[0]


def fold(base, parts):
    """The group's `fold`."""
    kept = pb.Kept.FromString(base)
    records, held = whole([*kept.parts, *parts])
    return pb.Kept(
        state=Ledger.load(kept.state, records).state() if records else kept.state, parts=held
    ).SerializeToString()


class Seat:
    """The group as the keeper needs it: a record is made when its last piece is."""

    def __init__(self, group):
        self.group = group

    @property
    def generation(self):
        return self.group.generation

    def holds(self, now_ms):
        return self.group.holds(now_ms)

    def snapshot(self):
        return read(*self.group.state)

    def write(self, now_ms, record, done):
        parts, ends = split(record), []

        def ended(at_ms, ok):
            ends.append(ok)
            if len(ends) == len(parts):
                # A record of which one piece was not taken can never be whole; one of which any is in doubt may be.
                done(at_ms, True if all(ends) else False if False in ends else None)

        for part in parts:
            self.group.append(now_ms, part, ended)
