"""A home's group: how its book lies in the group's base and records, and the group as the desk needs it. No I/O.

Records are cut into pieces as those of the quota's ledger. A group of sittings needs `most_state` of MOST_STATE.
Errors: protobuf's DecodeError and BookError."""

from lichenquay.moves.book import Book
from lichenquay.quota import kept
from lichenquay.quota.quota_pb2 import Kept

MOST_STATE = 120_000  # a book of 40,000 bytes, hand-overs not yet told, stones, and the records after them


def fold_of(home):
    """The `fold` of that home's group."""

    def fold(base, parts):
        old = Kept.FromString(base)
        records, held = kept.whole([*old.parts, *parts])
        state = Book.load(home, old.state, records).state() if records else old.state
        return Kept(state=state, parts=held).SerializeToString()

    return fold


Seat = kept.Seat
